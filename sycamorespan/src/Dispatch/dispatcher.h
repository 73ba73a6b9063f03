#ifndef SYCAMORESPAN_DISPATCH_DISPATCHER_H
#define SYCAMORESPAN_DISPATCH_DISPATCHER_H

#include "sycamorespan/src/Core/random_source.h"
#include "sycamorespan/src/Dispatch/caller_state.h"
#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Dispatch/freshness_floors.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace sycamorespan {

/** \brief Constants of a dispatcher. */
struct dispatch_policy
{
    duration openTimeout = 500ms; ///< 40 times what an opening takes on an idle member
    duration evictionIdle = 20ms; ///< an idle connection is lent to another workspace after it
    duration rollbackTimeout = 500ms;
    duration silenceLimit = 600ms; ///< a member that leaves all unanswered so long is avoided
    duration avoidance = 300ms; ///< of a silent member, until it is tried again
    duration laggingPause = 40ms; ///< about one replication delay
    duration busyPause = 15ms; ///< half of a mean statement: a slot is likely free again
    duration hedgeLeast = 250ms; ///< eight mean reads; an answer so late is likely lost
    double hedgeFactor = 6; ///< of the route's mean
    duration drainLimit = 5250ms; ///< use of a leaving primary; three quarters of a notice of 7 s
    double primaryReadPenalty = 2; ///< statements; writes have nowhere else to go
    double openingPenalty = 1; ///< statements; an opening takes a slot for a third of a read
    duration otherDataCentrePenalty = 1ms; ///< a round trip between data centres
    /** Connections to a member where the fair part is below scarceBelow: an instance of a large
     * fleet seldom uses its part, so that it may exceed it for a moment.
     */
    std::size_t scarceConnections = 4;
    std::size_t scarceBelow = 3;
    duration scarceIdle = 120ms; ///< then such a connection is closed; twice a usual statement
    duration missingPrimaryPatience = 250ms; ///< without a view or news of a change
    double spread = 0.2; ///< of scores, so that instances don't all choose the same member
    std::size_t reservedConnections = 2; ///< of each member's limit, for supervision
    std::size_t queueLimit = 400; ///< statements of one database; two seconds of its capacity
    int attemptsLimit = 8;

    auto operator<=>(const dispatch_policy &) const = default;
};

/** \brief The primary that may be used, until a time. */
struct usable_primary
{
    server_id server;
    term_number term = 0;
    time_point validUntil;

    auto operator<=>(const usable_primary &) const = default;
};

/** \brief Statements of this instance at one member. */
struct member_load
{
    server_id server;
    std::size_t working = 0;

    auto operator<=>(const member_load &) const = default;
};

/** \brief Serves callers' statements on shared connections to the members of each database.
 *
 * It holds the sessions, decides where and when each statement runs, what is repeated and what is
 * refused, and guarantees what a session sees: reads wait for a floor or go to the primary, a
 * transaction stays on its connection, a write is sent once.
 *
 * No method may be called from within the handling of its own outputs.
 */
class dispatcher
{
public:
    /** \param policy  constants
     *  \param own     data centre of this instance
     */
    dispatcher(const dispatch_policy &policy, data_centre_id own);

    // What is known of the system.

    dispatch_outputs setDirectory(std::shared_ptr<const service_directory> directory,
                                  time_point now);
    /** \brief Replaces the entries of all members. */
    dispatch_outputs setServers(const std::vector<server_entry> &entries, time_point now);
    /** \param count  instances that share the members' connections, this one included */
    void setInstanceCount(std::size_t count) { m_instances = std::max<std::size_t>(count, 1); }
    void setOthersLoad(const server_id &server, std::size_t working);
    /** \brief The primary may be used until a time; nothing: none may be used. */
    dispatch_outputs setPrimary(const database_id &database, std::optional<usable_primary> primary,
                                time_point now);
    /** \brief The primary gets nothing new; open transactions may go on. */
    void closePrimary(const database_id &database, time_point now);
    /** \param at  when the next primary is expected; callers that can't wait are refused */
    void expectPrimary(const database_id &database, std::optional<time_point> at);
    void addFloor(const database_id &database, const freshness_floor &floor, time_point now);

    /** \returns whether work that only the primary may do is under way there. */
    bool hasPrimaryWork(const database_id &database) const;
    /** \brief Ends open transactions at the old primary that have no statement under way. */
    dispatch_outputs endIdleTransactions(const database_id &database, time_point now);
    /** \brief Breaks off all work that only the primary may do. */
    dispatch_outputs abandonPrimaryWork(const database_id &database, time_point now);

    // Callers.

    dispatch_outputs callerConnected(session_number session, std::string databaseName,
                                     std::string key, time_point now);
    dispatch_outputs requestArrived(session_number session, caller_request request, time_point now);
    dispatch_outputs callerLeft(session_number session, time_point now);
    dispatch_outputs admitted(session_number session, time_point now);
    dispatch_outputs throttled(session_number session, duration retryAfter, time_point now);
    /** \brief Begins a graceful stop: sessions are closed between operations.
     * \param count  idle sessions to close now
     */
    dispatch_outputs closeIdleSessions(std::size_t count, time_point now);
    /** \brief Ends open transactions that have no statement under way. */
    dispatch_outputs endOpenTransactions(time_point now);

    // Connections to members.

    dispatch_outputs opened(connection_id connection, std::optional<log_position> position,
                            time_point now);
    /** \param refusal  of the member, if it answered */
    dispatch_outputs closed(connection_id connection, std::optional<statement_error> refusal,
                            time_point now);
    dispatch_outputs answered(connection_id connection, const statement_answer &answer,
                              time_point now);

    /** \brief To be called at least every 20 ms. */
    dispatch_outputs tick(time_point now);

    // For reports.

    std::vector<member_load> loads() const;
    std::optional<freshness_floor> newestFloor(const database_id &database) const;
    /** \returns how many replicas hold a commit before it is acknowledged; 0 if not known */
    std::size_t synchronousReplicas(const database_id &database) const;
    /** \returns since when \a server has answered nothing that it owes; nothing while it answers */
    std::optional<time_point> silentSince(const server_id &server) const;
    /** \returns when anything last came from \a server; nothing if nothing did. */
    std::optional<time_point> lastHeard(const server_id &server) const;
    /** \returns how many attempts to reach \a server failed in a row */
    int failuresOf(const server_id &server) const;
    /** \returns since when the primary has answered none of the writes sent to it */
    std::optional<time_point> writesStalledSince(const database_id &database) const;
    /** \returns when the primary last refused a write as a replica would */
    std::optional<time_point> primaryRefused(const database_id &database) const;
    std::size_t sessionCount() const { return m_callers.size(); }
    std::size_t queuedCount() const;
    std::size_t connectionCount() const;
    bool isIdle() const;

private:
    using job_stage = internal::statement_job::stage;
    using caller = internal::caller_state;
    using statement_job = internal::statement_job;

    /** \brief A database's members and waiting statements. */
    struct database_state
    {
        std::vector<session_number> queue;
        std::optional<usable_primary> primary;
        time_point primaryMissingSince;
        bool primaryClosing = false; ///< it gets nothing new
        std::optional<time_point> primaryExpected;
        std::optional<time_point> primaryRefused; ///< it last said that it is a replica
        time_point lastWrite; ///< the primary last answered one
        freshness_floors floors;
        std::set<server_id> members;
        std::optional<time_point> writeUnanswered; ///< the oldest
        double completionsPerSecond = 0; ///< while statements wait
        std::size_t completions = 0;
        time_point countedSince;
    };

    /** \brief Learnt times of a route's statements. */
    struct route_times
    {
        double meanSeconds = 0.03;
    };

    dispatch_outputs take() { return std::exchange(m_outputs, {}); }

    // Callers.
    caller *findCaller(session_number session);
    void process(caller &from, caller_request request, time_point now);
    void processNext(caller &from, time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::begin &,
            time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::commit &,
            time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::rollback &,
            time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::set_value &,
            time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::prepare &,
            time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::deallocate &,
            time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::execute &,
            time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::direct &,
            time_point now);
    void on(caller &from, const caller_request &request, const caller_statement::malformed &,
            time_point now);
    void processFailedTransaction(caller &from, const caller_request &request, time_point now);
    bool checkAccess(caller &from, time_point now);
    void startJob(caller &from, const caller_request &request, statement_access access,
                  bool commits, time_point now);
    void enqueue(caller &from, time_point now);
    void reply(caller &to, statement_answer answer, time_point now);
    void complete(caller &to, time_point now);
    void reject(caller &to, statement_error code, std::string text, time_point now);
    void forget(session_number session, time_point now);

    // Placement.
    void pump(database_state &group, time_point now);
    bool place(caller &from, database_state &group, time_point now);
    void sendOnBound(caller &from, time_point now);
    std::optional<freshness_floor> requiredFloor(const caller &from, const database_state &group,
                                                 time_point now) const;
    struct candidate
    {
        member_pool *pool = nullptr;
        double score = 0;
        std::optional<log_position> floor;
    };
    std::vector<candidate> candidates(const caller &from, database_state &group, time_point now);
    double scoreOf(const member_pool &pool, const caller &from, bool isPrimary) const;
    bool useIdle(caller &from, const candidate &chosen, time_point now);
    bool openFor(caller &from, const candidate &chosen, time_point now);
    std::string preparedNameFor(const caller &from) const;
    void run(caller &from, member_pool &pool, member_connection &connection,
             std::optional<log_position> floor, time_point now);
    void send(caller &from, member_connection &connection, bool withBegin, time_point now);
    void sendStatement(caller &from, member_connection &connection,
                       std::vector<outgoing_statement> before, time_point now);
    std::vector<outgoing_statement> setup(const caller &from, member_connection &connection,
                                          time_point now) const;
    connection_id open(member_pool &pool, const database_id &database,
                       const workspace_id &workspace, time_point now);
    std::size_t fairConnections(const member_pool &pool) const;
    std::size_t connectionBudget(const member_pool &pool) const;
    bool canBeServed(const caller &from, const database_state &group, time_point now) const;
    bool mayUse(const member_pool &pool, time_point now) const;
    bool hasLeft(const member_pool &pool, time_point now) const;
    bool viewHolds(const database_state &group, time_point now) const;
    bool primaryUsable(const database_state &group, time_point now) const;
    bool isPrimary(const database_state &group, const server_id &server) const;
    void sortQueue(database_state &group, time_point now);
    void refuseHopeless(database_state &group, time_point now);

    // Answers.
    void finishStatement(member_pool &pool, member_connection &connection,
                         const statement_answer &answer, time_point now);
    void succeeded(caller &from, member_pool &pool, member_connection &connection,
                   const statement_answer &answer, time_point now);
    void failed(caller &from, member_pool &pool, member_connection &connection,
                const statement_answer &answer, time_point now);
    void beginFailed(caller &from, member_pool &pool, member_connection &connection,
                     const rejected &why, time_point now);
    void noteRefusal(const caller &from, member_pool &pool, statement_error code, time_point now);
    void retryOrReject(caller &from, const server_id &server, const rejected &why, bool ran,
                       time_point now);
    void learn(caller &from, member_pool &pool, const statement_answer &answer, time_point now);
    void connectionLost(caller &from, const server_id &server, std::string_view why,
                        time_point now);
    void release(member_pool &pool, member_connection &connection, const statement_answer &answer,
                 time_point now);
    void rollBack(member_pool &pool, member_connection &connection, time_point now);
    void drop(member_pool &pool, connection_id connection, time_point now);
    void releaseBound(caller &from, time_point now);
    void unbind(caller &from);
    void endTransaction(caller &from, time_point now);
    void record(const caller &from, const statement_job &ended, std::string outcome,
                std::string cause, const server_id &server, time_point now);
    void recordStep(const caller &from, std::string step, const server_id &server,
                    std::string_view why);
    void checkDeadlines(time_point now);
    void checkConnections(time_point now);
    void checkTransactions(time_point now);
    void expire(caller &from, time_point now);
    void hedge(caller &from, time_point now);
    void updateWriteStall(database_state &group);

    void removePool(const server_id &server, time_point now);
    member_pool *poolOf(connection_id connection);
    database_state &group(const caller &from) { return m_databases[from.route.database]; }
    double meanOf(const caller &from) const;

    dispatch_policy m_policy;
    data_centre_id m_own;
    std::shared_ptr<const service_directory> m_directory;
    std::size_t m_instances = 1;
    std::unordered_map<session_number, caller> m_callers;
    std::map<database_id, database_state> m_databases;
    std::map<server_id, member_pool> m_pools;
    std::unordered_map<connection_id, server_id> m_connectionServers;
    std::map<std::string, route_times> m_times; // by database name of the route
    connection_id m_lastConnection = 0;
    dispatch_outputs m_outputs;
};

} // namespace sycamorespan

#endif
