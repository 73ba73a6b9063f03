#ifndef SYCAMORESPAN_CORE_LOG_POSITION_H
#define SYCAMORESPAN_CORE_LOG_POSITION_H

#include <compare>
#include <cstdint>
#include <ostream>

namespace sycamorespan {

/** \brief Leadership number of a group's primary; it increases with each change of primary. */
using term_number = std::uint64_t;

/** \brief Position in the log of a group: the term that wrote the entry, and the entry's offset.
 *
 * Positions compare by term first. A <= B implies that the log up to A is a prefix of the log up to
 * B only if a majority of the group held A.
 */
struct log_position
{
    term_number term = 0;
    std::uint64_t offset = 0;

    auto operator<=>(const log_position &) const = default;
};

inline std::ostream &operator<<(std::ostream &stream, const log_position &position)
{
    return stream << position.term << '/' << position.offset;
}

} // namespace sycamorespan

#endif
