#ifndef SYCAMORESPAN_OVERLOAD_BACKOFF_H
#define SYCAMORESPAN_OVERLOAD_BACKOFF_H

#include <algorithm>
#include <utility>

#include "sycamorespan/src/Core/random_source.h"
#include "sycamorespan/src/Core/time_types.h"

namespace sycamorespan {

/** \brief Bounds of an exponential backoff. */
struct backoff_policy
{
    duration shortest = 50ms; ///< upper end of the first delay
    duration longest = 5s; ///< upper end of every later delay

    auto operator<=>(const backoff_policy &) const = default;
};

/** \brief Exponential backoff with jitter.
 *
 * Each delay is drawn uniformly between half of an upper end and the upper end, which doubles.
 * Clients that failed at the same moment come back spread over half of the delay. For a client with
 * a steady period the shortest upper end should not be below the period, so that an outage doesn't
 * raise its rate.
 */
class backoff
{
public:
    backoff(backoff_policy policy, random_source random)
        : m_policy(policy)
        , m_random(std::move(random))
        , m_upperEnd(policy.shortest)
    { }

    /** \returns the delay before the next try. */
    duration next()
    {
        const double half = toSeconds(m_upperEnd) / 2;
        const duration delay = fromSeconds(half + half * uniformUnit(m_random));
        m_upperEnd = std::min(m_upperEnd * 2, m_policy.longest);
        return delay;
    }

    /** \brief Starts over, after a success. */
    void reset() { m_upperEnd = m_policy.shortest; }

private:
    backoff_policy m_policy;
    random_source m_random;
    duration m_upperEnd;
};

} // namespace sycamorespan

#endif
