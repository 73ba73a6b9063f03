#ifndef SYCAMORESPAN_MEMBERSHIP_EVACUATION_LIST_H
#define SYCAMORESPAN_MEMBERSHIP_EVACUATION_LIST_H

#include "sycamorespan/src/Core/store_revision.h"
#include "sycamorespan/src/Membership/server_entry.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace sycamorespan {

/** \brief The data centres whose members operators have asked to leave alone.
 *
 * Each change has a revision of the store. An older change, or an older copy of the list, never
 * undoes a newer one, so that copies may arrive late and in any order.
 */
class evacuation_list
{
public:
    /** \brief Handles the complete list as it is in the store. \returns whether the list changed
     * \param knownThrough  revision up to which it includes every change
     */
    bool replace(const std::set<data_centre_id> &evacuated, store_revision knownThrough);
    /** \brief Handles the complete list of another instance. \returns whether the list changed
     * \param knownThrough  revision up to which it includes every change
     * \param revision      revision of its newest change
     */
    bool replace(const std::set<data_centre_id> &evacuated, store_revision knownThrough,
                 store_revision revision);
    /** \brief Handles a request (\a requested), or its withdrawal, at \a revision.
     * \returns whether the list changed
     */
    bool put(const data_centre_id &dataCentre, bool requested, store_revision revision);

    bool contains(const data_centre_id &dataCentre) const;
    /** \returns whether the request was in the first complete list: when it was made is unknown. */
    bool wasFoundAtStart(const data_centre_id &dataCentre) const;
    std::set<data_centre_id> dataCentres() const;
    /** \returns the revision of the newest change; none if none is known. */
    store_revision revision() const { return m_revision; }
    /** \returns the newest revision up to which every change is known. */
    store_revision knownThrough() const { return std::max(m_knownThrough, m_revision); }

    /** \returns \a entries with server_entry::isEvacuated set as the list says. */
    std::vector<server_entry> marked(std::vector<server_entry> entries) const;

private:
    struct change
    {
        bool requested = false;
        store_revision revision;
        bool wasFoundAtStart = false; ///< the request was in the first complete list

        auto operator<=>(const change &) const = default;
    };

    std::map<data_centre_id, change> m_changes; ///< the newest of each data centre
    store_revision m_revision;
    store_revision m_knownThrough; ///< of the complete lists
};

} // namespace sycamorespan

#endif
