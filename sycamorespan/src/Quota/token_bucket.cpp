#include "sycamorespan/src/Quota/token_bucket.h"

#include <algorithm>

namespace sycamorespan {

token_bucket::token_bucket(const quota_limit &limit, clock_drift drift, time_point now)
    : m_limit(limit)
    , m_drift(drift)
    , m_refilledAt(now)
{ }

token_amount token_bucket::freeCapacity() const
{
    return std::max(token_amount{}, m_limit.burst - m_lent - m_level);
}

void token_bucket::refill(time_point now)
{
    if (now <= m_refilledAt)
        return;
    const auto elapsed = now - m_refilledAt;
    m_refilledAt = now;
    if (m_limit.rate == token_rate{})
        return;
    // The elapsed time is limited to more than it takes to fill the bucket: a longer time would
    // overflow the multiplication.
    const duration fillTime(2
                            * (freeCapacity().nanotokens / m_limit.rate.millitokensPerSecond + 1));
    const auto earned = m_drift.minEarned(m_limit.rate * std::min(elapsed, fillTime));
    m_level += std::min(earned, freeCapacity());
}

void token_bucket::setLimit(const quota_limit &limit, time_point now)
{
    refill(now);
    m_limit = limit;
    m_level = std::clamp(m_level, token_amount{}, std::max(token_amount{}, m_limit.burst - m_lent));
}

void token_bucket::add(token_amount amount)
{
    m_level += std::min(amount, freeCapacity());
}

bool token_bucket::trySpend(token_amount cost)
{
    if (m_level < cost)
        return false;
    m_level -= cost;
    return true;
}

void token_bucket::lend(token_amount amount)
{
    const auto amountLent = std::min(amount, m_level);
    m_level -= amountLent;
    m_lent += amountLent;
}

void token_bucket::settle(token_amount amount, token_amount unspent)
{
    m_lent -= amount;
    add(std::min(amount, unspent));
}

duration token_bucket::timeUntil(token_amount cost) const
{
    if (cost <= m_level)
        return duration::zero();
    if (m_limit.rate == token_rate{} || cost > m_limit.burst)
        return duration::max();
    const auto missing = cost - m_level;
    return duration(missing.nanotokens / m_limit.rate.millitokensPerSecond + 1);
}

} // namespace sycamorespan
