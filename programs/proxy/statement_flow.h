#ifndef SYCAMORESPAN_PROGRAMS_PROXY_STATEMENT_FLOW_H
#define SYCAMORESPAN_PROGRAMS_PROXY_STATEMENT_FLOW_H

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "programs/proxy/database_task.h"
#include "sycamorespan/Session"

namespace sycamorespan::proxy {

/** \brief Totals over all sessions since the process started. */
struct statement_counters
{
    std::uint64_t statements = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    std::uint64_t writes = 0;
    std::uint64_t staleReplicaAnswers = 0;
    std::uint64_t retries = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t outcomeUnknown = 0;
};

/** \brief Time limits of one statement. */
struct statement_bounds
{
    duration queueDeadline = 2s;
    duration statementTimeout = 30s;
};

/** \brief Runs the statements of one session, one at a time. Chooses a member, acquires a
 * connection, queries the member's position in the same round trip as the statement, and waits
 * for a majority where needed.
 */
class statement_flow
{
public:
    struct outcome
    {
        sql_result result;
        std::optional<log_position> position;
        bool notRun = false;
    };
    using finished_handler = std::function<void(outcome)>;

    statement_flow(ev::loop_ref loop, database_task &database, workspace_id workspace,
                   duration planStaleness, const statement_bounds &bounds,
                   statement_counters &counters);
    ~statement_flow();
    statement_flow(const statement_flow &) = delete;
    statement_flow &operator=(const statement_flow &) = delete;

    /** \brief Runs \a request; \a onFinished is called once, from the loop. */
    void start(statement_request request, finished_handler onFinished);

    /** \brief Requests cancellation of the running statement from the backend server. */
    void cancelRunning();

    /** \brief Abandons the running statement and the open transaction. */
    void abandon();

private:
    enum class target_kind { primary, replica };

    void chooseMember();
    bool mayUseReplica() const;
    void acquire(const server_id &server, target_kind kind);
    void onGranted(backend_connection *connection, slot_refusal reason);
    void send();
    std::vector<backend_step> steps() const;
    void onReply(backend_reply reply, time_point sentAt);
    void onReplicaReply(backend_reply &reply, time_point sentAt);
    void onPrimaryReply(backend_reply &reply);
    void onConnectionLost();
    bool isFreshEnough(const member_report &report) const;
    void waitForMajority(sql_result result, const log_position &position);
    void retryLater(std::string_view code, const std::string &reason);
    void refuse(std::string_view code, const std::string &reason);
    void fail(std::string_view code, const std::string &reason, bool transactionEnded,
              bool notRun = false);
    void finish(sql_result result, std::optional<log_position> position);
    void finishRollback();
    void end(outcome result);
    void releaseConnection();
    bool isRead() const;
    bool isPinned() const;

    ev::loop_ref m_loop;
    database_task &m_database;
    workspace_id m_workspace;
    duration m_planStaleness;
    statement_bounds m_bounds;
    statement_counters &m_counters;

    std::optional<statement_request> m_request;
    finished_handler m_onFinished;
    time_point m_deadline;
    std::set<server_id> m_triedReplicas;
    bool m_mayHaveRun = false; ///< a read was lost, or its answer was not fresh enough
    server_id m_server;
    target_kind m_targetKind = target_kind::primary;
    member_pool *m_pool = nullptr;
    lease_number m_lease = 0;
    backend_connection *m_connection = nullptr;
    bool m_mayHaveChangedSession = false; ///< since the connection was granted
    waiter_id m_waiter = 0;
    loop_timer m_retryTimer;
    std::shared_ptr<bool> m_alive; ///< false in callbacks of abandoned work
};

} // namespace sycamorespan::proxy

#endif
