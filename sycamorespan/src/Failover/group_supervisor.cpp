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

group_supervisor::watched_database &group_supervisor::stateOf(const database_id &database)
{
    const auto known = m_databases.find(database);
    if (known != m_databases.end())
        return known->second;
    return m_databases
            .emplace(database,
                     watched_database(synchronous_change(database, m_policy.change, m_views)))
            .first->second;
}

change_outputs group_supervisor::setSupervisor(bool isSupervisor)
{
    m_isSupervisor = isSupervisor;
    change_outputs outputs;
    if (!isSupervisor)
        for (auto &[database, each] : m_databases)
            append(outputs, each.change.abandon());
    return outputs;
}

change_context group_supervisor::contextOf(const database_id &database,
                                           const supervision_context &context) const
{
    change_context changeContext;
    changeContext.claim = context.claim;
    changeContext.mayOrder = context.mayOrder;
    changeContext.foreignOrdersUntil = context.foreignOrdersUntil;
    std::ranges::copy_if(context.servers, std::back_inserter(changeContext.members),
                         [&](const server_entry &entry) { return entry.database == database; });
    const auto *view = context.ledger.find(database);
    if (view && view->revision.era() == eraOf(context.claim.fencingToken)) {
        changeContext.view = *view;
        changeContext.allReleased =
                !context.mayLackInstances && context.viewsReleased(database, view->revision);
        changeContext.quorumReleased = context.viewsReleasedByQuorum(database, view->revision);
    } else {
        const auto row = context.formerRow ? context.formerRow(database) : std::nullopt;
        if (row)
            changeContext.replacedRevision = row->revision;
        changeContext.formerView =
                view && (!row || view->term >= row->term) ? std::optional(*view) : row;
    }
    changeContext.synchronousReplicas = context.synchronousReplicas(database);
    changeContext.earliest = context.earliest;
    changeContext.latest = context.latest;
    changeContext.storeReachable = context.storeReachable;
    changeContext.recordedHolders = context.recordedHolders(database);
    changeContext.hasAllMembers = context.hasAllServers;
    return changeContext;
}

change_reason group_supervisor::reasonFor(const database_id &database, watched_database &state,
                                          const change_context &changeContext,
                                          const supervision_context &context,
                                          change_outputs &outputs, time_point now) const
{
    if (!changeContext.view)
        return changeContext.members.empty() ? change_reason::none : change_reason::noView;
    if (changeContext.view->phase != view_phase::steady)
        return change_reason::unfinishedChange;
    const auto primary = std::ranges::find(changeContext.members, changeContext.view->primary,
                                           &server_entry::id);
    const bool hasOther =
            std::ranges::any_of(changeContext.members, [&](const server_entry &entry) {
                return entry.id != changeContext.view->primary && entry.state == server_state::ready
                       && !entry.isEvacuated;
            });
    if (!hasOther)
        return change_reason::none;
    if (primary != changeContext.members.end() && primary->state == server_state::draining)
        return change_reason::draining;
    if (primary != changeContext.members.end() && primary->isEvacuated)
        return change_reason::evacuated;
    const auto reports = context.reports(database);
    const auto fractionOf = [this](std::size_t instances) {
        return static_cast<std::size_t>(
                std::ceil(static_cast<double>(instances) * m_policy.unreachableFraction));
    };
    const bool isRemoved = primary == changeContext.members.end() && changeContext.hasAllMembers;
    const bool demoted = reports.demoted > 0;
    if (reports.unreachable == 0 && !isRemoved && !demoted) {
        state.reportedSince.reset();
        state.probeFailed = false;
        state.probe.reset();
        return change_reason::none;
    }
    if (!state.reportedSince) {
        state.reportedSince = now;
        state.probe.reset();
        state.probeFailed = false;
    }
    if (state.probe && state.probe->role == replication_role::replica)
        return change_reason::demoted;
    if (isRemoved && now - *state.reportedSince > m_policy.probeTimeout && !state.probe)
        return change_reason::removed;
    // If the primary doesn't answer the supervisor, the reports of instances that used the primary
    // recently count. If it does, a large part of all instances must get no answer, because a few
    // instances may have faults of their own.
    const auto requiredReports = std::max(fractionOf(reports.answered + reports.unreachable),
                                          std::min(m_policy.minimumReports, reports.live));
    const bool isUnreachable = state.probeFailed && reports.unreachable + 1 >= requiredReports;
    const bool isPartlyUnreachable =
            reports.unreachable >= std::max<std::size_t>(fractionOf(reports.live), 1)
            && now - *state.reportedSince > m_policy.minimumReportTime + m_policy.probeTimeout;
    if (reports.unreachable > 0 && isUnreachable)
        return change_reason::unreachable;
    if (reports.unreachable > 0 && isPartlyUnreachable)
        return change_reason::partlyUnreachable;
    if (now - state.probedAt > m_policy.probeInterval) {
        state.probedAt = now;
        outputs.push_back(change_action::send_statement{changeContext.view->primary,
                                                        member_statement::status{}});
    }
    return change_reason::none;
}

change_outputs group_supervisor::tick(const supervision_context &context, time_point now)
{
    change_outputs outputs;
    if (!m_isSupervisor)
        return outputs;
    std::set<database_id> databases;
    std::ranges::for_each(context.servers,
                          [&](const server_entry &entry) { databases.insert(entry.database); });
    std::ranges::for_each(context.ledger.views(),
                          [&](const primary_view &view) { databases.insert(view.database); });
    for (const auto &database : databases) {
        auto &state = stateOf(database);
        const auto changeContext = contextOf(database, context);
        append(outputs, state.change.tick(changeContext, now));
        if (state.change.isRunning() || !context.storeReachable)
            continue;
        const auto reason = reasonFor(database, state, changeContext, context, outputs, now);
        if (reason == change_reason::none)
            continue;
        state.reportedSince.reset();
        append(outputs, state.change.begin(reason, changeContext, now));
    }
    return outputs;
}

change_outputs group_supervisor::onViewWritten(const database_id &database,
                                               reference_time committed,
                                               const supervision_context &context, time_point now)
{
    return stateOf(database).change.onViewWritten(committed, contextOf(database, context), now);
}

change_outputs group_supervisor::onViewConflict(const database_id &database, time_point now)
{
    return stateOf(database).change.onViewConflict(now);
}

change_outputs group_supervisor::onViewWriteUnknown(const database_id &database, time_point now)
{
    return stateOf(database).change.onViewWriteUnknown(now);
}

change_outputs group_supervisor::onMemberAnswered(const database_id &database,
                                                  const server_id &server,
                                                  const std::optional<replication_status> &status,
                                                  time_point requestedAt,
                                                  const supervision_context &context,
                                                  time_point now)
{
    auto &state = stateOf(database);
    const auto *view = context.ledger.find(database);
    if (!state.change.isRunning() && view && view->primary == server) {
        state.probe = status;
        state.probeFailed = !status;
    }
    if (!m_isSupervisor)
        return {};
    return state.change.onMemberAnswered(server, status, requestedAt, contextOf(database, context),
                                         now);
}

void group_supervisor::onMemberEnded(const database_id &database, const server_id &server,
                                     time_point now)
{
    if (m_isSupervisor)
        stateOf(database).change.onMemberEnded(server, now);
}

change_outputs group_supervisor::onOrderAnswered(const database_id &database,
                                                 std::optional<bool> accepted,
                                                 const supervision_context &context, time_point now)
{
    return stateOf(database).change.onOrderAnswered(accepted, contextOf(database, context), now);
}

bool group_supervisor::mayAttest() const
{
    const auto mayHaveWritten = [](const watched_database &each) {
        return each.change.mayHaveWritten();
    };
    return std::ranges::none_of(m_databases, mayHaveWritten, mappedOf);
}

bool group_supervisor::isChanging() const
{
    return std::ranges::any_of(
            m_databases, [](const watched_database &each) { return each.change.isRunning(); },
            mappedOf);
}

std::optional<time_point> group_supervisor::expectedEnd(const database_id &database,
                                                        time_point now) const
{
    const auto known = m_databases.find(database);
    return known == m_databases.end() ? std::nullopt : known->second.change.expectedEnd(now);
}

} // namespace sycamorespan
