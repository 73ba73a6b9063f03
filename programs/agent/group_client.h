#ifndef SYCAMORESPAN_PROGRAMS_AGENT_GROUP_CLIENT_H
#define SYCAMORESPAN_PROGRAMS_AGENT_GROUP_CLIENT_H

#include "programs/agent/member_connection.h"

#include "sycamorespan/Failover"

#include <functional>
#include <map>
#include <memory>

namespace sycamorespan::agent {

/** \returns the SQL of a group function.
 * \sa docs/design/0001-published-protocols.md
 */
member_statement statementOf(const group_operation &operation);

/** \brief Reads the answer to \a operation.
 * \returns call_failed for an answer that can't be read
 */
group_answer groupAnswerOf(const group_operation &operation, const member_answer &answer);

/** \brief Calls group functions of backend servers, each with a deadline.
 *
 * One idle connection to each member is kept. A call without an answer by its deadline fails and
 * its connection is closed.
 */
class group_client
{
public:
    using answer_handler = std::function<void(const call_returned &)>;

    /** \param applicationName  name of this process to the backend servers */
    group_client(ev::loop_ref loop, std::string password, std::string applicationName);
    ~group_client();

    /** \brief Calls \a member; \a onAnswer is called once, from the loop. */
    void call(const call_member &request, const group_member &member, answer_handler onAnswer);

    /** \returns calls without an answer yet. */
    std::size_t pendingCount() const { return m_calls.size(); }

private:
    struct pending_call;
    struct kept_connection
    {
        std::string address;
        std::unique_ptr<member_connection> connection;
    };

    /** \returns nothing when the member's address can't be used. */
    std::unique_ptr<member_connection> connectionTo(const group_member &member,
                                                    bool freshConnection);
    void handleAnswer(std::uint64_t number, const member_answer &answer);
    void finish(std::uint64_t number, const group_answer &answer);

    ev::loop_ref m_loop;
    std::string m_password;
    std::string m_applicationName;
    std::uint64_t m_lastNumber = 0;
    std::map<server_id, kept_connection> m_kept;
    std::map<std::uint64_t, std::unique_ptr<pending_call>> m_calls;
};

} // namespace sycamorespan::agent

#endif
