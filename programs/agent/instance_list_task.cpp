#include "programs/agent/instance_list_task.h"

#include <utility>
#include <variant>

namespace sycamorespan::agent {

instance_list_task::instance_list_task(ev::loop_ref loop, instance_list_client &client,
                                       duration interval,
                                       std::function<void(const instance_list &)> onRead,
                                       random_source random)
    : m_client(client)
    , m_interval(interval)
    , m_onRead(std::move(onRead))
    , m_random(std::move(random))
    , m_timer(loop, [this] { read(); })
{
    m_timer.startOnce(duration::zero());
}

void instance_list_task::read()
{
    m_client.get([this](const auto &outcome) { handle(outcome); });
}

void instance_list_task::handle(const instance_list_client::outcome &outcome)
{
    constexpr double jitterFraction = 0.25;
    m_timer.startOnce(
            fromSeconds(toSeconds(m_interval) * (1 - jitterFraction * uniformUnit(m_random))));
    if (const auto *list = std::get_if<instance_list>(&outcome))
        m_onRead(*list);
}

} // namespace sycamorespan::agent
