#include "sycamorespan/src/Failover/group_control.h"

#include "sycamorespan/src/Failover/group_view.h"

#include <algorithm>
#include <functional>

namespace sycamorespan {

namespace {

/** \returns the offset up to which \a member holds the log in the term of the status. */
std::optional<std::uint64_t> confirmedOffset(const member_status &status, const server_id &member)
{
    const auto follower = std::ranges::find(status.followers, member, &follower_position::server);
    const bool holdsTerm =
            follower != status.followers.end() && follower->position.term == status.term;
    return holdsTerm ? std::optional(follower->position.offset) : std::nullopt;
}

} // namespace

std::optional<log_position> majorityHeldPosition(const member_status &status,
                                                 const server_id &server,
                                                 const std::vector<server_id> &members)
{
    const bool isMember = std::ranges::find(members, server) != members.end();
    const bool holdsTerm = status.position.term == status.term;
    if (status.role != member_role::primary || !isMember || !holdsTerm)
        return std::nullopt;

    std::vector<std::optional<std::uint64_t>> offsets;
    std::ranges::transform(members, std::back_inserter(offsets), [&](const server_id &member) {
        return member == server ? std::optional(status.position.offset)
                                : confirmedOffset(status, member);
    });
    std::ranges::sort(offsets, std::ranges::greater());
    const auto held = offsets[majorityOf(members.size()) - 1];
    if (!held)
        return std::nullopt;
    return log_position{status.term, *held};
}

} // namespace sycamorespan
