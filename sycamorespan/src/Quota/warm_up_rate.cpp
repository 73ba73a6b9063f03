#include "sycamorespan/src/Quota/warm_up_rate.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>
#include <cmath>

namespace sycamorespan {

namespace {

/** Fraction of the rate that is given out. */
constexpr double usedFraction = 0.5;

/** Statements per second of each sender. A second's window holds up to two more than that of each:
 * one because of the alignment of the window, and one that is sent together with another.
 */
constexpr double sendersRate = 4;

} // namespace

duration warm_up_shares::intervalOf(double ratePerSecond, std::size_t senders)
{
    constexpr double leastRate = 1e-6; // per second; keeps the interval representable
    return fromSeconds(static_cast<double>(std::max<std::size_t>(senders, 1))
                       / std::max(ratePerSecond * usedFraction, leastRate));
}

std::optional<duration> warm_up_shares::intervalFor(std::string_view member, double ratePerSecond,
                                                    const instance_id &self,
                                                    const std::vector<instance_id> &instances)
{
    const auto wanted = std::floor(ratePerSecond * usedFraction / sendersRate);
    const auto count = static_cast<std::size_t>(std::clamp(
            wanted, 1.0, static_cast<double>(std::max<std::size_t>(instances.size(), 1))));
    const auto order = rendezvousOrder(member, instances);
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    if (std::find(order.begin(), end, self) == end)
        return std::nullopt;
    return intervalOf(ratePerSecond, count);
}

void warm_up_rate::setInterval(std::optional<duration> interval, time_point now)
{
    if (interval && !m_interval)
        m_nextAt = std::max(m_nextAt, now + *interval);
    m_interval = interval;
}

time_point warm_up_rate::dueAfter(std::size_t ahead, time_point now) const
{
    return std::max(m_nextAt, now) + static_cast<duration::rep>(ahead) * *m_interval;
}

void warm_up_rate::onSent(std::size_t count, time_point now)
{
    if (m_interval)
        m_nextAt = std::max(m_nextAt, now) + static_cast<duration::rep>(count) * *m_interval;
}

} // namespace sycamorespan
