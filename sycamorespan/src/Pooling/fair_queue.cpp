#include "sycamorespan/src/Pooling/fair_queue.h"

#include <algorithm>
#include <ranges>

namespace sycamorespan {
namespace {

constexpr std::size_t idleFlowsKept = 64;

} // namespace

fair_queue::fair_queue(fair_queue_limits limits)
    : m_limits(limits)
    , m_flowsToSweepAt(idleFlowsKept)
{ }

template<typename Change>
void fair_queue::update(const workspace_id &workspace, flow &each, Change change)
{
    if (!each.requests.empty())
        m_order.erase(keyOf(workspace, each));
    m_size -= each.requests.size();
    change();
    m_size += each.requests.size();
    if (!each.requests.empty())
        m_order.insert(keyOf(workspace, each));
}

fair_queue::order_key fair_queue::keyOf(const workspace_id &workspace, const flow &each) const
{
    const bool byArrival = m_limits.discipline == queue_discipline::firstComeFirstServed;
    const auto place = byArrival ? static_cast<std::int64_t>(each.requests.front().arrival)
                                 : each.virtualTime.count();
    return {place, workspace};
}

std::optional<slot_request> fair_queue::push(slot_request request)
{
    const workspace_id workspace = request.workspace;
    auto &each = m_flows[workspace];
    if (each.requests.size() >= m_limits.perWorkspace)
        return request;
    if (each.requests.empty())
        each.virtualTime = std::max(each.virtualTime, m_virtualTime);
    update(workspace, each, [&] { each.requests.push_back({m_arrivals++, std::move(request)}); });
    forgetIdleFlows();
    if (m_size > m_limits.total)
        return dropLastOfLongest();
    return std::nullopt;
}

std::optional<slot_request> fair_queue::pop(const std::function<bool(const workspace_id &)> &mayRun)
{
    const auto next = std::ranges::find_if(
            m_order, [&mayRun](const order_key &key) { return mayRun(key.second); });
    if (next == m_order.end())
        return std::nullopt;
    const workspace_id workspace = next->second;
    auto &each = m_flows[workspace];
    slot_request request = each.requests.front().request;
    m_virtualTime = std::max(m_virtualTime, each.virtualTime);
    update(workspace, each, [&] {
        each.requests.pop_front();
        each.virtualTime += request.expectedDuration;
    });
    return request;
}

bool fair_queue::erase(const workspace_id &workspace, request_id request)
{
    const auto found = m_flows.find(workspace);
    if (found == m_flows.end())
        return false;
    const std::size_t before = m_size;
    update(workspace, found->second, [&] {
        std::erase_if(found->second.requests,
                      [request](const auto &waiting) { return waiting.request.id == request; });
    });
    return m_size < before;
}

std::vector<slot_request> fair_queue::takeExpired(time_point limit)
{
    std::vector<slot_request> expired;
    for (auto &[workspace, each] : m_flows) {
        update(workspace, each, [&expired, &requests = each.requests, limit] {
            const auto isLive = [limit](const waiting_request &waiting) {
                return waiting.request.deadline >= limit;
            };
            const auto rest = std::stable_partition(requests.begin(), requests.end(), isLive);
            std::transform(rest, requests.end(), std::back_inserter(expired),
                           [](const waiting_request &waiting) { return waiting.request; });
            requests.erase(rest, requests.end());
        });
    }
    return expired;
}

void fair_queue::charge(const workspace_id &workspace, duration slotTime)
{
    auto &each = m_flows[workspace];
    update(workspace, each, [&] { each.virtualTime += slotTime; });
}

std::size_t fair_queue::sizeOf(const workspace_id &workspace) const
{
    const auto found = m_flows.find(workspace);
    return found != m_flows.end() ? found->second.requests.size() : 0;
}

slot_request fair_queue::dropLastOfLongest()
{
    const auto longest = std::ranges::max_element(
            m_flows, {}, [](const auto &item) { return item.second.requests.size(); });
    auto &[workspace, each] = *longest;
    slot_request dropped = each.requests.back().request;
    update(workspace, each, [&requests = each.requests] { requests.pop_back(); });
    return dropped;
}

/** An idle flow at or behind the present virtual time is as good as a new one. */
void fair_queue::forgetIdleFlows()
{
    if (m_flows.size() < m_flowsToSweepAt)
        return;
    std::erase_if(m_flows, [this](const auto &item) {
        return item.second.requests.empty() && item.second.virtualTime <= m_virtualTime;
    });
    m_flowsToSweepAt = m_flows.size() * 2 + idleFlowsKept;
}

} // namespace sycamorespan
