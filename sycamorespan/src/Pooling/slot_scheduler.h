#ifndef SYCAMORESPAN_POOLING_SLOT_SCHEDULER_H
#define SYCAMORESPAN_POOLING_SLOT_SCHEDULER_H

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sycamorespan/src/Overload/backoff.h"
#include "sycamorespan/src/Pooling/slot_action.h"

namespace sycamorespan {

/** \brief Limits on an instance's use of one member; they may change at run time. */
struct slot_budget
{
    std::size_t slots = 0; ///< connections that may run or reset at the same time
    std::size_t connections = 0; ///< connections that may be open or opening at the same time

    auto operator<=>(const slot_budget &) const = default;
};

/** \brief Settings of a slot_scheduler. */
struct slot_policy
{
    fair_queue_limits queue = {};
    /** Slots that a workspace can't take while another one got a slot within reservationTime. */
    std::size_t reservedSlots = 3;
    duration reservationTime = 1s; ///< time for which a grant to another workspace reserves slots
    duration pingInterval = 5s; ///< time without activity after which an idle connection is pinged
    duration answerTimeout = 2s; ///< time limit for the answer to a ping or reset
    duration openTimeout = 2s; ///< time limit for the opening of a connection
    duration idleTimeout = 60s; ///< time after which an unused connection is closed
    duration deadlineGrace = 500ms; ///< from a request's deadline until it is abandoned
    backoff_policy reopenBackoff = {}; ///< delay of the next opening after a failed one

    auto operator<=>(const slot_policy &) const = default;
};

/** \brief State of a connection when its request releases it. */
enum class released_state {
    clean, ///< outside of a transaction, with the session in its default state
    needsReset, ///< outside of a transaction, with changed session state
    unknown, ///< any other state, such as after an error or in an open transaction
};

/** \brief Assigns an instance's slots and connections at one member to requests.
 *
 * Implements transaction pooling: a request holds its connection until its transaction ends. A
 * connection is reused only if its state is known; otherwise it is closed. Late events, which refer
 * to a connection or request that is no longer current, are ignored.
 * The owner calls onTimer() at least every 50 ms while requests wait, and at least every second
 * otherwise.
 */
class slot_scheduler
{
public:
    slot_scheduler(slot_policy policy, slot_budget budget, random_source random);

    /** \brief Queues a request, or refuses it if it can't be answered before its deadline. */
    std::vector<slot_action> submit(slot_request request, time_point now);
    /** \brief Removes a waiting request whose caller no longer needs the answer. A running request
     * keeps its connection until onReleased().
     */
    std::vector<slot_action> cancel(const workspace_id &workspace, request_id request,
                                    time_point now);
    std::vector<slot_action> onOpened(connection_id connection, time_point now);
    std::vector<slot_action> onOpenFailed(connection_id connection, time_point now);
    std::vector<slot_action> onReleased(connection_id connection, request_id request,
                                        released_state state, time_point now);
    std::vector<slot_action> onReset(connection_id connection, time_point now);
    std::vector<slot_action> onPong(connection_id connection, time_point now);
    /** \brief Handles a connection that broke or was closed by the member. */
    std::vector<slot_action> onClosed(connection_id connection, time_point now);
    std::vector<slot_action> onTimer(time_point now);
    /** \brief Changes the budget. It applies to new work at once; running requests finish. */
    std::vector<slot_action> setBudget(slot_budget budget, time_point now);
    /** \brief Begins to drain: refuses waiting and new requests; running requests finish. */
    std::vector<slot_action> close(time_point now);

    std::size_t waiting() const noexcept { return m_queue.size(); }
    std::size_t slotsInUse() const; ///< number of connections that hold a slot
    std::size_t connections() const noexcept { return m_connections.size(); }
    bool isDrained() const { return m_isClosing && slotsInUse() == 0 && waiting() == 0; }

private:
    enum class connection_state { opening, idle, pinging, running, resetting };
    struct connection
    {
        connection_state state = connection_state::opening;
        time_point since; // begin of the state
        time_point lastActivityAt;
        std::optional<slot_request> request;
    };
    struct grant
    {
        workspace_id workspace;
        time_point at;
    };
    using connection_map = std::map<connection_id, connection>;

    connection *find(connection_id id, connection_state state);
    std::vector<slot_action> dispatch(time_point now);
    void assign(connection_map::value_type &item, slot_request request, time_point now,
                std::vector<slot_action> &actions);
    connection_map::value_type *mostRecentIdle();
    void openMissingConnections(time_point now, std::vector<slot_action> &actions);
    void closeSurplusConnections(time_point now, std::vector<slot_action> &actions);
    void closeTimedOutConnections(time_point now, std::vector<slot_action> &actions);
    void refuseExpired(time_point now, std::vector<slot_action> &actions);
    void refuseAll(slot_refusal reason, std::vector<slot_action> &actions);
    void releaseSlot(const connection &entry, time_point now);
    bool hasTimedOut(const connection &entry, time_point now) const;
    bool mayTakeSlot(const workspace_id &workspace, time_point now) const;
    void recordGrant(const workspace_id &workspace, time_point now);
    bool canMeetDeadline(const slot_request &request, time_point now) const;
    std::size_t countInState(connection_state state) const;

    slot_policy m_policy;
    slot_budget m_budget;
    backoff m_reopenBackoff;
    fair_queue m_queue;
    connection_map m_connections;
    std::unordered_map<workspace_id, std::size_t> m_slotsByWorkspace; // slots in use
    std::optional<grant> m_latestGrant;
    std::optional<grant>
            m_latestGrantToOther; // latest grant to another workspace than that of m_latestGrant
    time_point m_nextOpenAt;
    connection_id m_lastConnectionId = 0;
    bool m_isClosing = false;
};

} // namespace sycamorespan

#endif
