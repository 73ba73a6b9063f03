#ifndef SYCAMORESPAN_CONFIGURATION_KEY_GUARD_H
#define SYCAMORESPAN_CONFIGURATION_KEY_GUARD_H

#include "sycamorespan/src/Configuration/key_ring.h"

#include <string>
#include <variant>

namespace sycamorespan::configuration {

/** \brief Activity of a session between a caller and a backend server. */
enum class session_activity {
    idle, /**< no transaction is open */
    idleInTransaction, /**< a transaction is open and no statement runs */
    running /**< a statement runs */
};

/** \brief Reason why a statement is refused; the statement was not run. */
enum class key_refusal {
    keyWithdrawn, /**< the key is no longer granted */
    notFresh /**< this process may have missed a withdrawal; a retry may succeed */
};

/** \brief Run the statement. */
struct run_statement
{
    bool operator==(const run_statement &) const = default;
};

/** \brief Answer the statement with an error; roll back the transaction, if one is open. */
struct refuse_statement
{
    key_refusal reason;
    bool rollBack;
    bool endSession;

    bool operator==(const refuse_statement &) const = default;
};

using statement_verdict = std::variant<run_statement, refuse_statement>;

/** \brief Leave the session as it is. */
struct keep_session
{
    bool operator==(const keep_session &) const = default;
};

/** \brief Roll back the transaction, if one is open, and end the session. */
struct end_session
{
    bool rollBack;

    bool operator==(const end_session &) const = default;
};

using session_verdict = std::variant<keep_session, end_session>;

/** \brief Applies the keys in force to one session whose key was verified at connect.
 *
 * A statement that is running when its key is withdrawn finishes and is answered. Then the open
 * transaction is rolled back and the session ended. A session that runs no statement is ended at
 * once, so that it does not occupy a slot. While the process is not fresh, statements are refused
 * and sessions are kept.
 */
class key_guard
{
public:
    /** \param workspace  the session's workspace
     * \param key        the identifier that key_ring::verify() returned
     */
    key_guard(workspace_id workspace, std::string key);

    /** \brief Decides about a statement that has arrived.
     * \param keys             the keys in force
     * \param isFresh          whether a request with a key may start
     * \param isInTransaction  whether a transaction is open
     */
    statement_verdict checkStatement(const key_ring &keys, bool isFresh,
                                     bool isInTransaction) const;

    /** \brief Decides about the session after a version was put in force or a statement has ended.
     */
    session_verdict checkSession(const key_ring &keys, session_activity activity) const;

private:
    workspace_id m_workspace;
    std::string m_key;
};

} // namespace sycamorespan::configuration

#endif
