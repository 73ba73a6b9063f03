#ifndef SYCAMORESPAN_DISPATCH_CALLER_STATE_H
#define SYCAMORESPAN_DISPATCH_CALLER_STATE_H

#include "sycamorespan/src/Configuration/service_directory.h"
#include "sycamorespan/src/Dispatch/member_pool.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sycamorespan::internal {

/** \brief The last attempt to run a statement, for logs. */
struct statement_attempt
{
    server_id server;
    connection_id connection = 0;
    std::size_t setupStatements = 0; ///< sent to prepare the connection for the statement
    std::size_t setupAcknowledged = 0;
    bool wasSent = false; ///< the statement itself was sent
    std::string preparedName; ///< that it executes on the connection, if any
    std::string answer; ///< error of the member that ended the attempt

    auto operator<=>(const statement_attempt &) const = default;
};

/** \brief The statement of a session that is being processed, from its arrival to its answer. */
struct statement_job
{
    /** A statement that is held has a bound connection, and has not been sent: its member warms up.
     * One that is preparing has not been sent either: its member has not acknowledged the setup of
     * the connection, or BEGIN.
     */
    enum class stage { awaitingAdmission, queued, held, preparing, running };

    caller_request request;
    stage currentStage = stage::queued;
    bool startsTransaction = false; ///< BEGIN must be sent before it
    statement_access access = statement_access::read;
    bool isCommit = false; ///< the statement is COMMIT
    bool needsPrimary = false; ///< no replica may run it
    time_point arrivedAt;
    time_point deadline; ///< at which the statement is rejected or abandoned
    time_point latencyDeadline; ///< end of the route's latency objective
    time_point freshnessCutoff; ///< commits acknowledged before this time must be visible
    time_point queuedSince; ///< start of the current wait in the queue
    time_point sentAt; ///< when the statement or what precedes it was last sent to the member
    std::size_t inFlight = 0; ///< statements at the member then, this one included
    duration queueTime{}; ///< time spent in the queue, over all attempts
    int attempts = 0;
    int overdueAttempts = 0; ///< attempts that ended without an answer in the usual time
    int lagRefusals = 0; ///< attempts that a lagging replica refused
    std::set<server_id> excluded; ///< servers at which an attempt failed
    std::set<server_id> lagging; ///< replicas that lacked the required position
    std::optional<log_position> floor; ///< required of the member in the current attempt
    time_point notBefore; ///< earliest time of the next attempt
    bool awaitsResend = false; ///< is sent again on the bound connection at notBefore
    bool hasWarmUpTurn = false; ///< counts already for the warm-up rate of its member
    connection_id openingConnection = 0; ///< connection being opened for it; 0: none
    std::uint64_t handOver = 0; ///< number with which it was handed over last; 0: never
    instance_id broker; ///< to which it was handed over last
    bool avoidsBroker = false; ///< it runs on connections of this instance
    statement_attempt lastAttempt;

    /** \returns whether a member or broker has the statement or what precedes it. */
    bool isAtMember() const
    {
        return currentStage == stage::preparing || currentStage == stage::running;
    }
};

/** \brief What the session of another instance's operation serves. */
struct brokered_session
{
    instance_id instance; ///< that handed the operation over
    operation_number operation = 0;
    std::uint64_t statement = 0; ///< number of the last statement
    time_point deadline; ///< of the last statement
    time_point latencyDeadline;
    bool wasSent = false; ///< a statement of the operation was sent to a member

    auto operator<=>(const brokered_session &) const = default;
};

/** \brief One caller's session. */
struct caller_state
{
    session_number number = 0;
    std::string databaseName; ///< database name that the caller connected with
    std::string key;
    workspace_id workspace;
    session_state state = session_state::idle;
    session_values values;
    std::map<std::string, prepared_statement> prepared;
    std::optional<statement_job> job;
    std::size_t keptBytes = 0; ///< size of the values and prepared statements
    std::deque<caller_request> pendingRequests; ///< received, not yet processed
    log_position lastCommitPosition; ///< covers every acknowledged commit of the session
    time_point lastActive;

    // State of the open transaction.
    service_route route; ///< unchanged from the first statement of the transaction to its end
    bool readOnly = false;
    bool hasWritten = false; ///< a write was sent to the member
    bool isAdmitted = false; ///< the operation may be sent under the workspace's rate
    bool isCharged = false; ///< the operation was sent, so that it counts for the rate
    time_point begunAt; ///< when the caller sent BEGIN
    server_id boundServer; ///< member of the bound connection
    connection_id boundConnection = 0; ///< connection that serves the session; 0: none
    bool rolledBack = false; ///< by the dispatcher; reported with the next statement
    instance_id broker; ///< broker that runs the operation; empty: none
    operation_number handedOver = 0; ///< number of the operation at the broker
    std::optional<brokered_session> served; ///< set if the operation is of another instance

    bool isDisconnected = false; ///< the caller's connection is closed

    /** \returns whether the transaction of the statement in progress has begun before it. */
    bool continuesTransaction() const
    {
        return state == session_state::inTransaction && !job->startsTransaction;
    }

    /** \returns the prepared statement that the statement in progress executes; null if it executes
     * none.
     */
    const prepared_statement *executed() const
    {
        const auto *execute = std::get_if<caller_statement::execute>(&job->request.parsed);
        return execute ? &prepared.at(execute->name) : nullptr;
    }
};

} // namespace sycamorespan::internal

#endif
