#ifndef SYCAMORESPAN_QUOTA_CLOCK_DRIFT_H
#define SYCAMORESPAN_QUOTA_CLOCK_DRIFT_H

#include "sycamorespan/src/Quota/quota_amounts.h"

namespace sycamorespan {

/** \brief Bound on the rate error of a monotonic clock.
 *
 * In one second of true time, the clock of an instance advances by (1 - bound) to (1 + bound)
 * seconds.
 */
struct clock_drift
{
    std::int64_t partsPerMillion = 1'000;

    auto operator<=>(const clock_drift &) const = default;

    /** \returns a lower bound on the true time that passed while a clock measured \a measured. */
    duration minElapsed(duration measured) const;

    /** \returns a lower bound on the tokens earned in true time when \a measured were earned by a
     * clock.
     */
    token_amount minEarned(token_amount measured) const;

    /** \returns how long the holder of a lease may use it, on its own clock, when the grantor waits
     * for \a leaseTime on its clock before it grants the same lease again.
     */
    duration usableLeaseTime(duration leaseTime) const;
};

} // namespace sycamorespan

#endif
