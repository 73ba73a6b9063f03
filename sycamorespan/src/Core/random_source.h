#ifndef SYCAMORESPAN_CORE_RANDOM_SOURCE_H
#define SYCAMORESPAN_CORE_RANDOM_SOURCE_H

#include <cstdint>
#include <functional>

namespace sycamorespan {

/** \brief Source of random bits; state machines receive one in their constructor. */
using random_source = std::function<std::uint64_t()>;

/** \returns a uniformly distributed number in [0, 1), from one call of \a source. */
inline double uniformUnit(const random_source &source)
{
    constexpr double unitsPerOne = 9007199254740992.0; // 2^53, the precision of a double
    return static_cast<double>(source() >> 11U) / unitsPerOne;
}

} // namespace sycamorespan

#endif
