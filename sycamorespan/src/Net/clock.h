#ifndef SYCAMORESPAN_NET_CLOCK_H
#define SYCAMORESPAN_NET_CLOCK_H

#include "sycamorespan/src/Core/time_types.h"

#include <ctime>

namespace sycamorespan {

/** \returns the reading of this process's monotonic clock that decisions are given. */
inline time_point monotonicNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(sinceStart));
}

/** \returns the reading of a monotonic clock that also counts the time for which the machine was
 * suspended, so that a time limit is over after a suspension as it is elsewhere.
 */
inline time_point suspendAwareNow()
{
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec)));
}

} // namespace sycamorespan

#endif
