#ifndef SYCAMORESPAN_SESSION_CALLER_SESSION_H
#define SYCAMORESPAN_SESSION_CALLER_SESSION_H

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorespan/src/Protocol/backend_messages.h"
#include "sycamorespan/src/Protocol/frontend_messages.h"
#include "sycamorespan/src/Routing/statement_classifier.h"
#include "sycamorespan/src/Session/sql_request.h"

namespace sycamorespan {

/** \brief User name of callers without a key, who may only read open databases. */
inline constexpr std::string_view anonymousUser = "anonymous";

/** \brief Startup parameters of a caller. The caller's key is sent as the password. */
struct caller_identity
{
    std::string user;
    std::string database;
    std::string applicationName;
    std::map<std::string, std::string> options;

    bool operator==(const caller_identity &) const = default;
};

/** \brief Event: bytes arrived from the caller. */
struct caller_bytes
{
    std::string_view bytes;
};

/** \brief Event: the caller was accepted. */
struct caller_accepted
{
    /** Verified position that the caller passed; if empty, only the primary serves its reads. */
    std::optional<log_position> position;
    /** Text of \a position, which is sent to the caller at once so that it can continue through
     * another instance; may be empty.
     */
    std::string positionToken;
    /** Staleness that the session's reads allow; empty if the caller stated none. */
    std::optional<duration> maxStaleness;
    /** Whether the session is read-only, because the caller is anonymous. */
    bool readOnly = false;
    std::int32_t processId = 0;
    std::int32_t secret = 0;
};

/** \brief Event: the caller was refused. */
struct caller_refused
{
    error_report report;
};

/** \brief Event: the statement of the last start_statement ended. */
struct statement_finished
{
    sql_result result;
    /** Log position that the statement wrote or read, held by a majority. */
    std::optional<log_position> position;
    /** Text of \a position, which the caller can pass to another instance. */
    std::string positionToken;
};

/** \brief Condition under which a session that has to end is closed. */
enum class end_session_mode {
    whenIdle, ///< when no statement runs and no transaction is open
    afterStatement, ///< when the running statement ends; its transaction is rolled back
    immediately,
};

/** \brief Event: the session has to end. */
struct end_session_request
{
    error_report report;
    end_session_mode mode = end_session_mode::whenIdle;
};

using session_event = std::variant<caller_bytes, caller_accepted, caller_refused,
                                   statement_finished, end_session_request>;

/** \brief Action: send bytes to the caller. */
struct send_bytes
{
    std::string bytes;
};

/** \brief Action: answer the caller's request for TLS with S or N, and start TLS after S. */
struct negotiate_tls
{ };

/** \brief Action: check the caller's key and report caller_accepted or caller_refused. */
struct authenticate_caller
{
    caller_identity identity;
    std::string password;
};

/** \brief Action: run a statement and report statement_finished. */
struct start_statement
{
    statement_request request;
};

/** \brief Action: cancel the running statement of the session with this process ID and secret. */
struct cancel_statement
{
    std::int32_t processId = 0;
    std::int32_t secret = 0;
};

/** \brief Action: abort the session's running statement and roll back its transaction. */
struct abort_work
{ };

/** \brief Action: close the connection after all queued output is sent. */
struct close_session
{ };

using session_action = std::variant<send_bytes, negotiate_tls, authenticate_caller, start_statement,
                                    cancel_statement, abort_work, close_session>;

/** \brief Limits of one session. */
struct session_limits
{
    std::size_t messageBytes = 16UL * 1024 * 1024;
    std::size_t preparedStatements = 1000;
    std::size_t queuedOperations = 10000;

    auto operator<=>(const session_limits &) const = default;
};

/** \brief State machine of one caller's session.
 *
 * It converts the caller's messages to operations and runs them one after another. BEGIN is sent to
 * the backend server only with the first statement, so that an idle transaction holds no slot.
 * Several statements in one query, or before one Sync, form one transaction, as with PostgreSQL.
 */
class caller_session
{
public:
    caller_session(const session_limits &limits, statement_classifier &classifier);

    /** \brief Handles one event. \returns the actions to carry out now, in order. */
    std::vector<session_action> handle(const session_event &event);

    /** \returns whether the caller was accepted. */
    bool isAccepted() const noexcept { return m_phase == phase::ready; }
    bool isClosed() const noexcept { return m_phase == phase::closed; }
    /** \returns whether no statement runs and no transaction is open. */
    bool isIdle() const noexcept;
    /** \returns whether the caller has begun a transaction that has not ended. */
    bool isInTransaction() const noexcept { return m_transaction != transaction_state::none; }
    /** \returns the log position up to which the session has written or read, if it is known. */
    const std::optional<log_position> &position() const noexcept { return m_position; }

private:
    enum class phase { startup, password, authenticating, ready, closed };
    enum class transaction_state {
        none,
        pending, ///< begun by the caller; nothing has been sent to a backend server
        open, ///< open at a backend server
        failed, ///< a statement failed; no backend server holds the transaction
        failedOpen, ///< a statement failed; the backend server still holds the transaction
    };

    /** A statement that the caller prepared with Parse. */
    struct prepared_statement
    {
        std::string text;
        std::vector<std::uint32_t> parameterTypes;
    };
    /** A prepared statement with its parameters, bound with Bind. */
    struct portal
    {
        prepared_statement statement;
        bind_message bound;
    };

    /** Sends encoded messages to the caller. */
    struct reply_operation
    {
        std::string bytes;
    };
    /** Parts of a statement's result that are sent to the caller. */
    enum class result_form {
        full, ///< for a simple query: columns, rows, tag
        rows, ///< for Execute: rows, tag
        describedRows, ///< for Describe of a portal and its Execute: columns, rows, tag
        statementDescription, ///< for Describe of a statement: parameter types, columns
        portalDescription, ///< for Describe of a portal: columns
        errorsOnly, ///< for the end of an implicit transaction: errors only
    };
    /** Prepares a statement. Like all that changes what the session holds, it is carried out in its
     * turn, so that nothing of a batch that has failed before takes effect.
     */
    struct prepare_operation
    {
        parse_message message;
    };
    /** Binds a portal. */
    struct bind_operation
    {
        bind_message message;
    };
    /** Describes a prepared statement. */
    struct describe_operation
    {
        std::string statement;
    };
    /** Describes a portal that is not executed next. */
    struct describe_portal_operation
    {
        std::string portal;
    };
    /** Executes a portal. */
    struct execute_operation
    {
        execute_message message;
        bool described = false; ///< a Describe of the portal precedes it
    };
    /** Closes a prepared statement or a portal. */
    struct close_operation
    {
        close_message message;
    };
    /** Runs a statement. */
    struct run_operation
    {
        sql_request sql;
        result_form form = result_form::full;
        std::optional<classified_statement> statement;
    };
    /** Begins the implicit transaction of several statements. */
    struct begin_implicit_transaction_operation
    { };
    /** Commits the implicit transaction, or rolls it back after an error. */
    struct end_implicit_transaction_operation
    { };
    /** Sends ReadyForQuery, and ends the skipping of operations after an error. */
    struct ready_for_query_operation
    { };
    /** Fails with an error that was found while a message was handled. */
    struct fail_operation
    {
        error_report report;
    };
    using operation =
            std::variant<reply_operation, prepare_operation, bind_operation, describe_operation,
                         describe_portal_operation, execute_operation, close_operation,
                         run_operation, begin_implicit_transaction_operation,
                         end_implicit_transaction_operation, ready_for_query_operation,
                         fail_operation>;

    void onEvent(const caller_bytes &event);
    void onEvent(const caller_accepted &event);
    void onEvent(const caller_refused &event);
    void onEvent(const statement_finished &event);
    void onEvent(const end_session_request &event);

    void decodeFrames();
    void handleStartup(const frame &opening);
    void handleMessage(const frontend_message &message);
    void handleQuery(const query_message &message);
    void handleParse(const parse_message &message);
    void handleBind(const bind_message &message);
    void handleDescribe(const describe_message &message);
    void handleExecute(const execute_message &message);
    void handleClose(const close_message &message);
    void handleSync();
    void handleFlush();
    void addToBatch(operation next);
    void addDescribedPortal();
    void releaseBatch(bool complete);

    void runOperations();
    void perform(const reply_operation &next);
    void perform(const prepare_operation &next);
    void perform(const bind_operation &next);
    void perform(const describe_operation &next);
    void perform(const describe_portal_operation &next);
    void perform(const execute_operation &next);
    void perform(const close_operation &next);
    void perform(const run_operation &next);
    void perform(const begin_implicit_transaction_operation &next);
    void perform(const end_implicit_transaction_operation &next);
    void perform(const ready_for_query_operation &next);
    void perform(const fail_operation &next);

    void changeStatement(const std::string &name, std::optional<prepared_statement> statement);
    void revertUnacknowledgedChanges();
    void runStatement(const run_operation &next, statement_kind kind);
    void beginTransaction(const run_operation &next);
    void endTransaction(const run_operation &next, statement_kind kind);
    void changeParameter(const run_operation &next);
    void start(const run_operation &next, statement_kind kind, transaction_step step);
    void completeLocally(const run_operation &next, const std::string &tag);
    void sendResult(const run_operation &next, const sql_result &result);
    void fail(const error_report &report);
    void failStatement(const error_report &report);
    void updatePosition(const statement_finished &event);
    void closeWith(const error_report &report);
    void closeIfDue();
    transaction_status status() const;
    void flush();

    session_limits m_limits;
    statement_classifier &m_classifier;
    frame_decoder m_decoder;
    backend_writer m_writer;
    std::vector<session_action> m_actions;

    phase m_phase = phase::startup;
    caller_identity m_identity;
    bool m_readOnly = false;
    std::optional<log_position> m_position;
    std::optional<duration> m_maxStaleness;

    std::deque<operation> m_operations;
    std::vector<operation> m_batch; ///< operations since the last Sync or Flush
    std::size_t m_batchStatements = 0;
    bool m_batchTransactionOpen = false; ///< Flush was received before the Sync of its statements
    std::optional<std::string> m_describedPortal; ///< described, but not yet executed
    bool m_skipUntilReady = false;
    bool m_implicitTransactionOpen = false; ///< several statements run as one transaction
    std::optional<run_operation> m_running;
    transaction_step m_runningStep = transaction_step::none;

    transaction_state m_transaction = transaction_state::none;
    bool m_readOnlyTransaction = false;
    std::string m_beginText;

    std::map<std::string, prepared_statement> m_statements;
    std::map<std::string, portal> m_portals;
    /** Former values of the prepared statements that the implicit transaction has changed. */
    std::vector<std::pair<std::string, std::optional<prepared_statement>>> m_unacknowledgedChanges;
    std::optional<end_session_request> m_ending;
};

} // namespace sycamorespan

#endif
