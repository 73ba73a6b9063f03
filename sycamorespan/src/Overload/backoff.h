#ifndef SYCAMORESPAN_OVERLOAD_BACKOFF_H
#define SYCAMORESPAN_OVERLOAD_BACKOFF_H

#include <algorithm>
#include <utility>

#include "sycamorespan/src/Core/random_source.h"
#include "sycamorespan/src/Core/time_types.h"

namespace sycamorespan {

/** \brief Bounds of the delays of an exponential backoff. */
struct backoff_policy
{
    duration firstUpperBound = 50ms; ///< upper bound of the first delay
    duration maxUpperBound = 5s; ///< greatest upper bound of a delay

    auto operator<=>(const backoff_policy &) const = default;
};

/** \brief Exponential backoff with jitter.
 *
 * Each delay is drawn uniformly between half of an upper bound and the upper bound, which doubles
 * with each delay. Thus clients that fail at the same time retry at times spread over half of the
 * upper bound. For a client that sends requests periodically, the first upper bound should not be
 * smaller than the period, so that an outage doesn't increase its request rate.
 */
class backoff
{
public:
    backoff(backoff_policy policy, random_source random)
        : m_policy(policy)
        , m_random(std::move(random))
        , m_upperBound(policy.firstUpperBound)
    { }

    /** \returns the delay before the next attempt. */
    duration next()
    {
        const double half = toSeconds(m_upperBound) / 2;
        const duration delay = fromSeconds(half + half * uniformUnit(m_random));
        m_upperBound = std::min(m_upperBound * 2, m_policy.maxUpperBound);
        return delay;
    }

    /** \brief Returns to the first upper bound, after a success. */
    void reset() { m_upperBound = m_policy.firstUpperBound; }

private:
    backoff_policy m_policy;
    random_source m_random;
    duration m_upperBound;
};

} // namespace sycamorespan

#endif
