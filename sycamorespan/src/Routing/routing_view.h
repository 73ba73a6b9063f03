#ifndef SYCAMORESPAN_ROUTING_ROUTING_VIEW_H
#define SYCAMORESPAN_ROUTING_ROUTING_VIEW_H

#include <cstddef>
#include <optional>
#include <vector>

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/log_position.h"
#include "sycamorespan/src/Core/time_types.h"

namespace sycamorespan {

/** \brief What a member of a group does, by its own report. */
enum class reported_role { unknown, primary, replica, fenced };

/** \brief A member's answer to `group_position()`.
 *
 * Asked in the same round trip as a read, and evaluated before it, it is the proof of how new
 * the read's answer is. Kept, it is a hint.
 */
struct member_report
{
    server_id server;
    reported_role role = reported_role::unknown;
    term_number term = 0; ///< the member's term, not lower than the position's
    log_position position;
    std::optional<duration> staleness; ///< rounded up; zero on a primary, nothing when unknown
    time_point askedAt; ///< before the question was sent

    auto operator<=>(const member_report &) const = default;
};

/** \brief What an instance knows about a member. */
struct member_state
{
    server_id server;
    bool accepting = true; ///< takes new work: reachable and not leaving
    duration distance{0}; ///< round trip
    std::size_t outstanding = 0; ///< requests of this instance that run or wait there
    std::size_t slots = 1; ///< slots that this instance may use there
    duration serviceTime{0}; ///< mean time for which a request holds a slot
    std::optional<member_report> report; ///< the latest

    auto operator<=>(const member_state &) const = default;
};

/** \brief What an instance knows about a database's group; an immutable value.
 * \sa member_report
 */
struct routing_view
{
    database_id database;
    term_number term = 0; ///< of the primary
    std::optional<server_id> primary; ///< the primary of the highest term that is known to have one
    std::vector<member_state> members;

    /** \brief The latest moment at which no term above \a limit had a primary.
     *
     * A change of primary fences a majority in the new term before it promotes. So while a majority
     * reports no term above the limit, none had a primary when the oldest of these reports was
     * asked for.
     * \returns nothing while fewer than a majority report so
     */
    std::optional<time_point> confirmedAt(term_number limit) const;

    /** \returns whether a majority has reported terms above \a limit. */
    bool isSuperseded(term_number limit) const;

    /** \returns this view with \a report taken in, unless a later one is known. */
    routing_view withReport(const member_report &report) const;

    const member_state *find(const server_id &server) const;

    bool operator==(const routing_view &) const = default;
};

/** \brief The moment up to which the answer of a read with proof \a report is complete.
 *
 * Every write that was acknowledged before it is in the answer.
 * \returns nothing when it is unknown, as for a member of a superseded term
 */
std::optional<time_point> completeUntil(const routing_view &view, const member_report &report);

} // namespace sycamorespan

#endif
