#include "sycamorespan/src/Core/map_projections.h"
#include "sycamorespan/src/Core/rendezvous_hash.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace sycamorespan {

namespace {

using namespace dispatch_action;

/** Age after which a reported position is ignored, because the member has likely advanced since by
 * a replication delay.
 */
constexpr duration positionValidity = 100ms;

/** Part of its latency objective for which a statement waits before it takes a connection that
 * another workspace has just used.
 */
constexpr int evictionPatienceDivisor = 4;

/** Statements that the same connections may serve if a member is fresh enough. */
struct statement_kind
{
    workspace_id workspace;
    std::string route;
    bool needsPrimary = false;

    auto operator<=>(const statement_kind &) const = default;
};

/** How fresh a member must be for a statement. */
struct statement_demand
{
    time_point freshnessCutoff;
    log_position lastCommit;

    bool isAtMost(const statement_demand &other) const
    {
        return freshnessCutoff <= other.freshnessCutoff && lastCommit <= other.lastCommit;
    }
};

/** Weight of one tick in the mean number of statements that only the primary can run. */
constexpr double primaryOnlyWorkSmoothing = 0.02;

double slotsOf(const member_pool &pool)
{
    return static_cast<double>(std::max<std::size_t>(pool.entry().slots, 1));
}

/** \returns how many statements run at the primary that only it can run. */
double primaryOnlyStatements(const member_pool &primary)
{
    const auto isPrimaryOnly = [](const member_connection &each) {
        return each.requiresPrimary && !each.pending.empty();
    };
    return static_cast<double>(
            std::ranges::count_if(primary.connections(), isPrimaryOnly, mappedOf));
}

/** \returns the expected wait for a slot of a member, in statement times: that of M/M/c by
 * Sakasegawa's approximation below the number of slots, above it that for the statements ahead.
 */
double expectedWait(double ahead, double slots)
{
    if (ahead >= slots)
        return (ahead + 1 - slots) / slots;
    return std::pow(ahead / slots, std::sqrt(2 * (slots + 1)) - 1) / slots;
}

} // namespace

bool dispatcher::isPrimaryViewValid(const database_state &group, time_point now) const
{
    return group.primary && now < group.primary->validUntil
           && m_pools.contains(group.primary->server);
}

bool dispatcher::isPrimaryUsable(const database_state &group, time_point now) const
{
    return isPrimaryViewValid(group, now) && !group.primaryClosing;
}

bool dispatcher::isPrimary(const database_state &group, const server_id &server) const
{
    return group.primary && group.primary->server == server;
}

double dispatcher::meanStatementTime(const caller &from) const
{
    const auto known = m_times.find(from.databaseName);
    return known == m_times.end() ? route_times{}.meanSeconds : known->second.meanSeconds;
}

/** \returns this instance's equal share of the connections that a member accepts. */
std::size_t dispatcher::fairConnectionShare(const member_pool &pool) const
{
    const auto known = m_directory->databases.find(pool.entry().database);
    if (known == m_directory->databases.end())
        return 1;
    const auto limit = known->second.maxConnections;
    const auto shared =
            limit > m_policy.reservedConnections ? limit - m_policy.reservedConnections : limit;
    if (isBrokerOf(pool.entry().database))
        return std::max<std::size_t>(shared * 9 / 10 / m_brokersOfDatabase, 1);
    return std::max<std::size_t>(shared / m_instances, 1);
}

std::size_t dispatcher::connectionBudget(const member_pool &pool, time_point now) const
{
    const auto fair = fairConnectionShare(pool);
    const auto &database = pool.entry().database;
    const bool hasOtherBroker = m_brokers.contains(database) && !isBrokerOf(database);
    const auto small =
            hasOtherBroker ? m_policy.connectionsPastBroker : m_policy.smallShareConnections;
    return std::min(fair < m_policy.smallShareThreshold ? small : fair, pool.connectionLimit(now));
}

/** \returns whether this instance is the broker of the database in its data centre. */
bool dispatcher::isBrokerOf(const database_id &database) const
{
    const auto broker = m_brokers.find(database);
    return broker != m_brokers.end() && broker->second == m_self;
}

bool dispatcher::isMemberUsable(const member_pool &pool, time_point now) const
{
    if (pool.isAvoided(now))
        return false;
    return pool.isReachable() || pool.mayOpen(now);
}

/** \returns whether a draining member gets no new statements any more. This begins some time before
 * nothing may be sent to it.
 */
bool dispatcher::isPastDrainPeriod(const member_pool &pool, time_point now) const
{
    return pool.drainingSince() && now - *pool.drainingSince() > m_policy.drainingPrimaryUsePeriod;
}

/** \returns whether the primary or a replica may answer the statement at present. */
bool dispatcher::canBeServed(const caller &from, const database_state &group, time_point now) const
{
    if (isPrimaryUsable(group, now))
        return true;
    return !from.job->needsPrimary && requiredFloor(from, group, now).has_value();
}

/** \returns when the missing primary of the database is expected. Statements that arrive at an
 * instance that has just started wait for its first view: after a restart of the whole fleet the
 * other instances know as little, so that a rejected caller would only use up its retries.
 */
dispatcher::primary_outlook dispatcher::primaryOutlook(const database_state &group,
                                                       time_point now) const
{
    if (group.primaryExpected)
        return {*group.primaryExpected, time_point::max()};
    if (!group.hasHadPrimary)
        return {std::max(now, m_startedAt + m_policy.expectedStartupTime),
                m_startedAt + m_policy.startupTimeout};
    const auto giveUpAt = group.primaryMissingSince + m_policy.missingPrimaryTimeout;
    return {giveUpAt, giveUpAt};
}

/** \returns why the statement cannot be answered before its deadline; nothing if it may be.
 * \param ahead  statements that are served before it
 */
std::optional<queue_refusal> dispatcher::reasonToReject(const caller &from, database_state &group,
                                                        std::size_t ahead, time_point now)
{
    if (auto refusal = reasonNotAllowed(from, group, ahead, now))
        return refusal;
    const auto work = fromSeconds(meanStatementTime(from));
    const auto name = from.route.database.str();
    const auto &rate = from.job->needsPrimary ? group.primaryRate : group.otherRate;
    const auto served = rate.perSecond(now);
    const auto interval = served ? fromSeconds(1 / std::max(*served, 1.0)) : work;
    const auto refuse = [&](refusal_cause cause, duration earliest, std::string reason) {
        return queue_refusal{from.number, cause, group.returns.next(earliest, interval, now),
                             std::move(reason)};
    };
    if (!canBeServed(from, group, now)) {
        const auto outlook = primaryOutlook(group, now);
        if (now > outlook.giveUpAt)
            return refuse(refusal_cause::noPrimary, m_policy.missingPrimaryTimeout,
                          "no primary of database " + name + " is known here; retry elsewhere");
        if (outlook.expected + work > from.job->deadline)
            return refuse(refusal_cause::noPrimary, outlook.expected - now,
                          "database " + name + " is changing its primary");
        return std::nullopt;
    }
    const auto backlog = served ? interval * static_cast<std::int64_t>(ahead) : duration::zero();
    if (now + backlog + work > from.job->deadline)
        return refuse(refusal_cause::backlog, backlog,
                      "the queue of database " + name + " is longer than the time left");
    return std::nullopt;
}

/** Rejects queued statements that cannot be answered before their deadline. A connection that is
 * being opened for a statement will serve it without the others.
 */
void dispatcher::rejectUnservableStatements(database_state &group, time_point now)
{
    std::vector<queue_refusal> unservable;
    std::size_t aheadOnPrimary = 0;
    std::size_t aheadElsewhere = 0;
    for (const auto number : group.queue.order()) {
        const auto &from = m_callers.at(number);
        const bool isOpening = isOpeningFor(from);
        auto &ahead = from.job->needsPrimary ? aheadOnPrimary : aheadElsewhere;
        if (auto refusal = reasonToReject(from, group, isOpening ? 0 : ahead, now))
            unservable.push_back(std::move(*refusal));
        else if (!isOpening && canBeServed(from, group, now))
            ++ahead;
    }
    group.primaryRate.setWaiting(aheadOnPrimary, now);
    group.otherRate.setWaiting(aheadElsewhere, now);
    std::ranges::for_each(unservable, [&](const queue_refusal &each) {
        auto *from = findCaller(each.session);
        if (from && from->job && from->job->currentStage == job_stage::queued)
            reject(*from, each, now);
    });
}

/** Places the statements that can be placed. After one that no connection serves, others of its
 * kind that need at least as much are not tried.
 */
void dispatcher::dispatchQueue(database_state &group, time_point now)
{
    group.queue.advance(now);
    std::map<statement_kind, statement_demand> unplaceable;
    for (const auto number : group.queue.order()) {
        auto *from = findCaller(number);
        if (!from || !from->job || from->job->currentStage != job_stage::queued
            || now < from->job->notBefore)
            continue;
        const bool needsPrimary = from->job->needsPrimary;
        const statement_kind kind{from->workspace, from->databaseName, needsPrimary};
        const statement_demand demand{from->job->freshnessCutoff, from->lastCommitPosition};
        const auto failed = unplaceable.find(kind);
        if (failed != unplaceable.end() && failed->second.isAtMost(demand))
            continue;
        if (!placeStatement(*from, group, now)) {
            // While load returns after an evacuation, the choice differs between statements.
            if (!isOpeningFor(*from) && from->job->lagging.empty() && !m_access.hasReturning(now))
                unplaceable.try_emplace(kind, demand);
            continue;
        }
        group.queue.take(number);
        (needsPrimary ? group.primaryRate : group.otherRate).countService();
    }
    rejectUnservableStatements(group, now);
}

std::optional<freshness_floor>
dispatcher::requiredFloor(const caller &from, const database_state &group, time_point) const
{
    auto floor = group.floors.covering(from.job->freshnessCutoff);
    if (floor && from.route.reads == consistency::readYourWrites)
        floor->position = std::max(floor->position, from.lastCommitPosition);
    return floor;
}

/** \returns the number of instances that send statements to the member. */
std::size_t dispatcher::sharersOf(const member_pool &pool) const
{
    return isBrokerOf(pool.entry().database) ? m_brokersOfDatabase : m_instances;
}

/** \returns whether the member is below its limit. As the others' load is known late, an instance
 * may always use its share of the limit. Reads leave room at the primary for what only it can run,
 * which would wait in its queue behind them, but they may use all of its free slots.
 */
bool dispatcher::hasRoom(const member_pool &pool, const caller &from, time_point now) const
{
    if (pool.entry().slots == 0)
        return true; // not known
    double limit = pool.limit().capacity(now).limit;
    const auto state = m_databases.find(pool.entry().database);
    if (!from.job->needsPrimary && state != m_databases.end()
        && isPrimary(state->second, pool.entry().id)) {
        // Those that run there now are among the occupied slots.
        const double reserved =
                std::max(state->second.primaryOnlyWork - primaryOnlyStatements(pool), 0.0)
                * static_cast<double>(sharersOf(pool));
        limit = std::max(limit - reserved, std::min(limit, slotsOf(pool)));
    }
    const auto others = static_cast<double>(pool.slotsOccupiedByOthers());
    const double share = limit / static_cast<double>(sharersOf(pool));
    return static_cast<double>(pool.occupiedSlots() + 1) <= std::max({limit - others, share, 1.0});
}

/** Updates the mean number of statements that only the primary can run. */
void dispatcher::updatePrimaryOnlyWork(database_state &group) const
{
    if (!group.primary)
        return;
    const auto pool = m_pools.find(group.primary->server);
    if (pool == m_pools.end())
        return;
    group.primaryOnlyWork += primaryOnlyWorkSmoothing
                             * (primaryOnlyStatements(pool->second) - group.primaryOnlyWork);
}

/** \returns the smallest share of statements that a member of the database fails. */
double dispatcher::usualFailureShare(const database_state &group) const
{
    double least = 1;
    for (const auto &id : group.members)
        least = std::min(least, m_pools.at(id).limit().failureShare());
    return least;
}

/** \returns the expected time until the statement is answered by the member, in seconds.
 * \param usualFailures  failure share of the best member of the database
 */
double dispatcher::scoreOf(const member_pool &pool, const caller &from, double usualFailures,
                           bool needsOpening, time_point now) const
{
    const auto &limit = pool.limit();
    const auto capacity = limit.capacity(now);
    const double slots = std::min(slotsOf(pool), capacity.limit);
    double ahead = static_cast<double>(pool.occupiedSlots() + pool.slotsOccupiedByOthers());
    const auto state = m_databases.find(pool.entry().database);
    // Statements that only the primary can run and that arrive while the read runs there.
    if (!from.job->needsPrimary && state != m_databases.end()
        && isPrimary(state->second, pool.entry().id))
        ahead += state->second.primaryOnlyWork * static_cast<double>(sharersOf(pool));
    const bool isProbe = !from.job->needsPrimary && from.job->attempts == 0
                         && limit.isProbeDue(sharersOf(pool), now)
                         && now + 2 * readTimeout(from) < from.job->deadline;
    const double slowness = isProbe ? 1 : capacity.slowness;
    double score = meanStatementTime(from) * slowness * (1 + expectedWait(ahead, slots));
    if (needsOpening)
        score += pool.openingSeconds() * (1 + ahead / slots);
    if (pool.entry().dataCentre != m_own)
        score += toSeconds(m_policy.otherDataCentrePenalty);
    if (!isProbe) {
        const double failures = std::min(
                (limit.failureShare() - usualFailures) / std::max(1 - usualFailures, 0.1), 0.9);
        score = (score + failures * limit.failureSeconds()) / (1 - failures);
    }
    // In a large fleet the load reported by other instances is outdated. Without random variation
    // all instances would choose the same member at the same time.
    // At a broker, statements of a workspace prefer the same member, which has its connections.
    const auto draw = rendezvousWeight(isBrokerOf(from.route.database) ? from.workspace.str()
                                                                       : from.job->request.id.str(),
                                       pool.entry().id.str());
    constexpr double largestDraw = 18446744073709551616.0; // 2^64
    return score * (1 + m_policy.scoreJitter * static_cast<double>(draw) / largestDraw);
}

std::vector<dispatcher::candidate> dispatcher::candidates(const caller &from, database_state &group,
                                                          time_point now)
{
    std::vector<candidate> found;
    std::vector<candidate> returning;
    bool hasUsual = false; // a member that isn't evacuated or returning, even if it is full
    const bool usable = isPrimaryUsable(group, now);
    const double usualFailures = usualFailureShare(group);
    const auto add = [&](member_pool &pool, std::optional<log_position> floor) {
        if (!mayRunOn(from, pool, now))
            return;
        const bool isReturning =
                pool.entry().isEvacuated
                || m_access.isReturning(pool.entry().id, from.job->request.id.str(), now);
        hasUsual = hasUsual || !isReturning;
        if (!hasRoom(pool, from, now))
            return;
        const bool isIdle = pool.findIdleConnection(from.workspace, from.values, from.executed());
        double score = scoreOf(pool, from, usualFailures, !isIdle, now);
        if (from.job->excluded.contains(pool.entry().id))
            score += toSeconds(1s);
        (isReturning ? returning : found).push_back({&pool, score, floor});
    };
    std::optional<log_position> floor;
    if (!from.job->needsPrimary) {
        if (const auto required = requiredFloor(from, group, now))
            floor = required->position;
    }
    if (usable) {
        auto &pool = m_pools.at(group.primary->server);
        if (isMemberUsable(pool, now) && !isPastDrainPeriod(pool, now))
            add(pool, floor);
    }
    if (floor) {
        for (const auto &id : group.members) {
            auto &pool = m_pools.at(id);
            if (usable && id == group.primary->server)
                continue;
            if (!isMemberUsable(pool, now) || pool.isLagging(now)
                || pool.entry().state == server_state::draining)
                continue;
            const auto validity = from.job->lagging.contains(id) ? m_policy.laggingReplicaRetryDelay
                                                                 : positionValidity;
            const bool known = now - pool.positionObservedAt() < validity;
            if (known && pool.position() < *floor)
                continue;
            add(pool, floor);
        }
    }
    if (!hasUsual)
        found = std::move(returning);
    std::ranges::sort(found, {}, &candidate::score);
    return found;
}

/** Sends the statement to the member that is expected to answer it first: on an idle connection, or
 * on one that is opened for it. Each statement opens at most one at a time, because an opening
 * takes a slot of the member. While it takes longer than usual, idle connections elsewhere are
 * used.
 * \returns whether the statement was sent; otherwise it remains queued
 */
bool dispatcher::placeStatement(caller &from, database_state &group, time_point now)
{
    const auto *opener = isOpeningFor(from) ? poolOf(from.job->openingConnection) : nullptr;
    if (!opener)
        from.job->openingConnection = 0;
    const bool isOverdue =
            opener
            && toSeconds(now - opener->connections().at(from.job->openingConnection).since)
                       > 2 * opener->openingSeconds();
    const auto choices = candidates(from, group, now);
    const bool awaitsOwn = !opener && awaitsOwnConnection(from, choices, now);
    for (const auto &each : choices) {
        if (sendOnIdleConnection(from, each, now))
            return true;
        if (awaitsOwn)
            continue;
        if (opener ? opener == each.pool && !isOverdue : openConnectionFor(from, each, now))
            return false;
    }
    return false;
}

/** \returns whether a connection is being opened for the statement. */
bool dispatcher::isOpeningFor(const caller &from) const
{
    const auto server = m_connectionServers.find(from.job->openingConnection);
    if (server == m_connectionServers.end())
        return false;
    const auto pool = m_pools.find(server->second);
    return pool != m_pools.end() && pool->second.isOpening(from.job->openingConnection);
}

/** \returns whether the statement waits for a connection of its workspace that is in use or being
 * opened, because connections are too scarce to open one for each statement.
 */
bool dispatcher::awaitsOwnConnection(const caller &from, const std::vector<candidate> &choices,
                                     time_point now) const
{
    if (!isBrokerOf(from.route.database)
        || now - from.job->queuedSince >= m_policy.ownConnectionWait)
        return false;
    return std::ranges::any_of(choices, [&](const candidate &each) {
        return each.pool->hasConnectionOf(from.workspace);
    });
}

/** Sends the statement on an idle connection to the candidate, if there is one.
 * \returns whether it was sent
 */
bool dispatcher::sendOnIdleConnection(caller &from, const candidate &chosen, time_point now)
{
    auto *idle = chosen.pool->findIdleConnection(from.workspace, from.values, from.executed());
    if (!idle)
        return false;
    bindAndSend(from, *chosen.pool, *idle, chosen.floor, now);
    return true;
}

/** \returns how long a connection must be idle before it gives way to the statement. Where other
 * workspaces use each connection again at once, a workspace without one would wait for ever.
 */
duration dispatcher::leastIdleToEvict(const caller &from, const member_pool &pool,
                                      time_point now) const
{
    const auto &job = *from.job;
    const auto patience = (job.latencyDeadline - job.arrivedAt) / evictionPatienceDivisor;
    const auto isOwn = [&](const member_connection &each) {
        return each.workspace == from.workspace;
    };
    if (now - job.queuedSince < patience
        || std::ranges::any_of(pool.connections(), isOwn, mappedOf))
        return m_policy.minimumIdleBeforeEviction;
    return duration::zero();
}

/** Opens a connection to the candidate for the statement, if the connection budget allows it.
 * \returns whether one is being opened
 */
bool dispatcher::openConnectionFor(caller &from, const candidate &chosen, time_point now)
{
    auto &pool = *chosen.pool;
    if (!pool.mayOpen(now))
        return false;
    if (pool.connections().size() >= connectionBudget(pool, now)) {
        const bool hasWaited = isBrokerOf(from.route.database)
                               && now - from.job->queuedSince >= m_policy.evictionWait;
        const auto leastIdle = hasWaited ? duration::zero() : leastIdleToEvict(from, pool, now);
        auto *evicted = pool.findLongestIdleOfOthers(from.workspace, now, leastIdle);
        if (!evicted)
            return false;
        closeConnection(pool, evicted->id, now);
    }
    // Until the connection is open, other statements aren't sent as probes.
    pool.limit().recordSent(now);
    from.job->openingConnection = openConnection(pool, from.route.database, from.workspace, now);
    return true;
}

connection_id dispatcher::openConnection(member_pool &pool, const database_id &database,
                                         const workspace_id &workspace, time_point now)
{
    const auto id = ++m_lastConnection;
    pool.add(id, workspace, now);
    m_connectionServers.emplace(id, pool.entry().id);
    m_outputs.push_back(
            open_member{id, pool.entry().id, database, pool.entry().address, workspace});
    return id;
}

/** Binds the connection to the caller's session and sends its statement. */
void dispatcher::bindAndSend(caller &from, member_pool &pool, member_connection &connection,
                             std::optional<log_position> floor, time_point now)
{
    auto &job = *from.job;
    job.currentStage = job_stage::running;
    job.queueTime += now - job.queuedSince;
    job.floor = floor;
    ++job.attempts;
    connection.state = member_connection::phase::bound;
    connection.since = now;
    connection.session = from.number;
    connection.requiresPrimary = job.needsPrimary || !floor;
    from.boundConnection = connection.id;
    from.boundServer = pool.entry().id;
    pool.limit().recordSent(now);
    m_access.onSent(pool.entry().id, job.startsTransaction ? 2 : 1, now); // BEGIN counts
    prepareConnection(from, pool, connection, now);
}

void dispatcher::sendOnBound(caller &from, time_point now)
{
    auto *pool = poolOf(from.boundConnection);
    auto *connection = pool ? pool->find(from.boundConnection) : nullptr;
    if (!connection)
        return onConnectionLost(from, from.boundServer, "the connection to the member broke", now);
    if (!holdsKey(from))
        return endStatementWithoutKey(from, now);
    if (isHeldBack(from, *pool, *connection, now))
        return;
    auto &job = *from.job;
    if (std::exchange(job.currentStage, job_stage::preparing) == job_stage::held)
        job.queueTime += now - job.queuedSince;
    ++job.attempts;
    if (connection->requiresPrimary && !isPrimaryViewValid(group(from), now)) {
        onConnectionLost(from, from.boundServer, "the primary is being changed", now);
        closeConnection(*pool, connection->id, now);
        return;
    }
    connection->since = now;
    prepareConnection(from, *pool, *connection, now);
}

} // namespace sycamorespan
