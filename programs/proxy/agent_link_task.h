#ifndef SYCAMORESPAN_PROGRAMS_PROXY_AGENT_LINK_TASK_H
#define SYCAMORESPAN_PROGRAMS_PROXY_AGENT_LINK_TASK_H

#include <functional>

#include "sycamorespan/Logging"
#include "sycamorespan/Messages"
#include "sycamorespan/Net"

namespace sycamorespan::proxy {

/** \brief Connection of the proxy to the agent on its instance; reconnects after a loss. */
class agent_link_task
{
public:
    using message_handler = std::function<void(const messages::message &)>;

    /** \param hello  returns the proxy's hello message; called after each connect */
    agent_link_task(ev::loop_ref loop, endpoint agent, std::function<messages::hello()> hello,
                    message_handler onMessage, const random_source &random);

    bool isConnected() const { return m_client.isOpen(); }
    void send(const messages::message &message);

private:
    void onOpened();
    void onReceived(std::string_view bytes);
    void onClosed();

    endpoint m_agent;
    std::function<messages::hello()> m_hello;
    message_handler m_onMessage;
    logger m_log;
    retry_backoff m_backoff;
    web_client m_client;
    loop_timer m_reconnectTimer;
};

} // namespace sycamorespan::proxy

#endif
