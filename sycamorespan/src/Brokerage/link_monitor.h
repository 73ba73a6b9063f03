#ifndef SYCAMORESPAN_BROKERAGE_LINK_MONITOR_H
#define SYCAMORESPAN_BROKERAGE_LINK_MONITOR_H

#include "sycamorespan/src/Core/time_types.h"

#include <algorithm>
#include <compare>

namespace sycamorespan {

/** \brief Timeouts of a link to a broker. */
struct link_policy
{
    /** Time without a byte, while an answer is awaited, after which a probe is sent. */
    duration probeInterval = 75ms;
    /** Silence after which nothing more is handed over. */
    duration suspicionTimeout = 200ms;
    /** Silence after which the link is lost. It leaves a read time to be repeated elsewhere. */
    duration lossTimeout = 400ms;
    /** Time without an operation after which the link is closed. */
    duration idleTimeout = 10s;

    auto operator<=>(const link_policy &) const = default;
};

/** \brief Decides when the link to a broker is probed, suspected, lost and closed.
 *
 * Load pattern: a broker's process is frozen, or its machine vanishes without a reset, while it
 * runs statements. A frozen process still acknowledges bytes, so that TCP does not detect it.
 */
class link_monitor
{
public:
    enum class step { none, probe, lose, close };

    link_monitor(const link_policy &policy, time_point now)
        : m_policy(policy)
        , m_usedAt(now)
        , m_receivedAt(now)
    { }

    /** \brief Records that a statement was sent.
     * \param awaitsAnswer  whether an earlier one is unanswered
     */
    void onSent(bool awaitsAnswer, time_point now)
    {
        m_usedAt = now;
        if (!awaitsAnswer)
            m_receivedAt = now; // silence counts from the first unanswered statement
    }

    /** \brief Records that bytes arrived. */
    void onReceived(time_point now) { m_receivedAt = now; }

    /** \returns whether the other side has been silent for too long to hand more over.
     * \param awaitsAnswer  whether a statement or the first message is unanswered
     */
    bool isSuspected(bool awaitsAnswer, time_point now) const
    {
        return awaitsAnswer && now - m_receivedAt > m_policy.suspicionTimeout;
    }

    /** \returns what is to be done now. Must be called at least every probe interval.
     * \param awaitsAnswer  whether a statement or the first message is unanswered
     * \param isUsed        whether an operation is open
     */
    step next(bool awaitsAnswer, bool isUsed, time_point now)
    {
        if (awaitsAnswer) {
            if (now - m_receivedAt > m_policy.lossTimeout)
                return step::lose;
            if (now - std::max(m_receivedAt, m_probedAt) < m_policy.probeInterval)
                return step::none;
            m_probedAt = now;
            return step::probe;
        }
        return !isUsed && now - m_usedAt > m_policy.idleTimeout ? step::close : step::none;
    }

private:
    link_policy m_policy;
    time_point m_usedAt; ///< when the last statement was sent
    time_point m_receivedAt; ///< since when the other side has been silent
    time_point m_probedAt;
};

} // namespace sycamorespan

#endif
