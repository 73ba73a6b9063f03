#include "sycamorespan/src/Session/caller_session.h"

#include <algorithm>
#include <array>
#include <utility>

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Protocol/sqlstate.h"
#include "sycamorespan/src/Session/internal/session_errors.h"
#include "sycamorespan/src/Session/session_options.h"

namespace sycamorespan {
namespace {

using internal::errorOf;

constexpr std::string_view characterNotInRepertoire = "22021";
constexpr std::string_view noActiveSqlTransaction = "25P01";
constexpr std::string_view programLimitExceeded = "54000";

/** Session parameters that are accepted and ignored, because they have no effect on the results of
 * other callers that share a connection.
 */
constexpr std::array<std::string_view, 3> ignoredParameters{
        "application_name", "extra_float_digits", "client_min_messages"};

error_report abortedTransaction()
{
    return errorOf(sqlstate::inFailedSqlTransaction,
                   "current transaction is aborted, commands ignored until end of transaction "
                   "block");
}

error_report unknownStatement(const std::string &name)
{
    return errorOf(sqlstate::invalidStatementName,
                   "prepared statement \"" + name + "\" does not exist");
}

error_report unknownPortal(const std::string &name)
{
    return errorOf(sqlstate::invalidCursorName, "portal \"" + name + "\" does not exist");
}

std::int16_t commonFormat(const std::vector<std::int16_t> &formats)
{
    return formats.empty() ? std::int16_t{0} : formats.front();
}

bool isMixed(const std::vector<std::int16_t> &formats)
{
    return std::ranges::any_of(
            formats, [&formats](std::int16_t format) { return format != formats.front(); });
}

/** \returns whether a parameter in text format holds a NUL. The backend server refuses it, and its
 * client library would cut the text there.
 */
bool hasNulInText(const bind_message &message)
{
    const auto &formats = message.parameterFormats;
    const auto isText = [&](std::size_t index) {
        return formats.empty() || formats[std::min(index, formats.size() - 1)] == 0;
    };
    for (std::size_t index = 0; index < message.parameters.size(); ++index) {
        const auto &parameter = message.parameters[index];
        if (parameter && isText(index) && parameter->find('\0') != std::string::npos)
            return true;
    }
    return false;
}

} // namespace

caller_session::caller_session(const session_limits &limits, statement_classifier &classifier)
    : m_limits(limits)
    , m_classifier(classifier)
    , m_decoder(limits.messageBytes)
{ }

std::vector<session_action> caller_session::handle(const session_event &event)
{
    if (m_phase != phase::closed)
        std::visit([this](const auto &value) { onEvent(value); }, event);
    flush();
    return std::exchange(m_actions, {});
}

bool caller_session::isIdle() const noexcept
{
    return !m_running && m_operations.empty() && m_transaction == transaction_state::none;
}

void caller_session::onEvent(const caller_bytes &event)
{
    m_decoder.feed(event.bytes);
    try {
        decodeFrames();
        runOperations();
    } catch (const decode_error &problem) {
        closeWith({"FATAL", std::string(sqlstate::protocolViolation), problem.what(), {}, {}});
    }
    closeIfDue();
}

void caller_session::onEvent(const caller_accepted &event)
{
    m_phase = phase::ready;
    m_readOnly = event.readOnly;
    m_position = event.position;
    m_maxStaleness = event.maxStaleness;
    m_writer.authenticationOk();
    m_writer.parameterStatus("server_version", "15.0 (sycamorespan)");
    m_writer.parameterStatus("server_encoding", "UTF8");
    m_writer.parameterStatus("client_encoding", "UTF8");
    m_writer.parameterStatus("DateStyle", "ISO, MDY");
    m_writer.parameterStatus("IntervalStyle", "postgres");
    m_writer.parameterStatus("TimeZone", "UTC");
    m_writer.parameterStatus("integer_datetimes", "on");
    m_writer.parameterStatus("standard_conforming_strings", "on");
    m_writer.parameterStatus("application_name", m_identity.applicationName);
    if (!event.positionToken.empty())
        m_writer.parameterStatus(positionParameter, event.positionToken);
    m_writer.backendKeyData(event.processId, event.secret);
    m_writer.readyForQuery(status());
    onEvent(caller_bytes{});
}

void caller_session::onEvent(const caller_refused &event)
{
    closeWith(event.report);
}

void caller_session::onEvent(const statement_finished &event)
{
    if (!m_running)
        return;
    const auto finished = *std::exchange(m_running, std::nullopt);
    const auto step = m_runningStep;
    const bool endsTransaction =
            step == transaction_step::commit || step == transaction_step::rollback;
    updatePosition(event);
    if (endsTransaction) {
        m_transaction = transaction_state::none;
    } else if (step != transaction_step::none) {
        if (event.result.transactionEnded)
            m_transaction = transaction_state::failed;
        else
            m_transaction =
                    event.result.error ? transaction_state::failedOpen : transaction_state::open;
    }
    if (event.result.error)
        fail(*event.result.error);
    else
        sendResult(finished, event.result);
    if (endsTransaction)
        m_implicitTransactionOpen = false;
    runOperations();
    closeIfDue();
}

void caller_session::onEvent(const end_session_request &event)
{
    if (!m_ending || event.mode > m_ending->mode)
        m_ending = event;
    closeIfDue();
}

void caller_session::runOperations()
{
    while (!m_running && !m_operations.empty() && m_phase == phase::ready) {
        const auto next = std::move(m_operations.front());
        m_operations.pop_front();
        const bool endsBatch = std::holds_alternative<ready_for_query_operation>(next)
                               || std::holds_alternative<end_implicit_transaction_operation>(next);
        if (!m_skipUntilReady || endsBatch)
            std::visit([this](const auto &value) { perform(value); }, next);
        if (m_ending && m_ending->mode == end_session_mode::afterStatement)
            return;
    }
}

void caller_session::perform(const reply_operation &next)
{
    m_writer.raw(next.bytes);
}

void caller_session::perform(const prepare_operation &next)
{
    const auto &message = next.message;
    if (m_statements.size() >= m_limits.preparedStatements && !message.statement.empty())
        return failStatement(errorOf(programLimitExceeded, "too many prepared statements"));
    if (m_classifier.classify(message.text)->statements.size() > 1)
        return failStatement(errorOf(sqlstate::syntaxError,
                                     "cannot insert multiple commands into a prepared statement"));
    changeStatement(message.statement, prepared_statement{message.text, message.parameterTypes});
    m_writer.parseComplete();
}

void caller_session::perform(const bind_operation &next)
{
    const auto &message = next.message;
    const auto statement = m_statements.find(message.statement);
    if (statement == m_statements.end())
        return failStatement(unknownStatement(message.statement));
    if (isMixed(message.resultFormats))
        return failStatement(errorOf(sqlstate::featureNotSupported,
                                     "result columns of different formats are not supported"));
    if (hasNulInText(message))
        return failStatement(errorOf(characterNotInRepertoire,
                                     "invalid byte sequence for encoding \"UTF8\": 0x00"));
    m_portals[message.portal] = {statement->second, message};
    m_writer.bindComplete();
}

void caller_session::perform(const describe_operation &next)
{
    const auto statement = m_statements.find(next.statement);
    if (statement == m_statements.end())
        return failStatement(unknownStatement(next.statement));
    run_operation describe{{statement->second.text, statement->second.parameterTypes},
                           result_form::statementDescription,
                           std::nullopt};
    describe.sql.describeOnly = true;
    perform(describe);
}

void caller_session::perform(const describe_portal_operation &next)
{
    const auto found = m_portals.find(next.portal);
    if (found == m_portals.end())
        return failStatement(unknownPortal(next.portal));
    const auto &[statement, bound] = found->second;
    run_operation describe{{statement.text, statement.parameterTypes},
                           result_form::portalDescription,
                           std::nullopt};
    describe.sql.describeOnly = true;
    describe.sql.resultFormat = commonFormat(bound.resultFormats);
    perform(describe);
}

void caller_session::perform(const execute_operation &next)
{
    const auto found = m_portals.find(next.message.portal);
    if (found == m_portals.end())
        return failStatement(unknownPortal(next.message.portal));
    if (next.message.maximumRows != 0)
        return failStatement(errorOf(sqlstate::featureNotSupported,
                                     "fetching a portal in parts is not supported"));
    const auto &[statement, bound] = found->second;
    const auto classification = m_classifier.classify(statement.text);
    if (classification->isEmpty()) {
        if (next.described)
            m_writer.noData();
        return m_writer.emptyQueryResponse();
    }
    run_operation run{{statement.text, statement.parameterTypes, bound.parameters,
                       bound.parameterFormats, commonFormat(bound.resultFormats), false},
                      next.described ? result_form::describedRows : result_form::rows,
                      std::nullopt};
    if (!classification->statements.empty())
        run.statement = classification->statements.front();
    perform(run);
}

void caller_session::perform(const close_operation &next)
{
    if (next.message.kind == target_kind::statement)
        changeStatement(next.message.name, std::nullopt);
    else
        m_portals.erase(next.message.name);
    m_writer.closeComplete();
}

/** Prepares a statement, or closes it. */
void caller_session::changeStatement(const std::string &name,
                                     std::optional<prepared_statement> statement)
{
    const auto known = m_statements.find(name);
    if (m_implicitTransactionOpen)
        m_unacknowledgedChanges.emplace_back(
                name, known == m_statements.end() ? std::nullopt : std::optional(known->second));
    if (statement)
        m_statements[name] = std::move(*statement);
    else if (known != m_statements.end())
        m_statements.erase(known);
}

/** Takes back the changes of prepared statements whose answers are discarded. */
void caller_session::revertUnacknowledgedChanges()
{
    const auto changes = std::exchange(m_unacknowledgedChanges, {});
    std::for_each(changes.rbegin(), changes.rend(), [this](const auto &change) {
        if (change.second)
            m_statements[change.first] = *change.second;
        else
            m_statements.erase(change.first);
    });
}

void caller_session::perform(const run_operation &next)
{
    const auto kind = next.statement ? next.statement->kind : statement_kind::write;
    const bool ends = kind == statement_kind::commit || kind == statement_kind::rollback;
    const bool isFailed = m_transaction == transaction_state::failed
                          || m_transaction == transaction_state::failedOpen;
    const bool restoresSavepoint =
            kind == statement_kind::savepoint && m_transaction == transaction_state::failedOpen;
    if (isFailed && !ends && !restoresSavepoint)
        return failStatement(abortedTransaction());
    if (next.sql.describeOnly) {
        const auto step = m_transaction == transaction_state::open ? transaction_step::inside
                                                                   : transaction_step::none;
        return start(next, kind, step);
    }
    switch (kind) {
    case statement_kind::begin:
        return beginTransaction(next);
    case statement_kind::commit:
    case statement_kind::rollback:
        return endTransaction(next, kind);
    case statement_kind::proxyParameter:
    case statement_kind::sessionParameter:
        return changeParameter(next);
    case statement_kind::discard:
        if (next.statement->feature == "DISCARD ALL") {
            m_statements.clear();
            m_portals.clear();
        }
        return completeLocally(next, next.statement->feature);
    case statement_kind::sessionState:
    case statement_kind::copy:
    case statement_kind::twoPhase:
        return failStatement(
                errorOf(sqlstate::featureNotSupported,
                        next.statement->feature + " is not supported through this proxy"));
    case statement_kind::savepoint:
    case statement_kind::transactionParameter:
        if (m_transaction == transaction_state::none)
            return failStatement(errorOf(noActiveSqlTransaction,
                                         "this statement can only be used in transaction blocks"));
        return runStatement(next, kind);
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::show:
        return runStatement(next, kind);
    }
}

void caller_session::perform(const begin_implicit_transaction_operation &)
{
    if (m_transaction != transaction_state::none)
        return;
    flush();
    m_implicitTransactionOpen = true;
    m_transaction = transaction_state::pending;
    m_readOnlyTransaction = false;
    m_beginText = "BEGIN";
}

void caller_session::perform(const end_implicit_transaction_operation &)
{
    if (!m_implicitTransactionOpen)
        return;
    const run_operation ending{{}, result_form::errorsOnly, std::nullopt};
    switch (m_transaction) {
    case transaction_state::open:
        return start(ending, statement_kind::commit, transaction_step::commit);
    case transaction_state::failedOpen:
        return start(ending, statement_kind::rollback, transaction_step::rollback);
    case transaction_state::none:
    case transaction_state::pending:
    case transaction_state::failed:
        m_transaction = transaction_state::none;
        m_implicitTransactionOpen = false;
    }
}

void caller_session::perform(const ready_for_query_operation &)
{
    m_skipUntilReady = false;
    m_portals.clear();
    m_unacknowledgedChanges.clear();
    m_writer.readyForQuery(status());
}

void caller_session::perform(const fail_operation &next)
{
    failStatement(next.report);
}

void caller_session::runStatement(const run_operation &next, statement_kind kind)
{
    if (m_readOnly && kind == statement_kind::write)
        return failStatement(errorOf(sqlstate::readOnlySqlTransaction,
                                     "an open database may only be read: not run"));
    switch (m_transaction) {
    case transaction_state::none:
        return start(next, kind, transaction_step::none);
    case transaction_state::pending:
        return start(next, kind, transaction_step::start);
    case transaction_state::open:
    case transaction_state::failed:
    case transaction_state::failedOpen:
        return start(next, kind, transaction_step::inside);
    }
}

void caller_session::beginTransaction(const run_operation &next)
{
    if (m_transaction != transaction_state::none) {
        m_writer.noticeResponse({"WARNING",
                                 std::string(sqlstate::activeSqlTransaction),
                                 "there is already a transaction in progress",
                                 {},
                                 {}});
        return completeLocally(next, "BEGIN");
    }
    m_transaction = transaction_state::pending;
    m_readOnlyTransaction = next.statement->readOnlyTransaction;
    m_beginText = next.sql.text;
    completeLocally(next, "BEGIN");
}

void caller_session::endTransaction(const run_operation &next, statement_kind kind)
{
    if (next.statement->chainsTransaction)
        return failStatement(errorOf(sqlstate::featureNotSupported, "AND CHAIN is not supported"));
    const bool commits = kind == statement_kind::commit;
    switch (m_transaction) {
    case transaction_state::open:
        return start(next, kind, commits ? transaction_step::commit : transaction_step::rollback);
    case transaction_state::failedOpen:
        return start(next, kind, transaction_step::rollback);
    case transaction_state::none:
        m_writer.noticeResponse({"WARNING",
                                 std::string(noActiveSqlTransaction),
                                 "there is no transaction in progress",
                                 {},
                                 {}});
        return completeLocally(next, commits ? "COMMIT" : "ROLLBACK");
    case transaction_state::pending:
        m_transaction = transaction_state::none;
        return completeLocally(next, commits ? "COMMIT" : "ROLLBACK");
    case transaction_state::failed:
        m_transaction = transaction_state::none;
        return completeLocally(next, "ROLLBACK");
    }
}

void caller_session::changeParameter(const run_operation &next)
{
    const auto &parameter = next.statement->parameter;
    const auto name = parameter ? parameter->name : std::string();
    const bool isSet = parameter && parameter->action == parameter_action::set;
    if (name == maxStalenessParameter) {
        if (parameter->action == parameter_action::show) {
            const auto value = m_maxStaleness
                                       ? std::to_string(m_maxStaleness->count() / 1000) + "ms"
                                       : std::string("default");
            sql_result result;
            result.columns = {{name}};
            backend_writer row;
            row.dataRow({value});
            result.rows = row.release();
            result.tag = "SHOW";
            return sendResult(next, result);
        }
        const auto interval = isSet ? parseInterval(parameter->value) : std::nullopt;
        if (isSet && !interval)
            return failStatement(
                    errorOf(sqlstate::invalidParameterValue, "invalid value for \"" + name + "\""));
        m_maxStaleness = interval;
        return completeLocally(next, isSet ? "SET" : "RESET");
    }
    const bool ignored = std::ranges::find(ignoredParameters, name) != ignoredParameters.end();
    if (ignored)
        return completeLocally(next, isSet ? "SET" : "RESET");
    failStatement(
            errorOf(sqlstate::featureNotSupported,
                    "changing \"" + name + "\" for a session is not supported; use SET LOCAL"));
}

void caller_session::start(const run_operation &next, statement_kind kind, transaction_step step)
{
    m_running = next;
    m_runningStep = step;
    statement_request request;
    request.sql = next.sql;
    request.kind = kind;
    request.step = step;
    request.beginText = m_beginText;
    request.readOnlyTransaction = m_readOnlyTransaction;
    request.position = m_position;
    request.maxStaleness = m_maxStaleness;
    flush();
    m_actions.emplace_back(start_statement{std::move(request)});
}

void caller_session::completeLocally(const run_operation &next, const std::string &tag)
{
    sql_result result;
    result.tag = tag;
    sendResult(next, result);
}

void caller_session::sendResult(const run_operation &next, const sql_result &result)
{
    const auto describe = [this, &result] {
        if (result.columns.empty())
            m_writer.noData();
        else
            m_writer.rowDescription(result.columns);
    };
    switch (next.form) {
    case result_form::errorsOnly:
        return;
    case result_form::statementDescription:
        m_writer.parameterDescription(result.parameterTypes);
        return describe();
    case result_form::portalDescription:
        return describe();
    case result_form::describedRows:
        describe();
        break;
    case result_form::full:
        if (!result.columns.empty())
            m_writer.rowDescription(result.columns);
        break;
    case result_form::rows:
        break;
    }
    m_writer.raw(result.rows);
    m_writer.commandComplete(result.tag);
}

void caller_session::fail(const error_report &report)
{
    // The results of the implicit transaction are discarded; only its error is sent to the caller.
    if (m_implicitTransactionOpen) {
        m_writer = {};
        revertUnacknowledgedChanges();
    }
    m_writer.errorResponse(report);
    m_skipUntilReady = true;
}

void caller_session::failStatement(const error_report &report)
{
    if (m_transaction == transaction_state::pending)
        m_transaction = transaction_state::failed;
    else if (m_transaction == transaction_state::open)
        m_transaction = transaction_state::failedOpen;
    fail(report);
}

void caller_session::updatePosition(const statement_finished &event)
{
    if (!event.position || (m_position && *event.position <= *m_position))
        return;
    m_position = event.position;
    m_writer.parameterStatus(positionParameter, event.positionToken);
}

void caller_session::closeWith(const error_report &report)
{
    m_writer = {};
    m_writer.errorResponse(report);
    m_implicitTransactionOpen = false;
    flush();
    m_actions.emplace_back(abort_work{});
    m_actions.emplace_back(close_session{});
    m_running.reset();
    m_operations.clear();
    m_phase = phase::closed;
}

void caller_session::closeIfDue()
{
    if (!m_ending || m_phase == phase::closed)
        return;
    const bool isClosedAtServer = m_transaction == transaction_state::none
                                  || m_transaction == transaction_state::pending
                                  || m_transaction == transaction_state::failed;
    const bool isIdleNow =
            !m_running && m_operations.empty() && isClosedAtServer && !m_implicitTransactionOpen;
    const bool due = m_ending->mode == end_session_mode::immediately
                     || (m_ending->mode == end_session_mode::afterStatement && !m_running)
                     || (m_ending->mode == end_session_mode::whenIdle && isIdleNow);
    if (!due)
        return;
    backend_writer pending = std::move(m_writer);
    if (!m_implicitTransactionOpen && !pending.bytes().empty())
        m_actions.emplace_back(send_bytes{pending.release()});
    closeWith(m_ending->report);
}

transaction_status caller_session::status() const
{
    switch (m_transaction) {
    case transaction_state::none:
        return transaction_status::idle;
    case transaction_state::pending:
    case transaction_state::open:
        return transaction_status::active;
    case transaction_state::failed:
    case transaction_state::failedOpen:
        break;
    }
    return transaction_status::failed;
}

void caller_session::flush()
{
    if (m_implicitTransactionOpen || m_writer.bytes().empty())
        return;
    m_actions.emplace_back(send_bytes{m_writer.release()});
    m_writer = {};
}

} // namespace sycamorespan
