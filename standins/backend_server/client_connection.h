#ifndef STANDIN_BACKEND_SERVER_CLIENT_CONNECTION_H
#define STANDIN_BACKEND_SERVER_CLIENT_CONNECTION_H

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <ev++.h>

#include "group_member.h"
#include "group_statement.h"
#include "replication_client.h"
#include "sycamorespan/Net"
#include "sycamorespan/Protocol"
#include "work_queue.h"

namespace standin {

/** \brief Resources and callbacks that all client connections of a member share. */
struct connection_context
{
    ev::loop_ref loop;
    group_member &member;
    replication_client &replication;
    work_queue &queue;
    std::string password;
    double connectSeconds = 0;
    double statementSeconds = 0;
    /** Appends received bytes to the record file. */
    std::function<void(std::string_view)> record;
    /** Returns the number of authenticated sessions, which is reported and limited. */
    std::function<int()> sessionCount;
    int maximumSessions = 0;
    /** Terminates the sessions with this application name and returns their number. */
    std::function<int(const std::string &applicationName)> endSessions;
    /** Cancels the running statement of the session with this process ID and secret. */
    std::function<void(std::int32_t processId, std::int32_t secret)> cancelSession;
};

/** \brief Connection of one client to the member, with its session and transaction. */
class client_connection
{
public:
    client_connection(const connection_context &context, sycamorespan::file_descriptor socket,
                      std::int32_t processId, std::function<void()> onClosed);
    ~client_connection();
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    const std::string &applicationName() const noexcept { return m_applicationName; }
    std::int32_t processId() const noexcept { return m_processId; }
    std::int32_t secret() const noexcept { return m_secret; }
    bool isSession() const noexcept { return m_authenticated; }

    /** \brief Rolls back an open transaction after the member's role changed or its database was
     * rebuilt.
     */
    void abortTransaction();
    /** \brief Ends the session with SQLSTATE 57P01 (admin_shutdown). */
    void terminate();
    /** \brief Ends the running statement with SQLSTATE 57014 (query_canceled). */
    void cancelStatement();
    /** \brief Executes a statement again that waits for the write lock. */
    void retryBlockedStatement();

private:
    /** Bound statement with its result, if a describe message has executed it already. */
    struct portal
    {
        logged_statement statement;
        std::optional<statement_result> result;
    };

    void onBytes(std::string_view bytes);
    void handleClosed();
    void process();
    void handleStartup(const sycamorespan::frame &opening);
    void handlePassword(const std::string &password);
    void finishStartup();
    void sendFatalError(std::string_view code, const std::string &message);
    void handle(const sycamorespan::frontend_message &message);
    void handleExtended(const sycamorespan::frontend_message &message);
    void bindPortal(const sycamorespan::bind_message &message);
    void describe(const sycamorespan::describe_message &message);
    void executePortal(const sycamorespan::execute_message &message);

    /** \brief Executes \a statement and passes its result to \a onResult.
     *
     * Group calls and transaction statements are executed at once, others when a slot of the work
     * queue has been held for their service time.
     */
    void run(const logged_statement &statement, std::function<void(statement_result)> onResult);
    /** \brief Executes \a statement now, or when another session releases the write lock. */
    void executeOrWaitForLock(const logged_statement &statement,
                              const std::function<void(statement_result)> &onResult);
    statement_result execute(const logged_statement &statement);
    statement_result executeWrite(const logged_statement &statement);
    statement_result changeTransaction(transaction_verb verb, const std::string &text);
    statement_result callGroupFunction(const group_call &call);
    statement_result commit();
    void rollback();
    void requireUsableTransaction(transaction_verb verb) const;
    sql_engine &engine();
    void sendRows(const statement_result &result, bool withDescription);
    void sendError(const sql_error &problem);
    void sendReadyForQuery();
    void sendPending();
    sycamorespan::transaction_status status() const;

    const connection_context &m_context;
    std::int32_t m_processId;
    std::int32_t m_secret;
    std::function<void()> m_onClosed;
    sycamorespan::byte_stream m_stream;
    sycamorespan::frame_decoder m_decoder;
    sycamorespan::backend_writer m_writer;
    std::string m_applicationName;
    std::string m_user;
    bool m_started = false;
    bool m_authenticated = false;
    /** A statement or the connect delay is under way, or the client is closed. */
    bool m_busy = false;
    bool m_extended = false;
    bool m_skipUntilSync = false;
    ev::timer m_connectDelayTimer;
    work_queue::work_id m_workId = 0;
    std::function<void()> m_blockedStatement;

    std::unique_ptr<sql_engine> m_engine;
    std::string m_engineFile;
    bool m_inTransaction = false;
    bool m_transactionFailed = false;
    bool m_holdsWriteLock = false;
    /** Write statements of the open transaction, which the commit appends to the log. */
    std::vector<logged_statement> m_transactionWrites;
    std::map<std::string, std::string> m_statements;
    std::map<std::string, portal> m_portals;

    void onConnectDelayElapsed(ev::timer &watcher, int events);
};

} // namespace standin

#endif
