#ifndef SYCAMORESPAN_PROGRAMS_COMMON_BOOT_NUMBER_H
#define SYCAMORESPAN_PROGRAMS_COMMON_BOOT_NUMBER_H

#include <chrono>
#include <cstdint>

namespace sycamorespan::programs {

/** \returns a number for this run of a process that is greater than that of any run before:
 * microseconds of the system clock.
 */
inline std::uint64_t newBootNumber()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace sycamorespan::programs

#endif
