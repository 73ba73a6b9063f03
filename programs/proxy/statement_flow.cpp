#include "programs/proxy/statement_flow.h"

#include <algorithm>
#include <utility>

namespace sycamorespan::proxy {
namespace {

constexpr duration retryInterval = 20ms;
constexpr std::size_t maximumReplicaTries = 2;
/** Longest wait for a slot of a replica; after it, another member is tried. */
constexpr duration replicaSlotWait = 100ms;

error_report makeError(std::string_view code, const std::string &message)
{
    return {"ERROR", std::string(code), message, {}, {}};
}

/** \returns whether the server refused the statement because it is not, or no longer, the
 * primary; the statement did not run then.
 */
bool isRoleRefusal(const sql_result &result)
{
    return result.error
           && (result.error->sqlstate == sqlstate::readOnlySqlTransaction
               || result.error->sqlstate == sqlstate::cannotConnectNow);
}

} // namespace

statement_flow::statement_flow(ev::loop_ref loop, database_task &database, workspace_id workspace,
                               duration planStaleness, const statement_bounds &bounds,
                               statement_counters &counters)
    : m_loop(loop)
    , m_database(database)
    , m_workspace(std::move(workspace))
    , m_planStaleness(planStaleness)
    , m_bounds(bounds)
    , m_counters(counters)
    , m_retryTimer(loop, [this] { chooseMember(); })
    , m_alive(std::make_shared<bool>(true))
{ }

statement_flow::~statement_flow()
{
    abandon();
}

void statement_flow::start(statement_request request, finished_handler onFinished)
{
    ++m_counters.statements;
    m_request = std::move(request);
    m_onFinished = std::move(onFinished);
    m_deadline = monotonicNow() + m_bounds.queueDeadline;
    m_triedReplicas.clear();
    m_mayHaveRun = false;
    chooseMember();
}

void statement_flow::cancelRunning()
{
    if (m_connection != nullptr)
        m_connection->cancelRunning();
}

void statement_flow::abandon()
{
    *m_alive = false;
    m_alive = std::make_shared<bool>(true);
    m_retryTimer.stop();
    m_request.reset();
    m_onFinished = nullptr;
    if (m_waiter != 0)
        m_database.abandonWait(std::exchange(m_waiter, 0));
    releaseConnection();
}

bool statement_flow::isRead() const
{
    return m_request->kind == statement_kind::read || m_request->kind == statement_kind::show;
}

bool statement_flow::isPinned() const
{
    return m_request->step != transaction_step::none && m_request->step != transaction_step::start;
}

bool statement_flow::mayUseReplica() const
{
    const bool readOnly =
            m_request->step == transaction_step::none
            || (m_request->step == transaction_step::start && m_request->readOnlyTransaction);
    const auto staleness = boundedStaleness(m_request->maxStaleness, m_planStaleness);
    return readOnly && isRead() && m_request->position && staleness > duration::zero()
           && m_triedReplicas.size() < maximumReplicaTries;
}

void statement_flow::chooseMember()
{
    if (isPinned()) {
        if (m_connection == nullptr)
            return fail(sqlstate::connectionFailure,
                        "the transaction's connection is lost: nothing of it was kept", true);
        return send();
    }
    if (mayUseReplica()) {
        const auto candidates = m_database.replicaCandidates(*m_request->position);
        const auto untried = std::ranges::find_if(candidates, [this](const server_id &server) {
            return !m_triedReplicas.contains(server);
        });
        if (untried != candidates.end()) {
            m_triedReplicas.insert(*untried);
            return acquire(*untried, target_kind::replica);
        }
    }
    const auto &view = m_database.view();
    if (view.primary.empty())
        return retryLater(sqlstate::cannotConnectNow, "no primary is known");
    acquire(view.primary, target_kind::primary);
}

void statement_flow::acquire(const server_id &server, target_kind kind)
{
    m_pool = m_database.pool(server);
    if (m_pool == nullptr)
        return retryLater(sqlstate::cannotConnectNow, "the primary is not configured");
    m_server = server;
    m_targetKind = kind;
    const auto slotDeadline = kind == target_kind::primary
                                      ? m_deadline
                                      : std::min(m_deadline, monotonicNow() + replicaSlotWait);
    m_lease = m_pool->acquire(
            m_workspace, slotDeadline,
            [this, alive = m_alive](backend_connection *connection, slot_refusal reason) {
                if (*alive)
                    onGranted(connection, reason);
            });
}

void statement_flow::onGranted(backend_connection *connection, slot_refusal reason)
{
    m_connection = connection;
    if (connection != nullptr)
        return send();
    m_lease = 0;
    if (m_targetKind == target_kind::replica) {
        m_database.noteUnreachable(m_server);
        return chooseMember();
    }
    if (reason != slot_refusal::memberUnreachable)
        return refuse(sqlstate::tooManyConnections, "no slot of the database was free in time");
    retryLater(sqlstate::cannotConnectNow, "the primary can't be reached");
}

void statement_flow::send()
{
    const auto sentAt = monotonicNow();
    m_mayHaveChangedSession = m_mayHaveChangedSession || m_request->kind == statement_kind::write;
    m_connection->run(steps(), m_bounds.statementTimeout,
                      [this, sentAt, alive = m_alive](backend_reply reply) {
                          if (*alive)
                              onReply(std::move(reply), sentAt);
                      });
}

std::vector<backend_step> statement_flow::steps() const
{
    const backend_step statement{m_request->sql, true};
    const backend_step position{reportQuery(), true};
    if (m_targetKind == target_kind::replica) {
        std::vector<backend_step> result{{reportQuery(), true}};
        if (m_request->step == transaction_step::start)
            result.push_back({{m_request->beginText}, false});
        result.push_back(statement);
        return result;
    }
    switch (m_request->step) {
    case transaction_step::none:
        return m_request->sql.describeOnly ? std::vector{statement}
                                           : std::vector{statement, position};
    case transaction_step::start:
        return {{{m_request->beginText}, false}, statement};
    case transaction_step::inside:
        return {statement};
    case transaction_step::commit:
        return {{{"COMMIT"}, true}, position};
    case transaction_step::rollback:
        return {{{"ROLLBACK"}, true}};
    }
    return {};
}

void statement_flow::onReply(backend_reply reply, time_point sentAt)
{
    if (reply.connectionLost) {
        const bool failureReported = m_request->step == transaction_step::none
                                     && m_targetKind == target_kind::primary
                                     && !reply.results.empty() && reply.results.front().error;
        if (!failureReported)
            return onConnectionLost();
        releaseConnection();
        return finish(reply.results.front(), std::nullopt);
    }
    if (m_targetKind == target_kind::replica && !isPinned())
        return onReplicaReply(reply, sentAt);
    onPrimaryReply(reply);
}

void statement_flow::onReplicaReply(backend_reply &reply, time_point sentAt)
{
    std::optional<member_report> report;
    try {
        report = parseReport(reply.results.front(), sentAt);
        m_database.noteReport(m_server, *report);
    } catch (const decode_error &) { }
    auto &result = reply.results.back();
    const bool usable = report && isFreshEnough(*report) && !isRoleRefusal(result);
    if (!usable) {
        ++m_counters.staleReplicaAnswers;
        m_mayHaveRun = m_mayHaveRun || !result.error;
        releaseConnection();
        return chooseMember();
    }
    ++m_counters.replicaReads;
    const bool keepsConnection = m_request->step == transaction_step::start;
    if (!keepsConnection)
        releaseConnection();
    finish(std::move(result), report->position);
}

bool statement_flow::isFreshEnough(const member_report &report) const
{
    const auto staleness = boundedStaleness(m_request->maxStaleness, m_planStaleness);
    return report.role == member_role::replica && report.staleness && *report.staleness <= staleness
           && report.position >= *m_request->position;
}

void statement_flow::onPrimaryReply(backend_reply &reply)
{
    const auto step = m_request->step;
    if (step == transaction_step::rollback) {
        releaseConnection();
        return finishRollback();
    }
    if (step == transaction_step::start && reply.results.front().error)
        reply.results.back().error = reply.results.front().error;
    const auto statementIndex = step == transaction_step::start ? std::size_t{1} : std::size_t{0};
    auto result = std::move(reply.results.at(statementIndex));
    if (isRoleRefusal(result) && !isPinned() && m_targetKind == target_kind::primary) {
        const auto reason = result.error->message;
        releaseConnection();
        return retryLater(sqlstate::cannotConnectNow, reason);
    }
    if (step == transaction_step::start || step == transaction_step::inside)
        return finish(std::move(result), std::nullopt);
    releaseConnection();
    if (m_request->sql.describeOnly || result.error)
        return finish(std::move(result), std::nullopt);
    (isRead() ? m_counters.primaryReads : m_counters.writes) += 1;
    try {
        const auto report = parseReport(reply.results.back(), {});
        waitForMajority(std::move(result), report.position);
    } catch (const decode_error &) {
        ++m_counters.outcomeUnknown;
        fail(sqlstate::transactionResolutionUnknown, "outcome unknown: no position was reported",
             true);
    }
}

void statement_flow::onConnectionLost()
{
    releaseConnection();
    const auto step = m_request->step;
    if (step == transaction_step::rollback) {
        return finishRollback();
    }
    if (step == transaction_step::start || step == transaction_step::inside)
        return fail(sqlstate::connectionFailure,
                    "the connection to the database was lost: nothing of the transaction was kept",
                    true);
    if (step == transaction_step::none && (isRead() || m_request->sql.describeOnly)) {
        ++m_counters.retries;
        m_mayHaveRun = true;
        return retryLater(sqlstate::connectionFailure, "the connection to the database was lost");
    }
    ++m_counters.outcomeUnknown;
    fail(sqlstate::transactionResolutionUnknown,
         "outcome unknown: the connection to the database was lost", true);
}

void statement_flow::waitForMajority(sql_result result, const log_position &position)
{
    const auto deadline = monotonicNow() + m_bounds.statementTimeout;
    auto shared = std::make_shared<sql_result>(std::move(result));
    auto ended = std::make_shared<bool>(false);
    const auto waiter = m_database.waitForMajority(
            position, deadline, [this, alive = m_alive, shared, ended, position](bool hasMajority) {
                *ended = true;
                if (!*alive)
                    return;
                m_waiter = 0;
                if (hasMajority)
                    return finish(std::move(*shared), position);
                ++m_counters.outcomeUnknown;
                fail(sqlstate::transactionResolutionUnknown,
                     "outcome unknown: no majority confirmed it in this term", true);
            });
    if (!*ended)
        m_waiter = waiter;
}

void statement_flow::retryLater(std::string_view code, const std::string &reason)
{
    if (monotonicNow() + retryInterval >= m_deadline)
        return refuse(code, reason);
    m_retryTimer.startOnce(retryInterval);
}

void statement_flow::refuse(std::string_view code, const std::string &reason)
{
    ++m_counters.refusedNotRun;
    const bool notRun = !m_mayHaveRun;
    fail(code, notRun ? reason + ": not run" : reason, true, notRun);
}

void statement_flow::fail(std::string_view code, const std::string &reason, bool transactionEnded,
                          bool notRun)
{
    sql_result result;
    result.error = makeError(code, reason);
    result.transactionEnded = transactionEnded;
    end({std::move(result), std::nullopt, notRun});
}

void statement_flow::finish(sql_result result, std::optional<log_position> position)
{
    end({std::move(result), position, false});
}

/** Reports success also after a lost connection, as the server then rolls back by itself. */
void statement_flow::finishRollback()
{
    sql_result result;
    result.tag = "ROLLBACK";
    finish(std::move(result), std::nullopt);
}

void statement_flow::end(outcome result)
{
    m_request.reset();
    const auto onFinished = std::exchange(m_onFinished, nullptr);
    onFinished(std::move(result));
}

void statement_flow::releaseConnection()
{
    m_connection = nullptr;
    if (m_lease != 0)
        m_pool->release(std::exchange(m_lease, 0), std::exchange(m_mayHaveChangedSession, false)
                                                           ? lease_use::mayHaveChangedSession
                                                           : lease_use::readOnly);
}

} // namespace sycamorespan::proxy
