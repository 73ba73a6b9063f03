#ifndef SYCAMORESPAN_OVERLOAD_SERVICE_RATE_H
#define SYCAMORESPAN_OVERLOAD_SERVICE_RATE_H

#include "sycamorespan/src/Core/time_types.h"

#include <compare>
#include <cstddef>
#include <optional>

namespace sycamorespan {

/** \brief Settings of a service_rate. */
struct service_rate_policy
{
    std::size_t leastBacklog = 5; ///< waiting requests from which the services show the capacity
    duration samplePeriod = 200ms; ///< time with a backlog of one sample
    double sampleWeight = 0.5; ///< of the latest sample in the moving average
    duration validity = 500ms; ///< time after the last backlog for which the rate is known

    auto operator<=>(const service_rate_policy &) const = default;
};

/** \brief Rate at which waiting requests are served, measured only while others wait. */
class service_rate
{
public:
    explicit service_rate(service_rate_policy policy = {})
        : m_policy(policy)
    { }

    /** \brief Counts a request that was served. */
    void countService()
    {
        if (m_hasBacklog)
            ++m_services;
    }

    /** \brief Sets the number of requests that wait from now on. */
    void setWaiting(std::size_t waiting, time_point now)
    {
        if (m_hasBacklog) {
            m_sampled += now - m_changedAt;
            m_lastBacklogAt = now;
        }
        m_changedAt = now;
        m_hasBacklog = waiting >= m_policy.leastBacklog;
        if (m_sampled < m_policy.samplePeriod)
            return;
        const double sample = static_cast<double>(m_services) / toSeconds(m_sampled);
        const double weight = m_perSecond ? m_policy.sampleWeight : 1;
        m_perSecond = (1 - weight) * m_perSecond.value_or(0) + weight * sample;
        m_services = 0;
        m_sampled = {};
    }

    /** \returns the served requests per second; nothing if it isn't known. */
    std::optional<double> perSecond(time_point now) const
    {
        if (!m_perSecond || now - m_lastBacklogAt > m_policy.validity)
            return std::nullopt;
        return m_perSecond;
    }

private:
    service_rate_policy m_policy;
    bool m_hasBacklog = false;
    std::size_t m_services = 0;
    duration m_sampled{}; ///< time with a backlog since the last sample
    time_point m_changedAt;
    time_point m_lastBacklogAt;
    std::optional<double> m_perSecond;
};

} // namespace sycamorespan

#endif
