#ifndef SYCAMORESPAN_PROGRAMS_AGENT_GROUP_CLIENT_H
#define SYCAMORESPAN_PROGRAMS_AGENT_GROUP_CLIENT_H

#include "programs/agent/member_connection.h"

#include "sycamorespan/Failover"

#include <functional>
#include <map>
#include <memory>

namespace sycamorespan::agent {

/** \returns the SQL statement that calls the group function of \a operation.
 * \sa docs/design/0001-published-protocols.md
 */
member_statement toStatement(const group_operation &operation);

/** \brief Converts the answer of a member to \a operation.
 * \returns the answer; call_failed if it can't be decoded
 */
group_answer toGroupAnswer(const group_operation &operation, const member_answer &answer);

/** \brief Calls group functions of backend servers, each with a deadline.
 *
 * One idle connection to each member is kept open. A call that has no answer by its deadline
 * fails, and its connection is closed.
 */
class group_client
{
public:
    using answer_handler = std::function<void(const call_returned &)>;

    /** \param password        password of the database role on the backend servers
     * \param applicationName  name under which the backend servers know this process
     */
    group_client(ev::loop_ref loop, std::string password, std::string applicationName);
    ~group_client();

    /** \brief Calls a group function of \a member.
     * \param onAnswer  called once, from the event loop
     */
    void call(const call_member &request, const group_member &member, answer_handler onAnswer);

    /** \returns the number of calls that are not answered yet. */
    std::size_t pendingCount() const { return m_pendingCalls.size(); }

private:
    struct pending_call;
    struct idle_connection
    {
        std::string address;
        std::unique_ptr<member_connection> connection;
    };

    /** \returns a connection to \a member; null when its address is not valid. */
    std::unique_ptr<member_connection> connectionTo(const group_member &member,
                                                    bool freshConnection);
    void handleAnswer(std::uint64_t callNumber, const member_answer &answer);
    void finish(std::uint64_t callNumber, const group_answer &answer);

    ev::loop_ref m_loop;
    std::string m_password;
    std::string m_applicationName;
    std::uint64_t m_lastCallNumber = 0;
    std::map<server_id, idle_connection> m_idleConnections;
    std::map<std::uint64_t, std::unique_ptr<pending_call>> m_pendingCalls;
};

} // namespace sycamorespan::agent

#endif
