#ifndef SYCAMORESPAN_OVERLOAD_RECOVERY_RAMP_H
#define SYCAMORESPAN_OVERLOAD_RECOVERY_RAMP_H

#include <algorithm>
#include <cstddef>

namespace sycamorespan {

/** \brief How the number of concurrent requests rises after an outage. */
struct recovery_ramp_policy
{
    std::size_t firstLimit = 1; ///< concurrent requests while the peer is suspected
    std::size_t fullLimit = 64; ///< concurrent requests in the normal state
    int failuresToSuspect = 3; ///< in a row

    auto operator<=>(const recovery_ramp_policy &) const = default;
};

/** \brief Limits concurrent requests to a peer that failed, and doubles the limit as it recovers.
 *
 * While the peer is suspected, single requests probe it. Each full round of successes doubles the
 * limit, so that the load after an outage rises in a few round trips and never exceeds the normal
 * limit.
 */
class recovery_ramp
{
public:
    explicit recovery_ramp(recovery_ramp_policy policy)
        : m_policy(policy)
        , m_limit(policy.fullLimit)
    { }

    /** \returns whether a request may be sent now; it then counts until it ends. */
    bool tryStart()
    {
        if (m_running >= m_limit)
            return false;
        ++m_running;
        return true;
    }

    /** \brief Ends a request that tryStart() allowed. */
    void onSuccess()
    {
        --m_running;
        m_failures = 0;
        if (m_limit < m_policy.fullLimit && ++m_successes >= m_limit) {
            m_successes = 0;
            m_limit = std::min(m_limit * 2, m_policy.fullLimit);
        }
    }

    /** \copydoc onSuccess() */
    void onFailure()
    {
        --m_running;
        m_successes = 0;
        if (++m_failures >= m_policy.failuresToSuspect)
            m_limit = m_policy.firstLimit;
    }

    std::size_t limit() const noexcept { return m_limit; }

private:
    recovery_ramp_policy m_policy;
    std::size_t m_limit;
    std::size_t m_running = 0;
    std::size_t m_successes = 0;
    int m_failures = 0;
};

} // namespace sycamorespan

#endif
