#include "sycamorespan/src/Pooling/slot_scheduler.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace sycamorespan {

slot_scheduler::slot_scheduler(slot_policy policy, slot_budget budget, random_source random)
    : m_policy(policy)
    , m_budget(budget)
    , m_reopenBackoff(policy.reopenBackoff, std::move(random))
    , m_queue(policy.queue)
{ }

std::vector<slot_action> slot_scheduler::submit(slot_request request, time_point now)
{
    if (m_isClosing)
        return {refuse_request{request.id, slot_refusal::closing}};
    if (!canMeetDeadline(request, now))
        return {refuse_request{request.id, slot_refusal::deadline}};
    std::vector<slot_action> actions;
    if (const auto dropped = m_queue.push(std::move(request)))
        actions.emplace_back(refuse_request{dropped->id, slot_refusal::queueFull});
    std::ranges::move(dispatch(now), std::back_inserter(actions));
    return actions;
}

/** Assumes that the waiting requests of the same workspace, which run before \a request, use all
 * slots at once; this gives the shortest possible wait.
 */
bool slot_scheduler::canMeetDeadline(const slot_request &request, time_point now) const
{
    const auto queuedBefore = static_cast<duration::rep>(m_queue.sizeOf(request.workspace));
    const auto slots = static_cast<duration::rep>(std::max<std::size_t>(m_budget.slots, 1));
    const duration shortestWait = request.expectedDuration * queuedBefore / slots;
    return now + shortestWait + request.expectedDuration <= request.deadline;
}

std::vector<slot_action> slot_scheduler::cancel(const workspace_id &workspace, request_id request,
                                                time_point now)
{
    m_queue.erase(workspace, request);
    return dispatch(now);
}

std::vector<slot_action> slot_scheduler::onOpened(connection_id id, time_point now)
{
    auto *opened = find(id, connection_state::opening);
    if (opened == nullptr)
        return {close_connection{id}};
    m_reopenBackoff.reset();
    *opened = {connection_state::idle, now, now, std::nullopt};
    return dispatch(now);
}

std::vector<slot_action> slot_scheduler::onOpenFailed(connection_id id, time_point now)
{
    if (find(id, connection_state::opening) == nullptr)
        return {};
    m_connections.erase(id);
    m_nextOpenAt = now + m_reopenBackoff.next();
    std::vector<slot_action> actions;
    if (m_connections.empty())
        refuseAll(slot_refusal::memberUnreachable, actions);
    return actions;
}

std::vector<slot_action> slot_scheduler::onReleased(connection_id id, request_id request,
                                                    released_state state, time_point now)
{
    auto *released = find(id, connection_state::running);
    if (released == nullptr || released->request->id != request)
        return {};
    releaseSlot(*released, now);
    std::vector<slot_action> actions;
    switch (state) {
    case released_state::clean:
        *released = {connection_state::idle, now, now, std::nullopt};
        break;
    case released_state::needsReset:
        *released = {connection_state::resetting, now, now, std::nullopt};
        actions.emplace_back(reset_connection{id});
        break;
    case released_state::unknown:
        m_connections.erase(id);
        actions.emplace_back(close_connection{id});
        break;
    }
    std::ranges::move(dispatch(now), std::back_inserter(actions));
    return actions;
}

/** Releases the slot and corrects the charged slot time from the expected to the actual duration.
 */
void slot_scheduler::releaseSlot(const connection &entry, time_point now)
{
    const auto &request = *entry.request;
    m_queue.charge(request.workspace, now - entry.since - request.expectedDuration);
    if (--m_slotsByWorkspace[request.workspace] == 0)
        m_slotsByWorkspace.erase(request.workspace);
}

std::vector<slot_action> slot_scheduler::onReset(connection_id id, time_point now)
{
    auto *reset = find(id, connection_state::resetting);
    if (reset == nullptr)
        return {};
    *reset = {connection_state::idle, now, now, std::nullopt};
    return dispatch(now);
}

std::vector<slot_action> slot_scheduler::onPong(connection_id id, time_point now)
{
    auto *answered = find(id, connection_state::pinging);
    if (answered == nullptr)
        return {};
    *answered = {connection_state::idle, answered->since, now, std::nullopt};
    return dispatch(now);
}

std::vector<slot_action> slot_scheduler::onClosed(connection_id id, time_point now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return {};
    std::vector<slot_action> actions;
    if (found->second.request) {
        actions.emplace_back(abandon_request{found->second.request->id});
        releaseSlot(found->second, now);
    }
    m_connections.erase(found);
    std::ranges::move(dispatch(now), std::back_inserter(actions));
    return actions;
}

std::vector<slot_action> slot_scheduler::onTimer(time_point now)
{
    std::vector<slot_action> actions;
    closeTimedOutConnections(now, actions);
    refuseExpired(now, actions);
    std::ranges::move(dispatch(now), std::back_inserter(actions));
    return actions;
}

void slot_scheduler::closeTimedOutConnections(time_point now, std::vector<slot_action> &actions)
{
    std::vector<connection_id> timedOut;
    for (auto &[id, entry] : m_connections) {
        if (hasTimedOut(entry, now))
            timedOut.push_back(id);
    }
    for (const connection_id id : timedOut) {
        auto &entry = m_connections.at(id);
        if (entry.request) {
            actions.emplace_back(abandon_request{entry.request->id});
            releaseSlot(entry, now);
        }
        actions.emplace_back(close_connection{id});
        m_connections.erase(id);
    }
    // If one connection has timed out, the member may be unreachable, so all idle ones are pinged.
    const duration pingAfter = timedOut.empty() ? m_policy.pingInterval : duration{0};
    for (auto &[id, entry] : m_connections) {
        if (entry.state != connection_state::idle || now - entry.lastActivityAt < pingAfter)
            continue;
        entry.state = connection_state::pinging;
        entry.lastActivityAt = now;
        actions.emplace_back(ping_connection{id});
    }
}

bool slot_scheduler::hasTimedOut(const connection &entry, time_point now) const
{
    switch (entry.state) {
    case connection_state::idle:
        return false;
    case connection_state::opening:
        return now >= entry.since + m_policy.openTimeout;
    case connection_state::resetting:
        return now >= entry.since + m_policy.answerTimeout;
    case connection_state::pinging:
        return now >= entry.lastActivityAt + m_policy.answerTimeout;
    case connection_state::running:
        return now >= entry.request->deadline + m_policy.deadlineGrace;
    }
    return false;
}

void slot_scheduler::refuseExpired(time_point now, std::vector<slot_action> &actions)
{
    for (const auto &request : m_queue.takeExpired(now))
        actions.emplace_back(refuse_request{request.id, slot_refusal::deadline});
}

void slot_scheduler::refuseAll(slot_refusal reason, std::vector<slot_action> &actions)
{
    for (const auto &request : m_queue.takeExpired(time_point::max()))
        actions.emplace_back(refuse_request{request.id, reason});
}

std::vector<slot_action> slot_scheduler::setBudget(slot_budget budget, time_point now)
{
    m_budget = budget;
    return dispatch(now);
}

std::vector<slot_action> slot_scheduler::close(time_point now)
{
    m_isClosing = true;
    std::vector<slot_action> actions;
    refuseAll(slot_refusal::closing, actions);
    std::ranges::move(dispatch(now), std::back_inserter(actions));
    return actions;
}

std::vector<slot_action> slot_scheduler::dispatch(time_point now)
{
    std::vector<slot_action> actions;
    const auto mayRun = [this, now](const workspace_id &workspace) {
        return mayTakeSlot(workspace, now);
    };
    while (slotsInUse() < m_budget.slots) {
        auto *idle = mostRecentIdle();
        if (idle == nullptr)
            break;
        auto request = m_queue.pop(mayRun);
        if (!request)
            break;
        if (request->deadline < now + request->expectedDuration) {
            m_queue.charge(request->workspace, -request->expectedDuration);
            actions.emplace_back(refuse_request{request->id, slot_refusal::deadline});
        } else {
            assign(*idle, std::move(*request), now, actions);
        }
    }
    openMissingConnections(now, actions);
    closeSurplusConnections(now, actions);
    return actions;
}

bool slot_scheduler::mayTakeSlot(const workspace_id &workspace, time_point now) const
{
    const auto held = m_slotsByWorkspace.find(workspace);
    const auto &latestGrantToOther = m_latestGrant && m_latestGrant->workspace == workspace
                                             ? m_latestGrantToOther
                                             : m_latestGrant;
    const bool isShared =
            latestGrantToOther && now - latestGrantToOther->at < m_policy.reservationTime;
    if (held == m_slotsByWorkspace.end() || !isShared)
        return true;
    const std::size_t reserved = std::min(m_policy.reservedSlots, m_budget.slots - 1);
    return held->second < m_budget.slots - reserved;
}

void slot_scheduler::recordGrant(const workspace_id &workspace, time_point now)
{
    if (m_latestGrant && m_latestGrant->workspace != workspace)
        m_latestGrantToOther = m_latestGrant;
    m_latestGrant = {workspace, now};
}

void slot_scheduler::assign(connection_map::value_type &item, slot_request request, time_point now,
                            std::vector<slot_action> &actions)
{
    actions.emplace_back(run_on_connection{item.first, request.id});
    ++m_slotsByWorkspace[request.workspace];
    recordGrant(request.workspace, now);
    item.second = {connection_state::running, now, now, std::move(request)};
}

slot_scheduler::connection_map::value_type *slot_scheduler::mostRecentIdle()
{
    connection_map::value_type *newest = nullptr;
    for (auto &item : m_connections) {
        if (item.second.state == connection_state::idle
            && (newest == nullptr || item.second.lastActivityAt > newest->second.lastActivityAt))
            newest = &item;
    }
    return newest;
}

void slot_scheduler::openMissingConnections(time_point now, std::vector<slot_action> &actions)
{
    if (now < m_nextOpenAt)
        return;
    const std::size_t opening = countInState(connection_state::opening);
    const std::size_t available = opening + countInState(connection_state::idle);
    const std::size_t freeSlots = m_budget.slots - std::min(m_budget.slots, slotsInUse());
    const std::size_t wanted = std::min(m_queue.size(), freeSlots);
    const std::size_t room =
            m_budget.connections - std::min(m_budget.connections, m_connections.size());
    const std::size_t missing = std::min(wanted - std::min(wanted, available), room);
    for (std::size_t number = 0; number < missing; ++number) {
        m_connections[++m_lastConnectionId] = {connection_state::opening, now, now, std::nullopt};
        actions.emplace_back(open_connection{m_lastConnectionId});
    }
}

/** Closes idle connections that exceed the budget or idleTimeout, and all of them while draining.
 */
void slot_scheduler::closeSurplusConnections(time_point now, std::vector<slot_action> &actions)
{
    const std::size_t allowed = m_isClosing ? 0 : m_budget.connections;
    for (auto item = m_connections.begin(); item != m_connections.end();) {
        const bool isSurplus =
                m_connections.size() > allowed || now - item->second.since >= m_policy.idleTimeout;
        if (item->second.state == connection_state::idle && isSurplus) {
            actions.emplace_back(close_connection{item->first});
            item = m_connections.erase(item);
        } else {
            ++item;
        }
    }
}

slot_scheduler::connection *slot_scheduler::find(connection_id id, connection_state state)
{
    const auto found = m_connections.find(id);
    return found != m_connections.end() && found->second.state == state ? &found->second : nullptr;
}

std::size_t slot_scheduler::countInState(connection_state state) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            m_connections, [state](const auto &item) { return item.second.state == state; }));
}

std::size_t slot_scheduler::slotsInUse() const
{
    return countInState(connection_state::running) + countInState(connection_state::resetting);
}

} // namespace sycamorespan
