#ifndef SYCAMORESPAN_OVERLOAD_RECOVERY_RAMP_H
#define SYCAMORESPAN_OVERLOAD_RECOVERY_RAMP_H

#include <algorithm>
#include <cstddef>

namespace sycamorespan {

/** \brief Settings of a recovery_ramp. */
struct recovery_ramp_policy
{
    std::size_t suspectLimit = 1; ///< concurrent requests while the peer is suspected
    std::size_t normalLimit = 64; ///< concurrent requests in the normal state
    int failuresToSuspect = 3; ///< consecutive failures after which the peer is suspected

    auto operator<=>(const recovery_ramp_policy &) const = default;
};

/** \brief Limits the concurrent requests to a peer; reduces the limit after failures and doubles it
 * as the peer recovers.
 *
 * While the peer is suspected, only suspectLimit concurrent requests are sent to it. The limit
 * doubles after as many consecutive successes as the limit allows concurrent requests, so that the
 * load after an outage rises within a few round trips and never exceeds the normal limit.
 */
class recovery_ramp
{
public:
    explicit recovery_ramp(recovery_ramp_policy policy)
        : m_policy(policy)
        , m_limit(policy.normalLimit)
    { }

    /** \brief Counts a request as running if the limit allows it. \returns whether it may be sent
     */
    bool tryStart()
    {
        if (m_runningRequests >= m_limit)
            return false;
        ++m_runningRequests;
        return true;
    }

    /** \brief Records the end of a request that tryStart() allowed. */
    void onSuccess()
    {
        --m_runningRequests;
        m_consecutiveFailures = 0;
        if (m_limit < m_policy.normalLimit && ++m_consecutiveSuccesses >= m_limit) {
            m_consecutiveSuccesses = 0;
            m_limit = std::min(m_limit * 2, m_policy.normalLimit);
        }
    }

    /** \copydoc onSuccess() */
    void onFailure()
    {
        --m_runningRequests;
        m_consecutiveSuccesses = 0;
        if (++m_consecutiveFailures >= m_policy.failuresToSuspect)
            m_limit = m_policy.suspectLimit;
    }

    std::size_t limit() const noexcept { return m_limit; }

private:
    recovery_ramp_policy m_policy;
    std::size_t m_limit;
    std::size_t m_runningRequests = 0;
    std::size_t m_consecutiveSuccesses = 0;
    int m_consecutiveFailures = 0;
};

} // namespace sycamorespan

#endif
