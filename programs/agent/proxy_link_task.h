#ifndef SYCAMORESPAN_PROGRAMS_AGENT_PROXY_LINK_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_PROXY_LINK_TASK_H

#include "programs/agent/process_link.h"

#include "sycamorespan/Logging"

#include <map>
#include <optional>
#include <vector>

namespace sycamorespan::agent {

/** \brief The connected proxies, and what each newly connected one has to be told. */
class proxy_link_task
{
public:
    proxy_link_task();

    /** \brief A proxy connected: it is sent the present configuration and views. */
    void connected(const process_link &link);

    void disconnected(const process_link &link);

    /** \brief Sends to every proxy. */
    void broadcast(const messages::message &message) const;

    /** \brief Sends to one proxy. \returns false when it isn't connected */
    bool send(const instance_id &instance, const messages::message &message) const;

    /** \brief Sends the configuration to every proxy, and to those that connect later. */
    void setConfiguration(const messages::configuration_body &configuration);

    /** \brief Sends a group's view to every proxy, and to those that connect later. */
    void setGroupView(const messages::group_view_update &view);

    /** \returns the connected proxies. */
    std::vector<messages::hello> proxies() const;

private:
    std::map<std::uint64_t, process_link> m_proxies;
    std::optional<messages::configuration_body> m_configuration;
    std::map<database_id, messages::group_view_update> m_views;
    logger m_log;
};

} // namespace sycamorespan::agent

#endif
