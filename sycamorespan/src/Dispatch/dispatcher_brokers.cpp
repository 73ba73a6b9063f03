#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>

namespace sycamorespan {

namespace {

using namespace dispatch_action;
using internal::prepared_statement;
using internal::statement_job;

/** Name of the prepared statement that a served operation executes. */
const std::string servedStatementName = "s";

/** Time by which a broker's answer precedes the deadline at the caller's instance: a few round
 * trips between data centres.
 */
constexpr duration brokerAnswerMargin = 10ms;

} // namespace

void dispatcher::setBrokers(std::map<database_id, instance_id> brokers, instance_id self,
                            std::size_t sharers)
{
    m_brokers = std::move(brokers);
    m_self = std::move(self);
    m_brokersOfDatabase = std::max<std::size_t>(sharers, 1);
}

/** \returns the other instance that is to run the statement; nothing if this one does. */
std::optional<instance_id> dispatcher::brokerOf(const caller &from) const
{
    // A broker is in the area of this instance, which need not be the caller's own.
    if (from.served || !from.job || from.job->avoidsBroker || !isHome(from, m_own))
        return std::nullopt;
    const auto broker = m_brokers.find(from.route.database);
    if (broker == m_brokers.end() || broker->second == m_self)
        return std::nullopt;
    return broker->second;
}

void dispatcher::handOver(caller &from, const instance_id &broker, time_point now)
{
    auto &job = *from.job;
    brokered_statement statement;
    if (from.broker.empty()) {
        from.broker = broker;
        from.handedOver = ++m_lastOperation;
    }
    job.currentStage = job_stage::running;
    job.queueTime += now - job.queuedSince;
    job.sentAt = now;
    ++job.attempts;
    job.handOver = ++m_lastHandOver;
    statement.operation = from.handedOver;
    statement.number = job.handOver;
    statement.requestId = job.request.id;
    statement.text = job.request.text;
    if (const auto *execute = std::get_if<caller_statement::execute>(&job.request.parsed)) {
        const auto &prepared = from.prepared.at(execute->name);
        statement.work =
                brokered_execution{prepared.access, prepared.statementShape, execute->arguments};
        statement.text.clear();
    } else if (job.isCommit) {
        statement.work = caller_statement::commit{};
    } else {
        statement.work = caller_statement::direct{job.access};
    }
    statement.databaseName = from.databaseName;
    statement.workspace = from.workspace;
    if (from.state == session_state::inTransaction)
        statement.transaction =
                brokered_transaction{from.readOnly, !job.startsTransaction, now - from.begunAt};
    statement.values = from.values;
    statement.lastCommitPosition = from.lastCommitPosition;
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
    from.broker = {};
}

dispatch_outputs dispatcher::brokerAnswered(const instance_id &broker,
                                            const brokered_answer &answer, time_point now)
{
    const auto isAnswered = [&](const auto &entry) {
        const auto &each = entry.second;
        return each.job && each.broker == broker && each.handedOver == answer.operation
               && each.job->handOver == answer.number;
    };
    const auto found = std::ranges::find_if(m_callers, isAnswered);
    if (found == m_callers.end())
        return takeOutputs();
    auto &from = found->second;
    if (answer.wasSent)
        charge(from);
    if (answer.isDeclined) {
        const bool canMove =
                from.state != session_state::inTransaction || from.job->startsTransaction;
        from.broker = {};
        if (!canMove) {
            reject(from, statement_error::aborted, "the broker left: rolled back", now);
            return takeOutputs();
        }
        from.job->avoidsBroker = true;
        from.hasWritten = false;
        enqueue(from, now);
        return takeOutputs();
    }
    if (const auto *why = std::get_if<rejected>(&answer.answer.result)) {
        if (answer.answer.state != session_state::inTransaction)
            from.broker = {};
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
    record(from, ended, "completed", {}, server_id(broker.str()), now);
    reply(from, answer.answer, now);
    if (from.isDisconnected)
        removeCaller(from.number, now);
    else
        processNextRequest(from, now);
    return takeOutputs();
}

dispatch_outputs dispatcher::brokerLost(const instance_id &broker, time_point now)
{
    std::erase_if(m_brokers, [&](const auto &each) { return each.second == broker; });
    std::vector<session_number> affected;
    for (const auto &[number, each] : m_callers)
        if (each.broker == broker)
            affected.push_back(number);
    std::ranges::for_each(affected, [&](session_number number) {
        auto *from = findCaller(number);
        if (!from)
            return;
        if (from->job) {
            from->job->avoidsBroker = true;
            charge(*from);
        }
        onConnectionLost(*from, server_id(broker.str()), "the connection to the broker broke", now);
    });
    return takeOutputs();
}

/** Tells the other instance that its statement was not accepted. */
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

dispatch_outputs dispatcher::handedOver(session_number session, const brokered_statement &statement,
                                        time_point now)
{
    const bool isBegun = statement.transaction && statement.transaction->isBegun;
    const auto route = m_directory->routes.find(statement.databaseName);
    auto *known = findCaller(session);
    if (isBegun ? !known || known->state != session_state::inTransaction
                : route == m_directory->routes.end() || m_acceptedWork != accepted_work::all) {
        decline(session, statement, "the broker does not serve the operation");
        return takeOutputs();
    }
    auto &from = known ? *known : m_callers[session];
    if (!isBegun) {
        from.number = session;
        from.databaseName = statement.databaseName;
        from.route = route->second;
        from.workspace = statement.workspace;
        from.isAdmitted = true; // by the caller's instance
        from.isCharged = true;
        if (statement.transaction) {
            from.state = session_state::inTransaction;
            from.readOnly = statement.transaction->readOnly;
            from.begunAt = now - statement.transaction->age;
        }
    }
    from.lastActive = now;
    from.values = statement.values;
    from.lastCommitPosition = std::max(from.lastCommitPosition, statement.lastCommitPosition);
    from.served =
            internal::brokered_session{statement.operation, statement.number,
                                       now + statement.timeLeft, now + statement.objectiveLeft};
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
    return takeOutputs();
}

/** Answers the statement of another instance. */
void dispatcher::answerHandOver(caller &to, statement_answer answer)
{
    answer.position = to.lastCommitPosition;
    if (to.isDisconnected)
        return;
    brokered_answer message;
    message.operation = to.served->operation;
    message.number = to.served->statement;
    const auto *why = std::get_if<rejected>(&answer.result);
    message.wasSent = !why || why->code != statement_error::busy;
    message.answer = std::move(answer);
    m_outputs.push_back(answer_hand_over{to.number, std::move(message)});
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
