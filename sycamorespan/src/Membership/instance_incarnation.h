#ifndef SYCAMORESPAN_MEMBERSHIP_INSTANCE_INCARNATION_H
#define SYCAMORESPAN_MEMBERSHIP_INSTANCE_INCARNATION_H

#include "sycamorespan/src/Core/identifiers.h"

#include <cstdint>
#include <string>

namespace sycamorespan {

/** \brief One incarnation of an instance's process. */
struct instance_incarnation
{
    instance_id instance;
    /** Number of the incarnation; differs from that of every other one. */
    std::uint64_t incarnation = 0;
    std::string address; ///< "IP:PORT" that receives its reports
    data_centre_id dataCentre;
    /** Processor share of its machine in thousandths of a core. Larger machines get duties first.
     */
    std::uint32_t capacity = 0;

    auto operator<=>(const instance_incarnation &) const = default;
};

/** \returns whether \a left is preferred to \a right for duties. The order is the same on all
 * instances.
 */
inline bool isPreferred(const instance_incarnation &left, const instance_incarnation &right)
{
    return left.capacity != right.capacity ? left.capacity > right.capacity
                                           : left.instance < right.instance;
}

} // namespace sycamorespan

#endif
