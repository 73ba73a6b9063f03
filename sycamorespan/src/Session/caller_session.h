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

/** \brief User name of callers without a key; they may read open databases. */
inline constexpr std::string_view anonymousUser = "anonymous";

/** \brief Who connects, and with what. The password is the caller's key. */
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
    /** Position that the caller handed in, checked; empty: only the primary serves its reads. */
    std::optional<log_position> position;
    /** \a position as text, told to the caller at once so that it can go on elsewhere; may be
     * empty. */
    std::string positionToken;
    std::optional<duration> maxStaleness;
    /** The caller's key isn't asked for, and the session is read only. */
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
    /** What the statement wrote or saw, held by a majority. */
    std::optional<log_position> position;
    /** \a position as text that the caller can hand in elsewhere. */
    std::string positionToken;
};

/** \brief How long a session that has to end may go on. */
enum class ending_mode {
    whenIdle, ///< until no statement runs and no transaction is open
    afterStatement, ///< until the running statement ends; its transaction is rolled back
    immediately,
};

/** \brief Event: the session has to end. */
struct session_ending
{
    error_report report;
    ending_mode mode = ending_mode::whenIdle;
};

using session_event = std::variant<caller_bytes, caller_accepted, caller_refused,
                                   statement_finished, session_ending>;

/** \brief Action: send bytes to the caller. */
struct send_bytes
{
    std::string bytes;
};

/** \brief Action: answer the caller's request for TLS, S or N, and start it after S. */
struct negotiate_tls
{ };

/** \brief Action: check the caller's key; the result comes as caller_accepted or caller_refused. */
struct authenticate_caller
{
    caller_identity identity;
    std::string password;
};

/** \brief Action: run a statement; the result comes as statement_finished. */
struct start_statement
{
    statement_request request;
};

/** \brief Action: cancel the running statement of the session that the key names. */
struct cancel_statement
{
    std::int32_t processId = 0;
    std::int32_t secret = 0;
};

/** \brief Action: drop what runs for this session; roll back its transaction. */
struct abandon_work
{ };

/** \brief Action: close the connection after everything queued is sent. */
struct close_session
{ };

using session_action = std::variant<send_bytes, negotiate_tls, authenticate_caller, start_statement,
                                    cancel_statement, abandon_work, close_session>;

/** \brief Bounds on one session. */
struct session_limits
{
    std::size_t messageBytes = 16UL * 1024 * 1024;
    std::size_t preparedStatements = 1000;
    std::size_t queuedOperations = 10000;

    auto operator<=>(const session_limits &) const = default;
};

/** \brief One caller's session.
 *
 * Cuts the caller's messages into operations and runs them one after another. BEGIN is held back
 * until the first statement, so that an idle transaction holds no slot. Several statements in one
 * query, or before one Sync, are one transaction, as with PostgreSQL.
 */
class caller_session
{
public:
    caller_session(const session_limits &limits, statement_classifier &classifier);

    /** \brief Takes one event. \returns what has to be done now, in order. */
    std::vector<session_action> handle(const session_event &event);

    /** \returns whether the caller was accepted. */
    bool isAccepted() const noexcept { return m_phase == phase::ready; }
    bool isClosed() const noexcept { return m_phase == phase::closed; }
    /** \returns whether no statement runs and no transaction is open. */
    bool isIdle() const noexcept;
    bool isInTransaction() const noexcept { return m_transaction != transaction_state::none; }
    const std::optional<log_position> &position() const noexcept { return m_position; }

private:
    enum class phase { startup, password, deciding, ready, closed };
    enum class transaction_state {
        none,
        pending, ///< begun by the caller, nothing sent to a backend server yet
        open, ///< open at a backend server
        failed, ///< a statement failed; nothing at a backend server is kept
        failedOpen, ///< a statement failed; the backend server still holds the transaction
    };

    struct prepared_statement
    {
        std::string text;
        std::vector<std::uint32_t> parameterTypes;
    };
    struct portal
    {
        prepared_statement statement;
        bind_message bound;
    };

    struct reply_operation
    {
        std::string bytes;
    };
    /** How the result of a statement is shown. */
    enum class result_form {
        full, ///< simple query: columns, rows, tag
        rows, ///< execute: rows, tag
        describedRows, ///< describe of a portal, then its execute
        statementDescription,
        portalDescription,
        silent, ///< end of an implicit transaction: errors only
    };
    struct run_operation
    {
        sql_request sql;
        result_form form = result_form::full;
        std::optional<classified_statement> statement;
    };
    struct begin_group_operation
    { };
    struct end_group_operation
    { };
    struct ready_operation
    { };
    struct fail_operation
    {
        error_report report;
    };
    using operation = std::variant<reply_operation, run_operation, begin_group_operation,
                                   end_group_operation, ready_operation, fail_operation>;

    void take(const caller_bytes &event);
    void take(const caller_accepted &event);
    void take(const caller_refused &event);
    void take(const statement_finished &event);
    void take(const session_ending &event);

    void decodeFrames();
    void takeStartup(const frame &opening);
    void takeMessage(const frontend_message &message);
    void takeQuery(const query_message &message);
    void takeParse(const parse_message &message);
    void takeBind(const bind_message &message);
    void takeDescribe(const describe_message &message);
    void takeExecute(const execute_message &message);
    void takeClose(const close_message &message);
    void takeSync();
    void takeFlush();
    void queue(operation next);
    void queueError(std::string_view code, const std::string &message);
    void releaseBatch(bool complete);

    void runQueue();
    void perform(const reply_operation &next);
    void perform(const run_operation &next);
    void perform(const begin_group_operation &next);
    void perform(const end_group_operation &next);
    void perform(const ready_operation &next);
    void perform(const fail_operation &next);

    void runStatement(const run_operation &next, statement_kind kind);
    void beginTransaction(const run_operation &next);
    void endTransaction(const run_operation &next, statement_kind kind);
    void changeParameter(const run_operation &next);
    void start(const run_operation &next, statement_kind kind, transaction_step step);
    void finishLocally(const run_operation &next, const std::string &tag);
    void showResult(const run_operation &next, const sql_result &result);
    void fail(const error_report &report);
    void failStatement(const error_report &report);
    void notePosition(const statement_finished &event);
    void closeWith(const error_report &report);
    void endIfDue();
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
    bool m_batchGroupOpen = false; ///< a Flush came before the Sync of its statements
    std::optional<std::string> m_describedPortal; ///< waits for its execute
    bool m_skipUntilReady = false;
    bool m_groupActive = false; ///< an implicit transaction over several statements
    std::optional<run_operation> m_running;
    transaction_step m_runningStep = transaction_step::none;

    transaction_state m_transaction = transaction_state::none;
    bool m_readOnlyTransaction = false;
    std::string m_beginText;

    std::map<std::string, prepared_statement> m_statements;
    std::map<std::string, portal> m_portals;
    std::optional<session_ending> m_ending;
};

} // namespace sycamorespan

#endif
