#ifndef SYCAMORESPAN_PROGRAMS_AGENT_SUPERVISOR_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_SUPERVISOR_TASK_H

#include "programs/agent/group_client.h"
#include "programs/agent/process_link.h"

#include "sycamorespan/Configuration"
#include "sycamorespan/Failover"
#include "sycamorespan/Logging"
#include "sycamorespan/Net"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamorespan::agent {

/** \brief Runs the supervisor, the view_publisher and the session_cleanup of every database. */
class supervisor_task
{
public:
    /** \brief Who this agent is. */
    struct identity
    {
        instance_id instance;
        data_centre_id dataCentre;
        std::string boot;
    };

    /** \brief Where its messages go. */
    struct receivers
    {
        /** A view of a higher term than before, for proxies and other agents. */
        std::function<void(const messages::group_view_update &)> viewChanged;
        /** For one agent of each other data centre. */
        std::function<void(const messages::suspicion_query &)> askObservers;
    };

    /** \param settings  intervals of the supervisors
     * \param table      holds the rows group/DATABASE; outlives this object
     * \param password   of the role on the backend servers
     * \param random     source of jitter
     */
    supervisor_task(ev::loop_ref loop, const supervisor_settings &settings, identity self,
                    const std::string &password, table_service_client &table, receivers outputs,
                    random_source random);
    ~supervisor_task();

    /** \brief Takes the groups of the version in force. */
    void setGroups(const std::map<database_id, configuration::group_entry> &groups);

    /** \brief Takes the other live agents. */
    void setAgents(const std::vector<agent_instance> &live);

    /** \brief Takes the live proxies of the whole fleet. */
    void setProxies(const std::vector<proxy_incarnation> &live);

    void received(const messages::group_view_update &update);
    void received(const messages::suspicion_report &report);
    void received(const process_link &from, const messages::suspicion_query &query);
    void received(const process_link &from, const messages::suspicion_answer &answer);

    /** \returns the views known, for a process that connects. */
    std::vector<messages::group_view_update> views() const;

    /** \returns a dump of the databases' state. */
    nlohmann::json state() const;

private:
    struct supervised_group;

    void handle(supervised_group &group, const supervisor_event &event);
    void handleTimeout(const database_id &database);
    void perform(supervised_group &group, const std::vector<supervisor_action> &actions);
    void perform(supervised_group &group, const std::vector<view_publisher_action> &actions);
    void perform(supervised_group &group, const std::vector<call_member> &calls);
    void call(supervised_group &group, const call_member &request);
    void take(supervised_group &group, const group_view &view);
    void readRow(const database_id &database, std::uint64_t request);
    void writeRow(const database_id &database, const write_group_row &write);
    void handleRow(const database_id &database, std::uint64_t request,
                   const table_service_client::outcome &outcome);
    void schedule(supervised_group &group);

    ev::loop_ref m_loop;
    supervisor_settings m_settings;
    identity m_self;
    table_service_client &m_table;
    receivers m_outputs;
    random_source m_random;
    logger m_log;
    group_client m_members;
    std::vector<agent_instance> m_agents;
    std::vector<proxy_incarnation> m_proxies;
    std::map<database_id, std::unique_ptr<supervised_group>> m_groups;
};

} // namespace sycamorespan::agent

#endif
