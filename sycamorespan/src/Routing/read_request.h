#ifndef SYCAMORESPAN_ROUTING_READ_REQUEST_H
#define SYCAMORESPAN_ROUTING_READ_REQUEST_H

#include <algorithm>
#include <optional>

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/log_position.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Routing/routing_view.h"

namespace sycamorespan {

/** \brief The log position that a session's reads must include, if it is known.
 *
 * Unknown is the state of a session that came without a position, or with one that can't be
 * verified. Its first read then includes every acknowledged write. That read, or its
 * first acknowledged write, makes the position known.
 */
struct session_floor
{
    std::optional<log_position> position;
    time_point raisedAt; ///< when this instance learned of it

    /** \returns the floor after a write was acknowledged, or a replica's answer was complete, at
     * \a reached.
     */
    session_floor raisedTo(log_position reached, time_point now) const
    {
        return position >= reached ? *this : session_floor{reached, now};
    }

    /** \brief The floor after an answer whose proof is \a report.
     *
     * The log of a later term's primary has every acknowledged write, but may end before a floor
     * that was read in an earlier term and then lost. The floor is lowered to it.
     */
    session_floor after(const member_report &report, time_point now) const
    {
        return isOutranked(report) ? session_floor{report.position, now}
                                   : raisedTo(report.position, now);
    }

    /** \returns whether \a report is of a primary in a later term than the floor. */
    bool isOutranked(const member_report &report) const
    {
        return position && report.role == reported_role::primary && report.term > position->term;
    }

    auto operator<=>(const session_floor &) const = default;
};

/** \brief One read of a session. */
struct read_request
{
    session_id session; ///< spreads sessions over equal members
    session_floor floor;
    duration allowedStaleness{0}; ///< \sa boundedStaleness()
    time_point arrivedAt;
    time_point deadline;

    /** \returns whether only an answer with every write acknowledged before arrival will do. */
    bool isStrict() const { return !floor.position || allowedStaleness <= duration{0}; }

    /** \returns the moment up to which the answer must be complete. */
    time_point completeSince() const
    {
        return isStrict() ? arrivedAt : arrivedAt - allowedStaleness;
    }

    auto operator<=>(const read_request &) const = default;
};

/** \returns the staleness that a session's reads allow.
 * \param stated  by the session, if at all
 * \param plan    the plan's bound
 */
constexpr duration boundedStaleness(std::optional<duration> stated, duration plan)
{
    return std::max(duration{0}, std::min(stated.value_or(plan), plan));
}

} // namespace sycamorespan

#endif
