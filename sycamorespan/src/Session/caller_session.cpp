#include "sycamorespan/src/Session/caller_session.h"

#include <algorithm>
#include <array>
#include <utility>

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Protocol/sqlstate.h"
#include "sycamorespan/src/Session/session_options.h"

namespace sycamorespan {
namespace {

constexpr std::string_view noActiveTransaction = "25P01";
constexpr std::string_view programLimitExceeded = "54000";

/** Session parameters that change nothing that another caller of the connection could notice. */
constexpr std::array<std::string_view, 4> ignoredParameters{
        "application_name", "extra_float_digits", "client_min_messages", "statement_timeout"};

bool isTransactionControl(const classified_statement &statement)
{
    return statement.kind == statement_kind::begin || statement.kind == statement_kind::commit
           || statement.kind == statement_kind::rollback;
}

std::string statementText(const std::string &text, const classified_statement &statement)
{
    return text.substr(statement.offset, statement.length);
}

error_report errorOf(std::string_view code, const std::string &message)
{
    return {"ERROR", std::string(code), message, {}, {}};
}

error_report abortedTransaction()
{
    return errorOf(sqlstate::inFailedSqlTransaction,
                   "current transaction is aborted, commands ignored until end of transaction "
                   "block");
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

} // namespace

caller_session::caller_session(const session_limits &limits, statement_classifier &classifier)
    : m_limits(limits)
    , m_classifier(classifier)
    , m_decoder(limits.messageBytes)
{ }

std::vector<session_action> caller_session::handle(const session_event &event)
{
    if (m_phase != phase::closed)
        std::visit([this](const auto &value) { take(value); }, event);
    flush();
    return std::exchange(m_actions, {});
}

bool caller_session::isIdle() const noexcept
{
    return !m_running && m_operations.empty() && m_transaction == transaction_state::none;
}

void caller_session::take(const caller_bytes &event)
{
    m_decoder.feed(event.bytes);
    try {
        decodeFrames();
        runQueue();
    } catch (const decode_error &problem) {
        closeWith({"FATAL", std::string(sqlstate::protocolViolation), problem.what(), {}, {}});
    }
    endIfDue();
}

void caller_session::take(const caller_accepted &event)
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
    m_writer.backendKeyData(event.processId, event.secret);
    m_writer.readyForQuery(status());
    take(caller_bytes{});
}

void caller_session::take(const caller_refused &event)
{
    closeWith(event.report);
}

void caller_session::take(const statement_finished &event)
{
    if (!m_running)
        return;
    const auto finished = *std::exchange(m_running, std::nullopt);
    const auto step = m_runningStep;
    const bool endsTransaction =
            step == transaction_step::commit || step == transaction_step::rollback;
    notePosition(event);
    if (endsTransaction) {
        m_transaction = transaction_state::none;
    } else if (step != transaction_step::none) {
        if (event.result.transactionLost)
            m_transaction = transaction_state::failed;
        else
            m_transaction =
                    event.result.error ? transaction_state::failedOpen : transaction_state::open;
    }
    if (event.result.error)
        fail(*event.result.error);
    else
        showResult(finished, event.result);
    if (endsTransaction)
        m_groupActive = false;
    runQueue();
    endIfDue();
}

void caller_session::take(const session_ending &event)
{
    if (!m_ending || event.mode > m_ending->mode)
        m_ending = event;
    endIfDue();
}

void caller_session::decodeFrames()
{
    while (m_phase == phase::startup || m_phase == phase::password || m_phase == phase::ready) {
        const auto next = m_decoder.next();
        if (!next)
            return;
        if (m_phase == phase::startup)
            takeStartup(*next);
        else
            takeMessage(decodeFrontend(*next));
    }
}

void caller_session::takeStartup(const frame &opening)
{
    const auto request = decodeStartup(opening);
    if (std::holds_alternative<ssl_request>(request)) {
        if (m_decoder.bufferedBytes() > 0)
            throw decode_error("data after the request for TLS");
        m_actions.emplace_back(negotiate_tls{});
        return;
    }
    if (std::holds_alternative<gss_request>(request)) {
        m_actions.emplace_back(send_bytes{"N"});
        return;
    }
    if (const auto *cancel = std::get_if<cancel_request>(&request)) {
        m_actions.emplace_back(cancel_statement{cancel->processId, cancel->secret});
        m_actions.emplace_back(close_session{});
        m_phase = phase::closed;
        return;
    }
    const auto &parameters = std::get<startup_message>(request).parameters;
    const auto valueOf = [&parameters](const std::string &name) {
        const auto found = parameters.find(name);
        return found == parameters.end() ? std::string() : found->second;
    };
    m_decoder.startupFinished();
    m_identity = {valueOf("user"), valueOf("database"), valueOf("application_name"),
                  parseSessionOptions(valueOf("options"))};
    if (m_identity.user.empty())
        throw decode_error("no user name");
    if (m_identity.database.empty())
        m_identity.database = m_identity.user;
    if (parameters.contains("replication")) {
        return closeWith({"FATAL",
                          std::string(sqlstate::featureNotSupported),
                          "replication connections are not supported",
                          {},
                          {}});
    }
    if (m_identity.user == anonymousUser) {
        m_phase = phase::deciding;
        m_actions.emplace_back(authenticate_caller{m_identity, {}});
        return;
    }
    m_phase = phase::password;
    m_writer.authenticationCleartextPassword();
}

void caller_session::takeMessage(const frontend_message &message)
{
    if (m_phase == phase::password) {
        const auto *password = std::get_if<password_message>(&message);
        if (password == nullptr)
            throw decode_error("a password was expected");
        m_phase = phase::deciding;
        m_actions.emplace_back(authenticate_caller{m_identity, password->password});
        return;
    }
    if (m_operations.size() > m_limits.queuedOperations
        || m_batch.size() > m_limits.queuedOperations)
        throw decode_error("too many messages without an answer");
    std::visit(overloaded{
                       [this](const query_message &value) { takeQuery(value); },
                       [this](const parse_message &value) { takeParse(value); },
                       [this](const bind_message &value) { takeBind(value); },
                       [this](const describe_message &value) { takeDescribe(value); },
                       [this](const execute_message &value) { takeExecute(value); },
                       [this](const close_message &value) { takeClose(value); },
                       [this](const sync_message &) { takeSync(); },
                       [this](const flush_message &) { takeFlush(); },
                       [this](const terminate_message &) {
                           m_actions.emplace_back(abandon_work{});
                           m_actions.emplace_back(close_session{});
                           m_phase = phase::closed;
                       },
                       [](const password_message &) {
                           throw decode_error("a password was not expected");
                       },
                       [](const unsupported_message &) {
                           throw decode_error("COPY data and function calls are not supported");
                       },
               },
               message);
}

void caller_session::takeQuery(const query_message &message)
{
    const auto classification = m_classifier.classify(message.text);
    const auto &statements = classification->statements;
    if (classification->isEmpty()) {
        backend_writer empty;
        empty.emptyQueryResponse();
        m_operations.emplace_back(reply_operation{empty.release()});
    } else if (statements.empty()) {
        m_operations.emplace_back(run_operation{{message.text}, result_form::full, std::nullopt});
    } else if (statements.size() == 1) {
        m_operations.emplace_back(
                run_operation{{message.text}, result_form::full, statements.front()});
    } else if (std::ranges::any_of(statements, isTransactionControl)) {
        m_operations.emplace_back(fail_operation{
                errorOf(sqlstate::featureNotSupported,
                        "BEGIN, COMMIT and ROLLBACK are not supported among several statements "
                        "of one query")});
    } else {
        m_operations.emplace_back(begin_group_operation{});
        std::ranges::transform(statements, std::back_inserter(m_operations),
                               [&message](const classified_statement &statement) -> operation {
                                   return run_operation{{statementText(message.text, statement)},
                                                        result_form::full,
                                                        statement};
                               });
        m_operations.emplace_back(end_group_operation{});
    }
    m_operations.emplace_back(ready_operation{});
}

void caller_session::takeParse(const parse_message &message)
{
    if (m_statements.size() >= m_limits.preparedStatements && !message.statement.empty())
        return queueError(programLimitExceeded, "too many prepared statements");
    if (m_classifier.classify(message.text)->statements.size() > 1)
        return queueError(sqlstate::syntaxError,
                          "cannot insert multiple commands into a prepared statement");
    m_statements[message.statement] = {message.text, message.parameterTypes};
    backend_writer reply;
    reply.parseComplete();
    queue(reply_operation{reply.release()});
}

void caller_session::takeBind(const bind_message &message)
{
    const auto statement = m_statements.find(message.statement);
    if (statement == m_statements.end())
        return queueError(sqlstate::invalidStatementName,
                          "prepared statement \"" + message.statement + "\" does not exist");
    if (isMixed(message.resultFormats))
        return queueError(sqlstate::featureNotSupported,
                          "result columns of different formats are not supported");
    m_portals[message.portal] = {statement->second, message};
    backend_writer reply;
    reply.bindComplete();
    queue(reply_operation{reply.release()});
}

void caller_session::takeDescribe(const describe_message &message)
{
    if (message.kind == target_kind::portal) {
        if (!m_portals.contains(message.name))
            return queueError(sqlstate::invalidCursorName,
                              "portal \"" + message.name + "\" does not exist");
        m_describedPortal = message.name;
        return;
    }
    const auto statement = m_statements.find(message.name);
    if (statement == m_statements.end())
        return queueError(sqlstate::invalidStatementName,
                          "prepared statement \"" + message.name + "\" does not exist");
    run_operation describe{{statement->second.text, statement->second.parameterTypes},
                           result_form::statementDescription,
                           std::nullopt};
    describe.sql.describeOnly = true;
    queue(std::move(describe));
}

void caller_session::takeExecute(const execute_message &message)
{
    const auto found = m_portals.find(message.portal);
    if (found == m_portals.end())
        return queueError(sqlstate::invalidCursorName,
                          "portal \"" + message.portal + "\" does not exist");
    if (message.maximumRows != 0)
        return queueError(sqlstate::featureNotSupported,
                          "fetching a portal in parts is not supported");
    const bool described = m_describedPortal == message.portal;
    m_describedPortal.reset();
    const auto &[statement, bound] = found->second;
    const auto classification = m_classifier.classify(statement.text);
    if (classification->isEmpty()) {
        backend_writer empty;
        if (described)
            empty.noData();
        empty.emptyQueryResponse();
        return queue(reply_operation{empty.release()});
    }
    run_operation run{{statement.text, statement.parameterTypes, bound.parameters,
                       bound.parameterFormats, commonFormat(bound.resultFormats), false},
                      described ? result_form::describedRows : result_form::rows,
                      std::nullopt};
    if (!classification->statements.empty())
        run.statement = classification->statements.front();
    ++m_batchStatements;
    queue(std::move(run));
}

void caller_session::takeClose(const close_message &message)
{
    if (message.kind == target_kind::statement)
        m_statements.erase(message.name);
    else
        m_portals.erase(message.name);
    backend_writer reply;
    reply.closeComplete();
    queue(reply_operation{reply.release()});
}

void caller_session::takeSync()
{
    releaseBatch(true);
    m_operations.emplace_back(ready_operation{});
}

void caller_session::takeFlush()
{
    releaseBatch(false);
}

void caller_session::queue(operation next)
{
    if (m_describedPortal) {
        const auto &[statement, bound] = m_portals[*m_describedPortal];
        run_operation describe{{statement.text, statement.parameterTypes},
                               result_form::portalDescription,
                               std::nullopt};
        describe.sql.describeOnly = true;
        describe.sql.resultFormat = commonFormat(bound.resultFormats);
        m_describedPortal.reset();
        m_batch.emplace_back(std::move(describe));
    }
    m_batch.push_back(std::move(next));
}

void caller_session::queueError(std::string_view code, const std::string &message)
{
    queue(fail_operation{errorOf(code, message)});
}

/** Statements before one Sync are one transaction; after a Flush more of them may follow. */
void caller_session::releaseBatch(bool complete)
{
    if (m_describedPortal)
        queue(reply_operation{});
    const bool needsGroup = m_batchStatements > 1 || (!complete && m_batchStatements > 0);
    if (needsGroup && !m_batchGroupOpen) {
        m_operations.emplace_back(begin_group_operation{});
        m_batchGroupOpen = true;
    }
    std::ranges::move(m_batch, std::back_inserter(m_operations));
    m_batch.clear();
    m_batchStatements = 0;
    if (complete && std::exchange(m_batchGroupOpen, false))
        m_operations.emplace_back(end_group_operation{});
}

void caller_session::runQueue()
{
    while (!m_running && !m_operations.empty() && m_phase == phase::ready) {
        const auto next = std::move(m_operations.front());
        m_operations.pop_front();
        const bool endsBatch = std::holds_alternative<ready_operation>(next)
                               || std::holds_alternative<end_group_operation>(next);
        if (!m_skipUntilReady || endsBatch)
            std::visit([this](const auto &value) { perform(value); }, next);
        if (m_ending && m_ending->mode == ending_mode::afterStatement)
            return;
    }
}

void caller_session::perform(const reply_operation &next)
{
    m_writer.raw(next.bytes);
}

void caller_session::perform(const run_operation &next)
{
    const auto kind = next.statement ? next.statement->kind : statement_kind::write;
    const bool ends = kind == statement_kind::commit || kind == statement_kind::rollback;
    const bool isFailed = m_transaction == transaction_state::failed
                          || m_transaction == transaction_state::failedOpen;
    const bool repairs =
            kind == statement_kind::savepoint && m_transaction == transaction_state::failedOpen;
    if (isFailed && !ends && !repairs)
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
        m_statements.clear();
        m_portals.clear();
        return finishLocally(next, "DISCARD ALL");
    case statement_kind::sessionState:
    case statement_kind::copy:
    case statement_kind::twoPhase:
        return failStatement(
                errorOf(sqlstate::featureNotSupported,
                        next.statement->feature + " is not supported through this proxy"));
    case statement_kind::savepoint:
    case statement_kind::transactionParameter:
        if (m_transaction == transaction_state::none)
            return failStatement(errorOf(noActiveTransaction,
                                         "this statement can only be used in transaction blocks"));
        return runStatement(next, kind);
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::show:
        return runStatement(next, kind);
    }
}

void caller_session::perform(const begin_group_operation &)
{
    if (m_transaction != transaction_state::none)
        return;
    flush();
    m_groupActive = true;
    m_transaction = transaction_state::pending;
    m_readOnlyTransaction = false;
    m_beginText = "BEGIN";
}

void caller_session::perform(const end_group_operation &)
{
    if (!m_groupActive)
        return;
    const run_operation ending{{}, result_form::silent, std::nullopt};
    switch (m_transaction) {
    case transaction_state::open:
        return start(ending, statement_kind::commit, transaction_step::commit);
    case transaction_state::failedOpen:
        return start(ending, statement_kind::rollback, transaction_step::rollback);
    case transaction_state::none:
    case transaction_state::pending:
    case transaction_state::failed:
        m_transaction = transaction_state::none;
        m_groupActive = false;
    }
}

void caller_session::perform(const ready_operation &)
{
    m_skipUntilReady = false;
    m_portals.clear();
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
        return finishLocally(next, "BEGIN");
    }
    m_transaction = transaction_state::pending;
    m_readOnlyTransaction = next.statement->readOnlyTransaction;
    m_beginText = next.sql.text;
    finishLocally(next, "BEGIN");
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
                                 std::string(noActiveTransaction),
                                 "there is no transaction in progress",
                                 {},
                                 {}});
        return finishLocally(next, commits ? "COMMIT" : "ROLLBACK");
    case transaction_state::pending:
        m_transaction = transaction_state::none;
        return finishLocally(next, commits ? "COMMIT" : "ROLLBACK");
    case transaction_state::failed:
        m_transaction = transaction_state::none;
        return finishLocally(next, "ROLLBACK");
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
            return showResult(next, result);
        }
        const auto interval = isSet ? parseInterval(parameter->value) : std::nullopt;
        if (isSet && !interval)
            return failStatement(
                    errorOf(sqlstate::invalidParameterValue, "invalid value for \"" + name + "\""));
        m_maxStaleness = interval;
        return finishLocally(next, isSet ? "SET" : "RESET");
    }
    const bool ignored = std::ranges::find(ignoredParameters, name) != ignoredParameters.end();
    if (ignored)
        return finishLocally(next, isSet ? "SET" : "RESET");
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

void caller_session::finishLocally(const run_operation &next, const std::string &tag)
{
    sql_result result;
    result.tag = tag;
    showResult(next, result);
}

void caller_session::showResult(const run_operation &next, const sql_result &result)
{
    const auto describe = [this, &result] {
        if (result.columns.empty())
            m_writer.noData();
        else
            m_writer.rowDescription(result.columns);
    };
    switch (next.form) {
    case result_form::silent:
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
    // What was shown of the group is not kept: only its error reaches the caller.
    if (m_groupActive)
        m_writer = {};
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

void caller_session::notePosition(const statement_finished &event)
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
    m_groupActive = false;
    flush();
    m_actions.emplace_back(abandon_work{});
    m_actions.emplace_back(close_session{});
    m_running.reset();
    m_operations.clear();
    m_phase = phase::closed;
}

void caller_session::endIfDue()
{
    if (!m_ending || m_phase == phase::closed)
        return;
    const bool holdsNothing = m_transaction == transaction_state::none
                              || m_transaction == transaction_state::pending
                              || m_transaction == transaction_state::failed;
    const bool isIdleNow = !m_running && m_operations.empty() && holdsNothing && !m_groupActive;
    const bool due = m_ending->mode == ending_mode::immediately
                     || (m_ending->mode == ending_mode::afterStatement && !m_running)
                     || (m_ending->mode == ending_mode::whenIdle && isIdleNow);
    if (!due)
        return;
    backend_writer pending = std::move(m_writer);
    if (!m_groupActive && !pending.bytes().empty())
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
    if (m_groupActive || m_writer.bytes().empty())
        return;
    m_actions.emplace_back(send_bytes{m_writer.release()});
    m_writer = {};
}

} // namespace sycamorespan
