#include "programs/node/broker_link.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/clock.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <utility>

namespace sycamorespan::node {

namespace {

/** Time after which a connection with a silent peer is closed. */
constexpr duration unresponsiveTimeout = 700ms;

/** Greatest length of a message: the longest line of a caller with its session values. */
constexpr std::size_t maximumMessageBytes = std::size_t{4} << 20;

} // namespace

broker_link::broker_link(ev::loop_ref loop, const endpoint &address, event_log &log,
                         event_guard &guard, handlers callbacks)
    : m_loop(loop)
    , m_log(log)
    , m_guard(guard)
    , m_handlers(std::move(callbacks))
    , m_listener(loop, address, [this](file_descriptor socket) {
        m_guard.run("connection of another instance", [&] { accept(std::move(socket)); });
    })
{ }

void broker_link::handOver(const instance_id &broker, const endpoint &address,
                           const brokered_statement &statement)
{
    auto known = m_brokers.find(broker);
    if (known == m_brokers.end()) {
        try {
            auto socket = connectTo(address);
            detectSilence(socket, unresponsiveTimeout);
            auto stream = std::make_unique<byte_stream>(
                    m_loop, std::move(socket),
                    byte_stream::handlers{
                            [this, broker](std::string_view bytes) {
                                m_guard.run("answer of a broker",
                                            [&] { receiveAnswers(broker, bytes); });
                            },
                            [this, broker] { loseBroker(broker, "connection closed"); }});
            known = m_brokers
                            .emplace(broker,
                                     outgoing_connection{std::move(stream),
                                                         broker_frame_reader(maximumMessageBytes)})
                            .first;
        } catch (const error &failure) {
            return loseBroker(broker, failure.what());
        }
    }
    known->second.stream->write(encodeFrame(statement));
}

void broker_link::end(const instance_id &broker, const brokered_end &end)
{
    const auto known = m_brokers.find(broker);
    if (known != m_brokers.end())
        known->second.stream->write(encodeFrame(end));
}

void broker_link::answer(session_number session, const brokered_answer &answer)
{
    const auto connection = m_connectionOfSession.find(session);
    if (connection == m_connectionOfSession.end())
        return;
    auto &to = m_instances.at(connection->second);
    if (answer.isDeclined || answer.answer.state != session_state::inTransaction) {
        to.sessions.erase(answer.operation);
        m_connectionOfSession.erase(connection);
    }
    to.stream->write(encodeFrame(answer));
}

void broker_link::receiveAnswers(const instance_id &broker, std::string_view bytes)
{
    const auto known = m_brokers.find(broker);
    if (known == m_brokers.end())
        return;
    try {
        known->second.reader.append(bytes);
        while (true) {
            const auto current = m_brokers.find(broker);
            if (current == m_brokers.end())
                return;
            const auto message = current->second.reader.next();
            if (!message)
                return;
            if (const auto *answer = std::get_if<brokered_answer>(&*message))
                m_handlers.onAnswer(broker, *answer);
        }
    } catch (const decode_error &failure) {
        loseBroker(broker, failure.what());
    }
}

void broker_link::loseBroker(const instance_id &broker, std::string_view why)
{
    logLoss("connection to broker lost", broker.str(), why);
    if (const auto known = m_brokers.find(broker); known != m_brokers.end()) {
        known->second.stream->abandon();
        m_closed.push_back(std::move(known->second.stream));
        m_brokers.erase(known);
    }
    m_handlers.onBrokerLost(broker);
}

void broker_link::accept(file_descriptor socket)
{
    const auto connection = ++m_lastConnection;
    detectSilence(socket, unresponsiveTimeout);
    auto stream = std::make_unique<byte_stream>(
            m_loop, std::move(socket),
            byte_stream::handlers{
                    [this, connection](std::string_view bytes) {
                        m_guard.run("statement of another instance",
                                    [&] { receiveStatements(connection, bytes); });
                    },
                    [this, connection] { loseInstance(connection, "connection closed"); }});
    m_instances.emplace(
            connection,
            incoming_connection{std::move(stream), broker_frame_reader(maximumMessageBytes), {}});
}

void broker_link::receiveStatements(std::uint64_t connection, std::string_view bytes)
{
    const auto known = m_instances.find(connection);
    if (known == m_instances.end())
        return;
    try {
        known->second.reader.append(bytes);
        while (true) {
            const auto current = m_instances.find(connection);
            if (current == m_instances.end())
                return;
            const auto message = current->second.reader.next();
            if (!message)
                return;
            auto &sessions = current->second.sessions;
            if (const auto *statement = std::get_if<brokered_statement>(&*message)) {
                const auto session = sessions.find(statement->operation);
                const auto number =
                        session == sessions.end() ? m_handlers.newSession() : session->second;
                sessions[statement->operation] = number;
                m_connectionOfSession[number] = connection;
                m_handlers.onStatement(number, *statement);
            } else if (const auto *ended = std::get_if<brokered_end>(&*message)) {
                const auto session = sessions.find(ended->operation);
                if (session == sessions.end())
                    continue;
                const auto number = session->second;
                sessions.erase(session);
                m_connectionOfSession.erase(number);
                m_handlers.onEnd(number);
            }
        }
    } catch (const decode_error &failure) {
        loseInstance(connection, failure.what());
    }
}

void broker_link::loseInstance(std::uint64_t connection, std::string_view why)
{
    const auto known = m_instances.find(connection);
    if (known == m_instances.end())
        return;
    logLoss("connection of another instance lost", std::to_string(connection), why);
    const auto sessions = std::move(known->second.sessions);
    known->second.stream->abandon();
    m_closed.push_back(std::move(known->second.stream));
    m_instances.erase(known);
    for (const auto &[operation, session] : sessions) {
        m_connectionOfSession.erase(session);
        m_handlers.onEnd(session);
    }
}

void broker_link::removeClosed()
{
    m_closed.clear();
}

void broker_link::logLoss(std::string_view event, const std::string &subject, std::string_view why)
{
    m_log.write(line_importance::failure, std::string(event),
                {{"instance", subject}, {"error", std::string(why)}}, suspendAwareNow());
}

} // namespace sycamorespan::node
