#include "sycamorespan/src/Brokerage/broker_choice.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

void dispatcher::setAccess(const access_policy &policy, std::map<data_centre_id, area_id> areas)
{
    m_access = member_access(policy);
    m_access.setAreas(std::move(areas));
}

void dispatcher::setEvacuations(const evacuation_list &evacuations, time_point now)
{
    m_access.setEvacuations(evacuations, now);
}

void dispatcher::setRegisteredInstances(const instance_id &self,
                                        const std::vector<instance_id> &registered, time_point now)
{
    m_sharingSelf = self;
    m_sharingInstances = registered;
    applyShares(now);
}

/** Gives this instance its share in the warm-up rate of each member that is cold now. */
void dispatcher::applyShares(time_point now)
{
    m_access.setShares(
            [&](const server_entry &entry, double rate) -> std::optional<duration> {
                if (!needsBroker(*m_directory, entry.database))
                    return warm_up_shares::intervalFor(entry.id.str(), rate, m_sharingSelf,
                                                       m_sharingInstances);
                const auto broker = m_brokers.find(entry.database);
                if (broker == m_brokers.end() || broker->second != m_sharingSelf)
                    return std::nullopt; // the brokers alone send to its members
                return warm_up_shares::intervalOf(rate, m_brokersOfDatabase);
            },
            now);
}

/** \returns whether the homes of the route and of the workspace have the data centre. */
bool dispatcher::isHome(const caller &from, const data_centre_id &dataCentre) const
{
    const auto ofWorkspace = m_directory->workspaceHomes.find(from.workspace);
    return m_access.isHome(from.route.homes, dataCentre)
           && (ofWorkspace == m_directory->workspaceHomes.end()
               || m_access.isHome(ofWorkspace->second, dataCentre));
}

/** \returns whether the statement may be sent to the member. */
bool dispatcher::mayRunOn(const caller &from, const member_pool &pool, time_point now) const
{
    const auto &entry = pool.entry();
    return isHome(from, entry.dataCentre) && !m_access.isEvacuated(entry.id, now)
           && m_access.maySend(entry.id, now);
}

/** \returns why no member may run the statement in its time; nothing if one may.
 * \param ahead  statements that are served before it
 */
std::optional<queue_refusal> dispatcher::reasonNotAllowed(const caller &from,
                                                          const database_state &state,
                                                          std::size_t ahead, time_point now) const
{
    const bool hasHomes =
            !from.route.homes.empty() || m_directory->workspaceHomes.contains(from.workspace);
    if (!hasHomes && m_access.isUnrestricted(now))
        return std::nullopt;
    const auto name = from.route.database.str();
    const auto refuse = [&](std::string reason, std::optional<time_point> due = std::nullopt) {
        return queue_refusal{from.number, refusal_cause::notAllowed,
                             due ? std::max(*due - now, duration::zero()) : duration::zero(),
                             std::move(reason)};
    };
    std::vector<server_id> atHome;
    std::ranges::copy_if(state.members, std::back_inserter(atHome), [&](const server_id &id) {
        return isHome(from, m_pools.at(id).entry().dataCentre);
    });
    if (atHome.empty() && !state.members.empty())
        return refuse("no member of database " + name
                      + " is in an area that the route and the workspace allow");
    std::vector<server_id> able = atHome;
    if (from.job->needsPrimary) {
        if (!isPrimaryUsable(state, now))
            return std::nullopt;
        able = {state.primary->server};
        if (!isHome(from, m_pools.at(able.front()).entry().dataCentre))
            return refuse("the primary of database " + name
                          + " is in an area that the route and the workspace do not allow");
    }
    const bool hadMembers = !able.empty();
    std::erase_if(able, [&](const server_id &id) { return m_access.isEvacuated(id, now); });
    if (able.empty() && hadMembers) {
        const bool hasOther = std::ranges::any_of(state.members, [&](const server_id &id) {
            return !m_pools.at(id).entry().isEvacuated;
        });
        if (!hasOther || !from.job->needsPrimary)
            return refuse("database " + name
                          + " has members only in data centres that are evacuated");
        return refuse("the primary of database " + name + " is in a data centre that is evacuated",
                      state.primaryExpected.value_or(now + m_policy.expectedStartupTime));
    }
    const auto dueOf = [&](const server_id &id) {
        return m_access.hasShare(id) ? m_access.dueAfter(id, ahead, now)
                                     : m_access.dueAfter(id, 0, now);
    };
    if (able.empty()
        || std::ranges::any_of(able, [&](const auto &id) { return !m_access.isCold(id, now); }))
        return std::nullopt;
    const auto first = std::ranges::min(able, {}, dueOf);
    if (dueOf(first) + fromSeconds(meanStatementTime(from)) <= from.job->deadline)
        return std::nullopt;
    return refuse("member " + first.str() + " of database " + name + " warms up", dueOf(first));
}

std::size_t dispatcher::connectionsTo(const data_centre_id &dataCentre) const
{
    std::size_t count = 0;
    for (const auto &[id, pool] : m_pools)
        if (pool.entry().dataCentre == dataCentre)
            count += pool.connections().size();
    return count;
}

bool dispatcher::hasLeft(const data_centre_id &dataCentre, time_point now) const
{
    return std::ranges::all_of(m_pools, [&](const auto &each) {
        const auto &pool = each.second;
        return pool.entry().dataCentre != dataCentre
               || (pool.connections().empty() && m_access.isEvacuated(each.first, now));
    });
}

/** Ends what is open on members that get nothing more because their data centre is evacuated. A
 * statement that runs is answered first. Closing the connection rolls a transaction back without
 * sending anything.
 */
void dispatcher::endEvacuatedWork(time_point now)
{
    for (const auto &server : m_access.evacuatedServers(now)) {
        const auto found = m_pools.find(server);
        if (found == m_pools.end())
            continue;
        auto &pool = found->second;
        std::vector<std::pair<connection_id, session_number>> open;
        for (const auto &[id, each] : pool.connections())
            if (each.pending.empty())
                open.emplace_back(id, each.session);
        for (const auto &[connection, session] : open) {
            closeConnection(pool, connection, now);
            if (auto *from = findCaller(session); from && from->boundConnection == connection)
                onConnectionLost(*from, server, "the data centre of the member is evacuated", now);
        }
    }
}

/** Rolls back the transaction of a statement that certainly did not run. */
void dispatcher::endHeldBack(caller &from, std::string why, time_point now)
{
    releaseBound(from, now);
    reject(from, statement_error::aborted, std::move(why), now);
}

/** \returns whether the statement of an open transaction waits, or has ended, because its member
 * may not get it now. One that may be sent is counted for the warm-up rate of the member.
 */
bool dispatcher::isHeldBack(caller &from, member_pool &pool, member_connection &connection,
                            time_point now)
{
    const auto server = pool.entry().id;
    if (m_access.isEvacuated(server, now)) {
        closeConnection(pool, connection.id, now);
        unbind(from);
        reject(from, statement_error::aborted,
               "the data centre of the member is evacuated: rolled back", now);
        return true;
    }
    auto &job = *from.job;
    const bool hasTurn = std::exchange(job.hasWarmUpTurn, false) && m_access.hasShare(server);
    if (hasTurn || m_access.maySend(server, now)) {
        if (!hasTurn)
            m_access.onSent(server, 1, now);
        return false;
    }
    const auto due = m_access.dueAfter(server, 0, now);
    if (due + fromSeconds(meanStatementTime(from)) > job.deadline) {
        endHeldBack(from, "member " + server.str() + " warms up: rolled back", now);
        return true;
    }
    m_access.onSent(server, 1, now);
    job.hasWarmUpTurn = m_access.hasShare(server);
    if (std::exchange(job.currentStage, job_stage::held) != job_stage::held)
        job.queuedSince = now;
    job.awaitsResend = true;
    job.notBefore = due;
    return true;
}

} // namespace sycamorespan
