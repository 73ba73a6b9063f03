#include "sycamorespan/src/Failover/supervisor_election.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

supervisor_election::supervisor_election(instance_id self, std::uint64_t incarnation,
                                         const election_policy &policy, time_point now)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_policy(policy)
    , m_startedAt(now)
{ }

bool supervisor_election::isSupervisor() const
{
    return m_newestClaim.fencingToken > 0 && eraOf(m_newestClaim.fencingToken) == m_era
           && m_newestClaim.holder == m_self && m_newestClaim.incarnation == m_incarnation;
}

void supervisor_election::noteNewClaim(time_point now)
{
    m_claimLearntAt = now;
    m_claimSucceedsKnownOne = m_newestClaim.fencingToken > 0;
}

void supervisor_election::onStoreEra(store_era era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_needsRead = true; // the row may have another revision
}

void supervisor_election::onClaim(const supervisor_claim &claim, time_point now)
{
    const bool isOfFormerEra = claim.revision != row_revision{} && claim.revision.era() < m_era;
    if (isOfFormerEra)
        return onHigherFencingToken(claim.holder, claim.fencingToken, now);
    // The store may have lost the newest claim if that is of a former era.
    const bool mayBeLost = eraOf(m_newestClaim.fencingToken) < m_era;
    if (claim.fencingToken < m_newestClaim.fencingToken && !mayBeLost)
        return;
    if (claim.fencingToken > m_newestClaim.fencingToken)
        noteNewClaim(now);
    if (claim.fencingToken >= m_newestClaim.fencingToken)
        m_newestClaim = claim;
    m_rowRevision = claim.revision;
    m_needsRead = false;
}

void supervisor_election::onHigherFencingToken(const instance_id &holder,
                                               fencing_token fencingToken, time_point now)
{
    if (fencingToken <= m_newestClaim.fencingToken)
        return;
    noteNewClaim(now);
    m_newestClaim = {0, holder, 0, fencingToken};
    m_needsRead = true; // the revision of the row is unknown
}

bool supervisor_election::mayClaim(const election_context &context, time_point now) const
{
    if (!context.storeReachable || m_pending || now < m_notBefore || isSupervisor())
        return false;
    const auto rank = std::ranges::find(context.candidates, m_self) - context.candidates.begin();
    const auto turn = m_policy.rankDelay * rank;
    const bool isAlone = context.candidates.size() <= 1;
    if (m_newestClaim.fencingToken == 0)
        return now - m_startedAt > turn;
    if (context.isUnknownToOthers)
        return false;
    if (m_newestClaim.holder == m_self)
        return true; // by a former incarnation or in a former era, so no other supervisor
    const auto timeSinceHeard = context.timeSinceHolderHeard.value_or(now - m_startedAt);
    if (context.holderShuttingDown)
        return rank == 0;
    // A new supervisor may not have been heard yet.
    const auto sinceClaim = now - m_claimLearntAt;
    if (!context.holderStoreReachable && timeSinceHeard < m_policy.holderTimeout)
        return rank == 0
               && std::min(context.storeReachableFor, sinceClaim) > m_policy.reachabilityDelay;
    if (context.heardByOthers)
        return false;
    // Time without access to the store doesn't count: this instance was isolated itself, and may
    // not have received the reports of the others since.
    const auto countedTime = std::min({timeSinceHeard, context.storeReachableFor, sinceClaim});
    const bool isUnheard = m_claimSucceedsKnownOne && timeSinceHeard >= sinceClaim;
    const auto timeout = isUnheard ? m_policy.unheardClaimTimeout : m_policy.holderTimeout;
    return countedTime > timeout + turn + (isAlone ? m_policy.isolatedDelay : 0ms);
}

std::optional<supervisor_claim> supervisor_election::propose(const election_context &context,
                                                             time_point now)
{
    const bool claims = mayClaim(context, now);
    m_awaitsRead = claims && m_needsRead;
    if (!claims || m_needsRead)
        return std::nullopt;
    const bool isFirst =
            eraOf(m_newestClaim.fencingToken) < m_era || m_newestClaim.fencingToken == 0;
    m_pending = supervisor_claim{m_rowRevision, m_self, m_incarnation,
                                 nextToken(m_newestClaim.fencingToken, m_era),
                                 isFirst ? context.latest : m_newestClaim.eraBegan};
    return m_pending;
}

void supervisor_election::onWritten(time_point now)
{
    if (!m_pending)
        return;
    auto written = *std::exchange(m_pending, std::nullopt);
    if (written.fencingToken <= m_newestClaim.fencingToken)
        return;
    noteNewClaim(now);
    written.revision = {};
    m_newestClaim = std::move(written);
    m_needsRead = true;
}

void supervisor_election::onConflict(time_point now)
{
    m_pending.reset();
    m_needsRead = true;
    m_notBefore = now + m_policy.retryDelay;
}

void supervisor_election::onUnknown(time_point now)
{
    onConflict(now);
}

} // namespace sycamorespan
