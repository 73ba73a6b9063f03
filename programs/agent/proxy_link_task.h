#ifndef SYCAMORESPAN_PROGRAMS_AGENT_PROXY_LINK_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_PROXY_LINK_TASK_H

#include "programs/agent/process_link.h"

#include "sycamorespan/Logging"

#include <map>
#include <optional>
#include <vector>

namespace sycamorespan::agent {

/** \brief Maintains the links to the connected proxies.
 *
 * It stores the configuration and the views that a newly connected proxy is sent.
 */
class proxy_link_task
{
public:
    proxy_link_task();

    /** \brief Adds a proxy that connected and sends it the current configuration and views. */
    void handleConnected(const process_link &link);

    /** \brief Removes a proxy whose connection was closed. */
    void handleDisconnected(const process_link &link);

    /** \brief Sends \a message to every connected proxy. */
    void broadcast(const messages::message &message) const;

    /** \brief Sends \a message to the proxy of \a instance.
     * \returns false when the proxy isn't connected
     */
    bool send(const instance_id &instance, const messages::message &message) const;

    /** \brief Sends the configuration to every connected proxy and to those that connect later. */
    void setConfiguration(const messages::configuration_body &configuration);

    /** \brief Sends a group's view to every connected proxy and to those that connect later. */
    void setGroupView(const messages::group_view_update &view);

    /** \returns the hellos of the connected proxies. */
    std::vector<messages::hello> proxies() const;

private:
    std::map<std::uint64_t, process_link> m_proxies;
    std::optional<messages::configuration_body> m_configuration;
    std::map<database_id, messages::group_view_update> m_views;
    logger m_log;
};

} // namespace sycamorespan::agent

#endif
