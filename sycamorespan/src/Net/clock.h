#ifndef SYCAMORESPAN_NET_CLOCK_H
#define SYCAMORESPAN_NET_CLOCK_H

#include "sycamorespan/src/Core/time_types.h"

#include <ctime>

namespace sycamorespan {

/** \returns the current time of the monotonic clock that coordination logic gets as an input. */
inline time_point monotonicNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(sinceStart));
}

/** \returns the current time of a monotonic clock that also advances while the machine is
 * suspended. A deadline that passes during a suspension has therefore passed when the machine
 * resumes, as it has on other machines.
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
