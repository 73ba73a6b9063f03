#include "sycamorespan/src/Quota/token_bucket.h"

#include <algorithm>

namespace sycamorespan {

token_bucket::token_bucket(const quota_limit &limit, clock_drift drift, time_point now)
    : m_limit(limit)
    , m_drift(drift)
    , m_refilled(now)
{ }

token_amount token_bucket::room() const
{
    return std::max(token_amount{}, m_limit.burst - m_lent - m_level);
}

void token_bucket::refill(time_point now)
{
    if (now <= m_refilled)
        return;
    const auto elapsed = now - m_refilled;
    m_refilled = now;
    if (m_limit.rate == token_rate{})
        return;
    // A bucket that was not touched for long is full; more would overflow the multiplication.
    const duration longEnough(2 * (room().nanotokens / m_limit.rate.millitokensPerSecond + 1));
    const auto earned = m_drift.certainlyEarned(m_limit.rate * std::min(elapsed, longEnough));
    m_level += std::min(earned, room());
}

void token_bucket::setLimit(const quota_limit &limit, time_point now)
{
    refill(now);
    m_limit = limit;
    m_level = std::clamp(m_level, token_amount{}, std::max(token_amount{}, m_limit.burst - m_lent));
}

void token_bucket::add(token_amount amount)
{
    m_level += std::min(amount, room());
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
    const auto taken = std::min(amount, m_level);
    m_level -= taken;
    m_lent += taken;
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
