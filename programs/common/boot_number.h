#ifndef SYCAMORESPAN_PROGRAMS_COMMON_BOOT_NUMBER_H
#define SYCAMORESPAN_PROGRAMS_COMMON_BOOT_NUMBER_H

#include <chrono>
#include <cstdint>

namespace sycamorespan::programs {

/** \brief Makes the number that identifies an incarnation of a process.
 *
 * The number is the system clock in microseconds, so that it is greater than the numbers of all
 * earlier incarnations.
 * \returns the number
 */
inline std::uint64_t newBootNumber()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace sycamorespan::programs

#endif
