#include "programs/node/table_follower.h"

#include <utility>

namespace sycamorespan::node {

namespace {

/** Timeout of an answer, in addition to the time for which the store waits for changes: 30 times
 * the usual time of an answer.
 */
constexpr duration answerTimeout = 600ms;

/** Additional time for the rows of an answer. A large configuration takes a second over a link that
 * callers use too.
 */
constexpr duration transferTimeout = 2500ms;

/** Delays between attempts after the store has failed to answer. */
constexpr backoff_policy retryDelays{100ms, 800ms};

} // namespace

table_follower::table_follower(ev::loop_ref loop, store_client &store, std::string table,
                               duration wait, event_guard &guard, random_source random,
                               handlers callbacks)
    : m_store(store)
    , m_table(std::move(table))
    , m_longPollWait(wait)
    , m_guard(guard)
    , m_handlers(std::move(callbacks))
    , m_backoff(retryDelays, std::move(random))
    , m_retry(loop, [this] { readOrFollow(); })
{
    read();
}

void table_follower::setFollowing(bool following)
{
    if (std::exchange(m_isFollowing, following) == following)
        return;
    if (following && m_hasSnapshot && !m_isReading && !m_isWaitingForChanges && !m_retry.isActive())
        follow();
}

void table_follower::refresh()
{
    if (!m_isReading)
        read();
}

void table_follower::readOrFollow()
{
    if (!m_hasSnapshot)
        read();
    else if (m_isFollowing)
        follow();
}

void table_follower::read()
{
    m_isReading = true;
    m_store.readAll({m_table}, {answerTimeout, transferTimeout},
                    [this](const store_answer &answer) { handleRead(answer); });
}

void table_follower::handleRead(const store_answer &answer)
{
    m_isReading = false;
    m_handlers.onStoreContact(answer.succeeded());
    if (!answer.succeeded())
        return retryLater();
    m_hasSnapshot = true;
    if (answer.content.revision < m_revision) {
        if (!m_isWaitingForChanges)
            retryLater(); // the store would answer the same again
        return;
    }
    m_backoff.reset();
    m_revision = answer.content.revision;
    // Rows that can't be handled must not end the following of the table.
    m_guard.run("rows of a table", [&] { m_handlers.onSnapshot(answer.content); });
    if (m_isFollowing && !m_isWaitingForChanges)
        follow();
}

void table_follower::follow()
{
    m_isWaitingForChanges = true;
    const auto generation = ++m_followGeneration;
    m_store.call(
            platform::followRows(m_table, m_revision, m_longPollWait),
            {m_longPollWait + answerTimeout, transferTimeout},
            [this, generation](const store_answer &answer) {
                if (generation == m_followGeneration)
                    handleChanges(answer);
            },
            m_longPollWait);
}

void table_follower::handleChanges(const store_answer &answer)
{
    m_isWaitingForChanges = false;
    if (answer.status == platform::store_status::historyExpired) {
        m_handlers.onStoreContact(true);
        return refresh();
    }
    m_handlers.onStoreContact(answer.succeeded());
    if (!answer.succeeded())
        return retryLater();
    m_backoff.reset();
    // Changes after a number of a former era lack those that the store has given lower numbers
    // since.
    if (answer.content.revision.era() != m_revision.era())
        return refresh();
    if (answer.content.revision >= m_revision) {
        m_revision = answer.content.revision;
        if (!answer.content.rows.empty())
            m_guard.run("changed rows of a table", [&] { m_handlers.onChanges(answer.content); });
    }
    if (m_isFollowing && !m_isReading)
        follow();
}

void table_follower::retryLater()
{
    if (!m_retry.isActive())
        m_retry.startOnce(m_backoff.next());
}

} // namespace sycamorespan::node
