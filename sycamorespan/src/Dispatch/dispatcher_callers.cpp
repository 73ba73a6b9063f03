#include "sycamorespan/src/Core/map_projections.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>

namespace sycamorespan {

namespace {

using namespace dispatch_action;
using internal::statement_job;

/** Statements that a caller may send ahead of their answers; the protocol needs one. */
constexpr std::size_t pipelineLimit = 64;

const std::string noReceipt = "-";

/** Receives statements for open routes whose caller has no workspace. */
const workspace_id nobody("-");

} // namespace

dispatcher::caller *dispatcher::findCaller(session_number session)
{
    const auto found = m_callers.find(session);
    return found == m_callers.end() ? nullptr : &found->second;
}

dispatch_outputs dispatcher::callerConnected(session_number session, std::string databaseName,
                                             std::string key, time_point now)
{
    const auto route = m_directory->routes.find(databaseName);
    if (route == m_directory->routes.end()) {
        m_outputs.push_back(reject_caller{session,
                                          {statement_error::unknownDatabase,
                                           "database \"" + databaseName + "\" does not exist"}});
        return take();
    }
    const auto owner = m_directory->keyOwners.find(key);
    if (owner == m_directory->keyOwners.end() && !route->second.openToAll) {
        m_outputs.push_back(reject_caller{
                session, {statement_error::unknownKey, "the key is not granted to any workspace"}});
        return take();
    }
    auto &added = m_callers[session];
    added.number = session;
    added.databaseName = std::move(databaseName);
    added.key = std::move(key);
    added.route = route->second;
    added.workspace = owner == m_directory->keyOwners.end() ? nobody : owner->second;
    added.lastActive = now;
    m_outputs.push_back(accept_caller{session});
    return take();
}

dispatch_outputs dispatcher::requestArrived(session_number session, caller_request request,
                                            time_point now)
{
    auto *from = findCaller(session);
    if (!from || from->leaving)
        return take();
    from->lastActive = now;
    if (from->job) {
        if (from->waiting.size() >= pipelineLimit)
            m_outputs.push_back(close_caller{session});
        else
            from->waiting.push_back(std::move(request));
        return take();
    }
    process(*from, std::move(request), now);
    return take();
}

void dispatcher::process(caller &from, caller_request request, time_point now)
{
    if (from.state == session_state::failedTransaction)
        return processFailedTransaction(from, request, now);
    std::visit([&](const auto &parsed) { on(from, request, parsed, now); }, request.parsed);
}

void dispatcher::processNext(caller &from, time_point now)
{
    if (from.waiting.empty() || from.job)
        return;
    auto next = std::move(from.waiting.front());
    from.waiting.pop_front();
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

void dispatcher::on(caller &from, const caller_request &, const caller_statement::begin &begin,
                    time_point now)
{
    if (from.state == session_state::inTransaction)
        return reject(from, statement_error::malformed, "a transaction is open already", now);
    if (!checkAccess(from, now))
        return;
    from.state = session_state::inTransaction;
    from.readOnly = begin.readOnly;
    from.wrote = false;
    from.begun = now;
    complete(from, now);
}

void dispatcher::on(caller &from, const caller_request &request, const caller_statement::commit &,
                    time_point now)
{
    if (from.state != session_state::inTransaction)
        return reject(from, statement_error::malformed, "no transaction is open", now);
    startJob(from, request, statement_access::read, true, now);
}

void dispatcher::on(caller &from, const caller_request &, const caller_statement::rollback &,
                    time_point now)
{
    endTransaction(from, now);
    complete(from, now);
}

void dispatcher::on(caller &from, const caller_request &, const caller_statement::set_value &set,
                    time_point now)
{
    from.values[set.name] = set.value;
    complete(from, now);
}

void dispatcher::on(caller &from, const caller_request &,
                    const caller_statement::prepare &statement, time_point now)
{
    from.prepared[statement.name] = {statement.access, statement.shape};
    complete(from, now);
}

void dispatcher::on(caller &from, const caller_request &,
                    const caller_statement::deallocate &statement, time_point now)
{
    if (from.prepared.erase(statement.name) == 0)
        return reject(from, statement_error::unknownPrepared,
                      "prepared statement \"" + statement.name + "\" does not exist", now);
    complete(from, now);
}

void dispatcher::on(caller &from, const caller_request &request,
                    const caller_statement::execute &statement, time_point now)
{
    const auto known = from.prepared.find(statement.name);
    if (known == from.prepared.end())
        return reject(from, statement_error::unknownPrepared,
                      "prepared statement \"" + statement.name + "\" does not exist", now);
    startJob(from, request, known->second.access, false, now);
}

void dispatcher::on(caller &from, const caller_request &request,
                    const caller_statement::direct &statement, time_point now)
{
    startJob(from, request, statement.access, false, now);
}

void dispatcher::on(caller &from, const caller_request &,
                    const caller_statement::malformed &statement, time_point now)
{
    reject(from, statement_error::malformed, statement.reason, now);
}

/** Routes and keys in force apply from the next operation on. */
bool dispatcher::checkAccess(caller &from, time_point now)
{
    const auto route = m_directory->routes.find(from.databaseName);
    if (route == m_directory->routes.end()) {
        reject(from, statement_error::unknownDatabase,
               "database \"" + from.databaseName + "\" does not exist any more", now);
        m_outputs.push_back(close_caller{from.number});
        return false;
    }
    from.route = route->second;
    const auto owner = m_directory->keyOwners.find(from.key);
    if (owner != m_directory->keyOwners.end()) {
        from.workspace = owner->second;
        return true;
    }
    if (from.route.openToAll) {
        from.workspace = nobody;
        return true;
    }
    reject(from, statement_error::unknownKey, "the key was withdrawn", now);
    m_outputs.push_back(close_caller{from.number});
    return false;
}

void dispatcher::startJob(caller &from, const caller_request &request, statement_access access,
                          bool commits, time_point now)
{
    const bool inTransaction = from.state == session_state::inTransaction;
    if (from.rolledBack) {
        from.rolledBack = false;
        if (commits)
            endTransaction(from, now);
        else
            from.state = session_state::failedTransaction;
        return reject(from, statement_error::aborted, "the transaction was rolled back; retry it",
                      now);
    }
    if (!inTransaction && !checkAccess(from, now))
        return;
    if (inTransaction && from.readOnly && access == statement_access::write) {
        from.state = session_state::failedTransaction;
        return reject(from, statement_error::readOnly, "the transaction is read-only", now);
    }
    statement_job started;
    started.request = request;
    started.access = access;
    started.commits = commits;
    started.startsTransaction = inTransaction && from.bound == 0;
    started.needsPrimary = access == statement_access::write || (inTransaction && !from.readOnly)
                           || from.route.reads == consistency::latest || !from.route.maxStaleness;
    started.arrived = now;
    started.queuedSince = now;
    started.deadline = now + from.route.statementTimeout;
    started.objective = now + from.route.latencyObjective;
    const auto reference = inTransaction ? from.begun : now;
    started.freshFrom = reference - from.route.maxStaleness.value_or(duration::zero());
    from.job = std::move(started);
    if (from.bound != 0) {
        sendOnBound(from, now);
        return;
    }
    if (!from.admitted) {
        from.job->at = job_stage::awaitingAdmission;
        m_outputs.push_back(request_admission{from.number, from.workspace});
        return;
    }
    enqueue(from, now);
}

dispatch_outputs dispatcher::admitted(session_number session, time_point now)
{
    auto *from = findCaller(session);
    if (!from || !from->job || from->job->at != job_stage::awaitingAdmission) {
        if (from)
            m_outputs.push_back(settle_admission{session, from->workspace, false});
        return take();
    }
    from->admitted = true;
    enqueue(*from, now);
    return take();
}

dispatch_outputs dispatcher::throttled(session_number session, duration retryAfter, time_point now)
{
    auto *from = findCaller(session);
    if (!from || !from->job || from->job->at != job_stage::awaitingAdmission)
        return take();
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    reject(*from, statement_error::busy,
           "workspace \"" + from->workspace.str() + "\" is over its rate; retry after "
                   + std::to_string(wait) + " ms",
           now);
    return take();
}

void dispatcher::enqueue(caller &from, time_point now)
{
    auto &state = group(from);
    from.job->at = job_stage::queued;
    from.job->queuedSince = now;
    if (state.queue.size() >= m_policy.queueLimit)
        return reject(from, statement_error::busy,
                      "too many statements wait for database " + from.route.database.str(), now);
    state.queue.push_back(from.number);
    pump(state, now);
}

void dispatcher::reply(caller &to, statement_answer answer, time_point now)
{
    to.lastActive = now;
    answer.position.reset();
    if (!to.leaving)
        m_outputs.push_back(reply_to_caller{to.number, std::move(answer)});
}

void dispatcher::complete(caller &to, time_point now)
{
    reply(to, {{}, completed{noReceipt}, to.state, {}}, now);
    processNext(to, now);
}

/** Refuses the statement under way, or the one just taken if there is none. */
void dispatcher::reject(caller &to, statement_error code, std::string text, time_point now)
{
    if (to.job) {
        auto ended = std::move(*to.job);
        to.job.reset();
        if (ended.at == job_stage::queued)
            std::erase(group(to).queue, to.number);
        if (ended.at == job_stage::awaitingAdmission)
            m_outputs.push_back(cancel_admission{to.number, to.workspace});
        record(to, ended, std::string(nameOf(code)), text, to.boundServer, now);
        if (to.state == session_state::inTransaction) {
            if (ended.commits)
                endTransaction(to, now);
            else
                to.state = session_state::failedTransaction;
        }
        if (to.state == session_state::idle && to.admitted) {
            m_outputs.push_back(settle_admission{to.number, to.workspace, ended.attempts > 0});
            to.admitted = false;
        }
    }
    reply(to, {{}, rejected{code, std::move(text)}, to.state, {}}, now);
    if (to.leaving && !to.job)
        return forget(to.number, now);
    processNext(to, now);
}

/** The caller's transaction is over; what is open of it at the member is rolled back. */
void dispatcher::endTransaction(caller &from, time_point now)
{
    releaseBound(from, now);
    if (from.admitted) {
        m_outputs.push_back(settle_admission{from.number, from.workspace, true});
        from.admitted = false;
    }
    from.state = session_state::idle;
    from.rolledBack = false;
    from.readOnly = false;
    from.wrote = false;
}

dispatch_outputs dispatcher::callerLeft(session_number session, time_point now)
{
    auto *from = findCaller(session);
    if (!from || from->leaving)
        return take();
    from->leaving = true;
    from->waiting.clear();
    if (from->job && from->job->at == job_stage::running)
        return take(); // forgotten when the member has answered
    if (from->job && from->job->at == job_stage::queued)
        std::erase(group(*from).queue, session);
    if (from->job && from->job->at == job_stage::awaitingAdmission)
        m_outputs.push_back(cancel_admission{session, from->workspace});
    from->job.reset();
    forget(session, now);
    return take();
}

void dispatcher::forget(session_number session, time_point now)
{
    auto *from = findCaller(session);
    if (!from)
        return;
    endTransaction(*from, now);
    m_callers.erase(session);
}

dispatch_outputs dispatcher::closeIdleSessions(std::size_t count, time_point now)
{
    std::vector<session_number> idle;
    for (const auto &[number, each] : m_callers) {
        if (idle.size() >= count)
            break;
        if (each.state == session_state::idle && !each.job && each.waiting.empty() && !each.leaving)
            idle.push_back(number);
    }
    std::ranges::for_each(idle, [&](session_number number) {
        m_outputs.push_back(close_caller{number});
        forget(number, now);
    });
    return take();
}

dispatch_outputs dispatcher::endOpenTransactions(time_point now)
{
    for (auto &[key, each] : m_callers) {
        if (each.state != session_state::inTransaction || each.job || each.rolledBack)
            continue;
        releaseBound(each, now);
        each.rolledBack = true;
    }
    return take();
}

dispatch_outputs dispatcher::endIdleTransactions(const database_id &database, time_point now)
{
    const auto &state = m_databases[database];
    for (auto &[key, each] : m_callers) {
        if (each.bound == 0 || each.job || each.readOnly || each.route.database != database)
            continue;
        if (!isPrimary(state, each.boundServer))
            continue;
        releaseBound(each, now);
        each.rolledBack = true;
    }
    return take();
}

bool dispatcher::isIdle() const
{
    const auto rests = [](const caller &each) {
        return !each.job && each.state == session_state::idle;
    };
    return std::ranges::all_of(m_callers, rests, mappedOf);
}

void dispatcher::record(const caller &from, const statement_job &ended, std::string outcome,
                        std::string cause, const server_id &server, time_point now)
{
    record_outcome entry;
    entry.session = from.number;
    entry.request = ended.request.id;
    entry.route = from.databaseName;
    entry.database = from.route.database;
    entry.workspace = from.workspace;
    entry.outcome = std::move(outcome);
    entry.cause = std::move(cause);
    entry.server = server;
    entry.latency = now - ended.arrived;
    entry.queued = ended.queued
                   + (ended.at == job_stage::queued ? now - ended.queuedSince : duration::zero());
    entry.attempts = ended.attempts;
    entry.late = now > ended.objective;
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
            entry.inputs.emplace_back("floor_age_ms", milliseconds(now - newest->coversUntil));
    }
    m_outputs.push_back(std::move(entry));
}

void dispatcher::recordStep(const caller &from, std::string step, const server_id &server,
                            std::string_view why)
{
    const auto &of = *from.job;
    m_outputs.push_back(record_step{of.request.id,
                                    std::move(step),
                                    {{"server", server.str()},
                                     {"reason", std::string(why)},
                                     {"attempts", std::to_string(of.attempts)}}});
}

} // namespace sycamorespan
