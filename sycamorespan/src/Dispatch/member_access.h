#ifndef SYCAMORESPAN_DISPATCH_MEMBER_ACCESS_H
#define SYCAMORESPAN_DISPATCH_MEMBER_ACCESS_H

#include "sycamorespan/src/Configuration/service_directory.h"
#include "sycamorespan/src/Membership/evacuation_list.h"
#include "sycamorespan/src/Membership/server_entry.h"
#include "sycamorespan/src/Quota/warm_up_rate.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief Periods of a member_access. */
struct access_policy
{
    /** Time for which members of an evacuated data centre still get statements, in which their
     * primaries are replaced. Half of the time by which nothing may be sent there any more.
     */
    duration evacuatedUsePeriod = 2500ms;
    /** Time after the end of an evacuation over which the reads of a member rise to their usual
     * number.
     */
    duration returnPeriod = 5s;

    /** \param timeout  from the request of an evacuation to the last statement sent there, half of
     * which is left for the request to reach this instance
     */
    static access_policy forTimeout(duration timeout) { return {timeout / 2, timeout}; }

    auto operator<=>(const access_policy &) const = default;
};

/** \brief Which members this instance may send statements to, and how often: homes, evacuations and
 * the warm-up of members that have just started.
 */
class member_access
{
public:
    explicit member_access(const access_policy &policy)
        : m_policy(policy)
    { }

    /** \param areas  area of each data centre; the members of others have no area */
    void setAreas(std::map<data_centre_id, area_id> areas) { m_areas = std::move(areas); }
    /** \brief Replaces the entries of all members. */
    void setServers(const std::vector<server_entry> &entries, time_point now);
    /** \brief Replaces the evacuations. The time of each begins when it is heard of; it has passed
     * if the evacuation was in force before this instance started.
     */
    void setEvacuations(const evacuation_list &evacuations, time_point now);
    void setLimits(const std::map<database_id, database_limits> &limits);
    /** \brief Sets the share of this instance in the warm-up rate of members.
     * \param intervalOf  interval between its statements to a member; nothing if it has no share
     */
    template<typename IntervalOf>
    void setShares(IntervalOf intervalOf, time_point now)
    {
        for (auto &[id, each] : m_members)
            if (isCold(each, now))
                each.rate.setInterval(intervalOf(each.entry, warmUpRateOf(each)), now);
    }

    /** \returns whether no member is restricted other than by homes. */
    bool isUnrestricted(time_point now) const { return now >= m_restrictedUntil; }
    /** \returns whether the homes, of which an empty list is no restriction, have the data centre.
     */
    bool isHome(const std::set<area_id> &homes, const data_centre_id &dataCentre) const;
    /** \returns whether the member gets no statements because its data centre is evacuated. */
    bool isEvacuated(const server_id &server, time_point now) const;
    /** \returns the members whose open transactions must end now. */
    std::vector<server_id> evacuatedServers(time_point now) const;
    /** \returns whether the member is slow after its start and its database has a warm-up rate. */
    bool isCold(const server_id &server, time_point now) const;
    /** \returns whether the warm-up rate of the member allows a statement. */
    bool maySend(const server_id &server, time_point now) const;
    /** \returns when it allows the statement after \a ahead others; the end of the warm-up if this
     * instance has no share in it.
     */
    time_point dueAfter(const server_id &server, std::size_t ahead, time_point now) const;
    bool hasShare(const server_id &server) const;
    void onSent(const server_id &server, std::size_t count, time_point now);
    /** \returns whether some member may get only a part of its reads. */
    bool hasReturning(time_point now) const { return now < m_returnedUntil; }
    /** \returns whether a read should run elsewhere, because the evacuation of the member has ended
     * so recently that it gets only a part of its reads.
     * \param request  id of the request, which decides on the part that it belongs to
     */
    bool isReturning(const server_id &server, std::string_view request, time_point now) const;

private:
    struct known_member
    {
        server_entry entry;
        time_point coldUntil;
        std::optional<time_point> startedAt; ///< when a restart of the member was noticed
        warm_up_rate rate;
    };

    /** Of a data centre, whose members come and go. */
    struct evacuation_state
    {
        std::optional<time_point> since; ///< set while it is evacuated
        std::optional<time_point> returnedAt; ///< when its last evacuation ended
    };

    const known_member *find(const server_id &server) const;
    const evacuation_state *evacuationOf(const known_member &member) const;
    double warmUpRateOf(const known_member &member) const;
    bool isCold(const known_member &member, time_point now) const;
    time_point coldUntil(const known_member &member) const;
    void updateRestrictions();

    access_policy m_policy;
    std::map<data_centre_id, area_id> m_areas;
    std::map<database_id, database_limits> m_limits;
    std::map<server_id, known_member> m_members;
    std::map<data_centre_id, evacuation_state> m_evacuations;
    bool m_hasServers = false;
    time_point m_restrictedUntil; ///< until which a member may be evacuated or cold
    time_point m_returnedUntil; ///< until which a member may get only a part of its reads
};

} // namespace sycamorespan

#endif
