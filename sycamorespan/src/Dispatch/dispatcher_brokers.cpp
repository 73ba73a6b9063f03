#include "sycamorespan/src/Core/map_projections.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace sycamorespan {

namespace {

using namespace dispatch_action;
using internal::caller_state;

/** Name of the prepared statement that a served operation executes. */
const std::string servedStatementName = "s";

/** Time by which a broker's answer precedes the deadline at the caller's instance: a few round
 * trips between data centres.
 */
constexpr duration brokerAnswerMargin = 10ms;

/** Outcome in the log of a statement that this instance declined as a broker. */
const std::string declinedOutcome = "declined";

/** Bytes of a message to a broker beside its texts. */
constexpr std::size_t messageFieldBytes = 512;

/** Bytes in front of a text in a message to a broker. */
constexpr std::size_t textPrefixBytes = 9;

/** \returns the length that the message which hands over the statement in progress has at most. */
std::size_t maximumMessageBytes(const caller_state &from)
{
    const auto &request = from.job->request;
    auto bytes = messageFieldBytes + request.id.size() + request.text.size()
                 + from.databaseName.size() + from.workspace.str().size();
    if (const auto *prepared = from.executed())
        bytes += prepared->statementShape.size();
    return std::accumulate(
            from.values.begin(), from.values.end(), bytes, [](std::size_t sum, const auto &each) {
                return sum + 2 * textPrefixBytes + each.first.size() + each.second.size();
            });
}

/** \returns whether the statement in progress is a read outside a transaction, which may run again.
 */
bool isSingleRead(const caller_state &from)
{
    return from.state == session_state::idle && from.job->access == statement_access::read;
}

/** \returns what a broker is to run for the statement in progress. */
brokered_work workOf(const caller_state &from)
{
    const auto &job = *from.job;
    if (const auto *execute = std::get_if<caller_statement::execute>(&job.request.parsed)) {
        const auto &prepared = from.prepared.at(execute->name);
        return brokered_execution{prepared.access, prepared.statementShape, execute->arguments};
    }
    if (job.isCommit)
        return caller_statement::commit{};
    return caller_statement::direct{job.access};
}

} // namespace

void dispatcher::setBrokers(std::map<database_id, instance_id> brokers, instance_id self,
                            std::size_t sharers)
{
    m_brokers = std::move(brokers);
    m_self = std::move(self);
    m_brokersOfDatabase = std::max<std::size_t>(sharers, 1);
}

std::size_t dispatcher::servedCount() const
{
    const auto isServed = [](const caller &each) { return each.served.has_value(); };
    return static_cast<std::size_t>(std::ranges::count_if(m_callers, isServed, mappedOf));
}

/** \returns the other instance that is to run the statement; nothing if this one does. */
std::optional<instance_id> dispatcher::brokerOf(const caller &from, time_point now) const
{
    // A broker is in the area of this instance, which need not be the caller's own.
    if (from.served || !from.job || from.job->avoidsBroker || !isHome(from, m_own))
        return std::nullopt;
    const auto broker = m_brokers.find(from.route.database);
    if (broker == m_brokers.end() || broker->second == m_self)
        return std::nullopt;
    const auto state = m_databases.find(from.route.database);
    if (state != m_databases.end()) {
        const auto &avoided = state->second;
        if (now < avoided.brokerAvoidedUntil
            || (from.job->needsPrimary && now < avoided.brokerAvoidedForPrimaryUntil))
            return std::nullopt;
    }
    if (maximumMessageBytes(from) > maximumHandOverBytes)
        return std::nullopt;
    return broker->second;
}

void dispatcher::handOver(caller &from, const instance_id &broker, time_point now)
{
    auto &job = *from.job;
    if (from.broker.empty()) {
        from.broker = broker;
        from.handedOver = ++m_lastOperation;
        m_handedOver.emplace(from.handedOver, from.number);
    }
    job.currentStage = job_stage::running;
    job.queueTime += now - job.queuedSince;
    job.sentAt = now;
    ++job.attempts;
    job.handOver = ++m_lastHandOver;
    job.broker = from.broker;
    job.lastAttempt = {};
    brokered_statement statement;
    statement.operation = from.handedOver;
    statement.number = job.handOver;
    statement.requestId = job.request.id;
    statement.work = workOf(from);
    if (!std::holds_alternative<brokered_execution>(statement.work))
        statement.text = job.request.text;
    statement.databaseName = from.databaseName;
    statement.workspace = from.workspace;
    if (from.state == session_state::inTransaction)
        statement.transaction =
                brokered_transaction{from.readOnly, !job.startsTransaction, now - from.begunAt};
    statement.values = from.values;
    statement.lastCommitPosition = from.lastCommitPosition;
    statement.configurationVersion = m_directory->version;
    statement.timeLeft = job.deadline - now - brokerAnswerMargin;
    statement.objectiveLeft = job.latencyDeadline - now;
    if (job.access == statement_access::write)
        from.hasWritten = true;
    m_outputs.push_back(hand_over{from.broker, std::move(statement)});
}

/** Ends the operation at its broker, if one runs it. */
void dispatcher::endHandOver(caller &from)
{
    if (from.broker.empty())
        return;
    m_outputs.push_back(end_hand_over{from.broker, {from.handedOver}});
    leaveBroker(from);
}

/** Forgets the broker of the operation, which is over there. */
void dispatcher::leaveBroker(caller &from)
{
    m_handedOver.erase(from.handedOver);
    from.broker = {};
    from.handedOver = 0;
}

dispatch_outputs dispatcher::brokerAnswered(const instance_id &broker,
                                            const brokered_answer &answer, time_point now)
{
    const auto session = m_handedOver.find(answer.operation);
    auto *found = session == m_handedOver.end() ? nullptr : findCaller(session->second);
    if (!found || !found->job || found->broker != broker || found->job->handOver != answer.number
        || found->job->currentStage != job_stage::running)
        return takeOutputs(); // the statement has ended here in the meantime
    auto &from = *found;
    if (answer.wasSent)
        charge(from);
    const auto *why = std::get_if<rejected>(&answer.answer.result);
    if (answer.isDeclined) {
        returnDeclined(from, why ? why->text : std::string(), now);
        return takeOutputs();
    }
    if (why) {
        if (answer.answer.state != session_state::inTransaction)
            leaveBroker(from);
        if (why->code == statement_error::inDoubt && isSingleRead(from)) {
            runHere(from, "repeat", why->text, now);
            return takeOutputs();
        }
        reject(from, why->code, why->text, now);
        return takeOutputs();
    }
    auto ended = std::move(*from.job);
    from.job.reset();
    if (answer.answer.position)
        from.lastCommitPosition = std::max(from.lastCommitPosition, *answer.answer.position);
    from.state = answer.answer.state;
    if (from.state == session_state::idle) {
        unbind(from);
        releaseAdmission(from);
        from.hasWritten = false;
        from.readOnly = false;
    }
    record(from, ended, "completed", {}, {}, now);
    reply(from, answer.answer, now);
    rollBackWithoutKey(from, now);
    if (from.isDisconnected)
        removeCaller(from.number, now);
    else
        processNextRequest(from, now);
    return takeOutputs();
}

/** Runs a statement here that its broker declined, so that it did not run there. */
void dispatcher::returnDeclined(caller &from, const std::string &why, time_point now)
{
    const bool isBegun = from.continuesTransaction();
    if (isBegun)
        endHandOver(from); // the broker may still have the transaction open
    else
        leaveBroker(from);
    if (isBegun && !from.isDisconnected)
        return reject(from, statement_error::aborted, why + ": rolled back", now);
    if (!isBegun) {
        auto &state = group(from);
        auto &avoidedUntil = from.job->needsPrimary ? state.brokerAvoidedForPrimaryUntil
                                                    : state.brokerAvoidedUntil;
        avoidedUntil = now + m_policy.avoidancePeriod;
    }
    runHere(from, "declined", why, now);
}

/** Runs a statement that is over at its broker on a connection of this instance. */
void dispatcher::runHere(caller &from, std::string step, std::string_view why, time_point now)
{
    if (from.isDisconnected) {
        from.job.reset();
        return removeCaller(from.number, now);
    }
    if (!holdsKey(from))
        return endStatementWithoutKey(from, now);
    recordStep(from, std::move(step), {}, why);
    from.job->avoidsBroker = true;
    from.hasWritten = false;
    enqueue(from, now);
}

dispatch_outputs dispatcher::brokerLost(const instance_id &broker, time_point now)
{
    std::erase_if(m_brokers, [&](const auto &each) { return each.second == broker; });
    std::vector<session_number> affected;
    for (const auto &[operation, session] : m_handedOver)
        if (const auto *from = findCaller(session); from && from->broker == broker)
            affected.push_back(session);
    std::ranges::for_each(affected, [&](session_number number) {
        auto *from = findCaller(number);
        if (!from || from->broker != broker)
            return;
        if (from->job)
            charge(*from); // the broker may have sent it
        onConnectionLost(*from, {}, "the link to broker " + broker.str() + " broke", now);
    });
    return takeOutputs();
}

/** Tells the other instance that its statement is not served. */
void dispatcher::decline(session_number session, const brokered_statement &statement,
                         std::string why)
{
    brokered_answer answer;
    answer.operation = statement.operation;
    answer.number = statement.number;
    answer.isDeclined = true;
    answer.answer.result = rejected{statement_error::busy, std::move(why)};
    m_outputs.push_back(answer_hand_over{session, std::move(answer)});
}

/** \returns whether the primary of a valid view can't be reached from here, although other
 * instances may reach it.
 */
bool dispatcher::isPrimaryUnreachable(const database_state &group, time_point now) const
{
    if (!isPrimaryUsable(group, now))
        return false;
    const auto &pool = m_pools.at(group.primary->server);
    const auto heard = pool.lastMessageAt();
    return !isMemberUsable(pool, now) && (!heard || now - *heard > m_policy.avoidancePeriod);
}

dispatch_outputs dispatcher::handedOver(session_number session, const instance_id &instance,
                                        const brokered_statement &statement, time_point now)
{
    const bool isBegun = statement.transaction && statement.transaction->isBegun;
    const auto route = m_directory->routes.find(statement.databaseName);
    auto *known = findCaller(session);
    const auto reason = [&]() -> std::string {
        if (isBegun)
            return known && !known->job && known->state == session_state::inTransaction
                           ? ""
                           : "the broker does not have the transaction";
        if (known)
            return "the operation has ended";
        if (m_acceptedWork != accepted_work::all)
            return "the broker is shutting down";
        if (m_directory->version < statement.configurationVersion)
            return "the broker has an older configuration";
        return route == m_directory->routes.end() ? "the broker does not know the route" : "";
    }();
    if (!reason.empty()) {
        decline(session, statement, reason);
        if (known) {
            auto outputs = takeOutputs();
            std::ranges::move(callerDisconnected(session, now), std::back_inserter(outputs));
            return outputs;
        }
        return takeOutputs();
    }
    auto &from = known ? *known : m_callers[session];
    if (!isBegun) {
        from.number = session;
        from.databaseName = statement.databaseName;
        from.route = route->second;
        from.workspace = statement.workspace;
        from.isAdmitted = true; // by the caller's instance
        from.served.emplace();
        from.served->instance = instance;
        from.served->operation = statement.operation;
        if (statement.transaction) {
            from.state = session_state::inTransaction;
            from.readOnly = statement.transaction->readOnly;
            from.begunAt = now - statement.transaction->age;
        }
    }
    serve(from, statement, now);
    return takeOutputs();
}

/** Runs a statement of another instance in the session of its operation. */
void dispatcher::serve(caller &from, const brokered_statement &statement, time_point now)
{
    from.lastActive = now;
    from.values = statement.values;
    from.lastCommitPosition = std::max(from.lastCommitPosition, statement.lastCommitPosition);
    from.served->statement = statement.number;
    from.served->deadline = now + statement.timeLeft;
    from.served->latencyDeadline = now + statement.objectiveLeft;
    caller_request request{statement.requestId, statement.text, {}};
    std::visit(
            overloaded{[&](const brokered_execution &each) {
                           from.prepared[servedStatementName] = {each.access, each.statementShape};
                           request.parsed =
                                   caller_statement::execute{servedStatementName, each.arguments};
                       },
                       [&](const auto &each) { request.parsed = each; }},
            statement.work);
    process(from, std::move(request), now);
}

/** Answers the statement of another instance. One that was not sent to a member is declined if the
 * other instance may be able to run it itself.
 */
void dispatcher::answerHandOver(caller &to, statement_answer answer, time_point now)
{
    answer.position = to.lastCommitPosition;
    if (to.isDisconnected)
        return;
    brokered_answer message;
    message.operation = to.served->operation;
    message.number = to.served->statement;
    message.wasSent = to.served->wasSent;
    const auto *why = std::get_if<rejected>(&answer.result);
    const bool isRefused = why && why->code == statement_error::busy && !message.wasSent;
    message.isDeclined = isRefused
                         && (m_acceptedWork != accepted_work::all || !isBrokerOf(to.route.database)
                             || !isPrimaryUsable(group(to), now));
    message.answer = std::move(answer);
    m_outputs.push_back(answer_hand_over{to.number, std::move(message)});
}

/** Declines waiting statements of other instances that require a primary which can't be reached
 * from here.
 */
void dispatcher::declineUnreachable(time_point now)
{
    std::vector<session_number> declined;
    for (const auto &[number, each] : m_callers) {
        if (!each.served || each.served->wasSent || !each.job
            || each.job->currentStage != job_stage::queued || !each.job->needsPrimary)
            continue;
        const auto state = m_databases.find(each.route.database);
        if (state != m_databases.end() && isPrimaryUnreachable(state->second, now))
            declined.push_back(number);
    }
    std::ranges::for_each(declined, [&](session_number number) {
        auto &from = *findCaller(number);
        const auto why =
                "the broker does not reach the primary of database " + from.route.database.str();
        brokered_statement statement;
        statement.operation = from.served->operation;
        statement.number = from.served->statement;
        record(from, *from.job, declinedOutcome, why, {}, now);
        group(from).queue.erase(number);
        from.job.reset();
        decline(number, statement, why);
        removeCaller(number, now);
    });
}

/** Removes the sessions of operations that have ended. */
void dispatcher::removeServedOperations(time_point now)
{
    std::vector<session_number> ended;
    for (const auto &[number, each] : m_callers)
        if (each.served && !each.job && each.state != session_state::inTransaction)
            ended.push_back(number);
    std::ranges::for_each(ended, [&](session_number number) { removeCaller(number, now); });
}

} // namespace sycamorespan
