#ifndef SYCAMORESPAN_NET_RETRY_BACKOFF_H
#define SYCAMORESPAN_NET_RETRY_BACKOFF_H

#include "sycamorespan/Core"

#include <algorithm>
#include <utility>

namespace sycamorespan {

/** \brief Waits between attempts, doubling up to a bound, each drawn from the upper half of its
 * interval, so that many clients of one server don't come back together.
 */
class retry_backoff
{
public:
    /** \param first   longest first wait
     * \param longest  bound on every wait
     * \param random   source of the jitter
     */
    retry_backoff(duration first, duration longest, random_source random)
        : m_first(first)
        , m_longest(longest)
        , m_next(first)
        , m_random(std::move(random))
    { }

    /** \returns how long to wait before the next attempt. */
    duration next()
    {
        const auto interval = std::exchange(m_next, std::min(2 * m_next, m_longest));
        return fromSeconds(toSeconds(interval) * (1 + uniformUnit(m_random)) / 2);
    }

    /** \brief Begins anew, after a success. */
    void reset() { m_next = m_first; }

private:
    duration m_first;
    duration m_longest;
    duration m_next;
    random_source m_random;
};

} // namespace sycamorespan

#endif
