#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>

namespace sycamorespan {

namespace {

using namespace dispatch_action;

/** Weight of one statement in a route's mean time. */
constexpr double meanWeight = 0.02;

/** Of these the member said that the statement did not run. */
bool didNotRun(statement_error code)
{
    return code < statement_error::failed;
}

/** A transaction that has not got beyond its first statement can begin again; a read inside of one
 * can't run anywhere else.
 */
bool mayRepeat(const internal::caller_state &from)
{
    const auto &job = *from.job;
    if (from.state == session_state::inTransaction)
        return job.startsTransaction;
    return job.access == statement_access::read;
}

} // namespace

member_pool *dispatcher::poolOf(connection_id connection)
{
    const auto server = m_connectionServers.find(connection);
    if (server == m_connectionServers.end())
        return nullptr;
    const auto pool = m_pools.find(server->second);
    return pool == m_pools.end() ? nullptr : &pool->second;
}

dispatch_outputs dispatcher::opened(connection_id connection, std::optional<log_position> position,
                                    time_point now)
{
    auto *pool = poolOf(connection);
    auto *ready = pool ? pool->find(connection) : nullptr;
    if (!ready || ready->state != member_connection::phase::opening)
        return take();
    pool->heard(now);
    if (position)
        pool->observePosition(*position, now);
    ready->state = member_connection::phase::idle;
    ready->since = now;
    pump(m_databases[pool->entry().database], now);
    return take();
}

dispatch_outputs dispatcher::closed(connection_id connection,
                                    std::optional<statement_error> refusal, time_point now)
{
    auto *pool = poolOf(connection);
    auto *lost = pool ? pool->find(connection) : nullptr;
    if (!lost)
        return take();
    const auto session = lost->session;
    const bool wasOpening = lost->state == member_connection::phase::opening;
    const bool wasBound = lost->state == member_connection::phase::bound;
    const auto server = pool->entry().id;
    const auto database = pool->entry().database;
    if (refusal && refusal != statement_error::moved) {
        pool->heard(now);
        pool->pauseOpening(now);
    } else if (wasOpening) {
        pool->failed(now);
    }
    if (refusal == statement_error::moved)
        pool->avoid(now + m_policy.silenceLimit);
    pool->erase(connection);
    m_connectionServers.erase(connection);
    if (wasBound) {
        if (auto *from = findCaller(session); from && from->bound == connection)
            connectionLost(*from, server, "the connection to the member broke", now);
    }
    pump(m_databases[database], now);
    return take();
}

/** A session's connection is gone, with or without a statement under way. */
void dispatcher::connectionLost(caller &from, const server_id &server, std::string_view why,
                                time_point now)
{
    const bool inTransaction = from.state == session_state::inTransaction;
    unbind(from);
    if (!from.job) {
        if (from.leaving)
            return forget(from.number, now);
        if (inTransaction)
            from.rolledBack = true;
        return;
    }
    auto &job = *from.job;
    if (from.leaving) {
        from.job.reset();
        return forget(from.number, now);
    }
    if (mayRepeat(from))
        return retryOrReject(from, server, {statement_error::aborted, std::string(why)}, true, now);
    const bool keepsNothing = inTransaction && (!job.commits || !from.wrote);
    if (keepsNothing)
        return reject(from, statement_error::aborted, std::string(why) + ": rolled back", now);
    reject(from, statement_error::inDoubt, std::string(why) + ": the outcome is unknown", now);
}

/** Repeats a statement elsewhere while there is time; otherwise tells the caller.
 * \param ran  whether it may have run in the last attempt
 */
void dispatcher::retryOrReject(caller &from, const server_id &server, const rejected &why, bool ran,
                               time_point now)
{
    auto &job = *from.job;
    const auto least = fromSeconds(meanOf(from) / 2);
    if (job.attempts >= m_policy.attemptsLimit || now + least >= job.deadline || from.leaving) {
        const auto code = ran ? statement_error::aborted : why.code;
        return reject(from, code, why.text.empty() ? std::string(nameOf(why.code)) : why.text, now);
    }
    recordStep(from, "retry", server, why.text.empty() ? nameOf(why.code) : why.text);
    if (why.code == statement_error::lagging || why.code == statement_error::busy)
        job.notBefore = now + (why.code == statement_error::busy ? m_policy.busyPause : 0ms);
    else
        job.excluded.insert(server);
    job.at = job_stage::queued;
    job.queuedSince = now;
    job.floor.reset();
    auto &state = group(from);
    state.queue.push_back(from.number);
    pump(state, now);
}

dispatch_outputs dispatcher::answered(connection_id connection, const statement_answer &answer,
                                      time_point now)
{
    auto *pool = poolOf(connection);
    auto *to = pool ? pool->find(connection) : nullptr;
    if (!to)
        return take();
    pool->heard(now);
    if (answer.position)
        pool->observePosition(*answer.position, now);
    if (to->pending.empty()) {
        // An answer to nothing: the connection's state is unknown.
        const auto session = to->session;
        drop(*pool, connection, now);
        if (auto *from = findCaller(session); from && from->bound == connection)
            connectionLost(*from, pool->entry().id, "the member answered out of turn", now);
        return take();
    }
    const auto expected = to->pending.front();
    to->pending.pop_front();
    switch (expected.kind) {
    case expected_answer::setup:
        if (!answer.succeeded()) {
            const auto session = to->session;
            const auto server = pool->entry().id;
            drop(*pool, connection, now);
            if (auto *from = findCaller(session); from && from->bound == connection)
                connectionLost(*from, server, "the member refused to prepare the session", now);
        }
        break;
    case expected_answer::begin:
        if (auto *from = findCaller(to->session); from && from->bound == connection) {
            if (answer.succeeded() && from->job)
                sendStatement(*from, *to, {}, now);
            else if (const auto *why = std::get_if<rejected>(&answer.result))
                beginFailed(*from, *pool, *to, *why, now);
        } else {
            rollBack(*pool, *to, now);
        }
        break;
    case expected_answer::statement:
        finishStatement(*pool, *to, answer, now);
        break;
    case expected_answer::rollback:
        release(*pool, *to, answer, now);
        break;
    }
    return take();
}

void dispatcher::beginFailed(caller &from, member_pool &pool, member_connection &connection,
                             const rejected &why, time_point now)
{
    const auto server = pool.entry().id;
    noteRefusal(from, pool, why.code, now);
    connection.state = member_connection::phase::idle;
    connection.since = now;
    connection.session = 0;
    unbind(from);
    retryOrReject(from, server, why, false, now);
}

/** Learns from an error what it says of the member. */
void dispatcher::noteRefusal(const caller &from, member_pool &pool, statement_error code,
                             time_point now)
{
    if (code == statement_error::lagging)
        pool.lagged(now + m_policy.laggingPause);
    auto &state = group(from);
    if (code == statement_error::readOnly && isPrimary(state, pool.entry().id)) {
        state.primaryRefused = now;
        pool.avoid(now + m_policy.avoidance);
    }
}

void dispatcher::finishStatement(member_pool &pool, member_connection &connection,
                                 const statement_answer &answer, time_point now)
{
    auto *from = findCaller(connection.session);
    if (!from || from->bound != connection.id || !from->job) {
        rollBack(pool, connection, now);
        return;
    }
    learn(*from, pool, answer, now);
    if (answer.succeeded())
        succeeded(*from, pool, connection, answer, now);
    else
        failed(*from, pool, connection, answer, now);
}

/** Takes times and positions out of an answer. */
void dispatcher::learn(caller &from, member_pool &pool, const statement_answer &answer,
                       time_point now)
{
    auto &state = group(from);
    const auto &job = *from.job;
    if (answer.position && isPrimary(state, pool.entry().id) && viewHolds(state, now)
        && answer.position->term == state.primary->term)
        state.floors.add({*answer.position, job.sent}, now);
    if (!answer.succeeded() || job.commits)
        return;
    ++state.completions;
    const double seconds = toSeconds(now - job.sent);
    auto &times = m_times[from.databaseName];
    pool.observeSlowness(seconds / times.meanSeconds);
    times.meanSeconds += meanWeight * (seconds - times.meanSeconds);
}

void dispatcher::succeeded(caller &from, member_pool &pool, member_connection &connection,
                           const statement_answer &answer, time_point now)
{
    auto ended = std::move(*from.job);
    from.job.reset();
    const auto server = pool.entry().id;
    const bool commitsWrite = from.state == session_state::inTransaction
                                      ? ended.commits && from.wrote
                                      : ended.access == statement_access::write;
    if (commitsWrite && answer.position)
        from.ownCommit = std::max(from.ownCommit, *answer.position);
    from.state = answer.state;
    if (from.state == session_state::idle) {
        unbind(from);
        connection.session = 0;
        connection.state = member_connection::phase::idle;
        connection.since = now;
        if (from.admitted)
            m_outputs.push_back(settle_admission{from.number, from.workspace, true});
        from.admitted = false;
        from.wrote = false;
        from.readOnly = false;
    }
    if (ended.access == statement_access::write || ended.commits) {
        group(from).lastWrite = now;
        updateWriteStall(group(from));
    }
    record(from, ended, "completed", {}, server, now);
    reply(from, answer, now);
    auto &state = group(from);
    if (from.leaving)
        forget(from.number, now);
    else
        processNext(from, now);
    pump(state, now);
}

void dispatcher::failed(caller &from, member_pool &pool, member_connection &connection,
                        const statement_answer &answer, time_point now)
{
    const auto &why = std::get<rejected>(answer.result);
    const auto server = pool.entry().id;
    auto &job = *from.job;
    noteRefusal(from, pool, why.code, now);
    const bool ran = !didNotRun(why.code);
    const bool inTransaction = from.state == session_state::inTransaction;
    if (inTransaction && !job.startsTransaction && why.code == statement_error::busy
        && answer.state == session_state::inTransaction && now + m_policy.busyPause < job.deadline
        && job.attempts < m_policy.attemptsLimit) {
        recordStep(from, "repeat", server, "busy");
        ++job.attempts;
        return sendStatement(from, connection, {}, now);
    }
    if (why.code == statement_error::unknownPrepared)
        connection.prepared.clear();
    unbind(from);
    if (answer.state == session_state::idle) {
        connection.session = 0;
        connection.state = member_connection::phase::idle;
        connection.since = now;
    } else {
        rollBack(pool, connection, now);
    }
    const bool repeats = mayRepeat(from) || (!inTransaction && !ran);
    if (repeats)
        return retryOrReject(from, server, why, ran, now);
    const auto text = why.text.empty() ? std::string(nameOf(why.code)) : why.text;
    if (!inTransaction || (job.commits && ran))
        return reject(from, why.code, text, now);
    reject(from, statement_error::aborted, text + ": rolled back", now);
}

void dispatcher::unbind(caller &from)
{
    from.bound = 0;
    from.boundServer = {};
}

/** Rolls back what is open on a session's connection, if it has one, and parts the two. */
void dispatcher::releaseBound(caller &from, time_point now)
{
    if (from.bound == 0)
        return;
    auto *pool = poolOf(from.bound);
    if (auto *connection = pool ? pool->find(from.bound) : nullptr)
        rollBack(*pool, *connection, now);
    unbind(from);
}

/** Ends what is open on a connection and makes it idle again. */
void dispatcher::rollBack(member_pool &pool, member_connection &connection, time_point now)
{
    connection.session = 0;
    connection.since = now;
    if (connection.state != member_connection::phase::bound)
        return;
    if (!connection.pending.empty()) {
        // A statement is under way: whether a rollback would follow it in time is unknown.
        drop(pool, connection.id, now);
        return;
    }
    connection.state = member_connection::phase::finishing;
    connection.pending.push_back({expected_answer::rollback, now});
    m_outputs.push_back(send_to_member{connection.id, {member_statement::rollback{}}});
}

void dispatcher::release(member_pool &pool, member_connection &connection,
                         const statement_answer &answer, time_point now)
{
    if (answer.state != session_state::idle)
        return drop(pool, connection.id, now);
    connection.state = member_connection::phase::idle;
    connection.since = now;
    pump(m_databases[pool.entry().database], now);
}

void dispatcher::drop(member_pool &pool, connection_id connection, time_point)
{
    pool.erase(connection);
    m_connectionServers.erase(connection);
    m_outputs.push_back(close_member{connection});
}

void dispatcher::updateWriteStall(database_state &state)
{
    state.writeUnanswered.reset();
    for (const auto &[key, each] : m_callers) {
        if (!each.job || each.job->at != job_stage::running || !isPrimary(state, each.boundServer))
            continue;
        const bool writes =
                each.job->access == statement_access::write || (each.job->commits && each.wrote);
        if (writes && (!state.writeUnanswered || each.job->sent < *state.writeUnanswered))
            state.writeUnanswered = each.job->sent;
    }
}

dispatch_outputs dispatcher::tick(time_point now)
{
    checkConnections(now);
    checkDeadlines(now);
    checkTransactions(now);
    for (auto &[key, state] : m_databases) {
        const auto counted = now - state.countedSince;
        if (counted >= 500ms) {
            // Without a backlog the rate says nothing about what could be done.
            const double rate = static_cast<double>(state.completions) / toSeconds(counted);
            state.completionsPerSecond = state.queue.size() > 4 ? std::max(rate, 1.0) : 0;
            state.completions = 0;
            state.countedSince = now;
        }
        pump(state, now);
    }
    return take();
}

void dispatcher::checkConnections(time_point now)
{
    struct overdue
    {
        member_pool *pool;
        connection_id connection;
        session_number session;
    };
    std::vector<overdue> late;
    for (auto &[id, pool] : m_pools) {
        const bool scarce = fairConnections(pool) < m_policy.scarceBelow;
        for (const auto &[key, each] : pool.connections()) {
            const bool slowOpening = each.state == member_connection::phase::opening
                                     && now - each.since > m_policy.openTimeout;
            const bool slowRollback = each.state == member_connection::phase::finishing
                                      && now - each.since > m_policy.rollbackTimeout;
            const bool idle = each.state == member_connection::phase::idle;
            const bool surplus = idle && pool.connections().size() > connectionBudget(pool);
            const bool unused = idle && scarce && now - each.since > m_policy.scarceIdle;
            if (slowOpening || slowRollback || surplus || unused)
                late.push_back({&pool, each.id, each.session});
            if (surplus)
                break;
        }
        const auto silent = pool.silentSince();
        if (silent && now - *silent > m_policy.silenceLimit && !pool.avoided(now))
            pool.avoid(now + m_policy.avoidance);
    }
    std::ranges::for_each(late, [&](const overdue &each) {
        const auto *connection = each.pool->find(each.connection);
        if (connection && connection->state == member_connection::phase::opening)
            each.pool->failed(now);
        drop(*each.pool, each.connection, now);
    });
}

void dispatcher::checkDeadlines(time_point now)
{
    std::vector<session_number> expired;
    std::vector<session_number> silent;
    for (const auto &[number, each] : m_callers) {
        if (!each.job)
            continue;
        if (now >= each.job->deadline) {
            expired.push_back(number);
            continue;
        }
        const auto patience =
                std::max(m_policy.hedgeLeast, fromSeconds(m_policy.hedgeFactor * meanOf(each)));
        if (each.job->at == job_stage::running && now - each.job->sent > patience
            && each.state == session_state::idle && each.job->access == statement_access::read)
            silent.push_back(number);
    }
    std::ranges::for_each(expired, [&](session_number number) {
        if (auto *from = findCaller(number))
            expire(*from, now);
    });
    std::ranges::for_each(silent, [&](session_number number) {
        if (auto *from = findCaller(number))
            hedge(*from, now);
    });
}

/** The statement's time is up. */
void dispatcher::expire(caller &from, time_point now)
{
    if (!from.job)
        return;
    if (from.job->at != job_stage::running) {
        reject(from, statement_error::busy,
               "no member of database " + from.route.database.str()
                       + " took the statement in its time; it did not run",
               now);
        return;
    }
    auto *pool = poolOf(from.bound);
    if (pool)
        drop(*pool, from.bound, now);
    const bool inTransaction = from.state == session_state::inTransaction;
    const bool keepsNothing = inTransaction ? !from.job->commits || !from.wrote
                                            : from.job->access == statement_access::read;
    const auto server = from.boundServer;
    unbind(from);
    reject(from, keepsNothing ? statement_error::aborted : statement_error::timeout,
           "member " + server.str() + " did not answer in the statement's time", now);
}

/** Sends a read whose answer is overdue to another member: the answer may be lost. */
void dispatcher::hedge(caller &from, time_point now)
{
    if (!from.job || from.job->at != job_stage::running)
        return;
    const auto server = from.boundServer;
    if (auto *pool = poolOf(from.bound))
        drop(*pool, from.bound, now);
    unbind(from);
    retryOrReject(from, server, {statement_error::aborted, "no answer in the usual time"}, true,
                  now);
}

void dispatcher::checkTransactions(time_point now)
{
    const auto limit = m_directory ? m_directory->transactionIdleTimeout : duration::zero();
    if (limit <= duration::zero())
        return;
    for (auto &[key, each] : m_callers) {
        if (each.state != session_state::inTransaction || each.job || each.rolledBack
            || now - each.lastActive < limit)
            continue;
        releaseBound(each, now);
        each.rolledBack = true;
    }
}

} // namespace sycamorespan
