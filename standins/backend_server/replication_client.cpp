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

std::uint64_t numberAt(const PGresult &result, int row, int column)
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
    schedule(0);
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
    m_waiting = false;
    m_caughtUpAt = -1;
    m_delayed.clear();
    schedule(0);
}

void replication_client::onTimer(ev::timer &, int)
{
    if (m_member.role() != member_role::replica)
        return schedule(retrySeconds);
    applyDue();
    if (!m_connection || m_address != m_member.primaryAddress())
        return connect();
    if (m_waiting || !m_connected) {
        if (m_loop.now() > m_deadline)
            return fail();
        return schedule(m_options.pollSeconds);
    }
    sendPull();
}

void replication_client::onReady(ev::io &, int)
{
    if (!m_connected)
        return continueConnecting();
    if (PQconsumeInput(m_connection.get()) == 0)
        return fail();
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
    m_waiting = false;
    m_deadline = m_loop.now() + answerTimeoutSeconds;
    if (!m_connection || PQstatus(m_connection.get()) == CONNECTION_BAD)
        return fail();
    watch(ev::WRITE);
    schedule(retrySeconds);
}

void replication_client::continueConnecting()
{
    switch (PQconnectPoll(m_connection.get())) {
    case PGRES_POLLING_READING:
        return watch(ev::READ);
    case PGRES_POLLING_WRITING:
        return watch(ev::WRITE);
    case PGRES_POLLING_OK:
        m_connected = true;
        PQsetnonblocking(m_connection.get(), 1);
        watch(ev::READ);
        return schedule(0);
    default:
        return fail();
    }
}

void replication_client::sendPull()
{
    m_pullSentAt = m_loop.now();
    if (PQsendQuery(m_connection.get(), pullStatement(m_member).c_str()) == 0)
        return fail();
    PQflush(m_connection.get());
    m_waiting = true;
    m_deadline = m_loop.now() + answerTimeoutSeconds;
    schedule(retrySeconds);
}

void replication_client::readAnswer()
{
    bool failed = false;
    while (PQisBusy(m_connection.get()) == 0) {
        const std::unique_ptr<PGresult, decltype(&PQclear)> result(PQgetResult(m_connection.get()),
                                                                   &PQclear);
        if (!result) {
            m_waiting = false;
            break;
        }
        if (PQresultStatus(result.get()) == PGRES_TUPLES_OK)
            takeBatch(*result);
        else
            failed = true;
    }
    if (failed)
        return fail();
    if (!m_waiting) {
        applyDue();
        schedule(m_options.pollSeconds);
    }
}

void replication_client::takeBatch(const PGresult &result)
{
    replication_batch batch;
    batch.term = numberAt(result, 0, 0);
    batch.keep = numberAt(result, 0, 1);
    batch.primaryOffset = numberAt(result, 0, 2);
    for (int row = 1; row < PQntuples(&result); ++row)
        batch.entries.push_back(decodeEntry(PQgetvalue(&result, row, 3)));
    if (!m_member.takeBatch(batch))
        return;
    const auto held = batch.keep + batch.entries.size();
    std::erase_if(m_delayed,
                  [&batch](const delayed_apply &due) { return due.offset > batch.keep; });
    m_delayed.push_back(
            {m_pullSentAt + m_lagSeconds, m_pullSentAt, held, held >= batch.primaryOffset});
}

void replication_client::applyDue()
{
    while (!m_delayed.empty() && m_delayed.front().due <= m_loop.now()) {
        const auto next = m_delayed.front();
        m_delayed.pop_front();
        m_member.applyUntil(next.offset);
        if (next.reachesEnd) {
            m_caughtUpAt = next.pulledAt;
            m_member.markSynchronised();
        }
    }
}

void replication_client::fail()
{
    m_io.stop();
    m_connection.reset();
    m_connected = false;
    m_waiting = false;
    schedule(retrySeconds);
}

void replication_client::schedule(double seconds)
{
    m_timer.stop();
    m_timer.start(seconds);
}

void replication_client::watch(int events)
{
    m_io.stop();
    m_io.start(PQsocket(m_connection.get()), events);
}

} // namespace standin
