#include "sycamorespan/src/Core/rendezvous_hash.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <limits>

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

/** An equal part of what a member takes from all instances. */
std::size_t dispatcher::fairConnections(const member_pool &pool) const
{
    const auto known = m_directory->databases.find(pool.entry().database);
    if (known == m_directory->databases.end())
        return 1;
    const auto limit = known->second.maxConnections;
    const auto shared =
            limit > m_policy.reservedConnections ? limit - m_policy.reservedConnections : limit;
    return std::max<std::size_t>(shared / m_instances, 1);
}

std::size_t dispatcher::connectionBudget(const member_pool &pool) const
{
    const auto fair = fairConnections(pool);
    return fair < m_policy.scarceBelow ? m_policy.scarceConnections : fair;
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

/** \returns whether a member that may be used now could answer the statement. */
bool dispatcher::canBeServed(const caller &from, const database_state &group, time_point now) const
{
    if (primaryUsable(group, now))
        return true;
    return !from.job->needsPrimary && requiredFloor(from, group, now).has_value();
}

/** Refuses what can't be answered before its deadline. */
void dispatcher::refuseHopeless(database_state &group, time_point now)
{
    std::vector<std::pair<session_number, std::string>> hopeless;
    const auto wait = [now](time_point until) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - now);
        return std::to_string(std::max<std::int64_t>(left.count(), 0)) + " ms";
    };
    std::size_t ahead = 0;
    for (const auto number : group.queue) {
        const auto &from = m_callers.at(number);
        const auto work = fromSeconds(meanOf(from));
        const auto name = from.route.database.str();
        if (!canBeServed(from, group, now)) {
            const auto patience = group.primaryMissingSince + m_policy.missingPrimaryPatience;
            const auto expected = group.primaryExpected.value_or(patience);
            if (expected + work > from.job->deadline)
                hopeless.emplace_back(number, "database " + name
                                                      + " is changing its primary; retry after "
                                                      + wait(expected));
            else if (!group.primaryExpected && now > patience)
                hopeless.emplace_back(number, "no primary of database " + name
                                                      + " is known here; retry elsewhere");
            continue;
        }
        const auto backlog =
                group.completionsPerSecond > 0
                        ? fromSeconds(static_cast<double>(ahead) / group.completionsPerSecond)
                        : duration::zero();
        if (now + backlog + work > from.job->deadline)
            hopeless.emplace_back(number, "the queue of database " + name
                                                  + " is longer than the time left; retry after "
                                                  + wait(now + backlog));
        else
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

std::optional<freshness_floor>
dispatcher::requiredFloor(const caller &from, const database_state &group, time_point) const
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
    // What is known of others' load is old in a large fleet; without a spread all instances would
    // turn to the same member together.
    const auto draw = rendezvousWeight(from.job->request.id, pool.entry().id.str());
    constexpr double largestDraw = 18446744073709551616.0; // 2^64
    return score * (1 + m_policy.spread * static_cast<double>(draw) / largestDraw);
}

std::vector<dispatcher::candidate> dispatcher::candidates(const caller &from, database_state &group,
                                                          time_point now)
{
    std::vector<candidate> found;
    const bool usable = primaryUsable(group, now);
    const auto add = [&](member_pool &pool, std::optional<log_position> floor, bool primary) {
        double score = scoreOf(pool, from, primary);
        if (!pool.idleFor(from.workspace, from.values, preparedNameFor(from)))
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

/** Sends the statement on an idle connection, or sees to it that one is opened: one at a time for
 * each statement, as an opening takes a slot of the member.
 * \returns whether the statement was sent; otherwise it goes on waiting
 */
bool dispatcher::place(caller &from, database_state &group, time_point now)
{
    const auto choices = candidates(from, group, now);
    if (std::ranges::any_of(choices,
                            [&](const candidate &each) { return useIdle(from, each, now); }))
        return true;
    const auto *pool = from.job->opening != 0 ? poolOf(from.job->opening) : nullptr;
    if (pool && pool->isOpening(from.job->opening))
        return false;
    from.job->opening = 0;
    std::ranges::any_of(choices, [&](const candidate &each) { return openFor(from, each, now); });
    return false;
}

std::string dispatcher::preparedNameFor(const caller &from) const
{
    const auto *execute = executeOf(*from.job);
    return execute ? preparedNameOf(from.prepared.at(execute->name)) : std::string();
}

/** \returns whether the statement was sent on an idle connection to the candidate. */
bool dispatcher::useIdle(caller &from, const candidate &chosen, time_point now)
{
    auto *idle = chosen.pool->idleFor(from.workspace, from.values, preparedNameFor(from));
    if (!idle)
        return false;
    run(from, *chosen.pool, *idle, chosen.floor, now);
    return true;
}

/** \returns whether a connection to the candidate is being opened now for the statement. */
bool dispatcher::openFor(caller &from, const candidate &chosen, time_point now)
{
    auto &pool = *chosen.pool;
    if (!pool.mayOpen(now))
        return false;
    if (pool.connections().size() >= connectionBudget(pool)) {
        auto *victim = pool.longestIdleOfOthers(from.workspace, now, m_policy.evictionIdle);
        if (!victim)
            return false;
        drop(pool, victim->id, now);
    }
    from.job->opening = open(pool, from.route.database, from.workspace, now);
    return true;
}

connection_id dispatcher::open(member_pool &pool, const database_id &database,
                               const workspace_id &workspace, time_point now)
{
    const auto id = ++m_lastConnection;
    pool.add(id, workspace, now);
    m_connectionServers.emplace(id, pool.entry().id);
    m_outputs.push_back(
            open_member{id, pool.entry().id, database, pool.entry().address, workspace});
    return id;
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

void dispatcher::sendOnBound(caller &from, time_point now)
{
    auto *pool = poolOf(from.bound);
    auto *connection = pool ? pool->find(from.bound) : nullptr;
    auto &job = *from.job;
    job.at = job_stage::running;
    ++job.attempts;
    if (connection->viewDependent && !viewHolds(group(from), now)) {
        connectionLost(from, from.boundServer, "the primary is being changed", now);
        drop(*pool, connection->id, now);
        return;
    }
    connection->since = now;
    sendStatement(from, *connection, setup(from, *connection, now), now);
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
    const auto floor = from.state == session_state::inTransaction ? std::nullopt : job.floor;
    if (const auto *execute = executeOf(job)) {
        before.emplace_back(member_statement::execute{
                job.request.id, preparedNameOf(from.prepared.at(execute->name)), execute->arguments,
                floor});
    } else {
        before.emplace_back(member_statement::forward{job.request.id, job.request.text, floor});
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
