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

/** \brief What an instance may use of one member; changes at run time. */
struct slot_budget
{
    std::size_t slots = 0; ///< connections that work at the same time
    std::size_t connections = 0; ///< connections that are open or being opened

    auto operator<=>(const slot_budget &) const = default;
};

/** \brief Settings of a slot_scheduler. */
struct slot_policy
{
    fair_queue_limits queue = {};
    /** Slots that one workspace alone can't take, while others have used the member lately. */
    std::size_t reservedSlots = 3;
    duration reservationTime = 1s; ///< since another workspace's last grant
    duration pingInterval = 5s; ///< of silence on an idle connection
    duration answerTimeout = 2s; ///< for pings and resets
    duration openTimeout = 2s;
    duration idleTimeout = 60s; ///< after which an unused connection is closed
    duration deadlineGrace = 500ms; ///< from a request's deadline until it is abandoned
    backoff_policy reopening = {}; ///< after a failed opening

    auto operator<=>(const slot_policy &) const = default;
};

/** \brief State in which a request leaves its connection. */
enum class released_state {
    clean, ///< outside of a transaction, with nothing left in the session
    needsReset, ///< outside of a transaction
    unknown, ///< anything else: an error, a cut, an open transaction
};

/** \brief Shares an instance's slots and connections at one member among requests.
 *
 * Transaction pooling: a request holds its connection until its transaction ends. A connection is
 * given on only when its state is known; otherwise it is closed. Events for a connection or request
 * that isn't current (late answers) have no effect.
 * Call onTimer() at least every 50 ms, and while nothing waits at least each second.
 */
class slot_scheduler
{
public:
    slot_scheduler(slot_policy policy, slot_budget budget, random_source random);

    std::vector<slot_action> submit(slot_request request, time_point now);
    /** \brief The caller gave up. A running request keeps its connection until onReleased(). */
    std::vector<slot_action> cancel(const workspace_id &workspace, request_id request,
                                    time_point now);
    std::vector<slot_action> onOpened(connection_id connection, time_point now);
    std::vector<slot_action> onOpenFailed(connection_id connection, time_point now);
    std::vector<slot_action> onReleased(connection_id connection, request_id request,
                                        released_state state, time_point now);
    std::vector<slot_action> onReset(connection_id connection, time_point now);
    std::vector<slot_action> onPong(connection_id connection, time_point now);
    /** \brief The peer closed the connection, or it broke. */
    std::vector<slot_action> onClosed(connection_id connection, time_point now);
    std::vector<slot_action> onTimer(time_point now);
    /** \brief Takes effect at once for new work; what runs is let finish. */
    std::vector<slot_action> setBudget(slot_budget budget, time_point now);
    /** \brief Refuses what waits and all that comes; what runs is let finish. */
    std::vector<slot_action> close(time_point now);

    std::size_t waiting() const noexcept { return m_queue.size(); }
    std::size_t working() const; ///< connections that hold a slot
    std::size_t connections() const noexcept { return m_connections.size(); }
    bool isDrained() const { return m_isClosing && working() == 0 && waiting() == 0; }

private:
    enum class connection_state { opening, idle, pinging, running, resetting };
    struct connection
    {
        connection_state state = connection_state::opening;
        time_point since; // of the state
        time_point lastHeard;
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
    connection_map::value_type *newestIdle();
    void openWhereNeeded(time_point now, std::vector<slot_action> &actions);
    void closeSurplus(time_point now, std::vector<slot_action> &actions);
    void checkSilence(time_point now, std::vector<slot_action> &actions);
    void refuseExpired(time_point now, std::vector<slot_action> &actions);
    void refuseAll(slot_refusal reason, std::vector<slot_action> &actions);
    void settle(const connection &each, time_point now);
    bool isSilent(const connection &each, time_point now) const;
    bool mayTakeSlot(const workspace_id &workspace, time_point now) const;
    void noteGrant(const workspace_id &workspace, time_point now);
    bool canMeetDeadline(const slot_request &request, time_point now) const;
    std::size_t countOf(connection_state state) const;

    slot_policy m_policy;
    slot_budget m_budget;
    backoff m_reopening;
    fair_queue m_queue;
    connection_map m_connections;
    std::unordered_map<workspace_id, std::size_t> m_held; // slots by workspace
    std::optional<grant> m_latestGrant;
    std::optional<grant> m_latestGrantToAnother; // than the workspace of the latest grant
    time_point m_openAfter;
    connection_id m_lastConnection = 0;
    bool m_isClosing = false;
};

} // namespace sycamorespan

#endif
