#ifndef SYCAMORESPAN_NET_CLOCK_H
#define SYCAMORESPAN_NET_CLOCK_H

#include "sycamorespan/src/Core/time_types.h"

namespace sycamorespan {

/** \returns the reading of this process's monotonic clock that decisions are given. */
inline time_point monotonicNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(sinceStart));
}

} // namespace sycamorespan

#endif
