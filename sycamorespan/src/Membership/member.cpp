#include "sycamorespan/src/Membership/member.h"

#include <tuple>

namespace sycamorespan {

bool member::newerThan(const member &other) const
{
    return std::tie(incarnation, version, state)
           > std::tie(other.incarnation, other.version, other.state);
}

} // namespace sycamorespan
