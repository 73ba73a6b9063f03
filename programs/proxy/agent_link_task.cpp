#include "programs/proxy/agent_link_task.h"

#include <utility>

namespace sycamorespan::proxy {
namespace {

constexpr duration firstReconnect = 50ms;
constexpr duration longestReconnect = 1s;

} // namespace

agent_link_task::agent_link_task(ev::loop_ref loop, endpoint agent,
                                 std::function<messages::hello()> hello, message_handler onMessage,
                                 const random_source &random)
    : m_agent(std::move(agent))
    , m_hello(std::move(hello))
    , m_onMessage(std::move(onMessage))
    , m_log("agent_link")
    , m_backoff(firstReconnect, longestReconnect, random)
    , m_client(loop, {},
               {[this] { opened(); }, [this](std::string_view bytes) { received(bytes); },
                [this] { closed(); }})
    , m_reconnect(loop, [this] { m_client.connect(m_agent); })
{
    m_reconnect.startOnce(duration::zero());
}

void agent_link_task::send(const messages::message &message)
{
    const auto bytes = messages::encodeMessage(message);
    m_client.send({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

void agent_link_task::opened()
{
    m_backoff.reset();
    m_log.write(log_level::info, "agent connected", {{"agent", m_agent.str()}});
    send(m_hello());
}

void agent_link_task::received(std::string_view bytes)
{
    m_onMessage(messages::decodeMessage(std::string(bytes)));
}

void agent_link_task::closed()
{
    m_reconnect.startOnce(m_backoff.next());
}

} // namespace sycamorespan::proxy
