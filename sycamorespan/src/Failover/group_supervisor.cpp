#include "sycamorespan/src/Failover/group_supervisor.h"
#include "sycamorespan/src/Core/map_projections.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <utility>

namespace sycamorespan {

namespace {

void append(change_outputs &to, change_outputs from)
{
    std::ranges::move(from, std::back_inserter(to));
}

} // namespace

group_supervisor::group_supervisor(const supervision_policy &policy, const view_policy &views)
    : m_policy(policy)
    , m_views(views)
{ }

group_supervisor::watched &group_supervisor::stateOf(const database_id &database)
{
    const auto known = m_watched.find(database);
    if (known != m_watched.end())
        return known->second;
    return m_watched
            .emplace(database, watched(synchronous_change(database, m_policy.change, m_views)))
            .first->second;
}

change_outputs group_supervisor::setHolder(bool isHolder)
{
    m_isHolder = isHolder;
    if (!isHolder)
        for (auto &[database, each] : m_watched)
            each.change.abandon();
    return {};
}

change_surroundings group_supervisor::surroundingsOf(const database_id &database,
                                                     const supervision_surroundings &around) const
{
    change_surroundings here;
    here.fence = around.fence;
    std::ranges::copy_if(around.servers, std::back_inserter(here.members),
                         [&](const server_entry &entry) { return entry.database == database; });
    if (const auto *view = around.ledger.find(database)) {
        here.view = *view;
        here.allReleased = around.released(database, view->revision);
    }
    here.synchronousReplicas = around.synchronousReplicas(database);
    here.earliest = around.earliest;
    here.latest = around.latest;
    here.storeReachable = around.storeReachable;
    return here;
}

change_reason group_supervisor::reasonFor(const database_id &database, watched &state,
                                          const change_surroundings &here,
                                          const supervision_surroundings &around,
                                          change_outputs &outputs, time_point now) const
{
    if (!here.view)
        return here.members.empty() ? change_reason::none : change_reason::adoption;
    if (here.view->phase != view_phase::steady)
        return change_reason::resumption;
    const auto primary = std::ranges::find(here.members, here.view->primary, &server_entry::id);
    const bool hasOther = std::ranges::any_of(here.members, [&](const server_entry &entry) {
        return entry.id != here.view->primary && entry.state == server_state::ready;
    });
    if (!hasOther)
        return change_reason::none;
    if (primary != here.members.end() && primary->state == server_state::draining)
        return change_reason::leaving;
    const auto votes = around.votes(database);
    const auto partOf = [this](std::size_t instances) {
        return static_cast<std::size_t>(
                std::ceil(static_cast<double>(instances) * m_policy.unreachableShare));
    };
    const bool missing = primary == here.members.end();
    const bool demoted = votes.demoted > 0;
    if (votes.unreachable == 0 && !missing && !demoted) {
        state.votedSince.reset();
        state.probeFailed = false;
        state.probe.reset();
        return change_reason::none;
    }
    if (!state.votedSince) {
        state.votedSince = now;
        state.probe.reset();
        state.probeFailed = false;
    }
    if (state.probe && state.probe->role == replication_role::replica)
        return change_reason::demoted;
    if (missing && now - *state.votedSince > m_policy.probeTimeout && !state.probe)
        return change_reason::gone;
    // Without an answer to the supervisor those count that had to do with the primary; with one,
    // only a large part of all instances is a reason: a few may have trouble of their own.
    const auto witnesses = std::max(partOf(votes.answered + votes.unreachable),
                                    std::min(m_policy.leastWitnesses, votes.live));
    const bool missedByAll = state.probeFailed && votes.unreachable + 1 >= witnesses;
    const bool missedByMany =
            votes.unreachable >= std::max<std::size_t>(partOf(votes.live), 1)
            && now - *state.votedSince > m_policy.votesFor + m_policy.probeTimeout;
    if (votes.unreachable > 0 && missedByAll)
        return change_reason::unreachable;
    if (votes.unreachable > 0 && missedByMany)
        return change_reason::missed;
    if (now - state.probed > m_policy.probeInterval) {
        state.probed = now;
        outputs.push_back(
                change_action::ask_member{here.view->primary, member_statement::status{}});
    }
    return change_reason::none;
}

change_outputs group_supervisor::tick(const supervision_surroundings &around, time_point now)
{
    change_outputs outputs;
    if (!m_isHolder)
        return outputs;
    std::set<database_id> databases;
    std::ranges::for_each(around.servers,
                          [&](const server_entry &entry) { databases.insert(entry.database); });
    std::ranges::for_each(around.ledger.views(),
                          [&](const primary_view &view) { databases.insert(view.database); });
    for (const auto &database : databases) {
        auto &state = stateOf(database);
        const auto here = surroundingsOf(database, around);
        append(outputs, state.change.tick(here, now));
        if (state.change.isRunning() || !around.storeReachable)
            continue;
        const auto reason = reasonFor(database, state, here, around, outputs, now);
        if (reason == change_reason::none)
            continue;
        state.votedSince.reset();
        append(outputs, state.change.begin(reason, here, now));
    }
    return outputs;
}

change_outputs group_supervisor::viewWritten(const database_id &database, std::uint64_t revision,
                                             reference_time committed,
                                             const supervision_surroundings &around, time_point now)
{
    return stateOf(database).change.viewWritten(revision, committed,
                                                surroundingsOf(database, around), now);
}

change_outputs group_supervisor::viewConflict(const database_id &database, time_point now)
{
    return stateOf(database).change.viewConflict(now);
}

change_outputs group_supervisor::viewUnknown(const database_id &database, time_point now)
{
    return stateOf(database).change.viewUnknown(now);
}

change_outputs
group_supervisor::memberAnswered(const database_id &database, const server_id &server,
                                 const std::optional<replication_status> &status, time_point asked,
                                 const supervision_surroundings &around, time_point now)
{
    auto &state = stateOf(database);
    const auto *view = around.ledger.find(database);
    if (!state.change.isRunning() && view && view->primary == server) {
        state.probe = status;
        state.probeFailed = !status;
    }
    if (!m_isHolder)
        return {};
    return state.change.memberAnswered(server, status, asked, surroundingsOf(database, around),
                                       now);
}

void group_supervisor::memberEnded(const database_id &database, const server_id &server,
                                   time_point now)
{
    if (m_isHolder)
        stateOf(database).change.memberEnded(server, now);
}

change_outputs group_supervisor::orderAnswered(const database_id &database,
                                               std::optional<bool> accepted,
                                               const supervision_surroundings &around,
                                               time_point now)
{
    return stateOf(database).change.orderAnswered(accepted, surroundingsOf(database, around), now);
}

bool group_supervisor::vouches() const
{
    const auto mayHaveWritten = [](const watched &each) { return each.change.mayHaveWritten(); };
    return std::ranges::none_of(m_watched, mayHaveWritten, mappedOf);
}

bool group_supervisor::isChanging() const
{
    return std::ranges::any_of(
            m_watched, [](const watched &each) { return each.change.isRunning(); }, mappedOf);
}

std::optional<time_point> group_supervisor::expectedEnd(const database_id &database,
                                                        time_point now) const
{
    const auto known = m_watched.find(database);
    return known == m_watched.end() ? std::nullopt : known->second.change.expectedEnd(now);
}

} // namespace sycamorespan
