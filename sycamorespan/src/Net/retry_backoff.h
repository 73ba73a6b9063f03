#ifndef SYCAMORESPAN_NET_RETRY_BACKOFF_H
#define SYCAMORESPAN_NET_RETRY_BACKOFF_H

#include "sycamorespan/Core"

#include <algorithm>
#include <utility>

namespace sycamorespan {

/** \brief Exponential backoff with jitter.
 *
 * The interval doubles with each attempt up to a maximum. Each delay is drawn at random from the
 * upper half of its interval, so that the clients of a server don't all reconnect at the same time.
 */
class retry_backoff
{
public:
    /** \param firstInterval  first interval, the maximum of the first delay
     * \param maxInterval    maximum of every delay
     * \param random         source of randomness for the jitter
     */
    retry_backoff(duration firstInterval, duration maxInterval, random_source random)
        : m_firstInterval(firstInterval)
        , m_maxInterval(maxInterval)
        , m_nextInterval(firstInterval)
        , m_random(std::move(random))
    { }

    /** \returns the delay before the next attempt. */
    duration next()
    {
        const auto interval =
                std::exchange(m_nextInterval, std::min(2 * m_nextInterval, m_maxInterval));
        return fromSeconds(toSeconds(interval) * (1 + uniformUnit(m_random)) / 2);
    }

    /** \brief Returns to the first interval. Called after a successful attempt. */
    void reset() { m_nextInterval = m_firstInterval; }

private:
    duration m_firstInterval;
    duration m_maxInterval;
    duration m_nextInterval;
    random_source m_random;
};

} // namespace sycamorespan

#endif
