#ifndef SYCAMORESPAN_PROGRAMS_AGENT_LINK_SERVER_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_LINK_SERVER_TASK_H

#include "programs/agent/process_link.h"

#include "sycamorespan/Logging"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace sycamorespan::agent {

/** \brief Accepts the connections of proxies, other agents and tools.
 *
 * Both sides send a hello first. A connection is closed when it sends anything that isn't a valid
 * message.
 */
class link_server_task
{
public:
    /** \param makeHello  returns the current hello of this agent
     * \throws error when it can't listen on \a address
     */
    link_server_task(ev::loop_ref loop, const endpoint &address, const web_limits &limits,
                     std::function<messages::hello()> makeHello, link_handlers handlers);

    /** \brief Stops accepting connections and closes every link. */
    void stop();

    /** \returns the address that the server listens on. */
    endpoint address() const { return m_endpoint.address(); }

    std::size_t connectionCount() const { return m_endpoint.connectionCount(); }
    const web_counters &counters() const { return m_endpoint.counters(); }
    /** \returns the number of connections that were closed because of an invalid message. */
    std::uint64_t invalidMessages() const { return m_invalidMessages; }

private:
    web_handlers webHandlers();
    void handleMessage(const web_session &session, std::string_view bytes);
    void handle(const web_session &session, const messages::message &message);
    void handleClosed(const web_session &session);

    std::function<messages::hello()> m_makeHello;
    link_handlers m_handlers;
    logger m_log;
    std::uint64_t m_invalidMessages = 0;
    std::map<web_session, std::optional<process_link>> m_links;
    web_endpoint m_endpoint;
};

} // namespace sycamorespan::agent

#endif
