#ifndef SYCAMORESPAN_CORE_JSON_INTEGER_H
#define SYCAMORESPAN_CORE_JSON_INTEGER_H

#include "sycamorespan/src/Core/error.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

namespace sycamorespan {

/** \brief Converts a JSON number to an integer. nlohmann::json converts one that is out of range to
 * another number.
 * \throws decode_error when \a value is not a whole number from \a least to \a greatest
 */
template<typename Integer>
Integer toInteger(const nlohmann::json &value, Integer least = std::numeric_limits<Integer>::min(),
                  Integer greatest = std::numeric_limits<Integer>::max())
{
    const auto isInRange = [&](auto number) {
        return std::cmp_greater_equal(number, least) && std::cmp_less_equal(number, greatest);
    };
    if (value.is_number_unsigned()) {
        if (const auto number = value.get<std::uint64_t>(); isInRange(number))
            return static_cast<Integer>(number);
    } else if (value.is_number_integer()) {
        if (const auto number = value.get<std::int64_t>(); isInRange(number))
            return static_cast<Integer>(number);
    } else if (value.is_number_float()) {
        constexpr double largestExactInteger = 9007199254740992.0; // 2^53
        const auto number = value.get<double>();
        const bool isWhole =
                std::abs(number) <= largestExactInteger && std::trunc(number) == number;
        if (isWhole && isInRange(static_cast<std::int64_t>(number)))
            return static_cast<Integer>(number);
    } else {
        throw decode_error("not a number");
    }
    throw decode_error("not a whole number in the allowed range");
}

} // namespace sycamorespan

#endif
