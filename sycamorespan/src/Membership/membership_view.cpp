#include "sycamorespan/src/Membership/membership_view.h"

#include <algorithm>
#include <iterator>

namespace sycamorespan {

membership_view::membership_view(std::vector<member> members,
                                 std::vector<data_centre_id> unresponsiveCentres)
    : m_members(std::move(members))
    , m_unresponsiveCentres(std::move(unresponsiveCentres))
{
    if (!std::ranges::is_sorted(m_members, {}, &member::id))
        std::ranges::sort(m_members, {}, &member::id);
    std::ranges::sort(m_unresponsiveCentres);
}

const member *membership_view::find(const member_id &id) const
{
    const auto found = std::ranges::lower_bound(m_members, id, {}, &member::id);
    return found != m_members.end() && found->id == id ? &*found : nullptr;
}

bool membership_view::takesNewWork(const member_id &id) const
{
    const auto *found = find(id);
    return found != nullptr && available(*found);
}

std::vector<member> membership_view::available(member_kind kind) const
{
    std::vector<member> result;
    std::ranges::copy_if(m_members, std::back_inserter(result),
                         [&](const member &each) { return each.kind == kind && available(each); });
    return result;
}

bool membership_view::available(const member &candidate) const
{
    return candidate.state == member_state::live
           && !std::ranges::binary_search(m_unresponsiveCentres, candidate.dataCentre);
}

} // namespace sycamorespan
