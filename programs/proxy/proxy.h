#ifndef SYCAMORESPAN_PROGRAMS_PROXY_PROXY_H
#define SYCAMORESPAN_PROGRAMS_PROXY_PROXY_H

#include <list>
#include <map>
#include <memory>
#include <string>

#include <ev++.h>
#include <nlohmann/json_fwd.hpp>
#include <prometheus/registry.h>

#include "programs/proxy/agent_link_task.h"
#include "programs/proxy/caller_connection.h"
#include "programs/proxy/proxy_metrics.h"
#include "programs/proxy/quota_task.h"
#include "sycamorespan/Logging"
#include "sycamorespan/Settings"

namespace sycamorespan::proxy {

/** \brief Serves callers on one instance: creates the tasks and routes messages between them. */
class proxy
{
public:
    /** \throws error when listening on an address fails */
    proxy(ev::loop_ref loop, const settings::proxy_settings &proxySettings,
          const random_source &random);

    /** \brief Begins the graceful shutdown; the event loop ends when it is complete. */
    void drain();

    /** \brief Logs the current state. */
    void logState();

private:
    struct caller
    {
        std::unique_ptr<caller_connection> connection;
        bool closed = false;
    };

    caller_services services();
    messages::hello hello() const;
    void accept(file_descriptor socket);
    void removeClosed();
    void onMessage(const messages::message &message);
    void apply(const messages::configuration_body &body);
    void apply(const messages::group_view_update &update);
    void apply(const messages::freshness_update &update);
    void endWithdrawnSessions();
    void cancel(std::int32_t processId, std::int32_t secret);
    database_task *findDatabase(const database_id &database);
    void continueDrain();
    nlohmann::json state() const;
    std::shared_ptr<prometheus::Collectable> metrics();

    ev::loop_ref m_loop;
    settings::proxy_settings m_settings;
    random_source m_random;
    std::string m_incarnation;
    logger m_log;
    statement_classifier m_classifier;
    access_control m_access;
    std::unique_ptr<tls_context> m_tls;
    quota_task m_quota;
    statement_counters m_statements;
    caller_counters m_callerCounters;
    std::map<database_id, std::unique_ptr<database_task>> m_databases;
    caller_services m_services;
    std::list<caller> m_callers;
    std::int32_t m_lastProcessId = 0;
    bool m_draining = false;
    time_point m_drainStart;
    loop_timer m_removalTimer;
    loop_timer m_drainTimer;
    agent_link_task m_agent;
    tcp_listener m_listener;
    admin_server m_admin;
};

} // namespace sycamorespan::proxy

#endif
