#ifndef SYCAMORESPAN_PROGRAMS_NODE_CALLER_SESSIONS_H
#define SYCAMORESPAN_PROGRAMS_NODE_CALLER_SESSIONS_H

#include "platform/settings.h"

#include "programs/node/caller_channel.h"
#include "programs/node/event_guard.h"
#include "programs/node/event_log.h"
#include "programs/node/node_metrics.h"

#include "sycamorespan/src/Net/tcp_listener.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace sycamorespan::node {

/** \returns the limits on callers' sessions that follow from those of the machine. */
intake_policy intakePolicy(const platform::node_settings &settings);

/** \brief The connections of callers to this instance, from their acceptance until the last answer
 * is delivered, within the limits of an intake_policy.
 */
class caller_sessions
{
public:
    struct handlers
    {
        /** \returns a new session number. */
        std::function<session_number()> newSession;
        std::function<void(session_number, const platform::connect_message &)> onConnect;
        std::function<void(session_number, const caller_request &)> onRequest;
        /** Called when the caller's connection has ended or was closed by a limit. */
        std::function<void(session_number)> onDisconnected;
        /** \returns the bytes that are kept for the session beside its connection. */
        std::function<std::size_t(session_number)> keptBytes;
    };

    caller_sessions(ev::loop_ref loop, const endpoint &address, const intake_policy &policy,
                    event_log &log, node_metrics &metrics, event_guard &guard, handlers callbacks);

    /** \brief Connects the callers that have waited until requests can be served, and from now on
     * each one at once.
     */
    void startServing();

    bool contains(session_number session) const { return m_active.contains(session); }
    /** \returns whether messages of the session have arrived that are not answered. */
    bool hasMessages(session_number session);
    void accept(session_number session);
    void answer(session_number session, const statement_answer &answer);
    /** \brief Sends the error. The session stays open until close(). */
    void reject(session_number session, const rejected &error);
    /** \brief Closes the connection after all answers are delivered. Calls no handler.
     * \returns whether the session was open
     */
    bool close(session_number session);
    /** \brief Takes all messages that were received, also those that are held back, and closes the
     * connections after all answers are delivered.
     */
    void closeAll();
    /** \brief Closes the sessions that wait until requests can be served. */
    void rejectWaiting(const rejected &error);
    void stopAccepting() { m_listener.close(); }

    /** \brief Applies time limits, and takes messages of callers that have read their answers. */
    void tick(time_point now);

    /** \returns the number of sessions that are not closed. */
    std::size_t openCount() const { return m_active.size(); }
    /** \returns whether there is no connection, also none with answers to deliver. */
    bool isEmpty() const { return m_active.empty() && m_retired.empty(); }
    /** \returns the number of bytes of answers of closed sessions that are not delivered. */
    std::size_t undeliveredBytes() const;
    /** \returns the number of bytes held for callers. */
    std::size_t heldBytes() const { return m_budget.heldBytes(); }

private:
    using channel_map = std::unordered_map<session_number, std::unique_ptr<caller_channel>>;

    struct waiting_caller
    {
        platform::connect_message message;
        std::vector<caller_request> requests;
    };

    void acceptConnection(file_descriptor socket);
    void handleMessage(session_number session, const platform::caller_message &message);
    void handle(session_number session, const platform::connect_message &message);
    void handle(session_number session, const caller_request &request);
    void handle(session_number session, const platform::quit_message &message);
    void disconnect(session_number session);
    void takeMessages(session_number session);
    void updateLoad(session_number session);
    void end(const intake_budget::ends &ends);
    void end(const intake_end &ended);
    void logEnd(const intake_end &ended);
    caller_channel *find(session_number session);
    caller_channel *findOpen(session_number session);

    ev::loop_ref m_loop;
    event_log &m_log;
    node_metrics &m_metrics;
    event_guard &m_guard;
    handlers m_handlers;
    caller_channel::handlers m_channelHandlers;
    intake_budget m_budget;
    channel_map m_active;
    channel_map m_retired; ///< closed, until their answers are delivered
    std::vector<std::unique_ptr<caller_channel>> m_ended; ///< may still be in use by a caller
    std::map<session_number, waiting_caller> m_waiting;
    std::set<session_number> m_watched; ///< whose load changes without a message or an answer
    time_point m_expiryCheckedAt;
    bool m_isServing = false;
    std::optional<session_number> m_delivering; ///< session whose waiting requests are handed over
    tcp_listener m_listener;
};

} // namespace sycamorespan::node

#endif
