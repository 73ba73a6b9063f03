#include "sycamorespan/src/Failover/row_read_schedule.h"

#include <algorithm>

namespace sycamorespan {

row_read_schedule::row_read_schedule(const row_read_policy &policy, double jitterFraction)
    : m_policy(policy)
    , m_jitterFraction(jitterFraction)
    , m_interval(policy.minimumInterval)
{ }

duration row_read_schedule::confirmationTimeout(bool isRelay) const
{
    return (isRelay ? m_policy.relayTimeout : m_policy.timeout)
           + fromSeconds(toSeconds(m_policy.jitter) * m_jitterFraction);
}

bool row_read_schedule::isDue(const row_read_context &context, time_point now) const
{
    if (m_isReading)
        return false;
    if (context.isUrgent || !m_lastStartedAt)
        return true;
    const auto elapsed = now - *m_lastStartedAt;
    if (context.isSupervisor)
        return elapsed > m_policy.supervisorInterval
               || (context.isRequested && elapsed > m_policy.minimumInterval);
    const bool isUnconfirmed = !context.confirmationAge
                               || *context.confirmationAge > confirmationTimeout(context.isRelay);
    return (isUnconfirmed || context.isRequested) && elapsed > m_interval;
}

void row_read_schedule::onStarted(time_point now)
{
    m_isReading = true;
    m_lastStartedAt = now;
}

void row_read_schedule::onAnswered(bool succeeded)
{
    m_isReading = false;
    m_interval = succeeded ? m_policy.minimumInterval
                           : std::min(m_interval * 2, m_policy.maximumInterval);
}

} // namespace sycamorespan
