#ifndef SYCAMORESPAN_FAILOVER_COMMIT_TRACKER_H
#define SYCAMORESPAN_FAILOVER_COMMIT_TRACKER_H

#include "sycamorespan/src/Failover/group_control.h"
#include "sycamorespan/src/Failover/group_view.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Identifies a commit or read that waits for its answer. Assigned by the proxy. */
using waiter_id = std::uint64_t;

/** \brief Intervals and timeouts of a commit_tracker. */
struct commit_tracker_settings
{
    duration pollInterval = 1ms; ///< pause between an answer and the next request
    duration requestTimeout =
            300ms; ///< time without an answer after which a new connection is opened
    duration retryInterval = 20ms; ///< pause after a failed request
};

/** \brief Event: the primary ran a commit or a read that ended at \a position. */
struct wait_started
{
    waiter_id waiter = 0;
    log_position position; ///< group_position() after the commit or read
    time_point deadline;

    auto operator<=>(const wait_started &) const = default;
};

/** \brief Event: the caller no longer waits for the answer. */
struct wait_abandoned
{
    waiter_id waiter = 0;

    auto operator<=>(const wait_abandoned &) const = default;
};

/** \brief Event: answer to a request_status. */
struct status_answered
{
    std::uint64_t request = 0;
    server_id server;
    member_status status;

    bool operator==(const status_answered &) const = default;
};

/** \brief Event: a request_status returned an error, or its connection failed. */
struct status_failed
{
    std::uint64_t request = 0;

    auto operator<=>(const status_failed &) const = default;
};

/** \brief Event: a view was received from an agent, the store or another source. */
struct view_learned
{
    group_view view;

    bool operator==(const view_learned &) const = default;
};

using commit_tracker_event = std::variant<wait_started, wait_abandoned, status_answered,
                                          status_failed, view_learned, time_passed>;

/** \brief Action: run group_status() on the member; at most one request is pending. */
struct request_status
{
    std::uint64_t request = 0;
    server_id server;
    bool freshConnection = false;

    auto operator<=>(const request_status &) const = default;
};

/** \brief Action: answer the caller. \a position may become part of the caller's session. */
struct release_waiter
{
    waiter_id waiter = 0;
    log_position position;

    auto operator<=>(const release_waiter &) const = default;
};

/** \brief Why the outcome of a commit is unknown. */
enum class unknown_reason {
    deadlinePassed, ///< no majority confirmed the position before the deadline
    termEnded, ///< the log of the new primary isn't known to hold the position
};

/** \brief Action: answer the caller with "outcome unknown" (SQLSTATE 08007). */
struct report_unknown
{
    waiter_id waiter = 0;
    unknown_reason reason = unknown_reason::deadlinePassed;

    auto operator<=>(const report_unknown &) const = default;
};

/** \brief Action: report to the database's supervisor that the primary doesn't answer. */
struct suspect_primary
{
    server_id server;
    term_number term = 0;

    auto operator<=>(const suspect_primary &) const = default;
};

using commit_tracker_action =
        std::variant<request_status, release_waiter, report_unknown, suspect_primary>;

/** \brief Decides when a commit, or a read of the primary, may be answered.
 *
 * An answer waits until a majority of the group holds its position in the primary's current
 * term. One tracker serves one database in one proxy. Waits are batched: a single pending
 * group_status() request serves all of them. A wait continues after a change of primary if the
 * base of the new view shows that the new primary's log holds its position.
 */
class commit_tracker
{
public:
    /** \param settings  intervals and timeouts
     * \param view  the view known at the start; its term is 0 if none is known
     */
    commit_tracker(const commit_tracker_settings &settings, group_view view);

    /** \brief Handles one event.
     * \returns the actions that the proxy has to take now
     */
    std::vector<commit_tracker_action> handle(const commit_tracker_event &event, time_point now);

    /** \returns the time at which time_passed must be passed to handle() at the latest. */
    std::optional<time_point> nextDeadline() const;

    /** \returns the highest position known to be majority-held in the current term. */
    std::optional<log_position> heldPosition() const;

    const group_view &view() const { return m_view; }
    std::size_t waiting() const { return m_waiters.size(); }

private:
    struct pending_wait
    {
        log_position position;
        time_point deadline;
        /** First position of a later term whose log is known to hold this position. */
        std::optional<log_position> inheritedAt;
    };
    struct pending_request
    {
        std::uint64_t request = 0;
        time_point deadline;
    };
    using actions = std::vector<commit_tracker_action>;

    void onEvent(const wait_started &event, time_point now, actions &out);
    void onEvent(const wait_abandoned &event, time_point now, actions &out);
    void onEvent(const status_answered &event, time_point now, actions &out);
    void onEvent(const status_failed &event, time_point now, actions &out);
    void onEvent(const view_learned &event, time_point now, actions &out);
    void onEvent(const time_passed &event, time_point now, actions &out);

    bool isHeld(const log_position &position) const;
    bool isHeld(const pending_wait &wait) const;
    void updateHeldPosition(const status_answered &event, time_point now);
    void releaseHeld(actions &out);
    void carryOver(const group_view &view, actions &out);
    void expire(time_point now, actions &out);
    void onRequestFailure(time_point now, actions &out);
    void sendRequestIfDue(time_point now, actions &out);

    commit_tracker_settings m_settings;
    group_view m_view;
    std::vector<server_id> m_members;
    std::map<term_number, std::uint64_t>
            m_heldOffsets; ///< for the term of the view and higher terms
    std::map<waiter_id, pending_wait> m_waiters;
    time_point m_firstDeadline = time_point::max(); ///< lower bound of the deadlines of all waits
    std::optional<pending_request> m_pending;
    std::uint64_t m_lastRequest = 0;
    time_point m_nextRequest;
    bool m_freshConnection = false;
    bool m_suspicionReported = false;
};

} // namespace sycamorespan

#endif
