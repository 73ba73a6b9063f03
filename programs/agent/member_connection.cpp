#include "programs/agent/member_connection.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorespan::agent {

namespace {

using result_pointer = std::unique_ptr<PGresult, decltype(&PQclear)>;

std::unique_ptr<PGconn, void (*)(PGconn *)> startConnecting(const member_login &login)
{
    const auto port = std::to_string(login.address.port);
    const char *const names[] = {"hostaddr",         "port",    "user",       "dbname", "password",
                                 "application_name", "sslmode", "gssencmode", nullptr};
    const char *const values[] = {login.address.address.c_str(),
                                  port.c_str(),
                                  "sycamorespan",
                                  "sycamorespan",
                                  login.password.c_str(),
                                  login.applicationName.c_str(),
                                  "disable",
                                  "disable",
                                  nullptr};
    return {PQconnectStartParams(names, values, 0), &PQfinish};
}

std::string errorField(const PGresult *result, int code)
{
    const char *text = PQresultErrorField(result, code);
    return text == nullptr ? std::string() : std::string(text);
}

member_row firstRow(const PGresult *result)
{
    member_row row;
    if (PQntuples(result) == 0)
        return row;
    for (int column = 0; column < PQnfields(result); ++column) {
        if (PQgetisnull(result, 0, column) == 0)
            row.columns.emplace(PQfname(result, column), PQgetvalue(result, 0, column));
    }
    return row;
}

} // namespace

member_connection::member_connection(ev::loop_ref loop, const member_login &login)
    : m_connection(startConnecting(login).release())
    , m_watcher(loop)
    , m_failTimer(loop, [this] { fail(); })
{
    m_watcher.set<member_connection, &member_connection::handleSocketReady>(this);
    if (PQstatus(m_connection.get()) == CONNECTION_BAD)
        m_failTimer.startOnce(duration::zero());
    else
        watchSocket(ev::WRITE);
}

member_connection::~member_connection()
{
    m_watcher.stop();
}

void member_connection::run(member_statement statement, answer_handler onAnswer)
{
    m_statement = std::move(statement);
    m_onAnswer = std::move(onAnswer);
    m_answer.reset();
    if (m_state == state::idle)
        sendStatement();
    else if (m_state == state::closed)
        m_failTimer.startOnce(duration::zero());
}

void member_connection::handleSocketReady(ev::io &, int events)
{
    if (m_state == state::connecting)
        return continueConnecting();
    if ((events & ev::WRITE) != 0)
        watchSocket(PQflush(m_connection.get()) == 1 ? ev::READ | ev::WRITE : ev::READ);
    if ((events & ev::READ) == 0)
        return;
    if (PQconsumeInput(m_connection.get()) == 0)
        return fail();
    if (m_state == state::running)
        readResults();
}

void member_connection::continueConnecting()
{
    switch (PQconnectPoll(m_connection.get())) {
    case PGRES_POLLING_READING:
        return watchSocket(ev::READ);
    case PGRES_POLLING_WRITING:
        return watchSocket(ev::WRITE);
    case PGRES_POLLING_OK:
        break;
    default:
        return fail();
    }
    PQsetnonblocking(m_connection.get(), 1);
    m_state = state::idle;
    watchSocket(ev::READ);
    if (m_statement)
        sendStatement();
}

void member_connection::sendStatement()
{
    m_state = state::running;
    const auto statement = *std::exchange(m_statement, std::nullopt);
    std::vector<const char *> values;
    std::ranges::transform(statement.parameters, std::back_inserter(values),
                           [](const std::string &value) { return value.c_str(); });
    constexpr int textFormat = 0;
    const int sent = PQsendQueryParams(m_connection.get(), statement.sql.c_str(),
                                       static_cast<int>(values.size()), nullptr, values.data(),
                                       nullptr, nullptr, textFormat);
    if (sent != 1) {
        m_failTimer.startOnce(duration::zero());
        return;
    }
    watchSocket(PQflush(m_connection.get()) == 1 ? ev::READ | ev::WRITE : ev::READ);
}

void member_connection::readResults()
{
    while (PQisBusy(m_connection.get()) == 0) {
        const result_pointer result(PQgetResult(m_connection.get()), &PQclear);
        if (!result && m_answer) {
            m_state = state::idle;
            return finish(*std::exchange(m_answer, std::nullopt));
        }
        if (!result || PQstatus(m_connection.get()) == CONNECTION_BAD)
            return fail();
        if (PQresultStatus(result.get()) == PGRES_TUPLES_OK)
            m_answer = firstRow(result.get());
        else
            m_answer = member_error{errorField(result.get(), PG_DIAG_SQLSTATE),
                                    errorField(result.get(), PG_DIAG_MESSAGE_DETAIL)};
    }
}

void member_connection::finish(const member_answer &answer)
{
    if (const auto onAnswer = std::exchange(m_onAnswer, nullptr))
        onAnswer(answer);
}

void member_connection::fail()
{
    const std::string reason = m_connection ? PQerrorMessage(m_connection.get()) : "closed";
    m_state = state::closed;
    m_watcher.stop();
    m_connection.reset();
    finish(member_connection_lost{reason});
}

void member_connection::watchSocket(int events)
{
    m_watcher.stop();
    m_watcher.start(PQsocket(m_connection.get()), events);
}

} // namespace sycamorespan::agent
