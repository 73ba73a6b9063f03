#ifndef SYCAMORESPAN_MEMBERSHIP_SERVER_ROSTER_H
#define SYCAMORESPAN_MEMBERSHIP_SERVER_ROSTER_H

#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Membership/server_entry.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamorespan {

/** \brief Timeouts of a server_roster. */
struct roster_policy
{
    /** Time after a store outage within which every running server has registered again. */
    duration registrationTimeout = 2s;
    duration deliveryMargin = 200ms; ///< allowance for the delivery of an update of the list

    auto operator<=>(const roster_policy &) const = default;
};

/** \brief The list of backend servers in use.
 *
 * An entry that the store removes while it is available is removed at once. During and shortly
 * after a store outage an entry may have expired because its server could not renew it. Such an
 * entry is kept until a running server would have registered again. An entry that expired before
 * the list was first read is not known, so that the list is incomplete until then.
 */
class server_roster
{
public:
    explicit server_roster(const roster_policy &policy)
        : m_policy(policy)
    { }

    /** \brief Handles a read at \a now of all entries in the store. */
    void replace(const std::vector<server_entry> &entries, time_point now);
    /** \brief Handles a new or changed entry. */
    void put(const server_entry &entry);
    /** \brief Handles the removal of the entry of \a server from the store. */
    void remove(const server_id &server, time_point now);

    /** \brief Handles a request to the store that failed or got no answer by \a now. */
    void onStoreUnavailable(time_point now);
    /** \brief Handles the end of a time in which an outage of the store went unnoticed, because the
     * list was not followed. The time before the start of the process is one.
     */
    void onStoreUnobserved(time_point now);
    /** \brief Handles an answer of the store at \a now. */
    void onStoreAnswered(time_point now);

    /** \brief Removes the missing entries whose timeout has passed.
     * \returns whether there were any
     */
    bool tick(time_point now);

    /** \returns whether entries() has changed since the last call. */
    bool takeEntriesChanged() { return std::exchange(m_changed, false); }

    /** \returns whether entries() has changed since the last call in more than the time that is
     * left of a warm-up.
     */
    bool takeListChanged() { return std::exchange(m_listChanged, false); }

    std::vector<server_entry> entries() const;
    /** \returns the ids of the servers that are draining, separated by commas. */
    std::string draining() const;
    /** \returns whether the list has been read at least once. */
    bool isLoaded() const { return m_isLoaded; }
    /** \returns whether the list has every running server. Entries may have expired in an outage
     * that went unnoticed, and the list lacks them until these servers have registered again.
     */
    bool isComplete() const { return m_isLoaded && m_isComplete; }

private:
    struct tracked_entry
    {
        server_entry entry;
        std::optional<time_point> missingSince; ///< set while the store doesn't list the entry
    };

    bool afterOutage(time_point now) const;

    roster_policy m_policy;
    std::map<server_id, tracked_entry> m_entries;
    std::optional<time_point> m_lastOutage; ///< time of the last failed request to the store
    std::optional<time_point> m_storeRecovered; ///< time of the first answer after that
    bool m_isLoaded = false;
    bool m_isComplete = true; ///< whether no server may lack an entry after an unnoticed outage
    bool m_changed = false;
    bool m_listChanged = false;
};

} // namespace sycamorespan

#endif
