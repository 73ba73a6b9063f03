#include "sycamorespan/src/Membership/member.h"

#include <tuple>

namespace sycamorespan {

bool member::newerThan(const member &other) const
{
    return std::tie(boot, version, state) > std::tie(other.boot, other.version, other.state);
}

} // namespace sycamorespan
