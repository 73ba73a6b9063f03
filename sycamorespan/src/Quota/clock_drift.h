#ifndef SYCAMORESPAN_QUOTA_CLOCK_DRIFT_H
#define SYCAMORESPAN_QUOTA_CLOCK_DRIFT_H

#include "sycamorespan/src/Quota/quota_amounts.h"

namespace sycamorespan {

/** \brief Bound on how far the monotonic clocks of two instances run apart.
 *
 * A clock advances between (1 - bound) and (1 + bound) seconds in a second of true time.
 */
struct clock_drift
{
    std::int64_t partsPerMillion = 1'000;

    auto operator<=>(const clock_drift &) const = default;

    /** \returns a time that has certainly passed when a clock shows that \a shown has passed. */
    duration certainlyElapsed(duration shown) const;

    /** \returns tokens that were certainly earned when a clock shows that \a shown were. */
    token_amount certainlyEarned(token_amount shown) const;

    /** \returns how long the holder of a lease may use it, on its own clock, when the grantor waits
     * for \a granted on another clock before it grants again.
     */
    duration usableTime(duration granted) const;
};

} // namespace sycamorespan

#endif
