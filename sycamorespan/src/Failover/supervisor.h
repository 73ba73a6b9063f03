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

/** \brief Settings of a supervisor. */
struct supervisor_settings
{
    failure_detector_settings detector;
    primary_change_settings change;
    /** Number of live instances that watch a database. */
    std::size_t watcherCount = 3;
    /** Delay, for each place in the order of watchers, before a watcher acts on a suspicion. */
    duration takeoverDelay = 1s;
    duration standbyProbeInterval = 1s; ///< probe interval of watchers other than the first
    duration upkeepInterval = 1s; ///< interval of status queries to members that aren't primary
    duration standbyUpkeepInterval = 5s; ///< upkeep interval of watchers other than the first
    duration minimumBackoff = 50ms; ///< pause after an abandoned attempt; doubles, with jitter
    duration maximumBackoff = 2s; ///< longest pause after repeatedly abandoned attempts
    /** Time for which a member may be fenced in a higher term than the primary's before the group
     * is moved to a new term.
     */
    duration strandedTimeout = 5s;
};

/** \brief An instance that runs an agent. */
struct agent_instance
{
    instance_id instance;
    data_centre_id dataCentre;

    auto operator<=>(const agent_instance &) const = default;
};

/** \brief Selects the agents that watch \a database, in order of precedence.
 *
 * Agents are ordered by rendezvous hashing. The first agent of each data centre precedes all second
 * ones, so that the watchers are in different data centres if there are enough.
 * \param count  number of watchers to select
 */
std::vector<instance_id> watchersOf(const database_id &database,
                                    const std::vector<agent_instance> &agents, std::size_t count);

/** \brief Event: the set of live agents according to membership. */
struct instances_changed
{
    std::vector<agent_instance> live;

    bool operator==(const instances_changed &) const = default;
};

/** \brief Event: a proxy got no answer from the primary. */
struct suspicion_reported
{
    server_id server;
    term_number term = 0;

    auto operator<=>(const suspicion_reported &) const = default;
};

using supervisor_event = std::variant<call_returned, observer_report, instances_changed,
                                      suspicion_reported, view_learned, time_passed>;

/** \brief Action: pass the view to the proxies, the peers and the view_publisher. */
struct publish_view
{
    group_view view;

    bool operator==(const publish_view &) const = default;
};

/** \brief State of a supervisor. */
enum class supervisor_state {
    standby, ///< other instances watch this database
    watching, ///< watches the primary
    waiting, ///< suspects the primary; waits for an earlier watcher or for the end of a backoff
    changing, ///< runs an attempt to change the primary
};

/** \brief Action: log a change of the supervisor's state. */
struct log_state
{
    supervisor_state state = supervisor_state::standby;
    std::string reason;

    auto operator<=>(const log_state &) const = default;
};

using supervisor_action = std::variant<call_member, query_observers, publish_view, log_state>;

/** \brief Maintains the primary of one database's group: finds it, replaces it when it fails, and
 * makes the other members follow it.
 *
 * Every agent has one supervisor for each database. Only the few live instances that watchersOf()
 * selects are active. There is no lease, so that any number of them may act at the same time.
 * \sa primary_change for why this is safe
 */
class supervisor
{
public:
    /** \param settings  intervals
     * \param group  the configured members
     * \param self  this agent's instance
     * \param boot  unique to this incarnation of the agent; part of every token
     * \param dataCentre  data centre of this agent
     * \param random  source of the backoff's jitter and of the last part of every token, which
     * makes the tokens of two objects of one incarnation different
     */
    supervisor(const supervisor_settings &settings, group_configuration group, instance_id self,
               std::string boot, data_centre_id dataCentre, random_source random);

    std::vector<supervisor_action> handle(const supervisor_event &event, time_point now);
    std::optional<time_point> nextDeadline() const;

    supervisor_state state() const { return m_state; }
    const std::optional<group_view> &view() const { return m_view; }

private:
    using actions = std::vector<supervisor_action>;

    void onEvent(const call_returned &event, time_point now, actions &out);
    void onEvent(const observer_report &event, time_point now, actions &out);
    void onEvent(const instances_changed &event, time_point now, actions &out);
    void onEvent(const suspicion_reported &event, time_point now, actions &out);
    void onEvent(const view_learned &event, time_point now, actions &out);
    void onEvent(const time_passed &event, time_point now, actions &out);

    void enterState(supervisor_state state, std::string reason, actions &out);
    void setRank(std::optional<std::size_t> rank, time_point now, actions &out);
    void startWatching(const group_view &view, time_point now, actions &out);
    void adoptView(const group_view &view, time_point now, actions &out);
    void scheduleChange(change_request request, time_point when);
    void suspect(suspicion_cause cause, time_point now, actions &out);
    void startChange(time_point now, actions &out);

    void forward(const std::vector<failure_detector_action> &from, time_point now, actions &out);
    void forward(const std::vector<primary_change_action> &from, time_point now, actions &out);
    void onChangeResult(const change_completed &result, time_point now, actions &out);
    void onChangeResult(const change_unnecessary &result, time_point now, actions &out);
    void onChangeResult(const primary_unresponsive &result, time_point now, actions &out);
    void onChangeResult(const change_abandoned &result, time_point now, actions &out);

    duration upkeepInterval() const;
    void queryMembers(time_point now, actions &out);
    void onMemberStatus(const server_id &server, const member_status &status, time_point now,
                        actions &out);
    void onStrandedMember(const server_id &server, time_point now);
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
    std::uint64_t m_lastUpkeepCall = 0;
    std::optional<time_point> m_changeAt;
    std::optional<time_point> m_nextUpkeep;
    std::map<server_id, time_point> m_strandedSince;
    unsigned m_consecutiveAbandoned = 0;
};

} // namespace sycamorespan

#endif
