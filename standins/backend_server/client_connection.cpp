#include "client_connection.h"

#include <algorithm>
#include <random>

#include <nlohmann/json.hpp>

namespace standin {
namespace {

using nlohmann::json;
using sycamorespan::column_description;
using sycamorespan::decode_error;
using sycamorespan::overloaded;
using sycamorespan::transaction_status;
namespace sqlstate = sycamorespan::sqlstate;

constexpr std::size_t maximumPayloadBytes = 16U << 20U;
constexpr std::uint32_t int8Oid = 20;
constexpr double millisecondsPerSecond = 1000.0;

std::int32_t randomSecret()
{
    static std::random_device device;
    return static_cast<std::int32_t>(device());
}

column_description numberColumn(const std::string &name)
{
    column_description column;
    column.name = name;
    column.typeId = int8Oid;
    return column;
}

column_description textColumn(const std::string &name)
{
    column_description column;
    column.name = name;
    return column;
}

std::string encodeFollowers(const group_member &member)
{
    json list = json::array();
    for (const auto &[server, confirmation] : member.followers()) {
        list.push_back(
                {{"server", server}, {"term", confirmation.term}, {"offset", confirmation.offset}});
    }
    return list.dump();
}

statement_result positionResult(const sycamorespan::log_position &position)
{
    return {{numberColumn("position_term"), numberColumn("position_offset")},
            {{std::to_string(position.term), std::to_string(position.offset)}},
            "SELECT 1"};
}

statement_result replicationResult(const replication_batch &batch)
{
    statement_result result;
    result.columns = {numberColumn("term"), numberColumn("keep"), numberColumn("primary_offset"),
                      textColumn("entry")};
    result.rows.push_back({std::to_string(batch.term), std::to_string(batch.keptLength),
                           std::to_string(batch.primaryOffset), std::nullopt});
    std::ranges::transform(
            batch.entries, std::back_inserter(result.rows), [](const log_entry &entry) {
                return std::vector<std::optional<std::string>>{std::nullopt, std::nullopt,
                                                               std::nullopt, encodeEntry(entry)};
            });
    result.tag = "SELECT " + std::to_string(result.rows.size());
    return result;
}

} // namespace

client_connection::client_connection(const connection_context &context,
                                     sycamorespan::file_descriptor socket, std::int32_t processId,
                                     std::function<void()> onClosed)
    : m_context(context)
    , m_processId(processId)
    , m_secret(randomSecret())
    , m_onClosed(std::move(onClosed))
    , m_stream(context.loop, std::move(socket),
               {[this](std::string_view bytes) { onBytes(bytes); }, [this] { handleClosed(); }})
    , m_decoder(maximumPayloadBytes)
    , m_connectDelayTimer(context.loop)
{
    m_connectDelayTimer.set<client_connection, &client_connection::onConnectDelayElapsed>(this);
}

client_connection::~client_connection()
{
    if (m_workId != 0)
        m_context.queue.cancel(m_workId);
}

void client_connection::abortTransaction()
{
    rollback();
    if (m_inTransaction)
        m_transactionFailed = true;
    m_engine.reset();
}

void client_connection::terminate()
{
    sendFatalError(sqlstate::adminShutdown, "terminating connection due to administrator command");
    handleClosed();
}

void client_connection::cancelStatement()
{
    if (!m_busy)
        return;
    m_context.queue.cancel(m_workId);
    m_workId = 0;
    m_blockedStatement = nullptr;
    m_busy = false;
    sendError(sql_error(sqlstate::queryCanceled, "canceling statement due to user request"));
    process();
}

void client_connection::retryBlockedStatement()
{
    if (const auto executeBlocked = std::exchange(m_blockedStatement, nullptr))
        executeBlocked();
}

void client_connection::onBytes(std::string_view bytes)
{
    m_context.record(bytes);
    m_decoder.feed(bytes);
    process();
}

void client_connection::handleClosed()
{
    rollback();
    m_blockedStatement = nullptr;
    if (m_workId != 0)
        m_context.queue.cancel(std::exchange(m_workId, 0));
    m_connectDelayTimer.stop();
    m_busy = true;
    m_onClosed();
}

void client_connection::process()
{
    try {
        while (!m_busy && m_stream.isOpen()) {
            const auto next = m_decoder.next();
            if (!next)
                break;
            if (!m_started)
                handleStartup(*next);
            else
                handle(sycamorespan::decodeFrontend(*next));
        }
    } catch (const decode_error &problem) {
        sendFatalError(sqlstate::protocolViolation, problem.what());
    }
    sendPending();
}

void client_connection::handleStartup(const sycamorespan::frame &opening)
{
    std::visit(overloaded{
                       [this](const sycamorespan::ssl_request &) { m_stream.write("N"); },
                       [this](const sycamorespan::gss_request &) { m_stream.write("N"); },
                       [this](const sycamorespan::cancel_request &request) {
                           m_context.cancelSession(request.processId, request.secret);
                           m_stream.closeAfterWrite();
                       },
                       [this](const sycamorespan::startup_message &startup) {
                           const auto &parameters = startup.parameters;
                           const auto name = parameters.find("application_name");
                           if (name != parameters.end())
                               m_applicationName = name->second;
                           const auto user = parameters.find("user");
                           if (user != parameters.end())
                               m_user = user->second;
                           m_started = true;
                           m_decoder.startupFinished();
                           m_writer.authenticationCleartextPassword();
                       },
               },
               sycamorespan::decodeStartup(opening));
}

void client_connection::handlePassword(const std::string &password)
{
    const bool knownUser = m_user == "sycamorespan" || m_user == "replication";
    if (!knownUser || password != m_context.password)
        return sendFatalError(sqlstate::invalidPassword, "password authentication failed");
    if (m_user != "replication" && m_context.sessionCount() >= m_context.maximumSessions)
        return sendFatalError(sqlstate::tooManyConnections, "sorry, too many clients already");
    m_authenticated = true;
    m_busy = true;
    m_connectDelayTimer.start(m_user == "replication" ? 0.0 : m_context.connectSeconds);
}

void client_connection::onConnectDelayElapsed(ev::timer &, int)
{
    m_busy = false;
    finishStartup();
    process();
}

void client_connection::finishStartup()
{
    m_writer.authenticationOk();
    m_writer.parameterStatus("server_version", "15.0");
    m_writer.parameterStatus("server_encoding", "UTF8");
    m_writer.parameterStatus("client_encoding", "UTF8");
    m_writer.parameterStatus("DateStyle", "ISO, MDY");
    m_writer.parameterStatus("integer_datetimes", "on");
    m_writer.parameterStatus("standard_conforming_strings", "on");
    m_writer.backendKeyData(m_processId, m_secret);
    m_writer.readyForQuery(status());
}

void client_connection::sendFatalError(std::string_view code, const std::string &message)
{
    m_writer.errorResponse({"FATAL", std::string(code), message, {}, {}});
    sendPending();
    m_stream.closeAfterWrite();
}

void client_connection::handle(const sycamorespan::frontend_message &message)
{
    if (std::holds_alternative<sycamorespan::terminate_message>(message))
        return m_stream.closeAfterWrite();
    if (const auto *password = std::get_if<sycamorespan::password_message>(&message))
        return handlePassword(password->password);
    if (!m_authenticated)
        throw decode_error("a password was expected");
    const auto *query = std::get_if<sycamorespan::query_message>(&message);
    m_extended = query == nullptr;
    if (query != nullptr) {
        return run({query->text, {}}, [this](const statement_result &result) {
            sendRows(result, true);
            sendReadyForQuery();
        });
    }
    if (std::holds_alternative<sycamorespan::sync_message>(message)) {
        m_skipUntilSync = false;
        return sendReadyForQuery();
    }
    if (!m_skipUntilSync)
        handleExtended(message);
}

void client_connection::handleExtended(const sycamorespan::frontend_message &message)
{
    try {
        std::visit(
                overloaded{
                        [this](const sycamorespan::parse_message &parse) {
                            m_statements[parse.statement] = parse.text;
                            m_writer.parseComplete();
                        },
                        [this](const sycamorespan::bind_message &bind) { bindPortal(bind); },
                        [this](const sycamorespan::describe_message &target) { describe(target); },
                        [this](const sycamorespan::execute_message &target) {
                            executePortal(target);
                        },
                        [this](const sycamorespan::close_message &target) {
                            if (target.kind == sycamorespan::target_kind::statement)
                                m_statements.erase(target.name);
                            else
                                m_portals.erase(target.name);
                            m_writer.closeComplete();
                        },
                        [](const sycamorespan::flush_message &) {},
                        [](const auto &) { throw decode_error("message is not served"); },
                },
                message);
    } catch (const sql_error &problem) {
        sendError(problem);
    }
}

void client_connection::bindPortal(const sycamorespan::bind_message &message)
{
    const auto statement = m_statements.find(message.statement);
    if (statement == m_statements.end())
        throw sql_error(sqlstate::invalidStatementName, "unknown prepared statement");
    const auto isBinary = [](std::int16_t format) { return format != 0; };
    if (std::ranges::any_of(message.parameterFormats, isBinary)
        || std::ranges::any_of(message.resultFormats, isBinary))
        throw sql_error(sqlstate::featureNotSupported, "binary format is not served");
    m_portals[message.portal] = {{statement->second, message.parameters}, std::nullopt};
    m_writer.bindComplete();
}

void client_connection::describe(const sycamorespan::describe_message &message)
{
    if (message.kind == sycamorespan::target_kind::statement) {
        const auto info = engine().describe(m_statements[message.name]);
        m_writer.parameterDescription(info.parameterTypes);
        info.columns.empty() ? m_writer.noData() : m_writer.rowDescription(info.columns);
        return;
    }
    const auto statement = m_portals[message.name].statement;
    run(statement, [this, name = message.name](const statement_result &result) {
        result.columns.empty() ? m_writer.noData() : m_writer.rowDescription(result.columns);
        m_portals[name].result = result;
    });
}

void client_connection::executePortal(const sycamorespan::execute_message &message)
{
    auto &target = m_portals[message.portal];
    if (target.result)
        return sendRows(*std::exchange(target.result, std::nullopt), false);
    run(target.statement, [this](const statement_result &result) { sendRows(result, false); });
}

void client_connection::run(const logged_statement &statement,
                            std::function<void(statement_result)> onResult)
{
    const bool runsWithoutSlot = parseGroupCall(statement.text, statement.parameters).has_value()
                                 || transactionVerbOf(statement.text) != transaction_verb::none;
    if (runsWithoutSlot)
        return executeOrWaitForLock(statement, onResult);
    m_busy = true;
    const auto seconds = m_context.statementSeconds + sleepSecondsOf(statement.text);
    m_workId = m_context.queue.submit(seconds, [this, statement, onResult = std::move(onResult)] {
        m_workId = 0;
        m_busy = false;
        executeOrWaitForLock(statement, onResult);
        process();
    });
}

void client_connection::executeOrWaitForLock(const logged_statement &statement,
                                             const std::function<void(statement_result)> &onResult)
{
    try {
        onResult(execute(statement));
    } catch (const lock_busy &) {
        m_busy = true;
        m_blockedStatement = [this, statement, onResult] {
            m_busy = false;
            executeOrWaitForLock(statement, onResult);
            process();
        };
    } catch (const sql_error &problem) {
        sendError(problem);
    }
}

statement_result client_connection::execute(const logged_statement &statement)
{
    if (const auto call = parseGroupCall(statement.text, statement.parameters))
        return callGroupFunction(*call);
    const auto verb = transactionVerbOf(statement.text);
    requireUsableTransaction(verb);
    if (verb != transaction_verb::none)
        return changeTransaction(verb, statement.text);
    m_context.member.requireReadable();
    if (engine().describe(statement.text).readOnly)
        return engine().execute(statement);
    m_context.member.requireWritable();
    return executeWrite(statement);
}

statement_result client_connection::executeWrite(const logged_statement &statement)
{
    if (!m_holdsWriteLock) {
        engine().execute({"BEGIN IMMEDIATE", {}});
        m_holdsWriteLock = true;
    }
    try {
        auto result = engine().execute(statement);
        m_transactionWrites.push_back(statement);
        if (!m_inTransaction)
            commit();
        return result;
    } catch (const sql_error &) {
        if (!m_inTransaction)
            rollback();
        throw;
    }
}

statement_result client_connection::changeTransaction(transaction_verb verb,
                                                      const std::string &text)
{
    switch (verb) {
    case transaction_verb::begin:
        m_inTransaction = true;
        return {{}, {}, "BEGIN"};
    case transaction_verb::commit:
        return commit();
    case transaction_verb::rollback:
        rollback();
        m_inTransaction = false;
        m_transactionFailed = false;
        return {{}, {}, "ROLLBACK"};
    case transaction_verb::savepoint:
        m_transactionFailed = false;
        return executeWrite({text, {}});
    case transaction_verb::session:
    case transaction_verb::none:
        break;
    }
    return {{}, {}, "SET"};
}

statement_result client_connection::commit()
{
    const bool failed = m_transactionFailed;
    m_inTransaction = false;
    m_transactionFailed = false;
    if (failed) {
        rollback();
        return {{}, {}, "ROLLBACK"};
    }
    if (m_holdsWriteLock) {
        engine().execute({"COMMIT", {}});
        m_holdsWriteLock = false;
        m_context.member.append(std::exchange(m_transactionWrites, {}));
        m_context.member.onLockReleased();
    }
    return {{}, {}, "COMMIT"};
}

void client_connection::rollback()
{
    m_transactionWrites.clear();
    if (!m_holdsWriteLock)
        return;
    m_holdsWriteLock = false;
    engine().execute({"ROLLBACK", {}});
    m_context.member.onLockReleased();
}

void client_connection::requireUsableTransaction(transaction_verb verb) const
{
    const bool endsFailure = verb == transaction_verb::commit || verb == transaction_verb::rollback
                             || verb == transaction_verb::savepoint;
    if (m_transactionFailed && !endsFailure)
        throw sql_error(sqlstate::inFailedSqlTransaction,
                        "current transaction is aborted, commands ignored until end of "
                        "transaction block");
}

statement_result client_connection::callGroupFunction(const group_call &call)
{
    auto &member = m_context.member;
    const auto argument = [&call](std::size_t index) -> const std::string & {
        if (index >= call.arguments.size())
            throw sql_error(sqlstate::syntaxError, "argument is missing");
        return call.arguments[index];
    };
    const auto number = [&argument](std::size_t index) -> std::uint64_t {
        try {
            return std::stoull(argument(index));
        } catch (const std::logic_error &) {
            throw sql_error(sqlstate::syntaxError, "'" + argument(index) + "' is not a number");
        }
    };
    const auto staleness = std::to_string(m_context.replication.stalenessMs());
    const auto position = member.appliedPosition();
    if (call.function == "status") {
        return {{numberColumn("term"), textColumn("role"), numberColumn("position_term"),
                 numberColumn("position_offset"), numberColumn("staleness_ms"),
                 textColumn("followers"), numberColumn("sessions"), numberColumn("slots")},
                {{std::to_string(member.term()), std::string(roleName(member.role())),
                  std::to_string(position.term), std::to_string(position.offset), staleness,
                  encodeFollowers(member), std::to_string(m_context.sessionCount()),
                  std::to_string(m_context.queue.slots())}},
                "SELECT 1"};
    }
    if (call.function == "position") {
        return {{numberColumn("position_term"), numberColumn("position_offset"),
                 numberColumn("staleness_ms"), textColumn("role"), numberColumn("term")},
                {{std::to_string(position.term), std::to_string(position.offset), staleness,
                  std::string(roleName(member.role())), std::to_string(member.term())}},
                "SELECT 1"};
    }
    if (call.function == "fence") {
        member.fence(number(0), call.arguments.size() > 1 ? argument(1) : std::string());
        return positionResult(member.logPosition());
    }
    if (call.function == "promote") {
        member.promote(number(0), argument(1));
        return positionResult(member.logPosition());
    }
    if (call.function == "follow") {
        member.follow(number(0), argument(2));
        return positionResult(member.logPosition());
    }
    if (call.function == "replicate")
        return replicationResult(
                member.replicate(argument(0), number(1), decodeTermEnds(argument(2))));
    if (call.function == "set_lag") {
        m_context.replication.setLag(static_cast<double>(number(0)) / millisecondsPerSecond);
        return {{numberColumn("lag_ms")}, {{argument(0)}}, "SELECT 1"};
    }
    if (call.function == "end_sessions") {
        const auto ended = m_context.endSessions(argument(0) + '/' + argument(1));
        return {{numberColumn("ended")}, {{std::to_string(ended)}}, "SELECT 1"};
    }
    throw sql_error(sqlstate::syntaxError, "unknown group function");
}

sql_engine &client_connection::engine()
{
    const auto &file = m_context.member.databaseFile();
    if (!m_engine || m_engineFile != file) {
        m_engine = std::make_unique<sql_engine>(file);
        m_engineFile = file;
    }
    return *m_engine;
}

void client_connection::sendRows(const statement_result &result, bool withDescription)
{
    if (result.tag.empty())
        return m_writer.emptyQueryResponse();
    if (withDescription && !result.columns.empty())
        m_writer.rowDescription(result.columns);
    std::ranges::for_each(result.rows, [this](const auto &row) {
        m_writer.dataRow(sycamorespan::row_values(row.begin(), row.end()));
    });
    m_writer.commandComplete(result.tag);
}

void client_connection::sendError(const sql_error &problem)
{
    m_writer.errorResponse({"ERROR", problem.code(), problem.what(), problem.detail(), {}});
    if (m_inTransaction)
        m_transactionFailed = true;
    if (m_extended)
        m_skipUntilSync = true;
    else
        sendReadyForQuery();
}

void client_connection::sendReadyForQuery()
{
    m_writer.readyForQuery(status());
}

void client_connection::sendPending()
{
    m_stream.write(m_writer.release());
    m_writer = {};
}

transaction_status client_connection::status() const
{
    if (m_transactionFailed)
        return transaction_status::failed;
    return m_inTransaction ? transaction_status::active : transaction_status::idle;
}

} // namespace standin
