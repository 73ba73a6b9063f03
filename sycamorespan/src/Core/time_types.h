#ifndef SYCAMORESPAN_CORE_TIME_TYPES_H
#define SYCAMORESPAN_CORE_TIME_TYPES_H

#include <chrono>

namespace sycamorespan {

/** \brief Tag of the monotonic clock of one process.
 *
 * It has no now(), as state machines receive the time with each event.
 */
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true; // NOLINT: name required by the standard
};

/** \brief Time span in microseconds, the resolution of all times in the library. */
using duration = monotonic_clock::duration;

/** \brief Reading of the monotonic clock of one process, in microseconds since an arbitrary start.
 * Readings of different processes can't be compared.
 */
using time_point = monotonic_clock::time_point;

/** \returns \a value as a fractional number of seconds. */
constexpr double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/** \returns \a seconds, truncated to whole microseconds. */
constexpr duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

using namespace std::chrono_literals;

} // namespace sycamorespan

#endif
