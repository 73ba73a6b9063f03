#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace sycamorespan {

namespace {

using namespace dispatch_action;
using internal::statement_job;

/** A position that a member reported this long ago has likely advanced by a replication delay. */
constexpr duration positionMemory = 100ms;

std::string preparedNameOf(const internal::prepared_statement &statement)
{
    return (statement.access == statement_access::write ? 'w' : 'r') + statement.shape;
}

const caller_statement::execute *executeOf(const statement_job &job)
{
    return std::get_if<caller_statement::execute>(&job.request.parsed);
}

} // namespace

bool dispatcher::viewHolds(const database_state &group, time_point now) const
{
    return group.primary && now < group.primary->validUntil
           && m_pools.contains(group.primary->server);
}

bool dispatcher::primaryUsable(const database_state &group, time_point now) const
{
    return viewHolds(group, now) && !group.primaryClosing;
}

bool dispatcher::isPrimary(const database_state &group, const server_id &server) const
{
    return group.primary && group.primary->server == server;
}

double dispatcher::meanOf(const caller &from) const
{
    const auto known = m_times.find(from.databaseName);
    return known == m_times.end() ? route_times{}.meanSeconds : known->second.meanSeconds;
}

std::size_t dispatcher::connectionBudget(const member_pool &pool) const
{
    const auto known = m_directory->databases.find(pool.entry().database);
    if (known == m_directory->databases.end())
        return 1;
    const auto limit = known->second.maxConnections;
    const auto shared = limit > m_policy.reservedConnections ? limit - m_policy.reservedConnections
                                                             : limit;
    return std::max<std::size_t>(shared / m_instances, 1);
}

bool dispatcher::mayUse(const member_pool &pool, time_point now) const
{
    if (pool.avoided(now))
        return false;
    return pool.reachable() || pool.mayOpen(now);
}

/** A leaving member gets nothing new shortly before the time by which nothing may reach it. */
bool dispatcher::hasLeft(const member_pool &pool, time_point now) const
{
    return pool.drainingSince() && now - *pool.drainingSince() > m_policy.drainLimit;
}

/** Orders by whether the objective can still be met, then priority, then by time left. */
void dispatcher::sortQueue(database_state &group, time_point now)
{
    struct sort_key
    {
        bool late;
        int priority;
        time_point due;
        session_number session;
        auto operator<=>(const sort_key &) const = default;
    };
    const auto keyOf = [&](session_number number) {
        const auto &from = m_callers.at(number);
        const auto finish = now + fromSeconds(meanOf(from));
        const bool late = finish > from.job->objective;
        return sort_key{late, late ? 0 : from.route.priority,
                        late ? from.job->deadline : from.job->objective, number};
    };
    std::ranges::sort(group.queue, {}, keyOf);
}

/** Refuses what can't be answered before its deadline. */
void dispatcher::refuseHopeless(database_state &group, time_point now)
{
    std::vector<std::pair<session_number, std::string>> hopeless;
    const bool primaryMissing = !primaryUsable(group, now);
    const double backlogRate = group.completionsPerSecond;
    std::size_t ahead = 0;
    for (const auto number : group.queue) {
        const auto &from = m_callers.at(number);
        const auto work = fromSeconds(meanOf(from));
        if (from.job->needsPrimary && primaryMissing && group.primaryExpected
            && *group.primaryExpected + work > from.job->deadline) {
            const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
                    std::max(*group.primaryExpected - now, duration::zero()));
            hopeless.emplace_back(number,
                                  "database " + from.route.database.str()
                                          + " is changing its primary; retry after "
                                          + std::to_string(wait.count()) + " ms");
            continue;
        }
        if (!primaryMissing && backlogRate > 0
            && now + fromSeconds(static_cast<double>(ahead) / backlogRate) + work
                       > from.job->deadline) {
            const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
                    fromSeconds(static_cast<double>(ahead) / backlogRate));
            hopeless.emplace_back(number, "the queue of database " + from.route.database.str()
                                                  + " is longer than the time left; retry after "
                                                  + std::to_string(wait.count()) + " ms");
            continue;
        }
        ++ahead;
    }
    std::ranges::for_each(hopeless, [&](const auto &each) {
        if (auto *from = findCaller(each.first))
            reject(*from, statement_error::busy, each.second, now);
    });
}

void dispatcher::pump(database_state &group, time_point now)
{
    if (group.queue.empty())
        return;
    if (group.queue.size() > 1)
        sortQueue(group, now);
    const auto waiting = group.queue;
    std::vector<session_number> placed;
    for (const auto number : waiting) {
        auto *from = findCaller(number);
        if (!from || !from->job || from->job->at != job_stage::queued)
            continue;
        if (now < from->job->notBefore)
            continue;
        if (place(*from, group, now))
            placed.push_back(number);
    }
    std::erase_if(group.queue, [&](session_number number) {
        return std::ranges::find(placed, number) != placed.end();
    });
    refuseHopeless(group, now);
}

std::optional<freshness_floor> dispatcher::requiredFloor(const caller &from,
                                                         const database_state &group,
                                                         time_point) const
{
    auto floor = group.floors.covering(from.job->freshFrom);
    if (floor && from.route.reads == consistency::readYourWrites)
        floor->position = std::max(floor->position, from.ownCommit);
    return floor;
}

/** Expected wait at a member in seconds: statements ahead of this one, by how slow it is. */
double dispatcher::scoreOf(const member_pool &pool, const caller &from, bool isPrimary) const
{
    const auto slots = static_cast<double>(std::max<std::size_t>(pool.entry().slots, 1));
    double ahead = static_cast<double>(pool.working() + pool.othersWorking());
    if (isPrimary && !from.job->needsPrimary)
        ahead += m_policy.primaryReadPenalty;
    const double mean = meanOf(from);
    const double queueing = std::max(ahead + 1 - slots, 0.0) / slots + 0.1 * ahead / slots;
    double score = mean * pool.slowness() * (1 + queueing);
    if (pool.entry().dataCentre != m_own)
        score += toSeconds(m_policy.otherDataCentrePenalty);
    return score;
}

std::vector<dispatcher::candidate> dispatcher::candidates(const caller &from, database_state &group,
                                                          time_point now)
{
    std::vector<candidate> found;
    const bool usable = primaryUsable(group, now);
    const auto add = [&](member_pool &pool, std::optional<log_position> floor, bool primary) {
        double score = scoreOf(pool, from, primary);
        const auto &execute = executeOf(*from.job);
        const auto name = execute ? preparedNameOf(from.prepared.at(execute->name)) : std::string();
        if (!pool.idleFor(from.workspace, from.values, name))
            score += m_policy.openingPenalty * meanOf(from);
        if (from.job->excluded.contains(pool.entry().id))
            score += toSeconds(1s);
        found.push_back({&pool, score, floor});
    };
    std::optional<log_position> floor;
    if (!from.job->needsPrimary) {
        if (const auto required = requiredFloor(from, group, now))
            floor = required->position;
    }
    if (usable) {
        auto &pool = m_pools.at(group.primary->server);
        if (mayUse(pool, now) && !hasLeft(pool, now))
            add(pool, floor, true);
    }
    if (floor) {
        for (const auto &id : group.members) {
            auto &pool = m_pools.at(id);
            if (usable && id == group.primary->server)
                continue;
            if (!mayUse(pool, now) || pool.lagging(now)
                || pool.entry().state == server_state::draining)
                continue;
            const bool known = now - pool.positionSeen() < positionMemory;
            if (known && pool.position() < *floor)
                continue;
            add(pool, floor, false);
        }
    }
    std::ranges::sort(found, {}, &candidate::score);
    return found;
}

/** \returns whether the statement was sent; otherwise it goes on waiting. */
bool dispatcher::place(caller &from, database_state &group, time_point now)
{
    const auto choices = candidates(from, group, now);
    return std::ranges::any_of(choices,
                               [&](const candidate &each) { return usePool(from, each, now); });
}

/** \returns whether the statement was sent to a member of \a chosen; opens a connection if it
 * needs one and there may be one more.
 */
bool dispatcher::usePool(caller &from, const candidate &chosen, time_point now)
{
    auto &pool = *chosen.pool;
    const auto *execute = executeOf(*from.job);
    const auto name = execute ? preparedNameOf(from.prepared.at(execute->name)) : std::string();
    if (auto *idle = pool.idleFor(from.workspace, from.values, name)) {
        run(from, pool, *idle, chosen.floor, now);
        return true;
    }
    if (!pool.mayOpen(now))
        return false;
    const auto waitingHere = std::ranges::count_if(
            m_databases.at(from.route.database).queue, [&](session_number number) {
                const auto &other = m_callers.at(number);
                return other.workspace == from.workspace && other.job
                       && other.job->at == job_stage::queued;
            });
    if (pool.openingFor(from.workspace) >= static_cast<std::size_t>(waitingHere))
        return false;
    if (pool.connections().size() >= connectionBudget(pool)) {
        auto *victim = pool.longestIdleOfOthers(from.workspace, now, m_policy.evictionIdle);
        if (!victim)
            return false;
        drop(pool, victim->id, now);
    }
    open(pool, from.route.database, from.workspace, now);
    return false;
}

void dispatcher::open(member_pool &pool, const database_id &database, const workspace_id &workspace,
                      time_point now)
{
    const auto id = ++m_lastConnection;
    pool.add(id, workspace, now);
    m_connectionServers.emplace(id, pool.entry().id);
    m_outputs.push_back(
            open_member{id, pool.entry().id, database, pool.entry().address, workspace});
}

/** Gives the connection to the caller's statement and sends it. */
void dispatcher::run(caller &from, member_pool &pool, member_connection &connection,
                     std::optional<log_position> floor, time_point now)
{
    auto &job = *from.job;
    job.at = job_stage::running;
    job.queued += now - job.queuedSince;
    job.floor = floor;
    ++job.attempts;
    connection.state = member_connection::phase::bound;
    connection.since = now;
    connection.session = from.number;
    connection.viewDependent = job.needsPrimary || !floor;
    from.bound = connection.id;
    from.boundServer = pool.entry().id;
    if (!job.startsTransaction)
        return sendStatement(from, connection, setup(from, connection, now), now);
    auto statements = setup(from, connection, now);
    // BEGIN goes alone: a statement behind a refused BEGIN would run outside of a transaction.
    statements.emplace_back(member_statement::begin{from.readOnly, floor});
    job.sent = now;
    for (std::size_t index = 1; index < statements.size(); ++index)
        connection.pending.push_back({expected_answer::setup, now});
    connection.pending.push_back({expected_answer::begin, now});
    m_outputs.push_back(send_to_member{connection.id, std::move(statements)});
}

bool dispatcher::sendOnBound(caller &from, time_point now)
{
    auto *pool = poolOf(from.bound);
    auto *connection = pool ? pool->find(from.bound) : nullptr;
    auto &job = *from.job;
    job.at = job_stage::running;
    ++job.attempts;
    if (connection->viewDependent && !viewHolds(group(from), now)) {
        connectionLost(from, from.boundServer, "the primary is being changed", now);
        drop(*pool, connection->id, now);
        return false;
    }
    connection->since = now;
    sendStatement(from, *connection, setup(from, *connection, now), now);
    return true;
}

/** \returns the statements that bring the connection to the session's values and prepare what the
 * statement needs; the connection is noted to have them.
 */
std::vector<outgoing_statement> dispatcher::setup(const caller &from, member_connection &connection,
                                                  time_point) const
{
    std::vector<outgoing_statement> statements;
    const bool discards = std::ranges::any_of(connection.values, [&](const auto &value) {
        return !from.values.contains(value.first);
    });
    if (discards) {
        statements.emplace_back(member_statement::discard{});
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto &[name, value] : from.values) {
        const auto held = connection.values.find(name);
        if (held != connection.values.end() && held->second == value)
            continue;
        statements.emplace_back(member_statement::set_value{name, value});
        connection.values[name] = value;
    }
    if (const auto *execute = executeOf(*from.job)) {
        const auto &prepared = from.prepared.at(execute->name);
        const auto name = preparedNameOf(prepared);
        if (connection.prepared.insert(name).second)
            statements.emplace_back(
                    member_statement::prepare{name, prepared.access, prepared.shape});
    }
    return statements;
}

void dispatcher::sendStatement(caller &from, member_connection &connection,
                               std::vector<outgoing_statement> before, time_point now)
{
    auto &job = *from.job;
    const auto floor =
            from.state == session_state::inTransaction ? std::nullopt : job.floor;
    if (const auto *execute = executeOf(job)) {
        before.emplace_back(member_statement::execute{
                job.request.id, preparedNameOf(from.prepared.at(execute->name)),
                execute->arguments, floor});
    } else {
        before.emplace_back(
                member_statement::forward{job.request.id, job.request.text, floor});
    }
    for (std::size_t index = 1; index < before.size(); ++index)
        connection.pending.push_back({expected_answer::setup, now});
    connection.pending.push_back({expected_answer::statement, now});
    job.sent = now;
    if (job.access == statement_access::write)
        from.wrote = true;
    m_outputs.push_back(send_to_member{connection.id, std::move(before)});
    if (job.access == statement_access::write || (job.commits && from.wrote))
        updateWriteStall(group(from));
}

} // namespace sycamorespan
