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

/** \brief Runs the supervisor, the view_publisher and the session_cleanup of every database.
 *
 * It performs the actions of these state machines and passes the results back to them.
 */
class supervisor_task
{
public:
    /** \brief Identifies this agent and its incarnation. */
    struct identity
    {
        instance_id instance;
        data_centre_id dataCentre;
        std::string incarnation;
    };

    /** \brief Handlers of what the task reports and sends. */
    struct output_handlers
    {
        /** Called with a view of a higher term than before, for proxies and other agents. */
        std::function<void(const messages::group_view_update &)> onViewChanged;
        /** Sends a query to one agent of each other data centre. */
        std::function<void(const messages::suspicion_query &)> queryObservers;
    };

    /** \param settings  intervals of the supervisors
     * \param self       identity of this agent
     * \param password   password of the database role on the backend servers
     * \param table      client of the table with the rows group/DATABASE; must outlive this object
     * \param outputs    handlers of what the task reports and sends
     * \param random     source of jitter
     */
    supervisor_task(ev::loop_ref loop, const supervisor_settings &settings, identity self,
                    const std::string &password, table_service_client &table,
                    output_handlers outputs, random_source random);
    ~supervisor_task();

    /** \brief Sets the groups of the configuration version in force. */
    void setGroups(const std::map<database_id, configuration::group_entry> &groups);

    /** \brief Sets the other live agents. */
    void setAgents(const std::vector<agent_instance> &live);

    /** \brief Sets the live proxies of all instances. */
    void setProxies(const std::vector<proxy_incarnation> &live);

    void handleMessage(const messages::group_view_update &update);
    void handleMessage(const messages::suspicion_report &report);
    void handleMessage(const process_link &from, const messages::suspicion_query &query);
    void handleMessage(const process_link &from, const messages::suspicion_answer &answer);

    /** \returns the known views, which a process is sent when it connects. */
    std::vector<messages::group_view_update> views() const;

    /** \returns the state of every database, for the state dump. */
    nlohmann::json state() const;

private:
    struct supervised_group;

    void handle(supervised_group &group, const supervisor_event &event);
    void handleTimeout(const database_id &database);
    void perform(supervised_group &group, const std::vector<supervisor_action> &actions);
    void perform(supervised_group &group, const std::vector<view_publisher_action> &actions);
    void perform(supervised_group &group, const std::vector<call_member> &calls);
    void callMember(supervised_group &group, const call_member &request);
    void adoptView(supervised_group &group, const group_view &view);
    void readRow(const database_id &database, std::uint64_t request);
    void writeRow(const database_id &database, const write_group_row &write);
    void handleRow(const database_id &database, std::uint64_t request,
                   const table_service_client::outcome &outcome);
    void schedule(supervised_group &group);

    ev::loop_ref m_loop;
    supervisor_settings m_settings;
    identity m_self;
    table_service_client &m_table;
    output_handlers m_outputs;
    random_source m_random;
    logger m_log;
    group_client m_groupClient;
    std::vector<agent_instance> m_agents;
    std::vector<proxy_incarnation> m_proxies;
    std::map<database_id, std::unique_ptr<supervised_group>> m_groups;
};

} // namespace sycamorespan::agent

#endif
