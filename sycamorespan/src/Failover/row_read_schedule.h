#ifndef SYCAMORESPAN_FAILOVER_ROW_READ_SCHEDULE_H
#define SYCAMORESPAN_FAILOVER_ROW_READ_SCHEDULE_H

#include "sycamorespan/src/Core/time_types.h"

#include <compare>
#include <optional>

namespace sycamorespan {

/** \brief Intervals and timeouts of a row_read_schedule. */
struct row_read_policy
{
    /** Interval at which the supervisor confirms the views for all instances: a quarter of a view's
     * validity.
     */
    duration supervisorInterval = 600ms;
    /** Age of the last known confirmation after which a relay reads the rows. */
    duration relayTimeout = 1300ms;
    /** The same for the other instances. Until then the reads of their relays have reached them. */
    duration timeout = 1800ms;
    /** Largest additional delay. The delay is a random part of it, so that the instances of a large
     * fleet do not read at the same time.
     */
    duration jitter = 300ms;
    /** Minimum time between two reads other than the regular ones of the supervisor. It doubles
     * with each read in a row that has failed.
     */
    duration minimumInterval = 400ms;
    duration maximumInterval = 1s;

    auto operator<=>(const row_read_policy &) const = default;
};

/** \brief What an instance knows when it decides whether to read the rows. */
struct row_read_context
{
    bool isSupervisor = false;
    bool isRelay = false; ///< passes on reports of its data centre
    bool isRequested = false; ///< the content of the rows is needed, whatever its age
    bool isUrgent = false; ///< a change of a primary waits for it
    /** Age of the oldest confirmation of a view; nothing if there was none. */
    std::optional<duration> confirmationAge;

    auto operator<=>(const row_read_context &) const = default;
};

/** \brief Decides when an instance reads the rows of views, claims and instances from the store.
 *
 * Load pattern: the store is down or turns a part of a large fleet away, or the supervisor is lost.
 * If every instance read the rows by itself and retried at a fixed interval, the calls would grow
 * with the fleet, and would delay the ones that end the outage. The supervisor reads for all; if
 * its confirmations stop, the relays of each data centre read for the instances there.
 */
class row_read_schedule
{
public:
    /** \param jitterFraction  place of this instance in the jitter, from 0 to 1 */
    row_read_schedule(const row_read_policy &policy, double jitterFraction);

    /** \returns whether the rows are to be read now. */
    bool isDue(const row_read_context &context, time_point now) const;

    bool isReading() const { return m_isReading; }
    void onStarted(time_point now);
    void onAnswered(bool succeeded);
    /** \brief Lets the next read begin at once. */
    void resetInterval() { m_lastStartedAt.reset(); }
    /** \returns the age of a confirmation after which this instance reads the rows. */
    duration confirmationTimeout(bool isRelay) const;

private:
    row_read_policy m_policy;
    double m_jitterFraction;
    std::optional<time_point> m_lastStartedAt;
    bool m_isReading = false;
    duration m_interval;
};

} // namespace sycamorespan

#endif
