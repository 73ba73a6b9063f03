#ifndef SYCAMORESPAN_FAILOVER_SUPERVISOR_H
#define SYCAMORESPAN_FAILOVER_SUPERVISOR_H

#include "sycamorespan/src/Failover/commit_tracker.h"
#include "sycamorespan/src/Failover/failure_detector.h"
#include "sycamorespan/src/Failover/group_control.h"
#include "sycamorespan/src/Failover/group_view.h"
#include "sycamorespan/src/Failover/primary_change.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

struct supervisor_settings
{
    failure_detector_settings detector;
    primary_change_settings change;
    /** How many live instances watch a database. */
    std::size_t watcherCount = 3;
    /** A watcher that isn't first acts on a suspicion after this, for each place in the order. */
    duration takeoverDelay = 1s;
    duration standbyProbeInterval = 1s; ///< of watchers that aren't first
    duration upkeepInterval = 1s; ///< between looks at the members that aren't primary
    duration standbyUpkeepInterval = 5s; ///< the same of watchers that aren't first
    duration minimumBackoff = 50ms; ///< after an abandoned attempt; doubles, with jitter
    duration maximumBackoff = 2s;
    /** A member fenced in a higher term than the primary's is given a new term after this. */
    duration strandedTime = 5s;
};

/** \brief An instance that runs an agent. */
struct agent_instance
{
    instance_id instance;
    data_centre_id dataCentre;

    auto operator<=>(const agent_instance &) const = default;
};

/** \brief Picks the agents that watch \a database, the first in precedence first.
 *
 * Rendezvous order, with the first agent of each data centre before any second one, so that the
 * watchers are in different data centres where there are enough.
 * \param count  how many are wanted
 */
std::vector<instance_id> watchersOf(const database_id &database,
                                    const std::vector<agent_instance> &agents, std::size_t count);

/** \brief Event: the agents that membership holds for live. */
struct instances_changed
{
    std::vector<agent_instance> live;

    bool operator==(const instances_changed &) const = default;
};

/** \brief Event: a proxy missed an answer of the primary. */
struct suspicion_reported
{
    server_id server;
    term_number term = 0;

    auto operator<=>(const suspicion_reported &) const = default;
};

using supervisor_event = std::variant<call_returned, observer_report, instances_changed,
                                      suspicion_reported, view_learned, time_passed>;

/** \brief Action: hand the view to the proxies, the peers and the view_publisher. */
struct publish_view
{
    group_view view;

    bool operator==(const publish_view &) const = default;
};

enum class supervisor_state {
    standby, ///< other instances watch this database
    watching,
    waiting, ///< suspects the primary; an earlier watcher has precedence, or backs off
    changing,
};

/** \brief Action: write one log line. */
struct log_state
{
    supervisor_state state = supervisor_state::standby;
    std::string reason;

    auto operator<=>(const log_state &) const = default;
};

using supervisor_action = std::variant<call_member, ask_observers, publish_view, log_state>;

/** \brief Keeps one database's group served: finds its primary, replaces it, makes the other
 * members follow.
 *
 * Every agent has one for each database. Only the few live instances that watchersOf() picks
 * do anything; there is no lease, and any number may act at once.
 * \sa primary_change for why that is harmless
 */
class supervisor
{
public:
    /** \param settings  intervals
     * \param group  the configured members
     * \param self  this agent's instance
     * \param boot  unique to this start of the agent; part of every token
     * \param dataCentre  of this agent
     * \param random  for the jitter of the backoff and the last part of every token, which keeps
     *     the tokens of two objects of one start apart
     */
    supervisor(const supervisor_settings &settings, group_configuration group, instance_id self,
               std::string boot, data_centre_id dataCentre, random_source random);

    std::vector<supervisor_action> handle(const supervisor_event &event, time_point now);
    std::optional<time_point> nextDeadline() const;

    supervisor_state state() const { return m_state; }
    const std::optional<group_view> &view() const { return m_view; }

private:
    using actions = std::vector<supervisor_action>;

    void take(const call_returned &event, time_point now, actions &out);
    void take(const observer_report &event, time_point now, actions &out);
    void take(const instances_changed &event, time_point now, actions &out);
    void take(const suspicion_reported &event, time_point now, actions &out);
    void take(const view_learned &event, time_point now, actions &out);
    void take(const time_passed &event, time_point now, actions &out);

    void enter(supervisor_state state, std::string reason, actions &out);
    void setRank(std::optional<std::size_t> rank, time_point now, actions &out);
    void watch(const group_view &view, time_point now, actions &out);
    void adopt(const group_view &view, time_point now, actions &out);
    void scheduleChange(change_request request, time_point when);
    void suspect(suspicion_cause cause, time_point now, actions &out);
    void startChange(time_point now, actions &out);

    void forward(const std::vector<failure_detector_action> &from, time_point now, actions &out);
    void forward(const std::vector<primary_change_action> &from, time_point now, actions &out);
    void finish(const change_completed &result, time_point now, actions &out);
    void finish(const change_unneeded &result, time_point now, actions &out);
    void finish(const primary_unseen &result, time_point now, actions &out);
    void finish(const change_abandoned &result, time_point now, actions &out);

    duration upkeepInterval() const;
    void lookAtMembers(time_point now, actions &out);
    void lookAt(const server_id &server, const member_status &status, time_point now, actions &out);
    void noteStranded(const server_id &server, time_point now);
    call_member upkeepCall(const server_id &server, group_operation operation, time_point now);
    duration nextBackoff();

    supervisor_settings m_settings;
    group_configuration m_group;
    instance_id m_self;
    std::string m_boot;
    data_centre_id m_dataCentre;
    random_source m_random;

    supervisor_state m_state = supervisor_state::standby;
    std::optional<std::size_t> m_rank;
    std::optional<group_view> m_view;
    std::optional<failure_detector> m_detector;
    std::optional<primary_change> m_change;
    change_request m_request;
    term_number m_highestTerm = 0;
    std::uint64_t m_lastSeries = 0;
    std::uint64_t m_lastUpkeep = 0;
    std::optional<time_point> m_changeAt;
    std::optional<time_point> m_nextUpkeep;
    std::map<server_id, time_point> m_strandedSince;
    unsigned m_abandonedInARow = 0;
};

} // namespace sycamorespan

#endif
