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

/** \brief One start of an instance's proxy. */
struct proxy_boot
{
    instance_id instance;
    std::string boot;

    auto operator<=>(const proxy_boot &) const = default;
};

struct session_cleanup_settings
{
    duration absence = 10s; ///< from when membership misses a proxy until its sessions end
    duration callTimeout = 1s;
    duration retryInterval = 2s;
};

/** \brief Ends the sessions that dead proxies left open on the members of one group.
 *
 * A boot of a proxy is ended after it was missing from membership for the stated time without
 * a break, also where a newer boot runs: membership lags, and may show an older boot again. The
 * sessions of another boot are never touched, so a proxy that has restarted keeps its own.
 */
class session_cleanup
{
public:
    session_cleanup(const session_cleanup_settings &settings, group_configuration group);

    /** \param live  the proxies that membership holds for live now
     * \returns calls to members
     */
    std::vector<call_member> setLive(const std::vector<proxy_boot> &live, time_point now);
    std::vector<call_member> handle(const call_returned &event, time_point now);
    std::vector<call_member> handle(const time_passed &event, time_point now);

    std::optional<time_point> nextDeadline() const;

private:
    struct ending
    {
        std::set<server_id> remaining;
        time_point nextTry;
    };
    using actions = std::vector<call_member>;

    void beginEnding(const proxy_boot &boot, time_point now);
    void endOverdue(time_point now);
    actions callRemaining(time_point now);

    session_cleanup_settings m_settings;
    group_configuration m_group;
    std::set<proxy_boot> m_live;
    std::map<proxy_boot, time_point> m_missingSince;
    std::map<proxy_boot, ending> m_ending;
    std::map<std::uint64_t, proxy_boot> m_calls;
    std::uint64_t m_lastNumber = 0;
};

} // namespace sycamorespan

#endif
