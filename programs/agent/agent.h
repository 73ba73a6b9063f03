#ifndef SYCAMORESPAN_PROGRAMS_AGENT_AGENT_H
#define SYCAMORESPAN_PROGRAMS_AGENT_AGENT_H

#include "programs/agent/agent_metrics.h"
#include "programs/agent/configuration_task.h"
#include "programs/agent/instance_list_task.h"
#include "programs/agent/link_server_task.h"
#include "programs/agent/peer_task.h"
#include "programs/agent/proxy_link_task.h"
#include "programs/agent/quota_relay_task.h"
#include "programs/agent/supervisor_task.h"

#include "sycamorespan/Logging"
#include "sycamorespan/Net"
#include "sycamorespan/Settings"

#include <nlohmann/json_fwd.hpp>

#include <set>
#include <string>

namespace sycamorespan::agent {

/** \brief The control process of an instance.
 *
 * It creates the tasks and routes messages among them.
 */
class agent
{
public:
    /** \throws error when it can't listen on one of its addresses */
    agent(ev::loop_ref loop, const settings::agent_settings &agentSettings,
          const random_source &random);

    /** \brief Starts the graceful shutdown, which stops the event loop at its end. */
    void drain();

    /** \brief Writes the state of all tasks to the log. */
    void logState();

private:
    messages::hello hello() const;
    messages::heartbeat heartbeat();
    link_handlers outboundHandlers();
    link_handlers inboundHandlers();
    nlohmann::json state() const;
    agent_metrics_snapshot metricsSnapshot() const;

    void handleAgentConnected(const process_link &link);
    void handleConnected(const process_link &link);
    void handleReceived(const process_link &link, const messages::message &message);
    void handleDisconnected(const process_link &link);
    void handleConfiguration(const configuration::configuration_holder &holder);
    void handleGroupView(const messages::group_view_update &view);
    void queryObservers(const messages::suspicion_query &query);
    void updateAgents();
    void handleFreshnessConfirmed(time_point asOf);
    void handleInstances(const instance_list &list);
    void checkDrainFinished();

    ev::loop_ref m_loop;
    settings::agent_settings m_settings;
    std::string m_incarnation;
    std::set<endpoint> m_seedPeers;
    std::uint64_t m_heartbeatSequence = 0;
    messages::process_state m_state = messages::process_state::live;
    time_point m_drainStart;
    logger m_log;

    http_client m_platform;
    table_service_client m_table;
    object_store_client m_objects;
    instance_list_client m_instanceList;

    proxy_link_task m_proxies;
    quota_relay_task m_quota;
    peer_task m_peers;
    link_server_task m_server;
    supervisor_task m_supervisors;
    configuration_task m_configuration;
    instance_list_task m_instances;
    admin_server m_admin;
    loop_timer m_drainTimer;
};

} // namespace sycamorespan::agent

#endif
