#include "programs/node/table_follower.h"

#include <utility>

namespace sycamorespan::node {

namespace {

/** Bound on an answer beyond what the store waits for changes; thirty usual answers. */
constexpr duration answerTimeout = 600ms;

constexpr backoff_policy retryDelays{100ms, 800ms};

} // namespace

table_follower::table_follower(ev::loop_ref loop, store_client &store, std::string table,
                               duration wait, random_source random, handlers callbacks)
    : m_store(store)
    , m_table(std::move(table))
    , m_wait(wait)
    , m_handlers(std::move(callbacks))
    , m_backoff(retryDelays, std::move(random))
    , m_retry(loop, [this] { proceed(); })
{
    read();
}

void table_follower::setFollowing(bool following)
{
    if (std::exchange(m_isFollowing, following) == following)
        return;
    if (following && m_isRead && !m_reading && !m_waiting && !m_retry.isActive())
        follow();
}

void table_follower::refresh()
{
    if (!m_reading)
        read();
}

void table_follower::proceed()
{
    if (!m_isRead)
        read();
    else if (m_isFollowing)
        follow();
}

void table_follower::read()
{
    m_reading = true;
    m_store.call(platform::readRows(m_table, "", ""), answerTimeout,
                 [this](const store_answer &answer) { handleRead(answer); });
}

void table_follower::handleRead(const store_answer &answer)
{
    m_reading = false;
    m_handlers.onContact(answer.succeeded());
    if (!answer.succeeded())
        return retryLater();
    m_backoff.reset();
    m_isRead = true;
    if (answer.content.revision >= m_revision) {
        m_revision = answer.content.revision;
        m_handlers.onSnapshot(answer.content);
    }
    if (m_isFollowing && !m_waiting)
        follow();
}

void table_follower::follow()
{
    m_waiting = true;
    const auto generation = ++m_generation;
    m_store.call(platform::followRows(m_table, m_revision, m_wait), m_wait + answerTimeout,
                 [this, generation](const store_answer &answer) {
                     if (generation == m_generation)
                         handleChanges(answer);
                 });
}

void table_follower::handleChanges(const store_answer &answer)
{
    m_waiting = false;
    if (answer.status == platform::store_status::historyGone) {
        m_handlers.onContact(true);
        return refresh();
    }
    m_handlers.onContact(answer.succeeded());
    if (!answer.succeeded())
        return retryLater();
    m_backoff.reset();
    if (answer.content.revision >= m_revision) {
        m_revision = answer.content.revision;
        if (!answer.content.rows.empty())
            m_handlers.onChanges(answer.content);
    }
    if (m_isFollowing && !m_reading)
        follow();
}

void table_follower::retryLater()
{
    if (!m_retry.isActive())
        m_retry.startOnce(m_backoff.next());
}

} // namespace sycamorespan::node
