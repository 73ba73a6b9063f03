#include "programs/agent/instance_list_task.h"

#include <algorithm>
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
    , m_log("instances")
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
    const auto *list = std::get_if<instance_list>(&outcome);
    if (!list)
        return;
    reportRejected(list->rejected);
    m_onRead(*list);
}

/** Logs and counts the entries that could not be decoded, if they have changed. */
void instance_list_task::reportRejected(const std::vector<std::string> &rejected)
{
    if (std::exchange(m_rejected, rejected) == rejected)
        return;
    m_rejectedEntries += rejected.size();
    std::ranges::for_each(rejected, [this](const std::string &cause) {
        m_log.write(log_level::warning, "entry of the instance list could not be decoded",
                    {{"reason", cause}});
    });
}

} // namespace sycamorespan::agent
