#include "sycamorespan/src/Dispatch/dispatcher.h"
#include "sycamorespan/src/Core/map_projections.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sycamorespan {

using namespace dispatch_action;

dispatcher::dispatcher(const dispatch_policy &policy, data_centre_id own, time_point startedAt)
    : m_policy(policy)
    , m_own(std::move(own))
    , m_startedAt(startedAt)
    , m_directory(std::make_shared<service_directory>())
{ }

dispatch_outputs dispatcher::setDirectory(std::shared_ptr<const service_directory> directory,
                                          time_point now)
{
    m_directory = std::move(directory);
    m_access.setLimits(m_directory->databases);
    applyShares(now);
    const auto &workspaces = m_directory->workspaces;
    const auto sum = std::accumulate(
            workspaces.begin(), workspaces.end(), 0.0,
            [](double rates, const auto &each) { return rates + each.second.ratePerSecond; });
    m_meanRate = sum > 0 ? sum / static_cast<double>(workspaces.size()) : 1;
    endWorkWithoutKey(now);
    for (auto &[key, state] : m_databases)
        dispatchQueue(state, now);
    return takeOutputs();
}

dispatch_outputs dispatcher::setServers(const std::vector<server_entry> &entries, time_point now)
{
    std::set<server_id> present;
    m_access.setServers(entries, now);
    applyShares(now);
    std::ranges::for_each(entries, [&](const server_entry &entry) {
        present.insert(entry.id);
        const auto known = m_pools.find(entry.id);
        const bool sameIncarnation = known != m_pools.end()
                                     && known->second.entry().address == entry.address
                                     && known->second.entry().startedAtMs == entry.startedAtMs
                                     && known->second.entry().database == entry.database;
        if (known != m_pools.end() && !sameIncarnation)
            removePool(entry.id, now); // a new incarnation keeps no connections of the previous one
        auto &pool = m_pools.try_emplace(entry.id, entry).first->second;
        pool.noteState(entry.state, m_policy.stateSettlingTime, now);
        pool.setEntry(entry);
        stateOf(entry.database).members.insert(entry.id);
    });
    std::vector<server_id> removed;
    for (const auto &[id, pool] : m_pools)
        if (!present.contains(id))
            removed.push_back(id);
    std::ranges::for_each(removed, [&](const server_id &id) { removePool(id, now); });
    for (auto &[key, state] : m_databases)
        dispatchQueue(state, now);
    return takeOutputs();
}

dispatcher::database_state &dispatcher::stateOf(const database_id &database)
{
    const auto [state, isNew] = m_databases.try_emplace(database);
    if (isNew) {
        state->second.repeats = retry_budget(m_policy.repeats);
        state->second.returns = return_schedule(m_policy.returnSpread);
    }
    return state->second;
}

/** Removes a member. Its statements are retried on another member or fail. */
void dispatcher::removePool(const server_id &server, time_point now)
{
    auto &pool = m_pools.at(server);
    pool.setAvoidedUntil(time_point::max());
    stateOf(pool.entry().database).members.erase(server);
    std::vector<std::pair<connection_id, session_number>> open;
    for (const auto &[key, each] : pool.connections())
        open.emplace_back(each.id, each.session);
    for (const auto &[connection, session] : open) {
        closeConnection(pool, connection, now);
        if (auto *from = findCaller(session); from && from->boundConnection == connection)
            onConnectionLost(*from, server, "the member left", now);
    }
    m_pools.erase(server);
}

void dispatcher::setLoadOfOthers(const server_id &server, std::size_t slots,
                                 std::optional<member_capacity> capacity)
{
    const auto pool = m_pools.find(server);
    if (pool == m_pools.end())
        return;
    pool->second.setSlotsOccupiedByOthers(slots);
    pool->second.limit().hear(capacity);
}

dispatch_outputs dispatcher::setPrimary(const database_id &database,
                                        std::optional<usable_primary> primary, time_point now)
{
    auto &state = stateOf(database);
    const bool samePrimaryAndTerm = primary && state.primary
                                    && primary->server == state.primary->server
                                    && primary->term == state.primary->term;
    if (primary && !samePrimaryAndTerm)
        state.floors.clear();
    if (!primary && state.primary && !state.primaryClosing)
        state.primaryMissingSince = now;
    state.primary = std::move(primary);
    state.primaryClosing = false;
    if (state.primary) {
        state.primaryExpected.reset();
        state.hasHadPrimary = true;
    }
    dispatchQueue(state, now);
    return takeOutputs();
}

void dispatcher::stopNewPrimaryWork(const database_id &database, time_point now)
{
    auto &state = stateOf(database);
    if (!std::exchange(state.primaryClosing, true))
        state.primaryMissingSince = now;
}

void dispatcher::setExpectedPrimaryTime(const database_id &database, std::optional<time_point> at)
{
    stateOf(database).primaryExpected = at;
}

void dispatcher::addFloor(const database_id &database, const freshness_floor &floor, time_point now)
{
    auto &state = stateOf(database);
    if (state.primary && floor.position.term != state.primary->term)
        return;
    state.floors.add(floor, now);
}

bool dispatcher::hasPrimaryWork(const database_id &database) const
{
    const auto needsPrimary = [](const member_connection &each) {
        return each.state == member_connection::phase::bound && each.requiresPrimary;
    };
    const auto hasWork = [&](const member_pool &pool) {
        return pool.entry().database == database
               && std::ranges::any_of(pool.connections(), needsPrimary, mappedOf);
    };
    return std::ranges::any_of(m_pools, hasWork, mappedOf);
}

dispatch_outputs dispatcher::abortPrimaryWork(const database_id &database, time_point now)
{
    struct work
    {
        member_pool *pool;
        connection_id connection;
        session_number session;
    };
    std::vector<work> underWay;
    for (auto &[id, pool] : m_pools) {
        if (pool.entry().database != database)
            continue;
        for (const auto &[key, each] : pool.connections())
            if (each.state == member_connection::phase::bound && each.requiresPrimary)
                underWay.push_back({&pool, each.id, each.session});
    }
    std::ranges::for_each(underWay, [&](const work &each) {
        closeConnection(*each.pool, each.connection, now);
        if (auto *from = findCaller(each.session); from && from->boundConnection == each.connection)
            onConnectionLost(*from, each.pool->entry().id, "the primary was replaced", now);
    });
    return takeOutputs();
}

std::vector<member_load> dispatcher::memberLoads(time_point now) const
{
    std::vector<member_load> result;
    for (const auto &[id, pool] : m_pools) {
        member_load load{id, pool.occupiedSlots(), std::nullopt};
        if (const auto found = pool.limit().found(now);
            found.samples > 0 && (pool.limit().isUnusual() || pool.limit().isHeardUnusual()))
            load.capacity = found;
        if (load.occupiedSlots > 0 || load.capacity)
            result.push_back(std::move(load));
    }
    return result;
}

std::map<server_id, member_capacity> dispatcher::memberCapacities(time_point now) const
{
    std::map<server_id, member_capacity> result;
    for (const auto &[id, pool] : m_pools)
        result.emplace(id, pool.limit().capacity(now));
    return result;
}

std::optional<freshness_floor> dispatcher::newestFloor(const database_id &database) const
{
    const auto known = m_databases.find(database);
    return known == m_databases.end() ? std::nullopt : known->second.floors.newest();
}

std::size_t dispatcher::synchronousReplicas(const database_id &database) const
{
    const auto known = m_directory->databases.find(database);
    return known == m_directory->databases.end() ? 0 : known->second.synchronousReplicas;
}

std::optional<time_point> dispatcher::unresponsiveSince(const server_id &server) const
{
    const auto known = m_pools.find(server);
    return known == m_pools.end() ? std::nullopt : known->second.unresponsiveSince();
}

std::optional<time_point> dispatcher::lastMessageAt(const server_id &server) const
{
    const auto known = m_pools.find(server);
    return known == m_pools.end() ? std::nullopt : known->second.lastMessageAt();
}

int dispatcher::consecutiveFailures(const server_id &server) const
{
    const auto known = m_pools.find(server);
    return known == m_pools.end() ? 0 : known->second.failures();
}

std::optional<time_point> dispatcher::writesUnansweredSince(const database_id &database) const
{
    const auto known = m_databases.find(database);
    if (known == m_databases.end() || !known->second.oldestUnansweredWrite)
        return std::nullopt;
    return std::max(*known->second.oldestUnansweredWrite, known->second.lastWriteAnswer);
}

std::optional<time_point> dispatcher::primaryLastRefusedAt(const database_id &database) const
{
    const auto known = m_databases.find(database);
    return known == m_databases.end() ? std::nullopt : known->second.primaryLastRefusedAt;
}

std::size_t dispatcher::queuedCount() const
{
    std::size_t count = 0;
    for (const auto &[id, state] : m_databases)
        count += state.queue.size();
    return count;
}

std::size_t dispatcher::connectionCount() const
{
    return m_connectionServers.size();
}

} // namespace sycamorespan
