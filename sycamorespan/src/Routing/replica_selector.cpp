#include "sycamorespan/src/Routing/replica_selector.h"

#include <algorithm>

#include "sycamorespan/src/Core/rendezvous_hash.h"

namespace sycamorespan {
namespace {

/** \returns the expected wait for one of the member's slots. */
duration queueingDelay(const member_state &member)
{
    if (member.outstanding < member.slots)
        return duration{0};
    const auto ahead = static_cast<duration::rep>(member.outstanding - member.slots + 1);
    const auto slots = static_cast<duration::rep>(std::max<std::size_t>(member.slots, 1));
    return member.serviceTime * ahead / slots;
}

/** \returns the expected time until a replica includes the floor. A replica with staleness s
 * receives a write about s after the primary.
 */
duration expectedCatchUp(const member_report &report, const session_floor &floor, time_point now)
{
    if (report.position >= *floor.position)
        return duration{0};
    return std::max(duration{0}, floor.raisedAt + *report.staleness - now);
}

bool isPreferred(const read_candidate &left, const read_candidate &right, const session_id &session)
{
    if (left.cost != right.cost)
        return left.cost < right.cost;
    return rendezvousWeight(session.str(), left.server.str())
           > rendezvousWeight(session.str(), right.server.str());
}

} // namespace

replica_selector::replica_selector(selection_policy policy)
    : m_policy(policy)
{ }

std::vector<read_candidate>
replica_selector::rank(const routing_view &view, const read_request &request, time_point now) const
{
    std::vector<read_candidate> candidates;
    for (const auto &member : view.members) {
        if (auto found = candidate(view, member, request, now))
            candidates.push_back(std::move(*found));
    }
    const bool hasPrimary =
            std::ranges::find(candidates, true, &read_candidate::primary) != candidates.end();
    if (hasPrimary)
        std::erase_if(candidates, [this](const read_candidate &each) {
            return each.catchUpWait > m_policy.maximumCatchUpWait;
        });
    std::ranges::sort(candidates, [&request](const auto &left, const auto &right) {
        return isPreferred(left, right, request.session);
    });
    return candidates;
}

std::optional<read_candidate> replica_selector::candidate(const routing_view &view,
                                                          const member_state &member,
                                                          const read_request &request,
                                                          time_point now) const
{
    if (!member.accepting)
        return std::nullopt;
    const duration expectedLatency = member.distance + queueingDelay(member);
    if (member.server == view.primary)
        return read_candidate{member.server, true, duration{0},
                              expectedLatency + m_policy.primaryPenalty};
    const bool canBeReplica = member.report && member.report->role == reported_role::replica
                              && member.report->term >= view.term && member.report->staleness;
    if (request.isStrict() || !canBeReplica)
        return std::nullopt;
    if (*member.report->staleness + m_policy.stalenessMargin > request.allowedStaleness)
        return std::nullopt;
    const duration catchUp = expectedCatchUp(*member.report, request.floor, now);
    // The replica also catches up while the request is in transit.
    const duration wait = std::max(duration{0}, catchUp - member.distance / 2);
    return read_candidate{member.server, false, wait, wait + expectedLatency};
}

} // namespace sycamorespan
