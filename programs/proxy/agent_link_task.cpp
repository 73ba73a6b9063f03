#include "programs/proxy/agent_link_task.h"

#include <utility>

namespace sycamorespan::proxy {
namespace {

constexpr duration initialReconnectDelay = 50ms;
constexpr duration maximumReconnectDelay = 1s;

} // namespace

agent_link_task::agent_link_task(ev::loop_ref loop, endpoint agent,
                                 std::function<messages::hello()> hello, message_handler onMessage,
                                 const random_source &random)
    : m_agent(std::move(agent))
    , m_hello(std::move(hello))
    , m_onMessage(std::move(onMessage))
    , m_log("agent_link")
    , m_backoff(initialReconnectDelay, maximumReconnectDelay, random)
    , m_client(loop, {},
               {[this] { onOpened(); }, [this](std::string_view bytes) { onReceived(bytes); },
                [this] { onClosed(); }})
    , m_reconnectTimer(loop, [this] { m_client.connect(m_agent); })
{
    m_reconnectTimer.startOnce(duration::zero());
}

void agent_link_task::send(const messages::message &message)
{
    const auto bytes = messages::encodeMessage(message);
    m_client.send({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

void agent_link_task::onOpened()
{
    m_backoff.reset();
    m_log.write(log_level::info, "agent connected", {{"agent", m_agent.str()}});
    send(m_hello());
}

void agent_link_task::onReceived(std::string_view bytes)
{
    m_onMessage(messages::decodeMessage(std::string(bytes)));
}

void agent_link_task::onClosed()
{
    m_reconnectTimer.startOnce(m_backoff.next());
}

} // namespace sycamorespan::proxy
