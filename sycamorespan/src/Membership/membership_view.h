#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_VIEW_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_VIEW_H

#include "sycamorespan/src/Membership/member.h"

#include <vector>

namespace sycamorespan {

/** \brief Immutable list of all members, ordered by identifier. */
class membership_view
{
public:
    membership_view() = default;
    /** \param members        one record for each member, in any order
     *  \param silentCentres  data centres from which nothing is heard
     */
    membership_view(std::vector<member> members, std::vector<data_centre_id> silentCentres);

    const std::vector<member> &members() const { return m_members; }
    const std::vector<data_centre_id> &silentDataCentres() const { return m_silentCentres; }

    /** \returns the member's record, or nullptr. */
    const member *find(const member_id &id) const;

    /** \returns whether the member may get new work: live, and its data centre is heard from. */
    bool takesNewWork(const member_id &id) const;

    /** \returns the members of a kind that may get new work, ordered by identifier. */
    std::vector<member> available(member_kind kind) const;

    bool operator==(const membership_view &) const = default;

private:
    bool available(const member &of) const;

    std::vector<member> m_members;
    std::vector<data_centre_id> m_silentCentres;
};

} // namespace sycamorespan

#endif
