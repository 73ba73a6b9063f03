#include "sycamorespan/src/Failover/group_view.h"

#include <algorithm>

namespace sycamorespan {

const group_member *findMember(const std::vector<group_member> &members, const server_id &server)
{
    const auto found = std::ranges::find(members, server, &group_member::server);
    return found == members.end() ? nullptr : &*found;
}

bool supersedes(const group_view &offered, const group_view &current)
{
    return offered.term > current.term;
}

} // namespace sycamorespan
