#ifndef SYCAMORESPAN_PROGRAMS_NODE_MEMBER_WATCH_H
#define SYCAMORESPAN_PROGRAMS_NODE_MEMBER_WATCH_H

#include "programs/node/event_log.h"
#include "programs/node/node_metrics.h"

#include "sycamorespan/Dispatch"
#include "sycamorespan/src/Membership/fleet_table.h"

#include <nlohmann/json.hpp>

#include <set>

namespace sycamorespan::node {

/** \returns the loads as they are reported to other instances. */
std::vector<server_load_report> reportOf(const std::vector<member_load> &loads);

/** \brief Tells the dispatcher what other instances report of the members, and shows the members'
 * limits in logs and metrics.
 */
class member_watch
{
public:
    member_watch(event_log &log, node_metrics &metrics)
        : m_log(log)
        , m_metrics(metrics)
    { }

    void update(const std::vector<server_entry> &members, const fleet_table &fleet,
                dispatcher &target, time_point now);

private:
    void note(const server_entry &member, const member_capacity &capacity, time_point now);

    event_log &m_log;
    node_metrics &m_metrics;
    std::set<server_id> m_lowered; ///< members with a limit below half of their slots
};

/** \returns the limit and slowness of each member for the state dump. */
nlohmann::json describe(const std::map<server_id, member_capacity> &capacities);

} // namespace sycamorespan::node

#endif
