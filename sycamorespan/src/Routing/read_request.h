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
 * The position is unknown if the session started without one or with one that cannot be verified.
 * The first read of such a session must include every acknowledged write. After that read, or after
 * the first acknowledged write, the position is known.
 */
struct session_floor
{
    std::optional<log_position> position;
    time_point raisedAt; ///< when this instance received the position

    /** \returns the floor after a write was acknowledged, or an answer was delivered, at position
     * \a reached.
     */
    session_floor raisedTo(log_position reached, time_point now) const
    {
        return position >= reached ? *this : session_floor{reached, now};
    }

    /** \brief Returns the floor after an answer whose proof is \a report.
     *
     * The log of a later term's primary has every acknowledged write, but may end before a floor
     * that was read in an earlier term and then lost. The floor is then lowered to the position of
     * that primary.
     */
    session_floor after(const member_report &report, time_point now) const
    {
        return isSupersededBy(report) ? session_floor{report.position, now}
                                      : raisedTo(report.position, now);
    }

    /** \returns whether \a report is from a primary of a later term than the floor. */
    bool isSupersededBy(const member_report &report) const
    {
        return position && report.role == reported_role::primary && report.term > position->term;
    }

    auto operator<=>(const session_floor &) const = default;
};

/** \brief One read of a session. */
struct read_request
{
    session_id session; ///< distributes sessions over members of equal cost
    session_floor floor;
    duration allowedStaleness{0}; ///< \sa boundedStaleness()
    time_point arrivedAt;
    time_point deadline;

    /** \returns whether the answer must include every write acknowledged before the read arrived.
     */
    bool isStrict() const { return !floor.position || allowedStaleness <= duration{0}; }

    /** \returns the time such that the answer must include every write acknowledged before it. */
    time_point requiredCompleteUntil() const
    {
        return isStrict() ? arrivedAt : arrivedAt - allowedStaleness;
    }

    auto operator<=>(const read_request &) const = default;
};

/** \returns the staleness that a session's reads allow, at most that of the plan.
 * \param stated  staleness that the session requested, if any
 * \param plan    upper bound of the plan
 */
constexpr duration boundedStaleness(std::optional<duration> stated, duration plan)
{
    return std::max(duration{0}, std::min(stated.value_or(plan), plan));
}

} // namespace sycamorespan

#endif
