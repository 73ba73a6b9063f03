#include "programs/proxy/backend_connection.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace sycamorespan::proxy {
namespace {

using result_pointer = std::unique_ptr<PGresult, decltype(&PQclear)>;

std::string quoteConnectionValue(const std::string &value)
{
    std::string result = "'";
    for (const char character : value) {
        if (character == '\'' || character == '\\')
            result.push_back('\\');
        result.push_back(character);
    }
    return result + '\'';
}

std::string connectionString(const backend_connection::options &settings)
{
    return "host=" + settings.address.address + " port=" + std::to_string(settings.address.port)
           + " user=sycamorespan dbname=sycamorespan sslmode=disable gssencmode=disable"
           + " client_encoding=UTF8 application_name="
           + quoteConnectionValue(settings.applicationName)
           + " password=" + quoteConnectionValue(settings.password);
}

std::string errorField(const PGresult *result, int code)
{
    const char *text = PQresultErrorField(result, code);
    return text == nullptr ? std::string() : std::string(text);
}

error_report errorOf(const PGresult *result)
{
    auto code = errorField(result, PG_DIAG_SQLSTATE);
    if (code.empty())
        code = sqlstate::connectionFailure;
    return {"ERROR", code, errorField(result, PG_DIAG_MESSAGE_PRIMARY),
            errorField(result, PG_DIAG_MESSAGE_DETAIL), errorField(result, PG_DIAG_MESSAGE_HINT)};
}

std::vector<column_description> columnsOf(const PGresult *result)
{
    std::vector<column_description> columns;
    for (int index = 0; index < PQnfields(result); ++index) {
        columns.push_back({PQfname(result, index), PQftable(result, index),
                           static_cast<std::int16_t>(PQftablecol(result, index)),
                           PQftype(result, index),
                           static_cast<std::int16_t>(PQfsize(result, index)), PQfmod(result, index),
                           static_cast<std::int16_t>(PQfformat(result, index))});
    }
    return columns;
}

std::string encodeRows(const PGresult *result)
{
    backend_writer writer;
    row_values row(static_cast<std::size_t>(PQnfields(result)));
    for (int rowIndex = 0; rowIndex < PQntuples(result); ++rowIndex) {
        for (int column = 0; column < PQnfields(result); ++column) {
            const auto length = static_cast<std::size_t>(PQgetlength(result, rowIndex, column));
            auto &value = row[static_cast<std::size_t>(column)];
            if (PQgetisnull(result, rowIndex, column) != 0)
                value.reset();
            else
                value = std::string_view(PQgetvalue(result, rowIndex, column), length);
        }
        writer.dataRow(row);
    }
    return writer.release();
}

std::vector<std::uint32_t> parameterTypesOf(const PGresult *result)
{
    std::vector<std::uint32_t> types;
    for (int index = 0; index < PQnparams(result); ++index)
        types.push_back(PQparamtype(result, index));
    return types;
}

bool sendQuery(PGconn *connection, const sql_request &sql)
{
    const auto count = static_cast<int>(sql.parameters.size());
    std::vector<const char *> values;
    std::vector<int> lengths;
    std::vector<int> formats;
    for (const auto &parameter : sql.parameters) {
        values.push_back(parameter ? parameter->data() : nullptr);
        lengths.push_back(parameter ? static_cast<int>(parameter->size()) : 0);
    }
    for (std::size_t index = 0; index < sql.parameters.size(); ++index) {
        const auto &givenFormats = sql.parameterFormats;
        const auto format = givenFormats.empty() ? std::int16_t{0}
                            : givenFormats.size() == 1
                                    ? givenFormats.front()
                                    : givenFormats.at(std::min(index, givenFormats.size() - 1));
        formats.push_back(format);
    }
    std::vector<Oid> types(sql.parameterTypes.begin(), sql.parameterTypes.end());
    types.resize(sql.parameters.size());
    return PQsendQueryParams(connection, sql.text.c_str(), count, types.data(), values.data(),
                             lengths.data(), formats.data(), sql.resultFormat)
           == 1;
}

bool sendDescribe(PGconn *connection, const sql_request &sql)
{
    const std::vector<Oid> types(sql.parameterTypes.begin(), sql.parameterTypes.end());
    return PQsendPrepare(connection, "", sql.text.c_str(), static_cast<int>(types.size()),
                         types.data())
                   == 1
           && PQsendDescribePrepared(connection, "") == 1;
}

} // namespace

backend_connection::backend_connection(ev::loop_ref loop, const options &settings,
                                       connected_handler onConnected)
    : m_onConnected(std::move(onConnected))
    , m_io(loop)
    , m_timer(loop, [this] { onTimeout(); })
{
    m_io.set<backend_connection, &backend_connection::onReady>(this);
    m_connection.reset(PQconnectStart(connectionString(settings).c_str()));
    if (!m_connection || PQstatus(m_connection.get()) == CONNECTION_BAD) {
        m_timer.startOnce(duration::zero());
        return;
    }
    m_timer.startOnce(settings.connectTimeout);
    watch(ev::WRITE);
}

backend_connection::~backend_connection()
{
    m_io.stop();
}

void backend_connection::run(std::vector<backend_step> steps, duration timeout,
                             reply_handler onReply)
{
    m_onReply = std::move(onReply);
    if (m_state == state::closed)
        return m_timer.startOnce(duration::zero());
    m_state = state::busy;
    m_steps = std::move(steps);
    m_reply = {};
    m_result = {};
    m_hasResult = false;
    m_timer.startOnce(timeout);
    sendSteps();
}

void backend_connection::abort()
{
    if (m_lastError.empty())
        m_lastError = "aborted";
    fail();
}

void backend_connection::cancelRunning()
{
    if (m_state != state::busy)
        return;
    // PQcancel() blocks while it opens a separate connection, so it runs on its own thread.
    PGcancel *cancel = PQgetCancel(m_connection.get());
    if (cancel == nullptr)
        return;
    std::thread([cancel] {
        char text[256] = {}; // NOLINT: libpq's interface
        PQcancel(cancel, text, sizeof text);
        PQfreeCancel(cancel);
    }).detach();
}

bool backend_connection::isOutsideTransaction() const
{
    return m_connection && PQtransactionStatus(m_connection.get()) == PQTRANS_IDLE;
}

void backend_connection::onReady(ev::io &, int events)
{
    if (m_state == state::connecting)
        return continueConnecting();
    if ((events & ev::WRITE) != 0)
        watch(PQflush(m_connection.get()) == 1 ? ev::READ | ev::WRITE : ev::READ);
    if ((events & ev::READ) != 0 && PQconsumeInput(m_connection.get()) == 0)
        return fail();
    if (m_state == state::busy)
        return readResults();
    // While no batch runs, readability means that the server closed the connection.
    if (PQstatus(m_connection.get()) == CONNECTION_BAD)
        fail();
}

void backend_connection::onTimeout()
{
    if (m_lastError.empty())
        m_lastError = "timeout";
    if (m_state == state::closed)
        return reportConnectionLost();
    fail();
}

void backend_connection::continueConnecting()
{
    switch (PQconnectPoll(m_connection.get())) {
    case PGRES_POLLING_READING:
        return watch(ev::READ);
    case PGRES_POLLING_WRITING:
        return watch(ev::WRITE);
    case PGRES_POLLING_OK:
        break;
    default:
        return fail();
    }
    PQsetnonblocking(m_connection.get(), 1);
    if (PQenterPipelineMode(m_connection.get()) != 1)
        return fail();
    m_timer.stop();
    m_state = state::ready;
    watch(ev::READ);
    std::exchange(m_onConnected, nullptr)(true);
}

void backend_connection::sendSteps()
{
    auto *connection = m_connection.get();
    const bool sent = std::ranges::all_of(m_steps, [connection](const backend_step &step) {
        const bool queued = step.sql.describeOnly ? sendDescribe(connection, step.sql)
                                                  : sendQuery(connection, step.sql);
        return queued && (!step.syncAfter || PQpipelineSync(connection) == 1);
    });
    if (!sent)
        return fail();
    watch(PQflush(connection) == 1 ? ev::READ | ev::WRITE : ev::READ);
}

void backend_connection::readResults()
{
    while (m_state == state::busy && PQisBusy(m_connection.get()) == 0) {
        const result_pointer result(PQgetResult(m_connection.get()), &PQclear);
        if (!result) {
            finishStep();
        } else if (!storeResult(result.get())) {
            return fail();
        }
        const bool complete = m_reply.results.size() == m_steps.size();
        if (complete && m_state == state::busy && result
            && PQresultStatus(result.get()) == PGRES_PIPELINE_SYNC)
            return finishBatch();
    }
}

bool backend_connection::storeResult(PGresult *result)
{
    switch (PQresultStatus(result)) {
    case PGRES_PIPELINE_SYNC:
        return true;
    case PGRES_PIPELINE_ABORTED:
        m_result.error = error_report{"ERROR",
                                      std::string(sqlstate::inFailedSqlTransaction),
                                      "skipped after an error",
                                      {},
                                      {}};
        break;
    case PGRES_FATAL_ERROR:
        if (PQstatus(m_connection.get()) == CONNECTION_BAD)
            return false;
        m_result.error = errorOf(result);
        break;
    case PGRES_TUPLES_OK:
        m_result.columns = columnsOf(result);
        m_result.rows = encodeRows(result);
        m_result.tag = PQcmdStatus(result);
        break;
    case PGRES_EMPTY_QUERY:
        break;
    case PGRES_COMMAND_OK:
        m_result.tag = PQcmdStatus(result);
        m_result.columns = columnsOf(result);
        m_result.parameterTypes = parameterTypesOf(result);
        break;
    default:
        return false;
    }
    m_hasResult = true;
    return true;
}

/** A describe-only step yields two libpq results: one for Prepare and one for Describe. */
void backend_connection::finishStep()
{
    if (!m_hasResult || m_reply.results.size() >= m_steps.size()) {
        if (PQstatus(m_connection.get()) == CONNECTION_BAD)
            fail();
        return;
    }
    m_hasResult = false;
    auto &step = m_steps[m_reply.results.size()];
    const bool wasPreparation = std::exchange(step.sql.describeOnly, false);
    if (wasPreparation && !m_result.error)
        return;
    m_reply.results.push_back(std::exchange(m_result, {}));
}

void backend_connection::finishBatch()
{
    m_timer.stop();
    m_state = state::ready;
    const auto onReply = std::exchange(m_onReply, nullptr);
    onReply(std::exchange(m_reply, {}));
}

void backend_connection::fail()
{
    if (m_state == state::closed)
        return;
    if (m_connection && m_lastError.empty())
        m_lastError = PQerrorMessage(m_connection.get());
    const bool wasConnecting = m_state == state::connecting;
    m_state = state::closed;
    m_timer.stop();
    m_io.stop();
    m_connection.reset();
    if (wasConnecting)
        return std::exchange(m_onConnected, nullptr)(false);
    reportConnectionLost();
}

void backend_connection::reportConnectionLost()
{
    const auto onReply = std::exchange(m_onReply, nullptr);
    if (!onReply)
        return;
    m_reply.connectionLost = true;
    onReply(std::exchange(m_reply, {}));
}

void backend_connection::watch(int events)
{
    m_io.stop();
    m_io.start(PQsocket(m_connection.get()), events);
}

} // namespace sycamorespan::proxy
