#ifndef SYCAMORESPAN_FAILOVER_SESSION_CLEANUP_H
#define SYCAMORESPAN_FAILOVER_SESSION_CLEANUP_H

#include "sycamorespan/src/Failover/group_control.h"
#include "sycamorespan/src/Failover/group_view.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorespan {

/** \brief One incarnation of an instance's proxy. */
struct proxy_incarnation
{
    instance_id instance;
    std::string incarnation;

    auto operator<=>(const proxy_incarnation &) const = default;
};

/** \brief Timeouts and intervals of a session_cleanup. */
struct session_cleanup_settings
{
    duration absenceTimeout = 10s; ///< time missing from membership until sessions are ended
    duration callTimeout = 1s;
    duration retryInterval = 2s;
};

/** \brief Ends the sessions that failed proxies left open on the members of one group.
 *
 * The sessions of an incarnation of a proxy are ended after it was missing from membership for the
 * configured time without interruption. This also holds while a newer incarnation runs, because
 * membership lags and may show an older incarnation again. The sessions of other incarnations are
 * never affected, so a proxy that has restarted keeps its sessions.
 */
class session_cleanup
{
public:
    session_cleanup(const session_cleanup_settings &settings, group_configuration group);

    /** \param live  the proxies that are live according to membership
     * \returns calls to members
     */
    std::vector<call_member> setLive(const std::vector<proxy_incarnation> &live, time_point now);
    std::vector<call_member> handle(const call_returned &event, time_point now);
    std::vector<call_member> handle(const time_passed &event, time_point now);

    std::optional<time_point> nextDeadline() const;

private:
    struct pending_end
    {
        std::set<server_id> remaining;
        time_point nextTry;
    };
    using actions = std::vector<call_member>;

    void scheduleEnd(const proxy_incarnation &incarnation, time_point now);
    void endOverdue(time_point now);
    actions callRemaining(time_point now);

    session_cleanup_settings m_settings;
    group_configuration m_group;
    std::set<proxy_incarnation> m_live;
    std::map<proxy_incarnation, time_point> m_missingSince;
    std::map<proxy_incarnation, pending_end> m_pendingEnds;
    std::map<std::uint64_t, proxy_incarnation> m_calls;
    std::uint64_t m_lastNumber = 0;
};

} // namespace sycamorespan

#endif
