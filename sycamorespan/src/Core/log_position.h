#ifndef SYCAMORESPAN_CORE_LOG_POSITION_H
#define SYCAMORESPAN_CORE_LOG_POSITION_H

#include <compare>
#include <cstdint>
#include <ostream>

namespace sycamorespan {

/** \brief Number of a primary's reign over a group; rises with each change of primary. */
using term_number = std::uint64_t;

/** \brief A place in a group's log: the term that wrote the entry, then its offset.
 *
 * Positions compare by term first. Position A is a prefix of position B, A <= B, only if A was
 * held by a majority of the group.
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
