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

/** \brief The first row of a result, by column name; columns that are NULL are left out. */
struct member_row
{
    std::map<std::string, std::string> columns;

    bool operator==(const member_row &) const = default;
};

/** \brief An error that the server answered. */
struct member_error
{
    std::string sqlstate;
    std::string detail;

    auto operator<=>(const member_error &) const = default;
};

/** \brief A connection failure before the answer was complete; the statement may have run. */
struct member_connection_lost
{
    std::string reason;

    auto operator<=>(const member_connection_lost &) const = default;
};

using member_answer = std::variant<member_row, member_error, member_connection_lost>;

/** \brief An SQL statement that calls a group function, with its parameters. */
struct member_statement
{
    std::string sql;
    std::vector<std::string> parameters;

    bool operator==(const member_statement &) const = default;
};

/** \brief Address and credentials for a connection to a member. */
struct member_login
{
    endpoint address;
    std::string password;
    std::string applicationName;

    bool operator==(const member_login &) const = default;
};

/** \brief A libpq connection to a backend server that runs one statement at a time.
 *
 * It has no timeouts of its own: the owner destroys it when a deadline passes.
 */
class member_connection
{
public:
    using answer_handler = std::function<void(const member_answer &)>;

    /** \brief Starts to connect. */
    member_connection(ev::loop_ref loop, const member_login &login);
    member_connection(const member_connection &) = delete;
    member_connection &operator=(const member_connection &) = delete;
    ~member_connection();

    /** \brief Runs \a statement as soon as the connection is open.
     *
     * It must not be called while another statement is running.
     * \param onAnswer  called once, from the event loop; it may destroy this object
     */
    void run(member_statement statement, answer_handler onAnswer);

    /** \returns whether the connection is open and no statement is running. */
    bool isIdle() const { return m_state == state::idle; }

private:
    enum class state { connecting, idle, running, closed };

    struct connection_closer
    {
        void operator()(PGconn *connection) const { PQfinish(connection); }
    };

    void handleSocketReady(ev::io &, int events);
    void continueConnecting();
    void sendStatement();
    void readResults();
    void finish(const member_answer &answer);
    void fail();
    void watchSocket(int events);

    state m_state = state::connecting;
    std::unique_ptr<PGconn, connection_closer> m_connection;
    std::optional<member_statement> m_statement;
    answer_handler m_onAnswer;
    std::optional<member_answer> m_answer;
    ev::io m_watcher;
    loop_timer m_failTimer;
};

} // namespace sycamorespan::agent

#endif
