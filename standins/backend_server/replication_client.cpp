#include "replication_client.h"

#include <algorithm>

#include "group_statement.h"
#include "sycamorespan/Net"

namespace standin {
namespace {

constexpr double retrySeconds = 0.05;
constexpr double answerTimeoutSeconds = 1.0;
constexpr double millisecondsPerSecond = 1000.0;

std::string pullStatement(const group_member &member)
{
    return "SELECT * FROM group_replicate('" + member.id() + "', " + std::to_string(member.term())
           + ", '" + encodeTermEnds(member.termEnds()) + "')";
}

std::uint64_t parseNumber(const PGresult &result, int row, int column)
{
    return std::stoull(PQgetvalue(&result, row, column));
}

} // namespace

replication_client::replication_client(ev::loop_ref loop, group_member &member, options settings)
    : m_loop(loop)
    , m_member(member)
    , m_options(std::move(settings))
    , m_timer(loop)
    , m_io(loop)
{
    m_timer.set<replication_client, &replication_client::onTimer>(this);
    m_io.set<replication_client, &replication_client::onReady>(this);
    startTimer(0);
}

std::int64_t replication_client::stalenessMs() const
{
    if (m_member.role() == member_role::primary)
        return 0;
    if (m_caughtUpAt < 0)
        return -1;
    return static_cast<std::int64_t>((m_loop.now() - m_caughtUpAt) * millisecondsPerSecond) + 1;
}

void replication_client::reset()
{
    m_io.stop();
    m_connection.reset();
    m_connected = false;
    m_awaitsAnswer = false;
    m_caughtUpAt = -1;
    m_delayedApplies.clear();
    startTimer(0);
}

void replication_client::onTimer(ev::timer &, int)
{
    if (m_member.role() != member_role::replica)
        return startTimer(retrySeconds);
    applyDueEntries();
    if (!m_connection || m_address != m_member.primaryAddress())
        return connect();
    if (m_awaitsAnswer || !m_connected) {
        if (m_loop.now() > m_deadline)
            return closeAndRetry();
        return startTimer(m_options.pollSeconds);
    }
    sendPull();
}

void replication_client::onReady(ev::io &, int)
{
    if (!m_connected)
        return continueConnecting();
    if (PQconsumeInput(m_connection.get()) == 0)
        return closeAndRetry();
    if (PQisBusy(m_connection.get()) == 0)
        readAnswer();
}

void replication_client::connect()
{
    m_io.stop();
    m_address = m_member.primaryAddress();
    const auto target = sycamorespan::parseEndpoint(m_address);
    const auto text =
            "host=" + target.address + " port=" + std::to_string(target.port)
            + " user=replication dbname=replication sslmode=disable gssencmode=disable password="
            + m_options.password;
    m_connection.reset(PQconnectStart(text.c_str()));
    m_connected = false;
    m_awaitsAnswer = false;
    m_deadline = m_loop.now() + answerTimeoutSeconds;
    if (!m_connection || PQstatus(m_connection.get()) == CONNECTION_BAD)
        return closeAndRetry();
    watchSocket(ev::WRITE);
    startTimer(retrySeconds);
}

void replication_client::continueConnecting()
{
    switch (PQconnectPoll(m_connection.get())) {
    case PGRES_POLLING_READING:
        return watchSocket(ev::READ);
    case PGRES_POLLING_WRITING:
        return watchSocket(ev::WRITE);
    case PGRES_POLLING_OK:
        m_connected = true;
        PQsetnonblocking(m_connection.get(), 1);
        watchSocket(ev::READ);
        return startTimer(0);
    default:
        return closeAndRetry();
    }
}

void replication_client::sendPull()
{
    m_pullSentAt = m_loop.now();
    if (PQsendQuery(m_connection.get(), pullStatement(m_member).c_str()) == 0)
        return closeAndRetry();
    PQflush(m_connection.get());
    m_awaitsAnswer = true;
    m_deadline = m_loop.now() + answerTimeoutSeconds;
    startTimer(retrySeconds);
}

void replication_client::readAnswer()
{
    bool failed = false;
    while (PQisBusy(m_connection.get()) == 0) {
        const std::unique_ptr<PGresult, decltype(&PQclear)> result(PQgetResult(m_connection.get()),
                                                                   &PQclear);
        if (!result) {
            m_awaitsAnswer = false;
            break;
        }
        if (PQresultStatus(result.get()) == PGRES_TUPLES_OK)
            appendBatch(*result);
        else
            failed = true;
    }
    if (failed)
        return closeAndRetry();
    if (!m_awaitsAnswer) {
        applyDueEntries();
        startTimer(m_options.pollSeconds);
    }
}

void replication_client::appendBatch(const PGresult &result)
{
    replication_batch batch;
    batch.term = parseNumber(result, 0, 0);
    batch.keptLength = parseNumber(result, 0, 1);
    batch.primaryOffset = parseNumber(result, 0, 2);
    for (int row = 1; row < PQntuples(&result); ++row)
        batch.entries.push_back(decodeEntry(PQgetvalue(&result, row, 3)));
    if (!m_member.appendBatch(batch))
        return;
    const auto logLength = batch.keptLength + batch.entries.size();
    std::erase_if(m_delayedApplies,
                  [&batch](const delayed_apply &entry) { return entry.offset > batch.keptLength; });
    m_delayedApplies.push_back({m_pullSentAt + m_lagSeconds, m_pullSentAt, logLength,
                                logLength >= batch.primaryOffset});
}

void replication_client::applyDueEntries()
{
    while (!m_delayedApplies.empty() && m_delayedApplies.front().applyAt <= m_loop.now()) {
        const auto next = m_delayedApplies.front();
        m_delayedApplies.pop_front();
        m_member.applyUpTo(next.offset);
        if (next.reachesPrimaryEnd) {
            m_caughtUpAt = next.pulledAt;
            m_member.markSynchronised();
        }
    }
}

void replication_client::closeAndRetry()
{
    m_io.stop();
    m_connection.reset();
    m_connected = false;
    m_awaitsAnswer = false;
    startTimer(retrySeconds);
}

void replication_client::startTimer(double seconds)
{
    m_timer.stop();
    m_timer.start(seconds);
}

void replication_client::watchSocket(int events)
{
    m_io.stop();
    m_io.start(PQsocket(m_connection.get()), events);
}

} // namespace standin
