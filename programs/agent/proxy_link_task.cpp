#include "programs/agent/proxy_link_task.h"

#include <algorithm>
#include <iterator>

namespace sycamorespan::agent {

proxy_link_task::proxy_link_task()
    : m_log("proxies")
{ }

void proxy_link_task::handleConnected(const process_link &link)
{
    m_proxies.insert_or_assign(link.id(), link);
    m_log.write(log_level::info, "proxy connected", {{"proxy", link.remote().instance.str()}});
    if (m_configuration && m_configuration->version > link.remote().configurationVersion)
        link.send(*m_configuration);
    std::ranges::for_each(m_views, [&](const auto &entry) { link.send(entry.second); });
}

void proxy_link_task::handleDisconnected(const process_link &link)
{
    if (m_proxies.erase(link.id()) > 0)
        m_log.write(log_level::warning, "proxy disconnected",
                    {{"proxy", link.remote().instance.str()}});
}

void proxy_link_task::broadcast(const messages::message &message) const
{
    // Iterates over a copy: send() closes the link of a proxy that reads too slowly, which
    // removes it from m_proxies immediately.
    const auto proxies = m_proxies;
    std::ranges::for_each(proxies, [&](const auto &entry) { entry.second.send(message); });
}

bool proxy_link_task::send(const instance_id &instance, const messages::message &message) const
{
    const auto found = std::ranges::find_if(m_proxies, [&instance](const auto &entry) {
        return entry.second.remote().instance == instance;
    });
    return found != m_proxies.end() && found->second.send(message);
}

void proxy_link_task::setConfiguration(const messages::configuration_body &configuration)
{
    m_configuration = configuration;
    broadcast(configuration);
}

void proxy_link_task::setGroupView(const messages::group_view_update &view)
{
    m_views.insert_or_assign(view.database, view);
    broadcast(view);
}

std::vector<messages::hello> proxy_link_task::proxies() const
{
    std::vector<messages::hello> result;
    std::ranges::transform(m_proxies, std::back_inserter(result),
                           [](const auto &entry) { return entry.second.remote(); });
    return result;
}

} // namespace sycamorespan::agent
