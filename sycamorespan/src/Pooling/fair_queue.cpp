#include "sycamorespan/src/Pooling/fair_queue.h"

#include <algorithm>
#include <ranges>

namespace sycamorespan {

namespace {

/** \brief Number of idle flows below which they are not removed. */
constexpr std::size_t minFlowsBeforeSweep = 32;

} // namespace

fair_queue::fair_queue(fair_queue_limits limits)
    : m_limits(limits)
{ }

template<typename Change>
void fair_queue::updateFlow(const workspace_id &workspace, flow &workspaceFlow, Change change)
{
    if (!workspaceFlow.requests.empty())
        m_waitingOrder.erase(orderKeyOf(workspace, workspaceFlow));
    m_size -= workspaceFlow.requests.size();
    change();
    m_size += workspaceFlow.requests.size();
    if (!workspaceFlow.requests.empty())
        m_waitingOrder.insert(orderKeyOf(workspace, workspaceFlow));
}

fair_queue::order_key fair_queue::orderKeyOf(const workspace_id &workspace,
                                             const flow &workspaceFlow) const
{
    const bool byArrival = m_limits.discipline == queue_discipline::firstComeFirstServed;
    const auto position =
            byArrival ? static_cast<std::int64_t>(workspaceFlow.requests.front().arrival)
                      : m_shares.usedBy(workspace).count();
    return {position, workspace};
}

std::optional<slot_request> fair_queue::push(slot_request request)
{
    const workspace_id workspace = request.workspace;
    auto &workspaceFlow = m_flows[workspace];
    if (workspaceFlow.requests.size() >= m_limits.perWorkspace)
        return request;
    if (workspaceFlow.requests.empty())
        m_shares.begin(workspace);
    updateFlow(workspace, workspaceFlow, [&] {
        workspaceFlow.requests.push_back({m_arrivalCount++, std::move(request)});
    });
    removeIdleFlows();
    if (m_size > m_limits.total)
        return dropNewestOfLongestFlow();
    return std::nullopt;
}

std::optional<slot_request> fair_queue::pop(const std::function<bool(const workspace_id &)> &mayRun)
{
    const auto next = std::ranges::find_if(
            m_waitingOrder, [&mayRun](const order_key &key) { return mayRun(key.second); });
    if (next == m_waitingOrder.end())
        return std::nullopt;
    const workspace_id workspace = next->second;
    auto &workspaceFlow = m_flows[workspace];
    slot_request request = workspaceFlow.requests.front().request;
    m_shares.advanceTo(m_shares.usedBy(workspace));
    updateFlow(workspace, workspaceFlow, [&] {
        workspaceFlow.requests.pop_front();
        m_shares.charge(workspace, request.expectedDuration);
    });
    return request;
}

bool fair_queue::erase(const workspace_id &workspace, request_id request)
{
    const auto found = m_flows.find(workspace);
    if (found == m_flows.end())
        return false;
    const std::size_t before = m_size;
    updateFlow(workspace, found->second, [&] {
        std::erase_if(found->second.requests,
                      [request](const auto &waiting) { return waiting.request.id == request; });
    });
    return m_size < before;
}

std::vector<slot_request> fair_queue::takeExpired(time_point limit)
{
    std::vector<slot_request> expired;
    for (auto &[workspace, workspaceFlow] : m_flows) {
        updateFlow(workspace, workspaceFlow, [&expired, &requests = workspaceFlow.requests, limit] {
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
    auto &workspaceFlow = m_flows[workspace];
    updateFlow(workspace, workspaceFlow, [&] { m_shares.charge(workspace, slotTime); });
}

std::size_t fair_queue::sizeOf(const workspace_id &workspace) const
{
    const auto found = m_flows.find(workspace);
    return found != m_flows.end() ? found->second.requests.size() : 0;
}

slot_request fair_queue::dropNewestOfLongestFlow()
{
    const auto longest = std::ranges::max_element(
            m_flows, {}, [](const auto &item) { return item.second.requests.size(); });
    auto &[workspace, workspaceFlow] = *longest;
    slot_request dropped = workspaceFlow.requests.back().request;
    updateFlow(workspace, workspaceFlow,
               [&requests = workspaceFlow.requests] { requests.pop_back(); });
    return dropped;
}

/** Removes flows without requests, and forgets those that equal new ones. */
void fair_queue::removeIdleFlows()
{
    m_shares.removeIdle([this](const workspace_id &workspace) { return sizeOf(workspace) > 0; });
    if (m_flows.size() > 2 * (m_waitingOrder.size() + minFlowsBeforeSweep))
        std::erase_if(m_flows, [](const auto &item) { return item.second.requests.empty(); });
}

} // namespace sycamorespan
