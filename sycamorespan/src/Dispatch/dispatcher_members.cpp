#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorespan {

namespace {

using namespace dispatch_action;

/** Weight of one statement in the moving average of a route's statement times. */
constexpr double meanTimeSmoothing = 0.02;

/** Weight of one read in the usual time of its route, after the first reads. */
constexpr double usualTimeSmoothing = 0.02;

/** Slowness, as a multiple of the fastest member's, up to which a member's times are usual. */
constexpr double usualSlowness = 1.3;

/** \returns whether no effect of a statement that failed with \a code is kept. */
bool didNotRun(statement_error code)
{
    return code < statement_error::failed;
}

/** \returns whether the statement may run again on another connection. The first statement of a
 * transaction may, together with its BEGIN. A later statement may not, because the transaction is
 * open on one connection only.
 */
bool isRetryable(const internal::caller_state &from)
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
        return takeOutputs();
    pool->recordMessage(now);
    if (position)
        pool->observePosition(*position, now);
    pool->observeOpening(now - ready->since);
    ready->state = member_connection::phase::idle;
    ready->since = now;
    dispatchQueue(stateOf(pool->entry().database), now);
    return takeOutputs();
}

dispatch_outputs dispatcher::closed(connection_id connection,
                                    std::optional<statement_error> refusal, time_point now)
{
    auto *pool = poolOf(connection);
    auto *lost = pool ? pool->find(connection) : nullptr;
    if (!lost)
        return takeOutputs();
    const auto session = lost->session;
    const bool wasOpening = lost->state == member_connection::phase::opening;
    const bool wasBound = lost->state == member_connection::phase::bound;
    const auto server = pool->entry().id;
    const auto database = pool->entry().database;
    if (refusal && refusal != statement_error::moved) {
        pool->recordMessage(now);
        pool->pauseOpening(now);
    } else if (wasOpening) {
        pool->recordConnectionFailure(now);
    }
    if (refusal == statement_error::connectionLimit)
        pool->recordConnectionLimit(now);
    if (refusal == statement_error::moved)
        pool->setAvoidedUntil(now + m_policy.unresponsiveTimeout);
    pool->erase(connection);
    m_connectionServers.erase(connection);
    if (wasBound) {
        if (auto *from = findCaller(session); from && from->boundConnection == connection) {
            recordFailure(*from, *pool, member_outcome::failed, now);
            onConnectionLost(*from, server, "the connection to the member broke", now);
        }
    }
    dispatchQueue(stateOf(database), now);
    return takeOutputs();
}

/** Handles the loss of a session's connection, with or without a statement in progress. */
void dispatcher::onConnectionLost(caller &from, const server_id &server, std::string_view why,
                                  time_point now)
{
    const bool inTransaction = from.state == session_state::inTransaction;
    unbind(from);
    if (!from.job) {
        if (from.isDisconnected)
            return removeCaller(from.number, now);
        if (inTransaction)
            from.rolledBack = true;
        return;
    }
    auto &job = *from.job;
    if (from.isDisconnected) {
        from.job.reset();
        return removeCaller(from.number, now);
    }
    const bool wasSent = job.currentStage != job_stage::preparing;
    if (isRetryable(from) || (!inTransaction && !wasSent))
        return retryOrReject(from, server, {statement_error::aborted, std::string(why)}, wasSent,
                             now);
    const bool hasNoEffect =
            inTransaction && (!job.isCommit || !from.hasWritten || job.awaitsResend || !wasSent);
    if (hasNoEffect)
        return reject(from, statement_error::aborted, std::string(why) + ": rolled back", now);
    reject(from, statement_error::inDoubt, std::string(why) + ": the outcome is unknown", now);
}

/** Queues a statement for another attempt if its deadline allows one; otherwise rejects it.
 * \param ran  whether it may have run in the last attempt
 */
void dispatcher::retryOrReject(caller &from, const server_id &server, const rejected &why, bool ran,
                               time_point now)
{
    if (!holdsKey(from))
        return endStatementWithoutKey(from, now);
    auto &job = *from.job;
    const auto least = fromSeconds(meanStatementTime(from) / 2);
    const bool isBusy = why.code == statement_error::busy;
    const bool isLagging = why.code == statement_error::lagging;
    const bool isRefusedAgain = job.excluded.contains(server);
    const auto refusalDelay = isBusy || isRefusedAgain ? m_policy.busyRetryDelay : duration::zero();
    if (isLagging)
        ++job.lagRefusals;
    if (job.attempts - job.lagRefusals >= m_policy.maximumAttempts
        || now + refusalDelay + least >= job.deadline || from.isDisconnected) {
        const auto code = ran ? statement_error::aborted : why.code;
        return reject(from, code, why.text.empty() ? std::string(nameOf(why.code)) : why.text, now,
                      refusal_cause::repeats);
    }
    if (!group(from).repeats.trySpend()) {
        const auto cause = why.text.empty() ? std::string(nameOf(why.code)) : why.text;
        return reject(from, ran ? statement_error::aborted : why.code,
                      cause + "; too many statements of database " + from.route.database.str()
                              + " are repeated",
                      now, refusal_cause::repeats);
    }
    recordStep(from, "retry", server, why.text.empty() ? nameOf(why.code) : why.text);
    job.notBefore = now + refusalDelay;
    if (isLagging)
        job.lagging.insert(server);
    else if (!isBusy && !server.empty())
        job.excluded.insert(server);
    job.floor.reset();
    queueStatement(from, now);
    dispatchQueue(group(from), now);
}

dispatch_outputs dispatcher::answered(connection_id connection, const statement_answer &answer,
                                      time_point now)
{
    auto *pool = poolOf(connection);
    auto *to = pool ? pool->find(connection) : nullptr;
    if (!to)
        return takeOutputs();
    pool->recordMessage(now);
    if (answer.position)
        pool->observePosition(*answer.position, now);
    if (to->pending.empty()) {
        // No answer is pending, so that the connection's state is unknown.
        const auto session = to->session;
        closeConnection(*pool, connection, now);
        if (auto *from = findCaller(session); from && from->boundConnection == connection)
            onConnectionLost(*from, pool->entry().id, "the member answered out of turn", now);
        return takeOutputs();
    }
    const auto expected = to->pending.front();
    to->pending.pop_front();
    recordAnswerOfAttempt(*to, expected.kind, answer);
    switch (expected.kind) {
    case expected_answer::setup:
        onSetupAnswered(*to, *expected.setup, answer);
        if (to->pending.empty())
            finishSetup(*pool, *to, answer, now);
        break;
    case expected_answer::begin:
        finishSetup(*pool, *to, answer, now);
        break;
    case expected_answer::statement:
        finishStatement(*pool, *to, answer, now);
        break;
    case expected_answer::rollback:
        finishRollback(*pool, *to, answer, now);
        break;
    }
    return takeOutputs();
}

/** Records the answer in the last attempt of the statement to which it belongs. */
void dispatcher::recordAnswerOfAttempt(const member_connection &connection, expected_answer kind,
                                       const statement_answer &answer)
{
    auto *from = findCaller(connection.session);
    if (!from || from->boundConnection != connection.id || !from->job)
        return;
    auto &attempt = from->job->lastAttempt;
    if (const auto *error = std::get_if<rejected>(&answer.result))
        attempt.answer = describe(*error);
    else if (kind == expected_answer::setup)
        ++attempt.setupAcknowledged;
}

/** Makes a connection without an open transaction available to other sessions. */
void dispatcher::makeIdle(member_connection &connection, time_point now)
{
    connection.session = 0;
    connection.state = member_connection::phase::idle;
    connection.since = now;
    connection.setup.limitSize();
}

/** Ends the use of a connection by a session, and rolls its transaction back if one is open.
 * \param state  that the member reported with its last answer
 */
void dispatcher::release(member_pool &pool, member_connection &connection, session_state state,
                         time_point now)
{
    if (state == session_state::idle)
        makeIdle(connection, now);
    else
        rollBack(pool, connection, now);
}

/** Updates the state of the member from an error that it returned. */
void dispatcher::recordRefusal(const caller &from, member_pool &pool, statement_error code,
                               time_point now)
{
    if (code == statement_error::busy)
        recordFailure(from, pool, member_outcome::refused, now);
    if (code == statement_error::failed || code == statement_error::timeout)
        recordFailure(from, pool, member_outcome::failed, now);
    if (code == statement_error::lagging)
        pool.setLaggingUntil(now + m_policy.laggingReplicaPause);
    auto &state = group(from);
    if (code == statement_error::readOnly && isPrimary(state, pool.entry().id)) {
        state.primaryLastRefusedAt = now;
        pool.setAvoidedUntil(now + m_policy.avoidancePeriod);
    }
}

void dispatcher::finishStatement(member_pool &pool, member_connection &connection,
                                 const statement_answer &answer, time_point now)
{
    auto *from = findCaller(connection.session);
    if (!from || from->boundConnection != connection.id || !from->job) {
        rollBack(pool, connection, now);
        return;
    }
    recordAnswer(*from, pool, answer, now);
    if (answer.succeeded())
        onSuccess(*from, pool, connection, answer, now);
    else
        onFailure(*from, pool, connection, answer, now);
}

/** Records the position and the statement time from an answer. */
void dispatcher::recordAnswer(caller &from, member_pool &pool, const statement_answer &answer,
                              time_point now)
{
    auto &state = group(from);
    const auto &job = *from.job;
    if (answer.position && isPrimary(state, pool.entry().id) && isPrimaryViewValid(state, now)
        && answer.position->term == state.primary->term)
        state.floors.add({*answer.position, job.sentAt}, now);
    if (!answer.succeeded() || job.isCommit)
        return;
    const double seconds = toSeconds(now - job.sentAt);
    recordTime(from, pool, now);
    auto &times = m_times[from.databaseName];
    times.meanSeconds += meanTimeSmoothing * (seconds - times.meanSeconds);
}

/** Records the time of a statement that succeeded, relative to the usual time of its route. The
 * time of a write also depends on locks and on the replicas.
 */
void dispatcher::recordTime(const caller &from, member_pool &pool, time_point now)
{
    const auto &job = *from.job;
    member_sample sample{member_outcome::answered, std::nullopt, job.inFlight};
    if (job.access == statement_access::read) {
        auto &times = m_times[from.databaseName];
        const double seconds = std::max(toSeconds(now - job.sentAt), 1e-6);
        sample.relativeTime = seconds / std::exp(times.usualReadTime.value_or(std::log(seconds)));
        const auto slownessOf = [&](const server_id &id) {
            const auto &limit = m_pools.at(id).limit();
            return limit.hasSamples() ? limit.found(now).slowness
                                      : std::numeric_limits<double>::infinity();
        };
        const auto &members = group(from).members;
        const auto fastest = std::ranges::min_element(members, {}, slownessOf);
        const bool isSlow = fastest != members.end()
                            && slownessOf(pool.entry().id) > usualSlowness * slownessOf(*fastest);
        if (!isSlow && job.inFlight <= pool.entry().slots) {
            auto &usual = times.usualReadTime;
            const auto weight =
                    std::max(1.0 / static_cast<double>(++times.usualReads), usualTimeSmoothing);
            usual = usual.value_or(std::log(seconds));
            *usual += weight * (std::log(seconds) - *usual);
        }
    }
    pool.limit().add(sample, now);
}

/** Records a statement in progress that the member refused or failed. */
void dispatcher::recordFailure(const caller &from, member_pool &pool, member_outcome outcome,
                               time_point now)
{
    if (!from.job || !from.job->isAtMember())
        return;
    const auto lost = now - from.job->sentAt;
    const auto times = m_times.find(from.databaseName);
    member_sample sample{outcome, std::nullopt, from.job->inFlight};
    if (outcome == member_outcome::failed && from.job->access == statement_access::read
        && times != m_times.end() && times->second.usualReadTime)
        sample.relativeTime = toSeconds(lost) / std::exp(*times->second.usualReadTime);
    pool.limit().add(sample, now);
    pool.limit().addFailure(lost);
}

void dispatcher::onSuccess(caller &from, member_pool &pool, member_connection &connection,
                           const statement_answer &answer, time_point now)
{
    auto ended = std::move(*from.job);
    from.job.reset();
    const auto server = pool.entry().id;
    const bool commitsWrite = from.state == session_state::inTransaction
                                      ? ended.isCommit && from.hasWritten
                                      : ended.access == statement_access::write;
    if (commitsWrite && answer.position)
        from.lastCommitPosition = std::max(from.lastCommitPosition, *answer.position);
    from.state = answer.state;
    if (from.state == session_state::idle) {
        unbind(from);
        makeIdle(connection, now);
        releaseAdmission(from);
        from.hasWritten = false;
        from.readOnly = false;
    }
    if (ended.access == statement_access::write || ended.isCommit) {
        group(from).lastWriteAnswer = now;
        updateOldestUnansweredWrite(group(from));
    }
    record(from, ended, "completed", {}, server, now);
    reply(from, answer, now);
    rollBackWithoutKey(from, now);
    auto &state = group(from);
    if (from.isDisconnected)
        removeCaller(from.number, now);
    else
        processNextRequest(from, now);
    dispatchQueue(state, now);
}

void dispatcher::onFailure(caller &from, member_pool &pool, member_connection &connection,
                           const statement_answer &answer, time_point now)
{
    const auto &why = std::get<rejected>(answer.result);
    const auto server = pool.entry().id;
    auto &job = *from.job;
    recordRefusal(from, pool, why.code, now);
    const bool ran = !didNotRun(why.code);
    const bool inTransaction = from.state == session_state::inTransaction;
    if (inTransaction && !job.startsTransaction && why.code == statement_error::busy
        && answer.state == session_state::inTransaction
        && now + m_policy.busyRetryDelay < job.deadline) {
        recordStep(from, "repeat", server, "busy");
        job.awaitsResend = true;
        job.notBefore = now + m_policy.busyRetryDelay;
        return;
    }
    if (why.code == statement_error::unknownPrepared)
        connection.setup.forget();
    unbind(from);
    release(pool, connection, answer.state, now);
    const bool repeats =
            (isRetryable(from) || (!inTransaction && !ran)) && isWorthRepeating(why.code);
    if (repeats)
        return retryOrReject(from, server, why, ran, now);
    const auto text = why.text.empty() ? std::string(nameOf(why.code)) : why.text;
    if (!inTransaction || (job.isCommit && ran))
        return reject(from, why.code, text, now);
    reject(from, statement_error::aborted, text + ": rolled back", now);
}

void dispatcher::unbind(caller &from)
{
    leaveBroker(from);
    from.boundConnection = 0;
    from.boundServer = {};
}

/** Rolls back the open transaction on a session's connection, if it has one, and unbinds it. */
void dispatcher::releaseBound(caller &from, time_point now)
{
    endHandOver(from);
    if (from.boundConnection == 0)
        return;
    auto *pool = poolOf(from.boundConnection);
    if (auto *connection = pool ? pool->find(from.boundConnection) : nullptr)
        rollBack(*pool, *connection, now);
    unbind(from);
}

/** Rolls back the open transaction on a connection, which is idle after the answer. */
void dispatcher::rollBack(member_pool &pool, member_connection &connection, time_point now)
{
    connection.session = 0;
    connection.since = now;
    if (connection.state != member_connection::phase::bound)
        return;
    if (!connection.pending.empty() || m_access.isEvacuated(pool.entry().id, now)) {
        // The pending statement may delay the rollback for an unknown time.
        closeConnection(pool, connection.id, now);
        return;
    }
    connection.state = member_connection::phase::rollingBack;
    connection.pending.push_back({expected_answer::rollback, now, {}});
    m_access.onSent(pool.entry().id, 1, now);
    m_outputs.push_back(send_to_member{connection.id, {member_statement::rollback{}}});
}

void dispatcher::finishRollback(member_pool &pool, member_connection &connection,
                                const statement_answer &answer, time_point now)
{
    if (answer.state != session_state::idle)
        return closeConnection(pool, connection.id, now);
    makeIdle(connection, now);
    dispatchQueue(stateOf(pool.entry().database), now);
}

void dispatcher::closeConnection(member_pool &pool, connection_id connection, time_point)
{
    pool.erase(connection);
    m_connectionServers.erase(connection);
    m_outputs.push_back(close_member{connection});
}

void dispatcher::updateOldestUnansweredWrite(database_state &state)
{
    state.oldestUnansweredWrite.reset();
    for (const auto &[key, each] : m_callers) {
        if (!each.job || each.job->currentStage != job_stage::running
            || !isPrimary(state, each.boundServer))
            continue;
        const bool writes = each.job->access == statement_access::write
                            || (each.job->isCommit && each.hasWritten);
        if (writes
            && (!state.oldestUnansweredWrite || each.job->sentAt < *state.oldestUnansweredWrite))
            state.oldestUnansweredWrite = each.job->sentAt;
    }
}

dispatch_outputs dispatcher::tick(time_point now)
{
    removeServedOperations(now);
    endEvacuatedWork(now);
    checkConnections(now);
    declineUnreachable(now);
    checkDeadlines(now);
    resendRefusedStatements(now);
    checkTransactions(now);
    for (auto &[key, state] : m_databases) {
        updatePrimaryOnlyWork(state);
        dispatchQueue(state, now);
    }
    return takeOutputs();
}

void dispatcher::checkConnections(time_point now)
{
    struct overdue_connection
    {
        member_pool *pool;
        connection_id connection;
        session_number session;
    };
    std::vector<overdue_connection> overdueConnections;
    for (auto &[id, pool] : m_pools) {
        const bool scarce = fairConnectionShare(pool) < m_policy.smallShareThreshold;
        for (const auto &[key, each] : pool.connections()) {
            const bool slowOpening = each.state == member_connection::phase::opening
                                     && now - each.since > m_policy.openTimeout;
            const bool slowRollback = each.state == member_connection::phase::rollingBack
                                      && now - each.since > m_policy.rollbackTimeout;
            const bool idle = each.state == member_connection::phase::idle;
            const bool surplus = idle && pool.connections().size() > connectionBudget(pool, now);
            const bool unused = idle && scarce && now - each.since > m_policy.smallShareIdleTimeout;
            if (slowOpening || slowRollback || surplus || unused)
                overdueConnections.push_back({&pool, each.id, each.session});
            if (surplus)
                break;
        }
        const auto unresponsiveSince = pool.unresponsiveSince();
        if (unresponsiveSince && now - *unresponsiveSince > m_policy.unresponsiveTimeout
            && !pool.isAvoided(now))
            pool.setAvoidedUntil(now + m_policy.avoidancePeriod);
    }
    std::ranges::for_each(overdueConnections, [&](const overdue_connection &each) {
        const auto *connection = each.pool->find(each.connection);
        if (connection && connection->state == member_connection::phase::opening)
            each.pool->recordConnectionFailure(now);
        closeConnection(*each.pool, each.connection, now);
    });
}

/** \returns the time without an answer after which the read is sent to another member. */
duration dispatcher::readTimeout(const caller &from) const
{
    const auto usual = std::max(m_policy.minimumReadTimeout,
                                fromSeconds(m_policy.readTimeoutFactor * meanStatementTime(from)));
    return usual * (1 << std::min(from.job->overdueAttempts, m_policy.maximumAttempts));
}

void dispatcher::checkDeadlines(time_point now)
{
    std::vector<session_number> expired;
    std::vector<session_number> overdueReads;
    for (const auto &[number, each] : m_callers) {
        if (!each.job)
            continue;
        if (now >= each.job->deadline) {
            expired.push_back(number);
            continue;
        }
        if (each.job->isAtMember() && each.broker.empty()
            && now - each.job->sentAt > readTimeout(each) && each.state == session_state::idle
            && each.job->access == statement_access::read)
            overdueReads.push_back(number);
    }
    std::ranges::for_each(expired, [&](session_number number) {
        if (auto *from = findCaller(number))
            onDeadlineExpired(*from, now);
    });
    std::ranges::for_each(overdueReads, [&](session_number number) {
        if (auto *from = findCaller(number))
            retryOverdueRead(*from, now);
    });
}

/** Sends statements of open transactions again that a busy member refused. */
void dispatcher::resendRefusedStatements(time_point now)
{
    std::vector<session_number> due;
    for (const auto &[number, each] : m_callers)
        if (each.job && each.job->awaitsResend && now >= each.job->notBefore)
            due.push_back(number);
    std::ranges::for_each(due, [&](session_number number) {
        auto *from = findCaller(number);
        if (!from || !from->job)
            return;
        from->job->awaitsResend = false;
        if (from->isDisconnected) {
            from->job.reset();
            return removeCaller(number, now);
        }
        sendOnBound(*from, now);
    });
}

/** Rejects a statement whose deadline has passed. */
void dispatcher::onDeadlineExpired(caller &from, time_point now)
{
    const auto executor = from.broker.empty() ? "member " + from.boundServer.str()
                                              : "broker " + from.broker.str();
    endStatement(from,
                 "no member of database " + from.route.database.str()
                         + " took the statement in its time; it did not run",
                 executor + " did not answer in the statement's time", now);
}

/** Ends the statement in progress with what is known of its outcome.
 * \param whyNotRun      reason if it has not been sent to a member
 * \param whyUnanswered  reason if its member has not answered
 */
void dispatcher::endStatement(caller &from, const std::string &whyNotRun,
                              const std::string &whyUnanswered, time_point now)
{
    if (!from.job)
        return;
    if (from.job->currentStage == job_stage::held)
        return endHeldBack(from, whyNotRun + ": rolled back", now);
    if (!from.job->isAtMember())
        return reject(from, statement_error::busy, whyNotRun, now, refusal_cause::deadline);
    const bool wasSent = from.job->currentStage == job_stage::running;
    if (!from.broker.empty())
        charge(from); // the broker may have sent it
    endHandOver(from);
    if (auto *pool = poolOf(from.boundConnection)) {
        recordFailure(from, *pool, member_outcome::failed, now);
        closeConnection(*pool, from.boundConnection, now);
    }
    const bool inTransaction = from.state == session_state::inTransaction;
    const bool hasNoEffect =
            !wasSent
            || (inTransaction ? !from.job->isCommit || !from.hasWritten || from.job->awaitsResend
                              : from.job->access == statement_access::read);
    unbind(from);
    reject(from, hasNoEffect ? statement_error::aborted : statement_error::timeout,
           wasSent ? whyUnanswered : whyNotRun, now);
}

/** Sends a read whose answer is overdue to another member, as the answer may be lost. */
void dispatcher::retryOverdueRead(caller &from, time_point now)
{
    if (!from.job || !from.job->isAtMember())
        return;
    ++from.job->overdueAttempts;
    if (!group(from).repeats.hasRetry()) {
        recordStep(from, "wait", from.boundServer, "too many statements are repeated");
        return;
    }
    const auto server = from.boundServer;
    if (auto *pool = poolOf(from.boundConnection)) {
        recordFailure(from, *pool, member_outcome::failed, now);
        closeConnection(*pool, from.boundConnection, now);
    }
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
