#ifndef SYCAMORESPAN_DISPATCH_DISPATCHER_H
#define SYCAMORESPAN_DISPATCH_DISPATCHER_H

#include "sycamorespan/src/Core/random_source.h"
#include "sycamorespan/src/Dispatch/caller_state.h"
#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Dispatch/freshness_floors.h"
#include "sycamorespan/src/Dispatch/graceful_shutdown.h"
#include "sycamorespan/src/Dispatch/member_access.h"
#include "sycamorespan/src/Dispatch/statement_queue.h"
#include "sycamorespan/src/Overload/retry_budget.h"
#include "sycamorespan/src/Overload/return_schedule.h"
#include "sycamorespan/src/Overload/service_rate.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace sycamorespan {

/** \brief Timeouts, limits and weights of a dispatcher. */
struct dispatch_policy
{
    /** Timeout for opening a connection. It allows 40 times the opening time of an idle member. */
    duration openTimeout = 500ms;
    /** Time for which a connection must be idle before it may be closed so that another workspace
     * can open one.
     */
    duration minimumIdleBeforeEviction = 20ms;
    /** Time without an answer to a rollback after which the connection is closed. */
    duration rollbackTimeout = 500ms;
    /** Time without an answer after which a member is treated as unresponsive and avoided. */
    duration unresponsiveTimeout = 600ms;
    /** Time for which an unresponsive member, or a primary that refuses a statement as read-only,
     * gets no statements before it is tried again.
     */
    duration avoidancePeriod = 300ms;
    /** Time for which a replica that lags gets no reads. It is about one replication delay. */
    duration laggingReplicaPause = 40ms;
    /** Delay before a statement that a busy member refused is retried. It is half the time of a
     * mean statement, after which a slot is likely free.
     */
    duration busyRetryDelay = 15ms;
    /** Time after which a read is sent again to a replica that lacked the required position. */
    duration laggingReplicaRetryDelay = 500ms;
    /** Shortest time without an answer after which a read is sent to another member. It is eight
     * times a mean read, so that the answer is likely lost. It doubles with each such attempt of a
     * read, which may need much longer than others.
     */
    duration minimumReadTimeout = 250ms;
    /** Time without an answer after which a read is sent to another member, as a multiple of the
     * route's mean time.
     */
    double readTimeoutFactor = 6;
    /** Time for which a draining primary gets new statements. It is three quarters of the notice of
     * 7 s that a draining server gives.
     */
    duration drainingPrimaryUsePeriod = 5250ms;
    /** Time within which a server corrects an entry that the store returned from an older copy: two
     * intervals at which servers check in.
     */
    duration stateSettlingTime = 3s;
    /** Cost of a member in another data centre, the duration of a round trip to it. */
    duration otherDataCentrePenalty = 1ms;
    /** Connections that an instance may hold to a member where its fair share is below
     * smallShareThreshold. An instance of a large fleet seldom uses its share, so that it may
     * exceed the share briefly.
     */
    std::size_t smallShareConnections = 4;
    /** Fair share of connections below which smallShareConnections and smallShareIdleTimeout apply.
     */
    std::size_t smallShareThreshold = 3;
    /** Connections to a member that an instance may open past the broker of its database. */
    std::size_t connectionsPastBroker = 1;
    /** Time for which a statement at a broker waits for a connection that other statements of its
     * workspace use, before one more is opened. It is about the time of an opening.
     */
    duration ownConnectionWait = 15ms;
    /** Wait of a statement at a broker after which it may close any idle connection of another
     * workspace, so that workspaces which are never idle for long don't keep it out.
     */
    duration evictionWait = 100ms;
    /** Idle time after which a connection is closed where the fair share is below
     * smallShareThreshold. It is twice the time of a usual statement.
     */
    duration smallShareIdleTimeout = 120ms;
    /** Time without a valid primary view or an announced change after which statements for the
     * primary are rejected.
     */
    duration missingPrimaryTimeout = 250ms;
    /** Time after its start in which an instance usually learns of the primaries. */
    duration expectedStartupTime = 500ms;
    /** Time after the start of the instance for which statements wait for a first primary view. */
    duration startupTimeout = 1500ms;
    /** Bytes of id and text up to which a read may be sent with a required position, so that it is
     * not longer than the protocol allows. Longer ones run at the primary, without it.
     */
    std::size_t maximumPositionedBytes = (std::size_t{1} << 20) - 128;
    /** Relative random variation of scores, so that instances do not all choose the same member. */
    double scoreJitter = 0.2;
    /** Connections of each member's limit that are reserved for supervision. */
    std::size_t reservedConnections = 2;
    /** Statements that may wait for one database. They are two seconds of its capacity. */
    std::size_t maximumQueueLength = 400;
    /** Attempts after which a statement is rejected. Those that a lagging replica refused do not
     * count.
     */
    int maximumAttempts = 8;
    /** Repeated attempts of the statements of one database. A change of its primary repeats all
     * statements in progress.
     */
    retry_budget_policy repeats{0.5, 200};
    /** Time over which callers that are refused at the same time are told to return. */
    duration returnSpread = 500ms;

    auto operator<=>(const dispatch_policy &) const = default;
};

/** \brief A primary view with the time until which it may be used. */
struct usable_primary
{
    server_id server;
    term_number term = 0;
    time_point validUntil;

    auto operator<=>(const usable_primary &) const = default;
};

/** \brief What this instance sends to one member, and how the member takes it. */
struct member_load
{
    server_id server;
    std::size_t occupiedSlots = 0; ///< of the member, by this instance
    /** Found here; nothing if it is not known, or usual and heard to be so. */
    std::optional<member_capacity> capacity;

    auto operator<=>(const member_load &) const = default;
};

/** \brief Serves callers' statements on shared connections to the members of each database.
 *
 * The dispatcher holds the sessions and decides where and when each statement runs, which ones are
 * retried and which are rejected. It guarantees session consistency: a read runs on a member that
 * includes the required floor or on the primary, all statements of a transaction run on the same
 * connection, and a write is not sent again if an earlier attempt may have taken effect.
 *
 * Methods must not be called while the outputs of an earlier call are being handled.
 */
class dispatcher
{
public:
    /** \param policy     timeouts, limits and weights
     *  \param own        data centre of this instance
     *  \param startedAt  when the process of this instance started
     */
    dispatcher(const dispatch_policy &policy, data_centre_id own, time_point startedAt = {});

    // State of the system.

    /** \brief Replaces routes, keys and database settings.
     *
     * What runs for a workspace to which the caller's key no longer belongs ends: a statement that
     * waits is rejected, one that a member or broker has is answered, and a transaction is rolled
     * back.
     */
    dispatch_outputs setDirectory(std::shared_ptr<const service_directory> directory,
                                  time_point now);
    /** \brief Sets how evacuations are applied, and the area of each data centre. It must precede
     * the first entries of members.
     */
    void setAccess(const access_policy &policy, std::map<data_centre_id, area_id> areas);
    /** \brief Replaces the evacuations, which setServers() then applies to the members. */
    void setEvacuations(const evacuation_list &evacuations, time_point now);
    /** \brief Sets the instances among which the warm-up rates of members are divided.
     * \param registered  all registered instances, \a self included; empty if they are not known
     */
    void setRegisteredInstances(const instance_id &self, const std::vector<instance_id> &registered,
                                time_point now);
    /** \brief Replaces the entries of all members. */
    dispatch_outputs setServers(const std::vector<server_entry> &entries, time_point now);
    /** \param count  instances that share the members' connections, this one included */
    void setInstanceCount(std::size_t count) { m_instances = std::max<std::size_t>(count, 1); }
    /** \param slots     slots of \a server that all other instances occupy
     *  \param capacity  what instances have found of it; nothing if it is usual or not known
     */
    void setLoadOfOthers(const server_id &server, std::size_t slots,
                         std::optional<member_capacity> capacity);
    /** \brief Sets the primary and the time until which it may be used; nothing means that no
     * primary may be used.
     */
    dispatch_outputs setPrimary(const database_id &database, std::optional<usable_primary> primary,
                                time_point now);
    /** \brief Stops sending new work to the primary. Open transactions may continue. */
    void stopNewPrimaryWork(const database_id &database, time_point now);
    /** \param at  when the next primary is expected; statements with an earlier deadline are
     * rejected
     */
    void setExpectedPrimaryTime(const database_id &database, std::optional<time_point> at);
    /** \brief Adds a floor that another instance reported. Floors of another term are ignored. */
    void addFloor(const database_id &database, const freshness_floor &floor, time_point now);

    /** \returns whether work that requires the primary is in progress. */
    bool hasPrimaryWork(const database_id &database) const;
    /** \brief Rolls back open transactions on the old primary that have no statement in progress.
     */
    dispatch_outputs rollBackIdleTransactions(const database_id &database, time_point now);
    /** \brief Aborts all work that requires the primary, and closes its connections. */
    dispatch_outputs abortPrimaryWork(const database_id &database, time_point now);

    // Callers.

    /** \brief Handles the first message of a caller, which opens a session. A second one, or a
     * statement without a first one, is rejected as malformed.
     * \param databaseName  name of a route
     * \param key           key that the caller presents
     */
    dispatch_outputs callerConnected(session_number session, std::string databaseName,
                                     std::string key, time_point now);
    /** \brief Handles a statement of a caller. Statements of a session run in their order. */
    dispatch_outputs requestArrived(session_number session, caller_request request, time_point now);
    /** \brief Handles the end of a caller's connection. Its open transaction is rolled back. */
    dispatch_outputs callerDisconnected(session_number session, time_point now);
    /** \brief Handles the grant of a requested admission. */
    dispatch_outputs admitted(session_number session, time_point now);
    /** \brief Handles the refusal of a requested admission.
     * \param retryAfter  time until the workspace's rate allows another operation
     */
    dispatch_outputs throttled(session_number session, duration retryAfter, time_point now);
    /** \brief Closes sessions that have no operation in progress, for a graceful shutdown.
     * \param count        largest number of sessions to close
     * \param hasMessages  whether messages of a session have arrived that were not handed over to
     *                     the dispatcher, so that it is not idle; null: of no session
     */
    dispatch_outputs
    closeIdleSessions(std::size_t count, time_point now,
                      const std::function<bool(session_number)> &hasMessages = nullptr);
    /** \brief Sets which new operations are accepted, for a graceful shutdown.
     *
     * A refused operation is answered with busy, and its session is closed, so that the caller
     * continues at another instance. Without new transactions, open ones accept only their end.
     */
    void setAcceptedWork(accepted_work accepted) { m_acceptedWork = accepted; }
    /** \brief Answers all statements in progress with what is known of their outcome, and closes
     * all sessions.
     */
    dispatch_outputs closeAllSessions(time_point now);
    /** \brief Rolls back open transactions that have no statement in progress. */
    dispatch_outputs rollBackIdleTransactionsOnAllServers(time_point now);

    // Operations that are handed over between instances.

    /** \brief Sets the brokers of the databases that have one, this instance included.
     * \param sharers  number of instances that are brokers of one database
     */
    void setBrokers(std::map<database_id, instance_id> brokers, instance_id self,
                    std::size_t sharers);
    /** \returns the number of operations of other instances that run here. */
    std::size_t servedCount() const;
    /** \brief Handles a broker's answer to a statement. */
    dispatch_outputs brokerAnswered(const instance_id &broker, const brokered_answer &answer,
                                    time_point now);
    /** \brief Handles the loss of the connection to a broker. Statements that it ran are repeated
     * on connections of this instance if they may be; otherwise their outcome is unknown.
     */
    dispatch_outputs brokerLost(const instance_id &broker, time_point now);
    /** \brief Handles a statement that another instance has handed over.
     * \param session  session of the operation, the same for each statement of a transaction
     * \param instance  that handed the statement over
     */
    dispatch_outputs handedOver(session_number session, const instance_id &instance,
                                const brokered_statement &statement, time_point now);

    // Connections to members.

    /** \brief Handles the completed opening of a connection.
     * \param position  log position of the member, if it reported one
     */
    dispatch_outputs opened(connection_id connection, std::optional<log_position> position,
                            time_point now);
    /** \brief Handles a connection that was closed or could not be opened.
     * \param refusal  error with which the member refused the connection, if it answered
     */
    dispatch_outputs closed(connection_id connection, std::optional<statement_error> refusal,
                            time_point now);
    /** \brief Handles the answer to the oldest unanswered statement of a connection. */
    dispatch_outputs answered(connection_id connection, const statement_answer &answer,
                              time_point now);

    /** \brief Handles elapsed timeouts and deadlines. Must be called at least every 20 ms. */
    dispatch_outputs tick(time_point now);

    // State for reports and for failure detection.

    /** \returns the members that have statements of this instance, or that are found unusual. */
    std::vector<member_load> memberLoads(time_point now) const;
    /** \returns what is known of each member's capacity here. */
    std::map<server_id, member_capacity> memberCapacities(time_point now) const;
    /** \returns the open connections to the members of a data centre. */
    std::size_t connectionsTo(const data_centre_id &dataCentre) const;
    /** \returns whether nothing is sent any more to the members of an evacuated data centre. */
    bool hasLeft(const data_centre_id &dataCentre, time_point now) const;
    /** \returns the newest floor of \a database; nothing if there is none. */
    std::optional<freshness_floor> newestFloor(const database_id &database) const;
    /** \returns how many replicas hold a commit before it is acknowledged; 0 if not known */
    std::size_t synchronousReplicas(const database_id &database) const;
    /** \returns since when \a server has been unresponsive to pending statements or openings;
     * nothing if none is pending
     */
    std::optional<time_point> unresponsiveSince(const server_id &server) const;
    /** \returns when the last message from \a server arrived; nothing if none did. */
    std::optional<time_point> lastMessageAt(const server_id &server) const;
    /** \returns the number of consecutive failed connection attempts to \a server */
    int consecutiveFailures(const server_id &server) const;
    /** \returns since when the primary has not answered the writes sent to it; nothing if none is
     * unanswered
     */
    std::optional<time_point> writesUnansweredSince(const database_id &database) const;
    /** \returns when the primary last refused a statement as read-only, as a replica does */
    std::optional<time_point> primaryLastRefusedAt(const database_id &database) const;
    /** \returns the number of sessions of callers. */
    std::size_t sessionCount() const { return m_callers.size() - servedCount(); }
    bool hasSession(session_number session) const { return m_callers.contains(session); }
    /** \returns the bytes of the values and prepared statements that the session keeps. */
    std::size_t keptBytes(session_number session) const;
    /** \returns the number of queued statements, over all databases. */
    std::size_t queuedCount() const;
    /** \returns the number of connections to members. */
    std::size_t connectionCount() const;
    /** \returns whether no session has a statement in progress or an open transaction. */
    bool isIdle() const;

private:
    using job_stage = internal::statement_job::stage;
    using caller = internal::caller_state;
    using statement_job = internal::statement_job;

    /** \brief Members, primary and waiting statements of a database. */
    struct database_state
    {
        statement_queue queue;
        service_rate primaryRate; ///< of statements that only the primary may run
        service_rate otherRate;
        retry_budget repeats{{}};
        return_schedule returns{{}};
        std::optional<usable_primary> primary;
        time_point primaryMissingSince; ///< valid while no primary is usable
        bool primaryClosing = false; ///< it gets no new work
        bool hasHadPrimary = false; ///< whether a primary was usable since the start
        std::optional<time_point> primaryExpected; ///< when the next primary is expected
        std::optional<time_point> primaryLastRefusedAt; ///< when it last refused as a replica does
        time_point lastWriteAnswer; ///< when the primary last answered a write
        freshness_floors floors;
        std::set<server_id> members;
        std::optional<time_point> oldestUnansweredWrite; ///< when it was sent
        /** Until when nothing, or nothing that requires the primary, is handed over, because the
         * broker has declined it.
         */
        time_point brokerAvoidedUntil;
        time_point brokerAvoidedForPrimaryUntil;
        /** Mean number of statements here that only the primary can run. */
        double primaryOnlyWork = 0;
    };

    /** \brief When a missing primary is expected, and until when statements wait for it. */
    struct primary_outlook
    {
        time_point expected;
        time_point giveUpAt;
    };

    /** \brief Observed statement times of a route. */
    struct route_times
    {
        double meanSeconds = 0.03;
        /** Logarithm of the usual time in seconds of a read at a member that isn't slow or full. */
        std::optional<double> usualReadTime;
        std::size_t usualReads = 0;
    };

    dispatch_outputs takeOutputs() { return std::exchange(m_outputs, {}); }

    // Callers.
    caller *findCaller(session_number session);
    void process(caller &from, caller_request request, time_point now);
    void processNextRequest(caller &from, time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::begin &,
                time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::commit &,
                time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::rollback &,
                time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::set_value &,
                time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::prepare &,
                time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::deallocate &,
                time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::execute &,
                time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::direct &,
                time_point now);
    void handle(caller &from, const caller_request &request, const caller_statement::malformed &,
                time_point now);
    void processFailedTransaction(caller &from, const caller_request &request, time_point now);
    void refuseForShutdown(caller &from, const caller_request &request, time_point now);
    std::optional<workspace_id> workspaceOf(const std::string &key,
                                            const service_route &route) const;
    bool checkAccess(caller &from, time_point now);
    bool holdsKey(const caller &from) const;
    void endWorkWithoutKey(time_point now);
    void endStatementWithoutKey(caller &from, time_point now);
    void rollBackWithoutKey(caller &from, time_point now);
    void refuseRolledBack(caller &from, bool isCommit, time_point now);
    void startJob(caller &from, const caller_request &request, statement_access access,
                  bool isCommit, time_point now);
    void enqueue(caller &from, time_point now);
    std::optional<instance_id> brokerOf(const caller &from, time_point now) const;
    void handOver(caller &from, const instance_id &broker, time_point now);
    void endHandOver(caller &from);
    void leaveBroker(caller &from);
    void returnDeclined(caller &from, const std::string &why, time_point now);
    void runHere(caller &from, std::string step, std::string_view why, time_point now);
    void serve(caller &from, const brokered_statement &statement, time_point now);
    void answerHandOver(caller &to, statement_answer answer, time_point now);
    void decline(session_number session, const brokered_statement &statement, std::string why);
    void declineUnreachable(time_point now);
    bool isPrimaryUnreachable(const database_state &group, time_point now) const;
    void closeSession(const caller &of);
    void removeServedOperations(time_point now);
    void charge(caller &from);
    void releaseAdmission(caller &from);
    void reply(caller &to, statement_answer answer, time_point now);
    void complete(caller &to, time_point now);
    void reject(caller &to, statement_error code, std::string text, time_point now,
                refusal_cause cause = refusal_cause::none);
    void reject(caller &to, const queue_refusal &refusal, time_point now);
    void removeCaller(session_number session, time_point now);

    // Placement on members and connections.
    void dispatchQueue(database_state &group, time_point now);
    bool placeStatement(caller &from, database_state &group, time_point now);
    void sendOnBound(caller &from, time_point now);
    std::optional<freshness_floor> requiredFloor(const caller &from, const database_state &group,
                                                 time_point now) const;
    /** \brief A member on which a statement may run; a lower score is better. */
    struct candidate
    {
        member_pool *pool = nullptr;
        double score = 0;
        std::optional<log_position> floor;
    };
    std::vector<candidate> candidates(const caller &from, database_state &group, time_point now);
    double scoreOf(const member_pool &pool, const caller &from, double usualFailureShare,
                   bool needsOpening, time_point now) const;
    double usualFailureShare(const database_state &group) const;
    std::size_t sharersOf(const member_pool &pool) const;
    bool hasRoom(const member_pool &pool, const caller &from, time_point now) const;
    void updatePrimaryOnlyWork(database_state &group) const;
    bool sendOnIdleConnection(caller &from, const candidate &chosen, time_point now);
    bool openConnectionFor(caller &from, const candidate &chosen, time_point now);
    void bindAndSend(caller &from, member_pool &pool, member_connection &connection,
                     std::optional<log_position> floor, time_point now);
    void prepareConnection(caller &from, member_pool &pool, member_connection &connection,
                           time_point now);
    void sendStatement(caller &from, member_connection &connection, time_point now);
    connection_id openConnection(member_pool &pool, const database_id &database,
                                 const workspace_id &workspace, time_point now);
    std::size_t fairConnectionShare(const member_pool &pool) const;
    std::size_t connectionBudget(const member_pool &pool, time_point now) const;
    bool isBrokerOf(const database_id &database) const;
    bool awaitsOwnConnection(const caller &from, const std::vector<candidate> &choices,
                             time_point now) const;
    bool canBeServed(const caller &from, const database_state &group, time_point now) const;
    primary_outlook primaryOutlook(const database_state &group, time_point now) const;
    bool isMemberUsable(const member_pool &pool, time_point now) const;
    bool isPastDrainPeriod(const member_pool &pool, time_point now) const;
    bool isHome(const caller &from, const data_centre_id &dataCentre) const;
    bool mayRunOn(const caller &from, const member_pool &pool, time_point now) const;
    std::optional<queue_refusal> reasonNotAllowed(const caller &from, const database_state &state,
                                                  std::size_t ahead, time_point now) const;
    bool isHeldBack(caller &from, member_pool &pool, member_connection &connection, time_point now);
    void applyShares(time_point now);
    void endHeldBack(caller &from, std::string why, time_point now);
    void endEvacuatedWork(time_point now);
    bool isPrimaryViewValid(const database_state &group, time_point now) const;
    bool isPrimaryUsable(const database_state &group, time_point now) const;
    bool isPrimary(const database_state &group, const server_id &server) const;
    void queueStatement(caller &from, time_point now);
    duration leastIdleToEvict(const caller &from, const member_pool &pool, time_point now) const;
    double shareOf(const workspace_id &workspace) const;
    void rejectUnservableStatements(database_state &group, time_point now);
    bool isOpeningFor(const caller &from) const;
    std::optional<queue_refusal> reasonToReject(const caller &from, database_state &group,
                                                std::size_t ahead, time_point now);

    // Answers and timeouts.
    void finishStatement(member_pool &pool, member_connection &connection,
                         const statement_answer &answer, time_point now);
    void onSuccess(caller &from, member_pool &pool, member_connection &connection,
                   const statement_answer &answer, time_point now);
    void onFailure(caller &from, member_pool &pool, member_connection &connection,
                   const statement_answer &answer, time_point now);
    void recordAnswerOfAttempt(const member_connection &connection, expected_answer kind,
                               const statement_answer &answer);
    void onSetupAnswered(member_connection &connection, const setup_statement &statement,
                         const statement_answer &answer);
    void finishSetup(member_pool &pool, member_connection &connection, const statement_answer &last,
                     time_point now);
    std::string_view reasonNotToSend(const caller &from, const member_pool &pool,
                                     const member_connection &connection, time_point now) const;
    void onConnectionPrepared(caller &from, member_pool &pool, member_connection &connection,
                              session_state state, time_point now);
    void onSetupRefused(caller &from, member_pool &pool, member_connection &connection,
                        session_state state, time_point now);
    void makeIdle(member_connection &connection, time_point now);
    void release(member_pool &pool, member_connection &connection, session_state state,
                 time_point now);
    void onBeginRejected(caller &from, member_pool &pool, member_connection &connection,
                         const rejected &why, session_state state, time_point now);
    void recordTime(const caller &from, member_pool &pool, time_point now);
    void recordFailure(const caller &from, member_pool &pool, member_outcome outcome,
                       time_point now);
    void recordRefusal(const caller &from, member_pool &pool, statement_error code, time_point now);
    void retryOrReject(caller &from, const server_id &server, const rejected &why, bool ran,
                       time_point now);
    void recordAnswer(caller &from, member_pool &pool, const statement_answer &answer,
                      time_point now);
    void onConnectionLost(caller &from, const server_id &server, std::string_view why,
                          time_point now);
    void finishRollback(member_pool &pool, member_connection &connection,
                        const statement_answer &answer, time_point now);
    void rollBack(member_pool &pool, member_connection &connection, time_point now);
    void closeConnection(member_pool &pool, connection_id connection, time_point now);
    void releaseBound(caller &from, time_point now);
    void unbind(caller &from);
    void endTransaction(caller &from, time_point now);
    void record(const caller &from, const statement_job &ended, std::string outcome,
                std::string cause, const server_id &server, time_point now,
                refusal_cause refusal = refusal_cause::none);
    void recordStep(const caller &from, std::string step, const server_id &server,
                    std::string_view why);
    void checkDeadlines(time_point now);
    void resendRefusedStatements(time_point now);
    duration readTimeout(const caller &from) const;
    void checkConnections(time_point now);
    void checkTransactions(time_point now);
    void onDeadlineExpired(caller &from, time_point now);
    void endStatement(caller &from, const std::string &whyNotRun, const std::string &whyUnanswered,
                      time_point now);
    void retryOverdueRead(caller &from, time_point now);
    void updateOldestUnansweredWrite(database_state &group);

    void removePool(const server_id &server, time_point now);
    member_pool *poolOf(connection_id connection);
    database_state &group(const caller &from) { return stateOf(from.route.database); }
    database_state &stateOf(const database_id &database);
    double meanStatementTime(const caller &from) const;

    dispatch_policy m_policy;
    data_centre_id m_own;
    member_access m_access{access_policy{}};
    time_point m_startedAt;
    std::shared_ptr<const service_directory> m_directory;
    double m_meanRate = 1; ///< operations per second of the mean workspace
    std::size_t m_instances = 1;
    std::map<database_id, instance_id> m_brokers;
    instance_id m_self;
    std::size_t m_brokersOfDatabase = 1; ///< brokers that share the connections of a member
    instance_id m_sharingSelf; ///< this instance among m_sharingInstances
    std::vector<instance_id> m_sharingInstances; ///< that share the warm-up rates of members
    std::unordered_map<operation_number, session_number> m_handedOver; ///< operations at brokers
    operation_number m_lastOperation = 0;
    std::uint64_t m_lastHandOver = 0;
    accepted_work m_acceptedWork = accepted_work::all;
    std::unordered_map<session_number, caller> m_callers;
    std::map<database_id, database_state> m_databases;
    std::map<server_id, member_pool> m_pools;
    std::unordered_map<connection_id, server_id> m_connectionServers;
    std::map<std::string, route_times> m_times; // keyed by database name of the route
    connection_id m_lastConnection = 0;
    dispatch_outputs m_outputs;
};

} // namespace sycamorespan

#endif
