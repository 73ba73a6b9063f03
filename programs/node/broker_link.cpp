#include "programs/node/broker_link.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/clock.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace sycamorespan::node {

namespace {

/** Time after which the kernel closes a connection whose peer acknowledges nothing. */
constexpr duration unacknowledgedTimeout = 700ms;

/** Part of the memory of the process that is held for links of other instances at most. */
constexpr std::size_t memoryPart = 8;
/** Bytes that are held for them at least: four of the longest statements of callers. */
constexpr std::size_t leastBudgetBytes = std::size_t{4} << 20;
/** Descriptors of the process that are reserved for files. */
constexpr std::size_t reservedDescriptors = 200;
/** Part of the other descriptors that is used for links of other instances at most. */
constexpr std::size_t descriptorPart = 8;
/** Number of links of other instances if the limit on descriptors is not known. */
constexpr std::size_t defaultLinks = 512;
/** Time in which another instance says hello, which it sends as soon as it is connected. */
constexpr duration helloTimeout = 10s;
/** Interval at which time limits are checked. */
constexpr duration expiryInterval = 1s;

} // namespace

intake_policy linkIntakePolicy(const platform::node_settings &settings)
{
    intake_policy policy;
    if (settings.memoryBytes > 0)
        policy.budgetBytes = std::max(settings.memoryBytes / memoryPart, leastBudgetBytes);
    policy.maxSessions = defaultLinks;
    if (settings.maxDescriptors > reservedDescriptors)
        policy.maxSessions = std::max<std::size_t>(
                (settings.maxDescriptors - reservedDescriptors) / descriptorPart, 2);
    policy.maxUnidentified = policy.maxSessions / 2;
    policy.identificationTimeout = helloTimeout;
    return policy;
}

broker_link::broker_link(ev::loop_ref loop, instance_incarnation self, const endpoint &address,
                         const intake_policy &intake, event_log &log, event_guard &guard,
                         handlers callbacks)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_log(log)
    , m_guard(guard)
    , m_handlers(std::move(callbacks))
    , m_budget(intake)
    , m_listener(loop, address, [this](file_descriptor socket) {
        m_guard.run("link of another instance", [&] { accept(std::move(socket)); });
    })
{ }

// Links to brokers.

/** Opens a link to a broker. If that fails, the statement is declined before the link is reported
 * as lost, because it was not sent. \returns the new link; nullptr if it can't be opened
 */
broker_link::outgoing_link *broker_link::open(const instance_id &broker, const endpoint &address,
                                              const brokered_statement &statement)
{
    try {
        auto socket = connectTo(address);
        detectSilence(socket, unacknowledgedTimeout);
        auto stream = std::make_unique<byte_stream>(
                m_loop, std::move(socket),
                byte_stream::handlers{[this, broker](std::string_view bytes) {
                                          m_guard.run("answer of a broker",
                                                      [&] { receiveAnswers(broker, bytes); });
                                      },
                                      [this, broker] { loseBroker(broker, "connection closed"); }});
        outgoing_link link{std::move(stream),
                           broker_frame_reader(m_limits.messageBytes),
                           link_monitor(link_policy{}, suspendAwareNow()),
                           false,
                           {},
                           {},
                           {}};
        return &m_brokers.emplace(broker, std::move(link)).first->second;
    } catch (const error &failure) {
        decline(broker, statement, "the link to the broker can't be opened");
        loseBroker(broker, failure.what());
        return nullptr;
    }
}

void broker_link::handOver(const instance_id &broker, const endpoint &address,
                           const brokered_statement &statement)
{
    const auto known = m_brokers.find(broker);
    const bool isBegun = statement.transaction && statement.transaction->isBegun;
    if (known == m_brokers.end() && isBegun)
        return decline(broker, statement, "the link to the broker is closed");
    const auto frame = encodeFrame(statement);
    if (frame.size() > m_limits.messageBytes)
        return decline(broker, statement, "the statement is too long for the link");
    const bool isNew = known == m_brokers.end();
    auto *link = isNew ? open(broker, address, statement) : &known->second;
    if (!link)
        return;
    const auto now = suspendAwareNow();
    if (link->stream->pendingBytes() > m_limits.unsentStatementBytes)
        return decline(broker, statement, "the broker does not read");
    if (!isBegun && link->monitor.isSuspected(link->awaitsAnswer(), now))
        return decline(broker, statement, "the broker is silent");
    link->monitor.onSent(link->awaitsAnswer(), now);
    link->unanswered[statement.operation] = statement.number;
    link->operations.insert(statement.operation);
    if (link->isAccepted)
        link->stream->write(frame);
    else
        link->held.push_back(statement);
    // A write that fails closes the link, which declines what is held.
    if (isNew)
        link->stream->write(encodeFrame(
                broker_hello{brokerMessagesVersion, m_self.instance, m_self.incarnation}));
}

/** Answers a statement that was not sent. */
void broker_link::decline(const instance_id &broker, const brokered_statement &statement,
                          std::string_view why)
{
    brokered_answer answer;
    answer.operation = statement.operation;
    answer.number = statement.number;
    answer.isDeclined = true;
    answer.answer.result = rejected{statement_error::busy, std::string(why)};
    m_handlers.onAnswer(broker, answer);
}

void broker_link::end(const instance_id &broker, const brokered_end &end)
{
    const auto known = m_brokers.find(broker);
    if (known == m_brokers.end())
        return;
    auto &link = known->second;
    link.unanswered.erase(end.operation);
    link.operations.erase(end.operation);
    if (link.isAccepted)
        link.stream->write(encodeFrame(end));
    else
        std::erase_if(link.held, [&](const brokered_statement &each) {
            return each.operation == end.operation;
        });
}

void broker_link::receiveAnswers(const instance_id &broker, std::string_view bytes)
{
    const auto known = m_brokers.find(broker);
    if (known == m_brokers.end())
        return;
    known->second.monitor.onReceived(suspendAwareNow());
    known->second.reader.append(bytes);
    try {
        // Handling a message may close the link.
        for (auto link = known; link != m_brokers.end(); link = m_brokers.find(broker)) {
            const auto message = link->second.reader.next();
            if (!message)
                return;
            std::visit([&](const auto &each) { handle(broker, each); }, *message);
        }
    } catch (const decode_error &failure) {
        loseBroker(broker, failure.what());
    }
}

void broker_link::handle(const instance_id &broker, const broker_hello &hello)
{
    auto &link = m_brokers.at(broker);
    if (hello.version != brokerMessagesVersion)
        return loseBroker(broker, "unknown version of messages: " + std::to_string(hello.version));
    if (hello.sender != broker)
        return loseBroker(broker, "another instance answers: " + hello.sender.str());
    link.isAccepted = true;
    std::string frames;
    std::ranges::for_each(std::exchange(link.held, {}),
                          [&](const brokered_statement &each) { frames += encodeFrame(each); });
    link.stream->write(frames);
}

void broker_link::handle(const instance_id &broker, const brokered_answer &answer)
{
    auto &link = m_brokers.at(broker);
    const auto expected = link.unanswered.find(answer.operation);
    if (expected == link.unanswered.end() || expected->second != answer.number)
        return; // the operation has ended here in the meantime
    link.unanswered.erase(expected);
    if (answer.isDeclined || answer.answer.state != session_state::inTransaction)
        link.operations.erase(answer.operation);
    m_handlers.onAnswer(broker, answer);
}

template<typename Message>
void broker_link::handle(const instance_id &, const Message &)
{
    throw decode_error("a broker sent a message that only instances send to brokers");
}

void broker_link::dropBroker(std::map<instance_id, outgoing_link>::iterator link)
{
    link->second.stream->abandon();
    m_closed.push_back(std::move(link->second.stream));
    m_brokers.erase(link);
}

void broker_link::loseBroker(const instance_id &broker, std::string_view why)
{
    std::vector<brokered_statement> held;
    std::size_t unanswered = 0;
    std::size_t operations = 0;
    if (const auto known = m_brokers.find(broker); known != m_brokers.end()) {
        held = std::move(known->second.held);
        unanswered = known->second.unanswered.size() - held.size();
        operations = known->second.operations.size() - held.size();
        dropBroker(known);
    }
    m_log.write(line_importance::failure, "link to broker lost",
                {{"broker", broker.str()},
                 {"error", std::string(why)},
                 {"not_sent", std::to_string(held.size())},
                 {"unanswered", std::to_string(unanswered)},
                 {"operations", std::to_string(operations)}},
                suspendAwareNow());
    std::ranges::for_each(held,
                          [&](const brokered_statement &each) { decline(broker, each, why); });
    m_handlers.onBrokerLost(broker, why);
}

bool broker_link::isSuspected(const instance_id &broker, time_point now) const
{
    const auto known = m_brokers.find(broker);
    return known != m_brokers.end()
           && known->second.monitor.isSuspected(known->second.awaitsAnswer(), now);
}

// Links of other instances to this one.

void broker_link::accept(file_descriptor socket)
{
    const auto number = ++m_lastLink;
    const auto ends = m_budget.opened(number, suspendAwareNow());
    if (!ends.empty() && ends.front().session == number)
        return end(ends);
    detectSilence(socket, unacknowledgedTimeout);
    auto stream = std::make_unique<byte_stream>(
            m_loop, std::move(socket),
            byte_stream::handlers{[this, number](std::string_view bytes) {
                                      m_guard.run("statement of another instance",
                                                  [&] { receiveStatements(number, bytes); });
                                  },
                                  [this, number] { loseInstance(number, "connection closed"); }});
    m_instances.emplace(
            number,
            incoming_link{std::move(stream), broker_frame_reader(m_limits.helloBytes), {}, {}, {}});
    end(ends);
}

void broker_link::receiveStatements(std::uint64_t link, std::string_view bytes)
{
    const auto known = m_instances.find(link);
    if (known == m_instances.end())
        return;
    known->second.reader.append(bytes);
    takeMessages(link);
    updateLoad(link);
}

void broker_link::takeMessages(std::uint64_t link)
{
    try {
        // Handling a message may close the link.
        for (auto current = m_instances.find(link); current != m_instances.end();
             current = m_instances.find(link)) {
            const auto message = current->second.reader.next();
            if (!message) {
                auto &begunAt = current->second.messageBegunAt;
                if (current->second.reader.bufferedBytes() == 0)
                    begunAt.reset();
                else if (!begunAt)
                    begunAt = suspendAwareNow();
                return;
            }
            current->second.messageBegunAt.reset();
            if (!current->second.hello && !std::holds_alternative<broker_hello>(*message))
                throw decode_error("the first message is not a hello");
            std::visit([&](const auto &each) { handle(link, each); }, *message);
        }
    } catch (const decode_error &failure) {
        loseInstance(link, failure.what());
    }
}

/** Answers with the version of this instance, by which the other one decides whether to use it. */
void broker_link::handle(std::uint64_t link, const broker_hello &hello)
{
    auto &from = m_instances.at(link);
    from.hello = hello;
    from.reader.setMaximumBytes(m_limits.messageBytes);
    m_budget.identified(link);
    from.stream->write(
            encodeFrame(broker_hello{brokerMessagesVersion, m_self.instance, m_self.incarnation}));
}

void broker_link::handle(std::uint64_t link, const brokered_statement &statement)
{
    auto &from = m_instances.at(link);
    auto session = from.sessions.find(statement.operation);
    if (session == from.sessions.end()) {
        session = from.sessions.emplace(statement.operation, m_handlers.newSession()).first;
        m_linkOfSession[session->second] = link;
    }
    m_handlers.onStatement(session->second, from.hello->sender, statement);
}

void broker_link::handle(std::uint64_t link, const brokered_end &end)
{
    auto &from = m_instances.at(link);
    const auto session = from.sessions.find(end.operation);
    if (session == from.sessions.end())
        return;
    const auto number = session->second;
    from.sessions.erase(session);
    m_linkOfSession.erase(number);
    m_handlers.onEnd(number);
}

void broker_link::handle(std::uint64_t link, const broker_probe &)
{
    m_instances.at(link).stream->write(encodeFrame(broker_probe_answer{}));
}

template<typename Message>
void broker_link::handle(std::uint64_t, const Message &)
{
    throw decode_error("an instance sent a message that only brokers send");
}

void broker_link::answer(session_number session, const brokered_answer &answer)
{
    const auto known = m_linkOfSession.find(session);
    if (known == m_linkOfSession.end())
        return;
    const auto link = known->second;
    auto &to = m_instances.at(link);
    if (answer.isDeclined || answer.answer.state != session_state::inTransaction) {
        to.sessions.erase(answer.operation);
        m_linkOfSession.erase(known);
    }
    const auto unsent = to.stream->pendingBytes();
    if (unsent > m_limits.greatestUnsentBytes)
        return loseInstance(link, "it does not read answers");
    if (unsent > m_limits.unsentAnswerBytes)
        pause(to, true);
    auto frame = encodeFrame(answer);
    if (frame.size() > m_limits.messageBytes) {
        // A message that the other instance refuses would end the link with all its operations.
        auto shortened = answer;
        shortened.answer.rows.clear();
        shortened.answer.result = rejected{statement_error::inDoubt,
                                           "the answer is too long for the link of instances"};
        frame = encodeFrame(shortened);
    }
    to.stream->write(frame);
    updateLoad(link);
}

/** Tells the budget what is held for a link. */
void broker_link::updateLoad(std::uint64_t link)
{
    const auto known = m_instances.find(link);
    if (known == m_instances.end())
        return;
    auto &from = known->second;
    intake_load load;
    load.unfinished = from.reader.bufferedBytes();
    load.unsent = from.stream->pendingBytes();
    load.spare = from.reader.allocatedBytes() - load.unfinished + from.stream->allocatedBytes()
                 - load.unsent;
    load.sent = from.stream->sentBytes();
    if (from.isPaused)
        load.untaken = from.stream->unreadBytes();
    else
        load.messageBegunAt = from.messageBegunAt;
    const auto ends = m_budget.changed(link, load, suspendAwareNow());
    if (m_budget.mustPause(link))
        pause(from, true);
    end(ends);
}

void broker_link::pause(incoming_link &link, bool isPaused)
{
    if (std::exchange(link.isPaused, isPaused) == isPaused)
        return;
    link.stream->pauseReading(isPaused);
    if (link.messageBegunAt)
        link.messageBegunAt = suspendAwareNow(); // the other instance could not send the rest
}

/** Closes links at once, because of a limit. */
void broker_link::end(const intake_budget::ends &ends)
{
    std::ranges::for_each(ends, [this](const intake_end &each) {
        const std::string cause(nameOf(each.cause));
        const auto known = m_instances.find(each.session);
        const auto hello = known == m_instances.end() ? std::nullopt : known->second.hello;
        m_log.write(line_importance::failure, "link closed by a limit",
                    {{"instance", hello ? hello->sender.str() : ""},
                     {"cause", cause},
                     {"unfinished_bytes", std::to_string(each.load.unfinished)},
                     {"untaken_bytes", std::to_string(each.load.untaken)},
                     {"unsent_bytes", std::to_string(each.load.unsent)},
                     {"spare_bytes", std::to_string(each.load.spare)},
                     {"held_bytes", std::to_string(m_budget.heldBytes())},
                     {"links", std::to_string(m_budget.sessionCount())}},
                    suspendAwareNow());
        loseInstance(each.session, cause);
    });
}

void broker_link::loseInstance(std::uint64_t link, std::string_view why)
{
    const auto known = m_instances.find(link);
    if (known == m_instances.end())
        return;
    const auto sessions = std::move(known->second.sessions);
    const auto &hello = known->second.hello;
    m_log.write(sessions.empty() ? line_importance::routine : line_importance::failure,
                "link of another instance ended",
                {{"instance", hello ? hello->sender.str() : ""},
                 {"error", std::string(why)},
                 {"operations", std::to_string(sessions.size())}},
                suspendAwareNow());
    known->second.stream->abandon();
    m_closed.push_back(std::move(known->second.stream));
    m_instances.erase(known);
    m_budget.closed(link);
    for (const auto &[operation, session] : sessions) {
        m_linkOfSession.erase(session);
        m_handlers.onEnd(session);
    }
}

std::size_t broker_link::unsentAnswerBytes() const
{
    return std::transform_reduce(
            m_instances.begin(), m_instances.end(), std::size_t{0}, std::plus<>(),
            [](const auto &each) { return each.second.stream->pendingBytes(); });
}

void broker_link::tick(time_point now)
{
    m_closed.clear();
    std::vector<instance_id> lost;
    std::vector<instance_id> probed;
    std::vector<instance_id> unused;
    for (auto &[broker, link] : m_brokers) {
        if (!link.isAccepted && link.monitor.isSuspected(true, now)) {
            lost.push_back(broker); // nothing was sent, so that everything may run elsewhere
            continue;
        }
        switch (link.monitor.next(link.awaitsAnswer(), !link.operations.empty(), now)) {
        case link_monitor::step::none:
            break;
        case link_monitor::step::probe:
            if (link.isAccepted)
                probed.push_back(broker);
            break;
        case link_monitor::step::lose:
            lost.push_back(broker);
            break;
        case link_monitor::step::close:
            unused.push_back(broker);
            break;
        }
    }
    std::ranges::for_each(probed, [&](const instance_id &broker) {
        if (const auto link = m_brokers.find(broker); link != m_brokers.end())
            link->second.stream->write(encodeFrame(broker_probe{}));
    });
    std::ranges::for_each(
            lost, [&](const instance_id &broker) { loseBroker(broker, "the broker is silent"); });
    std::ranges::for_each(unused, [&](const instance_id &broker) {
        if (const auto link = m_brokers.find(broker); link != m_brokers.end())
            dropBroker(link);
    });
    superviseInstances(now);
}

void broker_link::superviseInstances(time_point now)
{
    std::vector<std::uint64_t> links;
    std::ranges::transform(m_instances, std::back_inserter(links),
                           [](const auto &each) { return each.first; });
    std::ranges::for_each(links, [this](std::uint64_t number) {
        if (const auto link = m_instances.find(number);
            link != m_instances.end()
            && link->second.stream->pendingBytes() <= m_limits.unsentAnswerBytes / 2
            && !m_budget.mustPause(number))
            pause(link->second, false);
        updateLoad(number);
    });
    if (now - m_expiryCheckedAt < expiryInterval)
        return;
    m_expiryCheckedAt = now;
    end(m_budget.expired(now));
}

} // namespace sycamorespan::node
