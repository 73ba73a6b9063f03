#ifndef SYCAMORESPAN_ROUTING_ROUTING_VIEW_H
#define SYCAMORESPAN_ROUTING_ROUTING_VIEW_H

#include <cstddef>
#include <optional>
#include <vector>

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/log_position.h"
#include "sycamorespan/src/Core/time_types.h"

namespace sycamorespan {

/** \brief Role of a member of a group, as the member reports it. */
enum class reported_role { unknown, primary, replica, fenced };

/** \brief A member's answer to `group_position()`.
 *
 * If it is queried in the same round trip as a read and evaluated before it, it proves how new the
 * read's answer is. A stored report is only an estimate of the member's later position
 * and staleness.
 */
struct member_report
{
    server_id server;
    reported_role role = reported_role::unknown;
    term_number term = 0; ///< the member's term, not lower than the position's
    log_position position;
    std::optional<duration> staleness; ///< rounded up; zero on a primary, nothing if unknown
    time_point queriedAt; ///< a time before the query was sent

    auto operator<=>(const member_report &) const = default;
};

/** \brief State of a member, as this instance observes it. */
struct member_state
{
    server_id server;
    bool accepting = true; ///< takes new work: reachable and not draining
    duration distance{0}; ///< round-trip time
    std::size_t outstanding = 0; ///< requests of this instance that run or wait there
    std::size_t slots = 1; ///< slots that this instance may use there
    duration serviceTime{0}; ///< mean time for which a request holds a slot
    std::optional<member_report> report; ///< the latest report

    auto operator<=>(const member_state &) const = default;
};

/** \brief State of a database's group, as this instance observes it; an immutable value.
 * \sa member_report
 */
struct routing_view
{
    database_id database;
    term_number term = 0; ///< term of the primary
    std::optional<server_id> primary; ///< the primary of the highest term that is known to have one
    std::vector<member_state> members;

    /** \brief Returns the latest time at which it is known that no term above \a limit had a
     * primary.
     *
     * A change of primary fences a majority in the new term before it promotes a member. If a
     * majority reports no term above the limit, no such term had a primary when the oldest of these
     * reports was queried.
     * \returns nothing if fewer than a majority report no term above the limit
     */
    std::optional<time_point> confirmedAt(term_number limit) const;

    /** \returns whether a majority has reported terms above \a limit. */
    bool isSuperseded(term_number limit) const;

    /** \returns this view updated with \a report, unless it has a later report of the member. */
    routing_view withReport(const member_report &report) const;

    /** \returns the state of \a server; nullptr if it is not a member. */
    const member_state *find(const server_id &server) const;

    bool operator==(const routing_view &) const = default;
};

/** \brief Returns the time until which the answer of a read with proof \a report is complete.
 *
 * The answer includes every write that was acknowledged before that time.
 * \returns nothing if it is unknown, as for a member of a superseded term
 */
std::optional<time_point> completeUntil(const routing_view &view, const member_report &report);

} // namespace sycamorespan

#endif
