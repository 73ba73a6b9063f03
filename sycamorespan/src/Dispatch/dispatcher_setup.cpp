#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

namespace {

using namespace dispatch_action;

outgoing_statement toOutgoing(const setup_statement &statement)
{
    return std::visit([](const auto &each) { return outgoing_statement(each); }, statement);
}

/** \returns whether a member that answers a setup statement with \a code has not run it, so that
 * what the connection holds is still known.
 */
bool leavesSetupUnchanged(statement_error code)
{
    return code == statement_error::busy || code == statement_error::readOnly
           || code == statement_error::lagging || code == statement_error::malformed
           || code == statement_error::tooLarge;
}

} // namespace

/** Prepares the connection for the session, and begins the transaction if the statement starts one.
 * The statement is sent once the member has acknowledged all of it: sent along with it, the
 * statement would run without what the member refused.
 */
void dispatcher::prepareConnection(caller &from, member_pool &pool, member_connection &connection,
                                   time_point now)
{
    auto &job = *from.job;
    const auto setup = connection.setup.statementsFor(from.values, from.executed());
    job.lastAttempt = {pool.entry().id, connection.id, setup.size(), 0, false, {}, {}};
    m_access.onSent(pool.entry().id, setup.size(), now);
    connection.setupRefusal.reset();
    std::vector<outgoing_statement> statements;
    std::ranges::for_each(setup, [&](const setup_statement &each) {
        statements.push_back(toOutgoing(each));
        connection.pending.push_back({expected_answer::setup, now, each});
    });
    if (job.startsTransaction) {
        statements.emplace_back(member_statement::begin{from.readOnly, job.floor});
        connection.pending.push_back({expected_answer::begin, now, {}});
    }
    if (statements.empty())
        return sendStatement(from, connection, now);
    job.currentStage = job_stage::preparing;
    job.sentAt = now;
    job.inFlight = pool.occupiedSlots() + pool.slotsOccupiedByOthers();
    m_outputs.push_back(send_to_member{connection.id, std::move(statements)});
}

void dispatcher::sendStatement(caller &from, member_connection &connection, time_point now)
{
    auto &job = *from.job;
    charge(from);
    job.currentStage = job_stage::running;
    job.lastAttempt.wasSent = true;
    const auto floor = from.state == session_state::inTransaction ? std::nullopt : job.floor;
    outgoing_statement statement;
    if (const auto *execute = std::get_if<caller_statement::execute>(&job.request.parsed)) {
        job.lastAttempt.preparedName = connection.setup.use(*from.executed());
        statement = member_statement::execute{job.request.id, job.lastAttempt.preparedName,
                                              execute->arguments, floor};
    } else {
        statement = member_statement::forward{job.request.id, job.request.text, floor};
    }
    connection.pending.push_back({expected_answer::statement, now, {}});
    job.sentAt = now;
    if (const auto *pool = poolOf(connection.id))
        job.inFlight = pool->occupiedSlots() + pool->slotsOccupiedByOthers();
    if (job.access == statement_access::write)
        from.hasWritten = true;
    m_outputs.push_back(send_to_member{connection.id, {std::move(statement)}});
    if (job.access == statement_access::write || (job.isCommit && from.hasWritten))
        updateOldestUnansweredWrite(group(from));
}

/** Records whether the member has run a statement that prepares the connection. */
void dispatcher::onSetupAnswered(member_connection &connection, const setup_statement &statement,
                                 const statement_answer &answer)
{
    const auto *error = std::get_if<rejected>(&answer.result);
    const bool isGone = error && error->code == statement_error::unknownPrepared
                        && std::holds_alternative<member_statement::deallocate>(statement);
    if (!error || isGone)
        return connection.setup.acknowledge(statement);
    // What must close the connection outweighs what must not be repeated, and that the rest.
    const auto weight = [](statement_error code) {
        return !leavesSetupUnchanged(code) ? 2 : isWorthRepeating(code) ? 0 : 1;
    };
    auto &refusal = connection.setupRefusal;
    if (!refusal || weight(error->code) >= weight(refusal->code))
        refusal = *error;
}

/** Continues after the last answer to what precedes a statement: its setup, and BEGIN if it starts
 * a transaction.
 */
void dispatcher::finishSetup(member_pool &pool, member_connection &connection,
                             const statement_answer &last, time_point now)
{
    auto *from = findCaller(connection.session);
    if (!from || from->boundConnection != connection.id || !from->job)
        return release(pool, connection, last.state, now);
    const auto *error = std::get_if<rejected>(&last.result);
    // BEGIN may tell more of the member, such as that it is a replica.
    if (connection.setupRefusal && error && from->job->startsTransaction
        && error->code != connection.setupRefusal->code)
        recordRefusal(*from, pool, error->code, now);
    if (connection.setupRefusal)
        onSetupRefused(*from, pool, connection, last.state, now);
    else if (error)
        onBeginRejected(*from, pool, connection, *error, last.state, now);
    else
        onConnectionPrepared(*from, pool, connection, last.state, now);
    dispatchQueue(stateOf(pool.entry().database), now); // the connection may be idle again
}

/** \returns why a prepared connection may not get its statement any more; empty if it may. */
std::string_view dispatcher::reasonNotToSend(const caller &from, const member_pool &pool,
                                             const member_connection &connection,
                                             time_point now) const
{
    const auto &server = pool.entry().id;
    const auto &database = m_databases.at(from.route.database);
    if (from.isDisconnected)
        return "the caller has left";
    if (!holdsKey(from))
        return "the key was withdrawn";
    if (connection.requiresPrimary
        && !(isPrimaryViewValid(database, now) && isPrimary(database, server)))
        return "the primary is being changed";
    if (m_access.isEvacuated(server, now))
        return "the data centre of the member is evacuated";
    if (!from.continuesTransaction() && isPastDrainPeriod(pool, now))
        return "the member is draining";
    return {};
}

/** Sends the statement for which the connection has been prepared, if its caller still waits for
 * it and the member may still get it.
 */
void dispatcher::onConnectionPrepared(caller &from, member_pool &pool,
                                      member_connection &connection, session_state state,
                                      time_point now)
{
    const auto server = pool.entry().id;
    if (state != from.state) {
        closeConnection(pool, connection.id, now);
        return onConnectionLost(from, server, "the member reports another transaction state", now);
    }
    const auto reason = reasonNotToSend(from, pool, connection, now);
    if (reason.empty())
        return sendStatement(from, connection, now);
    release(pool, connection, state, now);
    onConnectionLost(from, server, reason, now);
}

/** Handles a setup that the member refused, so that the statement has not been sent. */
void dispatcher::onSetupRefused(caller &from, member_pool &pool, member_connection &connection,
                                session_state state, time_point now)
{
    const auto why = *std::exchange(connection.setupRefusal, std::nullopt);
    const auto server = pool.entry().id;
    auto &job = *from.job;
    recordRefusal(from, pool, why.code, now);
    const bool continues = from.continuesTransaction();
    if (continues && why.code == statement_error::busy && state == session_state::inTransaction
        && now + m_policy.busyRetryDelay < job.deadline && !from.isDisconnected) {
        recordStep(from, "repeat", server, "setup refused: busy");
        job.awaitsResend = true;
        job.notBefore = now + m_policy.busyRetryDelay;
        return;
    }
    unbind(from);
    if (leavesSetupUnchanged(why.code))
        release(pool, connection, state, now);
    else
        closeConnection(pool, connection.id, now);
    const auto text = "the member refused to prepare the session: " + describe(why);
    if (continues || !isWorthRepeating(why.code))
        return reject(from, statement_error::aborted, text, now);
    const auto code = why.code == statement_error::busy ? why.code : statement_error::aborted;
    retryOrReject(from, server, {code, text}, false, now);
}

void dispatcher::onBeginRejected(caller &from, member_pool &pool, member_connection &connection,
                                 const rejected &why, session_state state, time_point now)
{
    const auto server = pool.entry().id;
    recordRefusal(from, pool, why.code, now);
    unbind(from);
    release(pool, connection, state, now);
    retryOrReject(from, server, why, false, now);
}

} // namespace sycamorespan
