#include "sycamorespan/src/Core/map_projections.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace sycamorespan {

namespace {

using namespace dispatch_action;
using internal::statement_job;

/** Number of statements that a caller may send before the first of them is answered. The protocol
 * requires only one.
 */
constexpr std::size_t maximumPipelinedRequests = 64;

/** Memory that an entry of a session takes beside its name and its text. */
constexpr std::size_t entryBytes = 128;

std::size_t keptSize(const std::string &name, const std::string &text)
{
    return entryBytes + name.size() + text.size();
}

/** Receipt of statements that no member ran. */
const std::string noReceipt = "-";

/** Reason of refusals while the instance shuts down. */
const std::string shutdownReason = "the instance is shutting down; retry at another instance";

/** \returns the size of a statement's text, without the name of a prepared statement. */
std::size_t textBytes(const caller_request &request)
{
    const auto *execute = std::get_if<caller_statement::execute>(&request.parsed);
    return execute ? execute->arguments.size() : request.text.size();
}

/** \returns the fields of log lines that tell what a member was sent and what it answered. */
std::vector<std::pair<std::string, std::string>>
describe(const internal::statement_attempt &attempt)
{
    if (attempt.connection == 0)
        return {};
    std::vector<std::pair<std::string, std::string>> fields{
            {"connection", std::to_string(attempt.connection)},
            {"setup_sent", std::to_string(attempt.setupStatements)},
            {"setup_acknowledged", std::to_string(attempt.setupAcknowledged)},
            {"was_sent", attempt.wasSent ? "true" : "false"}};
    if (!attempt.preparedName.empty())
        fields.emplace_back("prepared", attempt.preparedName);
    if (!attempt.answer.empty())
        fields.emplace_back("answer", attempt.answer);
    return fields;
}

} // namespace

dispatcher::caller *dispatcher::findCaller(session_number session)
{
    const auto found = m_callers.find(session);
    return found == m_callers.end() ? nullptr : &found->second;
}

dispatch_outputs dispatcher::callerConnected(session_number session, std::string databaseName,
                                             std::string key, time_point now)
{
    if (findCaller(session)) {
        // A statement in progress is queued for the session's database, which must not change.
        m_outputs.push_back(reject_caller{
                session, {statement_error::malformed, "the session is already connected"}});
        return takeOutputs();
    }
    const auto route = m_directory->routes.find(databaseName);
    if (route == m_directory->routes.end()) {
        m_outputs.push_back(reject_caller{session,
                                          {statement_error::unknownDatabase,
                                           "database \"" + databaseName + "\" does not exist"}});
        return takeOutputs();
    }
    auto workspace = workspaceOf(key, route->second);
    if (!workspace) {
        m_outputs.push_back(reject_caller{
                session, {statement_error::unknownKey, "the key is not granted to any workspace"}});
        return takeOutputs();
    }
    if (m_acceptedWork == accepted_work::none) {
        m_outputs.push_back(reject_caller{session, {statement_error::busy, shutdownReason}});
        return takeOutputs();
    }
    auto &added = m_callers[session];
    added.number = session;
    added.databaseName = std::move(databaseName);
    added.key = std::move(key);
    added.route = route->second;
    added.workspace = std::move(*workspace);
    added.lastActive = now;
    m_outputs.push_back(accept_caller{session});
    return takeOutputs();
}

std::size_t dispatcher::keptBytes(session_number session) const
{
    const auto found = m_callers.find(session);
    return found == m_callers.end() ? 0 : found->second.keptBytes;
}

dispatch_outputs dispatcher::requestArrived(session_number session, caller_request request,
                                            time_point now)
{
    auto *from = findCaller(session);
    if (!from) {
        m_outputs.push_back(reject_caller{
                session, {statement_error::malformed, "the session is not connected"}});
        return takeOutputs();
    }
    if (from->isDisconnected)
        return takeOutputs();
    from->lastActive = now;
    if (from->job) {
        if (from->pendingRequests.size() >= maximumPipelinedRequests)
            m_outputs.push_back(close_caller{session});
        else
            from->pendingRequests.push_back(std::move(request));
        return takeOutputs();
    }
    process(*from, std::move(request), now);
    return takeOutputs();
}

void dispatcher::process(caller &from, caller_request request, time_point now)
{
    if (from.state == session_state::failedTransaction)
        return processFailedTransaction(from, request, now);
    if (from.state == session_state::idle && !checkAccess(from, now))
        return;
    const bool endsTransaction = std::holds_alternative<caller_statement::rollback>(request.parsed);
    if (from.rolledBack && !endsTransaction) {
        const bool isCommit = std::holds_alternative<caller_statement::commit>(request.parsed);
        return refuseRolledBack(from, isCommit, now);
    }
    std::visit([&](const auto &parsed) { handle(from, request, parsed, now); }, request.parsed);
}

void dispatcher::processNextRequest(caller &from, time_point now)
{
    if (from.pendingRequests.empty() || from.job)
        return;
    auto next = std::move(from.pendingRequests.front());
    from.pendingRequests.pop_front();
    process(from, std::move(next), now);
}

void dispatcher::processFailedTransaction(caller &from, const caller_request &request,
                                          time_point now)
{
    if (std::holds_alternative<caller_statement::rollback>(request.parsed)) {
        endTransaction(from, now);
        return complete(from, now);
    }
    if (std::holds_alternative<caller_statement::commit>(request.parsed)) {
        endTransaction(from, now);
        return reject(from, statement_error::aborted, "the transaction had failed: rolled back",
                      now);
    }
    reject(from, statement_error::malformed, "the transaction has failed: only its end is taken",
           now);
}

void dispatcher::handle(caller &from, const caller_request &request,
                        const caller_statement::begin &begin, time_point now)
{
    if (from.state == session_state::inTransaction)
        return reject(from, statement_error::malformed, "a transaction is open already", now);
    if (m_acceptedWork != accepted_work::all)
        return refuseForShutdown(from, request, now);
    from.state = session_state::inTransaction;
    from.readOnly = begin.readOnly;
    from.hasWritten = false;
    from.begunAt = now;
    complete(from, now);
}

void dispatcher::handle(caller &from, const caller_request &request,
                        const caller_statement::commit &, time_point now)
{
    if (from.state != session_state::inTransaction)
        return reject(from, statement_error::malformed, "no transaction is open", now);
    startJob(from, request, statement_access::read, true, now);
}

void dispatcher::handle(caller &from, const caller_request &, const caller_statement::rollback &,
                        time_point now)
{
    endTransaction(from, now);
    complete(from, now);
}

void dispatcher::handle(caller &from, const caller_request &,
                        const caller_statement::set_value &set, time_point now)
{
    if (const auto known = from.values.find(set.name); known != from.values.end())
        from.keptBytes -= keptSize(set.name, known->second);
    from.values[set.name] = set.value;
    from.keptBytes += keptSize(set.name, set.value);
    complete(from, now);
}

void dispatcher::handle(caller &from, const caller_request &,
                        const caller_statement::prepare &statement, time_point now)
{
    if (const auto known = from.prepared.find(statement.name); known != from.prepared.end())
        from.keptBytes -= keptSize(statement.name, known->second.statementShape);
    from.prepared[statement.name] = {statement.access, statement.statementShape};
    from.keptBytes += keptSize(statement.name, statement.statementShape);
    complete(from, now);
}

void dispatcher::handle(caller &from, const caller_request &,
                        const caller_statement::deallocate &statement, time_point now)
{
    const auto known = from.prepared.find(statement.name);
    if (known == from.prepared.end())
        return reject(from, statement_error::unknownPrepared,
                      "prepared statement \"" + statement.name.str() + "\" does not exist", now);
    from.keptBytes -= keptSize(known->first, known->second.statementShape);
    from.prepared.erase(known);
    complete(from, now);
}

void dispatcher::handle(caller &from, const caller_request &request,
                        const caller_statement::execute &statement, time_point now)
{
    const auto known = from.prepared.find(statement.name);
    if (known == from.prepared.end())
        return reject(from, statement_error::unknownPrepared,
                      "prepared statement \"" + statement.name.str() + "\" does not exist", now);
    startJob(from, request, known->second.access, false, now);
}

void dispatcher::handle(caller &from, const caller_request &request,
                        const caller_statement::direct &statement, time_point now)
{
    startJob(from, request, statement.access, false, now);
}

void dispatcher::handle(caller &from, const caller_request &,
                        const caller_statement::malformed &statement, time_point now)
{
    reject(from, statement_error::malformed, statement.reason, now);
}

/** Refuses a new operation while the instance shuts down, and closes the session. */
void dispatcher::refuseForShutdown(caller &from, const caller_request &request, time_point now)
{
    statement_job refused;
    refused.request = request;
    refused.arrivedAt = now;
    refused.queuedSince = now;
    refused.latencyDeadline = now + from.route.latencyObjective;
    from.job = std::move(refused);
    reject(from, statement_error::busy, shutdownReason, now, refusal_cause::shutdown);
    // A statement that the caller sent in advance may have begun to run.
    if (!from.job && from.state == session_state::idle)
        closeSession(from);
}

/** Tells the caller that its transaction was rolled back, with the first statement after that. */
void dispatcher::refuseRolledBack(caller &from, bool isCommit, time_point now)
{
    from.rolledBack = false;
    if (isCommit)
        endTransaction(from, now);
    else
        from.state = session_state::failedTransaction;
    reject(from, statement_error::aborted, "the transaction was rolled back; retry it", now);
}

void dispatcher::startJob(caller &from, const caller_request &request, statement_access access,
                          bool isCommit, time_point now)
{
    const bool inTransaction = from.state == session_state::inTransaction;
    if (inTransaction && !isCommit && m_acceptedWork != accepted_work::all) {
        releaseBound(from, now);
        return refuseRolledBack(from, isCommit, now);
    }
    if (!inTransaction && m_acceptedWork == accepted_work::none)
        return refuseForShutdown(from, request, now);
    if (inTransaction && from.readOnly && access == statement_access::write) {
        from.state = session_state::failedTransaction;
        return reject(from, statement_error::readOnly, "the transaction is read-only", now);
    }
    statement_job started;
    started.request = request;
    started.access = access;
    started.isCommit = isCommit;
    started.startsTransaction = inTransaction && from.boundConnection == 0 && from.broker.empty();
    started.needsPrimary =
            access == statement_access::write || (inTransaction && !from.readOnly)
            || from.route.reads == consistency::latest || !from.route.maxStaleness
            || (!inTransaction
                && request.id.size() + textBytes(request) > m_policy.maximumPositionedBytes);
    started.arrivedAt = now;
    started.queuedSince = now;
    started.deadline = now + from.route.statementTimeout;
    started.latencyDeadline = now + from.route.latencyObjective;
    const auto reference = inTransaction ? from.begunAt : now;
    started.freshnessCutoff = reference - from.route.maxStaleness.value_or(duration::zero());
    if (from.served) {
        started.deadline = from.served->deadline;
        started.latencyDeadline = from.served->latencyDeadline;
    }
    from.job = std::move(started);
    if (!from.broker.empty())
        return handOver(from, instance_id(from.broker), now);
    if (from.boundConnection != 0) {
        sendOnBound(from, now);
        return;
    }
    if (!from.isAdmitted) {
        // What would be rejected anyway must use up nothing of the workspace's rate.
        const auto refusal =
                brokerOf(from, now) ? std::nullopt : reasonToReject(from, group(from), 0, now);
        if (refusal)
            return reject(from, *refusal, now);
        from.job->currentStage = job_stage::awaitingAdmission;
        m_outputs.push_back(request_admission{from.number, from.workspace});
        return;
    }
    enqueue(from, now);
}

dispatch_outputs dispatcher::admitted(session_number session, time_point now)
{
    auto *from = findCaller(session);
    if (!from || !from->job || from->job->currentStage != job_stage::awaitingAdmission) {
        if (from)
            m_outputs.push_back(settle_admission{session, from->workspace, false});
        return takeOutputs();
    }
    from->isAdmitted = true;
    enqueue(*from, now);
    return takeOutputs();
}

dispatch_outputs dispatcher::throttled(session_number session, duration retryAfter, time_point now)
{
    auto *from = findCaller(session);
    if (!from || !from->job || from->job->currentStage != job_stage::awaitingAdmission)
        return takeOutputs();
    reject(*from,
           queue_refusal{session, refusal_cause::rate, retryAfter,
                         "workspace \"" + from->workspace.str() + "\" is over its rate"},
           now);
    return takeOutputs();
}

void dispatcher::enqueue(caller &from, time_point now)
{
    if (const auto broker = brokerOf(from, now))
        return handOver(from, *broker, now);
    auto &state = group(from);
    state.repeats.onRequest();
    queueStatement(from, now);
    dispatchQueue(state, now);
    if (state.queue.size() <= m_policy.maximumQueueLength)
        return;
    auto *last = findCaller(*state.queue.last());
    const auto work = fromSeconds(meanStatementTime(*last));
    const auto &rate = last->job->needsPrimary ? state.primaryRate : state.otherRate;
    const auto interval = fromSeconds(1 / std::max(rate.perSecond(now).value_or(1), 1.0));
    reject(*last,
           queue_refusal{last->number, refusal_cause::queueFull,
                         state.returns.next(work, interval, now),
                         "too many statements wait for database " + last->route.database.str()},
           now);
}

void dispatcher::queueStatement(caller &from, time_point now)
{
    auto &job = *from.job;
    job.currentStage = job_stage::queued;
    job.queuedSince = now;
    waiting_statement waiting;
    waiting.session = from.number;
    waiting.workspace = from.workspace;
    waiting.priority = from.route.priority;
    waiting.arrivedAt = job.arrivedAt;
    waiting.latencyDeadline = job.latencyDeadline;
    waiting.deadline = job.deadline;
    waiting.expectedTime = fromSeconds(meanStatementTime(from));
    waiting.share = shareOf(from.workspace);
    waiting.isRepeat = job.attempts > 0;
    group(from).queue.insert(waiting, now);
}

/** \returns the part of the slot time that the workspace may use, relative to the mean one. Those
 * without a rate count as the mean one.
 */
double dispatcher::shareOf(const workspace_id &workspace) const
{
    const auto known = m_directory->workspaces.find(workspace);
    const bool hasRate = known != m_directory->workspaces.end() && known->second.ratePerSecond > 0;
    return hasRate ? known->second.ratePerSecond / m_meanRate : 1;
}

/** Charges the operation to the workspace's rate, because it is being sent to a member. */
void dispatcher::charge(caller &from)
{
    if (from.served)
        from.served->wasSent = true; // the caller's instance charges it
    if (!from.isAdmitted || std::exchange(from.isCharged, true) || from.served)
        return;
    m_outputs.push_back(settle_admission{from.number, from.workspace, true});
}

/** Ends the admission of the operation. One that was never sent is not charged. */
void dispatcher::releaseAdmission(caller &from)
{
    if (from.isAdmitted && !from.isCharged && !from.served)
        m_outputs.push_back(settle_admission{from.number, from.workspace, false});
    from.isAdmitted = false;
    from.isCharged = false;
}

void dispatcher::reply(caller &to, statement_answer answer, time_point now)
{
    to.lastActive = now;
    if (to.served)
        return answerHandOver(to, std::move(answer), now);
    answer.position.reset();
    if (!to.isDisconnected)
        m_outputs.push_back(reply_to_caller{to.number, std::move(answer)});
}

void dispatcher::complete(caller &to, time_point now)
{
    reply(to, {{}, completed{noReceipt}, to.state, {}}, now);
    processNextRequest(to, now);
}

/** Rejects the statement in progress, or the one just received if there is none. */
void dispatcher::reject(caller &to, statement_error code, std::string text, time_point now,
                        refusal_cause cause)
{
    if (to.job) {
        auto ended = std::move(*to.job);
        to.job.reset();
        if (ended.currentStage == job_stage::queued)
            group(to).queue.erase(to.number);
        if (ended.currentStage == job_stage::awaitingAdmission)
            m_outputs.push_back(cancel_admission{to.number, to.workspace});
        record(to, ended, std::string(nameOf(code)), text, to.boundServer, now, cause);
        if (to.state == session_state::inTransaction) {
            if (ended.isCommit)
                endTransaction(to, now);
            else
                to.state = session_state::failedTransaction;
        }
        if (to.state == session_state::idle)
            releaseAdmission(to);
    }
    reply(to, {{}, rejected{code, std::move(text)}, to.state, {}}, now);
    if (to.isDisconnected && !to.job)
        return removeCaller(to.number, now);
    processNextRequest(to, now);
}

/** Rejects a statement that did not run, with the time after which it would be served. */
void dispatcher::reject(caller &to, const queue_refusal &refusal, time_point now)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter).count();
    auto text = refusal.reason;
    if (wait > 0)
        text += "; retry after " + std::to_string(wait) + " ms";
    reject(to, statement_error::busy, std::move(text), now, refusal.cause);
}

/** Ends the caller's transaction, and rolls it back on the member if it is open there. */
void dispatcher::endTransaction(caller &from, time_point now)
{
    releaseBound(from, now);
    releaseAdmission(from);
    from.state = session_state::idle;
    from.rolledBack = false;
    from.readOnly = false;
    from.hasWritten = false;
}

dispatch_outputs dispatcher::callerDisconnected(session_number session, time_point now)
{
    auto *from = findCaller(session);
    if (!from || from->isDisconnected)
        return takeOutputs();
    from->isDisconnected = true;
    from->pendingRequests.clear();
    if (from->job && from->job->isAtMember())
        return takeOutputs(); // the session is removed when the member has answered
    if (from->job && from->job->currentStage == job_stage::queued)
        group(*from).queue.erase(session);
    if (from->job && from->job->currentStage == job_stage::awaitingAdmission)
        m_outputs.push_back(cancel_admission{session, from->workspace});
    from->job.reset();
    removeCaller(session, now);
    return takeOutputs();
}

void dispatcher::removeCaller(session_number session, time_point now)
{
    auto *from = findCaller(session);
    if (!from)
        return;
    endTransaction(*from, now);
    m_callers.erase(session);
}

dispatch_outputs
dispatcher::closeIdleSessions(std::size_t count, time_point now,
                              const std::function<bool(session_number)> &hasMessages)
{
    std::vector<session_number> idle;
    for (const auto &[number, each] : m_callers) {
        if (idle.size() >= count)
            break;
        if (each.state == session_state::idle && !each.job && each.pendingRequests.empty()
            && !each.isDisconnected && !each.served && !(hasMessages && hasMessages(number)))
            idle.push_back(number);
    }
    std::ranges::for_each(idle, [&](session_number number) {
        m_outputs.push_back(close_caller{number});
        removeCaller(number, now);
    });
    return takeOutputs();
}

dispatch_outputs dispatcher::closeAllSessions(time_point now)
{
    m_acceptedWork = accepted_work::none; // refuses statements that callers sent in advance
    std::vector<session_number> open;
    std::ranges::transform(m_callers, std::back_inserter(open), keyOf);
    std::ranges::for_each(open, [&](session_number number) {
        if (auto *from = findCaller(number))
            endStatement(*from, shutdownReason,
                         "the instance is shutting down and the member has not answered", now);
        auto *from = findCaller(number);
        if (from && from->served && !from->job)
            removeCaller(number, now); // its transaction is rolled back
        else if (from)
            closeSession(*from);
    });
    return takeOutputs();
}

dispatch_outputs dispatcher::rollBackIdleTransactionsOnAllServers(time_point now)
{
    for (auto &[key, each] : m_callers) {
        if (each.state != session_state::inTransaction || each.job || each.rolledBack)
            continue;
        releaseBound(each, now);
        each.rolledBack = true;
    }
    return takeOutputs();
}

dispatch_outputs dispatcher::rollBackIdleTransactions(const database_id &database, time_point now)
{
    const auto &state = m_databases[database];
    for (auto &[key, each] : m_callers) {
        if (each.boundConnection == 0 || each.job || each.readOnly
            || each.route.database != database)
            continue;
        if (!isPrimary(state, each.boundServer))
            continue;
        releaseBound(each, now);
        each.rolledBack = true;
    }
    return takeOutputs();
}

/** Closes the caller's connection. The session of another instance's operation has none, and is
 * removed when it is over.
 */
void dispatcher::closeSession(const caller &of)
{
    if (!of.served)
        m_outputs.push_back(close_caller{of.number});
}

bool dispatcher::isIdle() const
{
    const auto isCallerIdle = [](const caller &each) {
        return !each.job && each.state == session_state::idle;
    };
    return std::ranges::all_of(m_callers, isCallerIdle, mappedOf);
}

void dispatcher::record(const caller &from, const statement_job &ended, std::string outcome,
                        std::string cause, const server_id &server, time_point now,
                        refusal_cause refusal)
{
    record_outcome entry;
    entry.session = from.number;
    entry.request = ended.request.id;
    entry.route = from.databaseName;
    entry.database = from.route.database;
    entry.workspace = from.workspace;
    entry.outcome = std::move(outcome);
    entry.cause = std::move(cause);
    const auto &attempt = ended.lastAttempt;
    entry.server = server.empty() ? attempt.server : server;
    if (entry.server.empty())
        entry.broker = ended.broker;
    entry.inputs = describe(attempt);
    if (from.served)
        entry.servedFor = from.served->instance;
    entry.latency = now - ended.arrivedAt;
    entry.queued = ended.queueTime
                   + (ended.currentStage == job_stage::queued ? now - ended.queuedSince
                                                              : duration::zero());
    entry.attempts = ended.attempts;
    entry.late = now > ended.latencyDeadline;
    entry.priority = from.route.priority;
    entry.refusal = refusal;
    const auto known = m_databases.find(from.route.database);
    if (known != m_databases.end()) {
        const auto &state = known->second;
        const auto milliseconds = [](duration value) {
            return std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
        };
        entry.inputs.emplace_back("configuration_version",
                                  std::to_string(m_directory ? m_directory->version : 0));
        entry.inputs.emplace_back("queue_length", std::to_string(state.queue.size()));
        const auto &rate = ended.needsPrimary ? state.primaryRate : state.otherRate;
        if (const auto perSecond = rate.perSecond(now))
            entry.inputs.emplace_back("served_per_second",
                                      std::to_string(std::llround(*perSecond)));
        if (state.primary) {
            entry.inputs.emplace_back("primary", state.primary->server.str());
            entry.inputs.emplace_back("term", std::to_string(state.primary->term));
            entry.inputs.emplace_back("view_left_ms",
                                      milliseconds(state.primary->validUntil - now));
        } else {
            entry.inputs.emplace_back("primary", "none");
        }
        if (ended.floor) {
            entry.inputs.emplace_back("floor", std::to_string(ended.floor->term) + '.'
                                                       + std::to_string(ended.floor->offset));
        }
        if (const auto newest = state.floors.newest())
            entry.inputs.emplace_back("floor_age_ms",
                                      milliseconds(now - newest->coversCommitsUntil));
    }
    m_outputs.push_back(std::move(entry));
}

void dispatcher::recordStep(const caller &from, std::string step, const server_id &server,
                            std::string_view why)
{
    const auto &of = *from.job;
    const bool ranAtBroker = server.empty() && !of.broker.empty();
    record_step entry{
            of.request.id,
            std::move(step),
            {{ranAtBroker ? "broker" : "server", ranAtBroker ? of.broker.str() : server.str()},
             {"reason", std::string(why)},
             {"attempts", std::to_string(of.attempts)}}};
    if (!ranAtBroker)
        std::ranges::move(describe(of.lastAttempt), std::back_inserter(entry.inputs));
    m_outputs.push_back(std::move(entry));
}

} // namespace sycamorespan
