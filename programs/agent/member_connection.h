#ifndef SYCAMORESPAN_PROGRAMS_AGENT_MEMBER_CONNECTION_H
#define SYCAMORESPAN_PROGRAMS_AGENT_MEMBER_CONNECTION_H

#include "sycamorespan/Net"

#include <ev++.h>
#include <libpq-fe.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan::agent {

/** \brief The first row of a result, by name of the column; NULL is left out. */
struct member_row
{
    std::map<std::string, std::string> columns;

    bool operator==(const member_row &) const = default;
};

/** \brief The server answered with an error. */
struct member_error
{
    std::string sqlstate;
    std::string detail;

    auto operator<=>(const member_error &) const = default;
};

/** \brief The connection failed before the answer was complete; the statement may have run. */
struct member_lost
{
    std::string reason;

    auto operator<=>(const member_lost &) const = default;
};

using member_answer = std::variant<member_row, member_error, member_lost>;

/** \brief A group function's call. */
struct member_statement
{
    std::string sql;
    std::vector<std::string> parameters;

    bool operator==(const member_statement &) const = default;
};

/** \brief How to connect to a member. */
struct member_login
{
    endpoint address;
    std::string password;
    std::string applicationName;

    bool operator==(const member_login &) const = default;
};

/** \brief A connection to a backend server that runs one statement at a time, by libpq.
 *
 * It has no timeout: its owner destroys it.
 */
class member_connection
{
public:
    using answer_handler = std::function<void(const member_answer &)>;

    /** \brief Begins to connect. */
    member_connection(ev::loop_ref loop, const member_login &login);
    member_connection(const member_connection &) = delete;
    member_connection &operator=(const member_connection &) = delete;
    ~member_connection();

    /** \brief Runs \a statement once connected; to be called only while nothing runs.
     * \param onAnswer  called once, from the loop; it may destroy this object
     */
    void run(member_statement statement, answer_handler onAnswer);

    /** \returns whether it is connected and nothing runs. */
    bool isIdle() const { return m_state == state::idle; }

private:
    enum class state { connecting, idle, running, closed };

    struct connection_closer
    {
        void operator()(PGconn *connection) const { PQfinish(connection); }
    };

    void handleReady(ev::io &, int events);
    void continueConnecting();
    void send();
    void readResults();
    void finish(const member_answer &answer);
    void fail();
    void watch(int events);

    state m_state = state::connecting;
    std::unique_ptr<PGconn, connection_closer> m_connection;
    std::optional<member_statement> m_statement;
    answer_handler m_onAnswer;
    std::optional<member_answer> m_answer;
    ev::io m_watcher;
    loop_timer m_failed;
};

} // namespace sycamorespan::agent

#endif
