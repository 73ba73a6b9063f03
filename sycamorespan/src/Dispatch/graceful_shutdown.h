#ifndef SYCAMORESPAN_DISPATCH_GRACEFUL_SHUTDOWN_H
#define SYCAMORESPAN_DISPATCH_GRACEFUL_SHUTDOWN_H

#include "sycamorespan/src/Core/time_types.h"

#include <algorithm>
#include <cstddef>

namespace sycamorespan {

/** \brief New operations that an instance accepts from callers. */
enum class accepted_work {
    all,
    singleStatements, ///< no new transactions
    none,
};

/** \brief Timing of a graceful shutdown. */
struct shutdown_policy
{
    /** Time until new callers are routed to other instances. The platform probes readiness once a
     * second and routes them elsewhere after two failed probes.
     */
    duration propagationDelay = 2200ms;
    /** Time before the end of the shutdown timeout at which statements in progress are answered
     * with what is known of their outcome. The rest is left for the delivery of answers.
     */
    duration deliveryTime = 500ms;
    /** Time before the end of the shutdown timeout at which the process exits in any case. */
    duration exitReserve = 50ms;
    /** Interval at which sessions are closed. */
    duration closeInterval = 20ms;
    /** Sessions closed in each interval, which is 500 per second. It keeps callers from
     * reconnecting all at once, and is exceeded only if the sessions could not all be closed in
     * time.
     */
    std::size_t sessionsClosedPerInterval = 10;

    auto operator<=>(const shutdown_policy &) const = default;
};

/** \brief Course of a graceful shutdown.
 *
 * For a while nothing changes but readiness, because callers that reconnect would come back. Then
 * idle sessions are closed a few at a time. Transactions have half of the timeout. New operations
 * are accepted for three quarters of it, so that a session which is never idle is not cut off at
 * its end. Statements that have no answer shortly before the end are answered with what is known of
 * their outcome. Times are counted from the request to shut down.
 */
class graceful_shutdown
{
public:
    /** \param timeout  time after which the process is killed */
    graceful_shutdown(const shutdown_policy &policy, duration timeout)
        : m_policy(policy)
        , m_timeout(timeout)
    { }

    auto operator<=>(const graceful_shutdown &) const = default;

    bool closesIdleSessions(duration elapsed) const { return elapsed > closingStart(); }
    bool endsTransactions(duration elapsed) const { return elapsed > m_timeout / 2; }
    bool endsStatements(duration elapsed) const
    {
        return elapsed > m_timeout - std::min(m_policy.deliveryTime, m_timeout / 6);
    }
    bool mustExit(duration elapsed) const { return elapsed > m_timeout - m_policy.exitReserve; }

    accepted_work acceptedWork(duration elapsed) const
    {
        if (elapsed > refusalStart())
            return accepted_work::none;
        return endsTransactions(elapsed) ? accepted_work::singleStatements : accepted_work::all;
    }

    /** \returns how many of \a sessions to close in the present interval, so that all are closed
     * before new operations are refused.
     */
    std::size_t sessionsToClose(std::size_t sessions, duration elapsed) const
    {
        const auto intervals =
                std::max<std::int64_t>((refusalStart() - elapsed) / m_policy.closeInterval, 1);
        const auto required = (sessions + static_cast<std::size_t>(intervals) - 1)
                              / static_cast<std::size_t>(intervals);
        return std::max(m_policy.sessionsClosedPerInterval, required);
    }

private:
    duration closingStart() const { return std::min(m_policy.propagationDelay, m_timeout * 2 / 5); }
    duration refusalStart() const { return m_timeout * 3 / 4; }

    shutdown_policy m_policy;
    duration m_timeout;
};

} // namespace sycamorespan

#endif
