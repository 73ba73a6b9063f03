#include "sycamorespan/src/Brokerage/broker_candidates.h"

#include <algorithm>

namespace sycamorespan {

void broker_candidates::setLive(const std::vector<instance_incarnation> &live, time_point now)
{
    if (!m_firstAt && !live.empty())
        m_firstAt = now;
    const bool isDiscovering = m_firstAt && now - *m_firstAt < m_policy.discoveryPeriod;
    const auto settledAt = isDiscovering ? now : now + m_policy.settlingTime;
    std::map<instance_id, candidate> present;
    std::ranges::for_each(live, [&](const instance_incarnation &each) {
        const auto known = m_candidates.find(each.instance);
        const bool isSame =
                known != m_candidates.end() && known->second.run.incarnation == each.incarnation;
        auto entry = isSame ? known->second : candidate{each, settledAt, {}, {}};
        entry.run = each;
        present.emplace(each.instance, std::move(entry));
    });
    m_candidates = std::move(present);
}

void broker_candidates::onLost(const instance_id &instance, time_point now)
{
    const auto known = m_candidates.find(instance);
    if (known == m_candidates.end() || now < known->second.pausedUntil)
        return;
    auto &lost = known->second;
    const bool isRepeated =
            lost.pause > duration::zero() && now - lost.pausedUntil < m_policy.maximumPause;
    lost.pause = isRepeated ? std::min(lost.pause * 2, m_policy.maximumPause) : m_policy.firstPause;
    lost.pausedUntil = now + lost.pause;
}

std::vector<instance_incarnation> broker_candidates::usable(time_point now) const
{
    std::vector<instance_incarnation> settled;
    std::vector<instance_incarnation> all;
    for (const auto &[id, each] : m_candidates) {
        if (now < each.pausedUntil)
            continue;
        all.push_back(each.run);
        if (now >= each.settledAt)
            settled.push_back(each.run);
    }
    return settled.empty() ? all : settled;
}

} // namespace sycamorespan
