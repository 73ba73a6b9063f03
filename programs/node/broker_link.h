#ifndef SYCAMORESPAN_PROGRAMS_NODE_BROKER_LINK_H
#define SYCAMORESPAN_PROGRAMS_NODE_BROKER_LINK_H

#include "programs/node/event_guard.h"
#include "programs/node/event_log.h"

#include "platform/settings.h"

#include "sycamorespan/src/Brokerage/broker_messages.h"
#include "sycamorespan/src/Brokerage/link_monitor.h"
#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Membership/instance_incarnation.h"
#include "sycamorespan/src/Net/byte_stream.h"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/tcp_listener.h"
#include "sycamorespan/src/Overload/intake_budget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamorespan::node {

/** \brief Limits of the links between instances. */
struct broker_link_limits
{
    /** Greatest length of the first message of another instance. */
    std::size_t helloBytes = std::size_t{4} << 10;
    std::size_t messageBytes = maximumBrokerMessageBytes; ///< greatest length of later messages
    /** Unsent bytes to a broker above which statements are not handed over to it. */
    std::size_t unsentStatementBytes = std::size_t{1} << 20;
    /** Unsent answers to an instance above which nothing more is read from it. */
    std::size_t unsentAnswerBytes = std::size_t{1} << 20;
    /** Unsent answers to an instance above which its link is closed. */
    std::size_t greatestUnsentBytes = std::size_t{16} << 20;

    auto operator<=>(const broker_link_limits &) const = default;
};

/** \returns the limits on the links of other instances to one with these settings. */
intake_policy linkIntakePolicy(const platform::node_settings &settings);

/** \brief Links from this instance to the brokers that run its statements, and to this instance as
 * a broker. A link is one connection, which carries many operations at a time.
 *
 * Statements are sent only after the broker's first message has shown that it understands them.
 * Until then, the loss of the link declines them, because they did not run.
 *
 * What is held for the links of other instances to this one is bounded by an intake_budget.
 */
class broker_link
{
public:
    struct handlers
    {
        /** Called with a broker's answer, or with a refusal if the statement was not sent. */
        std::function<void(const instance_id &, const brokered_answer &)> onAnswer;
        /** Called when the link to a broker broke or could not be opened, after its unsent
         * statements were declined.
         */
        std::function<void(const instance_id &, std::string_view)> onBrokerLost;
        /** Called with the session of an operation, and its instance and statement. */
        std::function<void(session_number, const instance_id &, const brokered_statement &)>
                onStatement;
        /** Called when an operation of another instance ends. */
        std::function<void(session_number)> onEnd;
        /** \returns a new session number. */
        std::function<session_number()> newSession;
    };

    /** \param intake  limits on the links of other instances, each of which is a session */
    broker_link(ev::loop_ref loop, instance_incarnation self, const endpoint &address,
                const intake_policy &intake, event_log &log, event_guard &guard,
                handlers callbacks);

    /** \param address  of the broker's link */
    void handOver(const instance_id &broker, const endpoint &address,
                  const brokered_statement &statement);
    void end(const instance_id &broker, const brokered_end &end);
    /** \brief Sends the answer to the instance that handed the session's operation over. */
    void answer(session_number session, const brokered_answer &answer);

    /** \brief Probes links that are silent and closes those that are lost or unused. Must be called
     * from the event loop, at least every 100 ms.
     */
    void tick(time_point now);

    /** \returns whether a broker has been silent for too long to hand statements over to it. */
    bool isSuspected(const instance_id &broker, time_point now) const;
    /** \returns the number of links from and to this instance. */
    std::size_t count() const { return m_brokers.size() + m_instances.size(); }
    /** \returns the number of bytes of answers that were not sent yet. */
    std::size_t unsentAnswerBytes() const;

private:
    struct outgoing_link
    {
        std::unique_ptr<byte_stream> stream;
        broker_frame_reader reader;
        link_monitor monitor;
        bool isAccepted = false; ///< the broker's first message has arrived
        std::vector<brokered_statement> held; ///< until the broker's first message arrives
        std::map<operation_number, std::uint64_t> unanswered; ///< numbers of statements
        std::set<operation_number> operations; ///< that are open at the broker

        bool awaitsAnswer() const { return !unanswered.empty() || !isAccepted; }
    };

    struct incoming_link
    {
        std::unique_ptr<byte_stream> stream;
        broker_frame_reader reader;
        std::optional<broker_hello> hello;
        std::map<operation_number, session_number> sessions;
        /** Arrival of the first byte of the unfinished message while this instance reads. */
        std::optional<time_point> messageBegunAt;
        bool isPaused = false;
    };

    outgoing_link *open(const instance_id &broker, const endpoint &address,
                        const brokered_statement &statement);
    void decline(const instance_id &broker, const brokered_statement &statement,
                 std::string_view why);
    void receiveAnswers(const instance_id &broker, std::string_view bytes);
    void handle(const instance_id &broker, const broker_hello &hello);
    void handle(const instance_id &broker, const brokered_answer &answer);
    void handle(const instance_id &broker, const broker_probe_answer &) { (void)broker; }
    template<typename Message>
    void handle(const instance_id &, const Message &);
    void loseBroker(const instance_id &broker, std::string_view why);
    void dropBroker(std::map<instance_id, outgoing_link>::iterator link);

    void accept(file_descriptor socket);
    void receiveStatements(std::uint64_t link, std::string_view bytes);
    void handle(std::uint64_t link, const broker_hello &hello);
    void handle(std::uint64_t link, const brokered_statement &statement);
    void handle(std::uint64_t link, const brokered_end &end);
    void handle(std::uint64_t link, const broker_probe &);
    template<typename Message>
    void handle(std::uint64_t link, const Message &);
    void loseInstance(std::uint64_t link, std::string_view why);
    void takeMessages(std::uint64_t link);
    void updateLoad(std::uint64_t link);
    void pause(incoming_link &link, bool isPaused);
    void end(const intake_budget::ends &ends);
    void superviseInstances(time_point now);

    ev::loop_ref m_loop;
    instance_incarnation m_self;
    broker_link_limits m_limits;
    event_log &m_log;
    event_guard &m_guard;
    handlers m_handlers;
    std::map<instance_id, outgoing_link> m_brokers;
    std::map<std::uint64_t, incoming_link> m_instances; ///< by number of the link
    std::unordered_map<session_number, std::uint64_t> m_linkOfSession;
    std::vector<std::unique_ptr<byte_stream>> m_closed;
    std::uint64_t m_lastLink = 0;
    intake_budget m_budget; ///< of the links of other instances
    time_point m_expiryCheckedAt;
    tcp_listener m_listener;
};

} // namespace sycamorespan::node

#endif
