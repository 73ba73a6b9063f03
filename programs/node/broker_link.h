#ifndef SYCAMORESPAN_PROGRAMS_NODE_BROKER_LINK_H
#define SYCAMORESPAN_PROGRAMS_NODE_BROKER_LINK_H

#include "programs/node/event_guard.h"
#include "programs/node/event_log.h"

#include "sycamorespan/src/Brokerage/broker_messages.h"
#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Net/byte_stream.h"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/tcp_listener.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sycamorespan::node {

/** \brief Connections between this instance and the brokers that run its statements, and between
 * this instance as a broker and those that hand statements over to it. A connection carries many
 * operations at a time.
 */
class broker_link
{
public:
    struct handlers
    {
        /** Called with a broker's answer. */
        std::function<void(const instance_id &, const brokered_answer &)> onAnswer;
        /** Called when the connection to a broker broke or could not be opened. */
        std::function<void(const instance_id &)> onBrokerLost;
        /** Called with a statement of another instance and the session of its operation. */
        std::function<void(session_number, const brokered_statement &)> onStatement;
        /** Called when an operation of another instance ends. */
        std::function<void(session_number)> onEnd;
        /** \returns a new session number. */
        std::function<session_number()> newSession;
    };

    broker_link(ev::loop_ref loop, const endpoint &address, event_log &log, event_guard &guard,
                handlers callbacks);

    /** \param address  of the broker's link */
    void handOver(const instance_id &broker, const endpoint &address,
                  const brokered_statement &statement);
    void end(const instance_id &broker, const brokered_end &end);
    /** \brief Sends the answer to the instance that handed the session's operation over. */
    void answer(session_number session, const brokered_answer &answer);
    /** \brief Destroys connections that have ended. Must be called from the event loop only. */
    void removeClosed();

private:
    struct outgoing_connection
    {
        std::unique_ptr<byte_stream> stream;
        broker_frame_reader reader;
    };

    struct incoming_connection
    {
        std::unique_ptr<byte_stream> stream;
        broker_frame_reader reader;
        std::map<operation_number, session_number> sessions;
    };

    void accept(file_descriptor socket);
    void receiveAnswers(const instance_id &broker, std::string_view bytes);
    void loseBroker(const instance_id &broker, std::string_view why);
    void receiveStatements(std::uint64_t connection, std::string_view bytes);
    void loseInstance(std::uint64_t connection, std::string_view why);
    void logLoss(std::string_view event, const std::string &subject, std::string_view why);

    ev::loop_ref m_loop;
    event_log &m_log;
    event_guard &m_guard;
    handlers m_handlers;
    std::map<instance_id, outgoing_connection> m_brokers;
    std::map<std::uint64_t, incoming_connection> m_instances;
    std::unordered_map<session_number, std::uint64_t> m_connectionOfSession;
    std::vector<std::unique_ptr<byte_stream>> m_closed;
    std::uint64_t m_lastConnection = 0;
    tcp_listener m_listener;
};

} // namespace sycamorespan::node

#endif
