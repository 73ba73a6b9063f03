#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_VIEW_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_VIEW_H

#include "sycamorespan/src/Membership/member.h"

#include <vector>

namespace sycamorespan {

/** \brief Immutable snapshot of all members, ordered by identifier. */
class membership_view
{
public:
    membership_view() = default;
    /** \param members              one record for each member, in any order
     *  \param unresponsiveCentres  data centres whose timeout has passed without a message
     */
    membership_view(std::vector<member> members, std::vector<data_centre_id> unresponsiveCentres);

    const std::vector<member> &members() const { return m_members; }
    const std::vector<data_centre_id> &unresponsiveDataCentres() const
    {
        return m_unresponsiveCentres;
    }

    /** \returns the record of the member \a id; nullptr if it is not known. */
    const member *find(const member_id &id) const;

    /** \returns whether the member may get new work: it is live and its data centre responds. */
    bool takesNewWork(const member_id &id) const;

    /** \returns the members of a kind that may get new work, ordered by identifier. */
    std::vector<member> available(member_kind kind) const;

    bool operator==(const membership_view &) const = default;

private:
    bool available(const member &candidate) const;

    std::vector<member> m_members;
    std::vector<data_centre_id> m_unresponsiveCentres;
};

} // namespace sycamorespan

#endif
