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

/** \brief What a client connection shares with the others of its member. */
struct connection_context
{
    ev::loop_ref loop;
    group_member &member;
    replication_client &replication;
    work_queue &queue;
    std::string password;
    double connectSeconds = 0;
    double statementSeconds = 0;
    std::function<void(std::string_view)> record;
    /** Counts sessions, to report and to limit them. */
    std::function<int()> sessionCount;
    int maximumSessions = 0;
    std::function<int(const std::string &applicationName)> endSessions;
    std::function<void(std::int32_t processId, std::int32_t secret)> cancelSession;
};

/** \brief One client's session on the member. */
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

    /** \brief Rolls back an open transaction, as its data or role is gone. */
    void abortTransaction();
    /** \brief Ends the session with 57P01. */
    void terminate();
    /** \brief Ends the running statement with 57014. */
    void cancelStatement();
    /** \brief Goes on with work that waits for the write lock. */
    void retryLocked();

private:
    struct portal
    {
        logged_statement statement;
        std::optional<statement_result> result;
    };

    void onBytes(std::string_view bytes);
    void closed();
    void process();
    void handleStartup(const sycamorespan::frame &opening);
    void handlePassword(const std::string &password);
    void finishStartup();
    void refuse(std::string_view code, const std::string &message);
    void handle(const sycamorespan::frontend_message &message);
    void handleExtended(const sycamorespan::frontend_message &message);
    void bindPortal(const sycamorespan::bind_message &message);
    void describe(const sycamorespan::describe_message &message);
    void executePortal(const sycamorespan::execute_message &message);

    /** \brief Runs \a statement in a slot and passes its result on. */
    void run(const logged_statement &statement, std::function<void(statement_result)> onResult);
    void attempt(const logged_statement &statement,
                 const std::function<void(statement_result)> &onResult);
    statement_result execute(const logged_statement &statement);
    statement_result executeWrite(const logged_statement &statement);
    statement_result changeTransaction(transaction_verb verb, const std::string &text);
    statement_result callGroup(const group_call &call);
    statement_result commit();
    void rollback();
    void requireUsableTransaction(transaction_verb verb) const;
    sql_engine &engine();
    void sendRows(const statement_result &result, bool withDescription);
    void fail(const sql_error &problem);
    void ready();
    void send();
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
    bool m_busy = false;
    bool m_extended = false;
    bool m_skipUntilSync = false;
    ev::timer m_connectTimer;
    work_queue::work_id m_work = 0;
    std::function<void()> m_lockedAttempt;

    std::unique_ptr<sql_engine> m_engine;
    std::string m_engineFile;
    bool m_inTransaction = false;
    bool m_transactionFailed = false;
    bool m_writing = false;
    std::vector<logged_statement> m_written;
    std::map<std::string, std::string> m_statements;
    std::map<std::string, portal> m_portals;

    void connectDelayOver(ev::timer &watcher, int events);
};

} // namespace standin

#endif
