#ifndef SYCAMORESPAN_PROGRAMS_PROXY_AGENT_LINK_TASK_H
#define SYCAMORESPAN_PROGRAMS_PROXY_AGENT_LINK_TASK_H

#include <functional>

#include "sycamorespan/Logging"
#include "sycamorespan/Messages"
#include "sycamorespan/Net"

namespace sycamorespan::proxy {

/** \brief The proxy's connection to its agent. */
class agent_link_task
{
public:
    using message_handler = std::function<void(const messages::message &)>;

    /** \param hello  what the proxy says of itself, at the time of connecting */
    agent_link_task(ev::loop_ref loop, endpoint agent, std::function<messages::hello()> hello,
                    message_handler onMessage, const random_source &random);

    bool isConnected() const { return m_client.isOpen(); }
    void send(const messages::message &message);

private:
    void opened();
    void received(std::string_view bytes);
    void closed();

    endpoint m_agent;
    std::function<messages::hello()> m_hello;
    message_handler m_onMessage;
    logger m_log;
    retry_backoff m_backoff;
    web_client m_client;
    loop_timer m_reconnect;
};

} // namespace sycamorespan::proxy

#endif
