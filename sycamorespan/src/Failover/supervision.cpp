#include "sycamorespan/src/Failover/supervision.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sycamorespan {

supervision::supervision(const instance_id &self, std::uint64_t incarnation,
                         const election_policy &election, const supervision_policy &policy,
                         const view_policy &views, time_point now)
    : m_changePolicy(policy.change)
    , m_viewPolicy(views)
    , m_election(self, incarnation, election, now)
    , m_supervisor(policy, views)
{ }

/** Starts or ends supervision after an event that may have changed the newest known claim. */
void supervision::updateRole(change_outputs &outputs)
{
    if (isSupervisor() == m_wasSupervisor)
        return;
    m_wasSupervisor = isSupervisor();
    m_hasReadRows = false;
    m_claimConfirmedAt.reset();
    m_foreignOrdersUntil.reset();
    auto ended = m_supervisor.setSupervisor(m_wasSupervisor);
    outputs.insert(outputs.end(), ended.begin(), ended.end());
    const auto &claim = newestClaim();
    const auto noteEvent = [&](std::string event) {
        outputs.push_back(change_action::log_event{
                {},
                std::move(event),
                {{"fence", std::to_string(claim.fencingToken)}, {"holder", claim.holder.str()}}});
    };
    noteEvent(m_wasSupervisor ? "this instance became the supervisor"
                              : "this instance is no longer the supervisor");
}

void supervision::confirmClaim(reference_time clock)
{
    if (isSupervisor())
        m_claimConfirmedAt = std::max(m_claimConfirmedAt.value_or(clock), clock);
}

/** Finds out from the first read after the claim whether a former supervisor's order may still take
 * effect. Such an order's row was written before the claim, because its write required the former
 * one.
 */
void supervision::checkForeignOrders(const std::vector<primary_view> &views)
{
    if (!isSupervisor() || std::exchange(m_hasReadRows, true))
        return;
    const auto isForeignOrder = [this](const primary_view &view) {
        return view.phase == view_phase::ordered && view.fencingToken != newestClaim().fencingToken;
    };
    if (std::ranges::any_of(views, isForeignOrder) || isFirstOfEra(newestClaim().fencingToken))
        m_foreignOrdersUntil = *m_claimConfirmedAt + m_changePolicy.foreignOrderTimeout;
}

change_outputs supervision::onRowsRead(const supervisor_claim &claim,
                                       const std::vector<primary_view> &views, reference_time clock,
                                       time_point now)
{
    change_outputs outputs;
    m_election.onClaim(claim, now);
    updateRole(outputs);
    if (claim.fencingToken == newestClaim().fencingToken) {
        confirmClaim(clock);
        checkForeignOrders(views);
    }
    return outputs;
}

change_outputs supervision::onStoreEra(store_era era)
{
    change_outputs outputs;
    m_election.onStoreEra(era);
    updateRole(outputs);
    return outputs;
}

change_outputs supervision::onClaimReported(const instance_id &holder, fencing_token fencingToken,
                                            time_point now)
{
    change_outputs outputs;
    m_election.onHigherFencingToken(holder, fencingToken, now);
    updateRole(outputs);
    return outputs;
}

std::optional<supervisor_claim> supervision::propose(const election_context &context,
                                                     time_point now)
{
    return m_election.propose(context, now);
}

change_outputs supervision::onClaimWritten(reference_time committed, time_point now)
{
    change_outputs outputs;
    m_election.onWritten(now);
    updateRole(outputs);
    confirmClaim(committed);
    outputs.push_back(change_action::read_rows{});
    return outputs;
}

/** \returns \a context with what this instance's claim permits. */
supervision_context supervision::withClaim(supervision_context context) const
{
    context.claim = newestClaim();
    context.mayOrder = m_hasReadRows && m_claimConfirmedAt && context.latest
                       && *context.latest <= *m_claimConfirmedAt + m_changePolicy.orderSendTimeout;
    context.foreignOrdersUntil = m_foreignOrdersUntil;
    // Instances whose registration the store has lost are not waited for. By then each of them has
    // registered again, or its views of the former era have expired.
    const auto waitedFor = context.claim.eraBegan + m_viewPolicy.quorumExtension
                           + m_viewPolicy.validity + m_viewPolicy.margin;
    const bool isOfFirstEra = eraOf(context.claim.fencingToken) == 0;
    context.mayLackInstances =
            !isOfFirstEra && (!context.earliest || *context.earliest < waitedFor);
    return context;
}

change_outputs supervision::tick(supervision_context context, time_point now)
{
    // A write of this instance must not replace the row of a former order before it was read.
    if (!m_hasReadRows)
        return {};
    return m_supervisor.tick(withClaim(std::move(context)), now);
}

/** \returns whether a call with this token belongs to the present claim. The answer to a call of a
 * former claim must not count for the changes that were begun since.
 */
bool supervision::isOfOwnClaim(fencing_token fencingToken) const
{
    return isSupervisor() && fencingToken == newestClaim().fencingToken;
}

change_outputs supervision::onViewWritten(const primary_view &written, reference_time committed,
                                          supervision_context context, time_point now)
{
    if (!isOfOwnClaim(written.fencingToken))
        return {};
    confirmClaim(committed);
    return m_supervisor.onViewWritten(written.database, committed, withClaim(std::move(context)),
                                      now);
}

change_outputs supervision::onViewConflict(const primary_view &rejected, time_point now)
{
    return isOfOwnClaim(rejected.fencingToken) ? m_supervisor.onViewConflict(rejected.database, now)
                                               : change_outputs();
}

change_outputs supervision::onViewWriteUnknown(const primary_view &unresolved, time_point now)
{
    return isOfOwnClaim(unresolved.fencingToken)
                   ? m_supervisor.onViewWriteUnknown(unresolved.database, now)
                   : change_outputs();
}

change_outputs supervision::onMemberAnswered(const database_id &database, const server_id &server,
                                             const std::optional<replication_status> &status,
                                             time_point requestedAt, supervision_context context,
                                             time_point now)
{
    return m_supervisor.onMemberAnswered(database, server, status, requestedAt,
                                         withClaim(std::move(context)), now);
}

void supervision::onMemberEnded(const database_id &database, const server_id &server,
                                time_point now)
{
    m_supervisor.onMemberEnded(database, server, now);
}

change_outputs supervision::onOrderAnswered(const change_action::order_promotion &order,
                                            std::optional<bool> accepted,
                                            supervision_context context, time_point now)
{
    if (!isOfOwnClaim(order.fencingToken))
        return {};
    return m_supervisor.onOrderAnswered(order.database, accepted, withClaim(std::move(context)),
                                        now);
}

} // namespace sycamorespan
