#include "sycamorespan/src/Failover/commit_tracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorespan {

namespace {

std::vector<server_id> serversOf(const group_view &view)
{
    std::vector<server_id> servers;
    std::ranges::transform(view.members, std::back_inserter(servers), &group_member::server);
    return servers;
}

} // namespace

commit_tracker::commit_tracker(const commit_tracker_settings &settings, group_view view)
    : m_settings(settings)
    , m_view(std::move(view))
    , m_members(serversOf(m_view))
{ }

std::vector<commit_tracker_action> commit_tracker::handle(const commit_tracker_event &event,
                                                          time_point now)
{
    actions out;
    std::visit([&](const auto &alternative) { onEvent(alternative, now, out); }, event);
    expire(now, out);
    sendRequestIfDue(now, out);
    return out;
}

std::optional<time_point> commit_tracker::nextDeadline() const
{
    if (m_waiters.empty())
        return std::nullopt;
    const bool canRequest = !m_view.primary.empty();
    if (!canRequest)
        return m_firstDeadline;
    return std::min(m_firstDeadline, m_pending ? m_pending->deadline : m_nextRequest);
}

std::optional<log_position> commit_tracker::heldPosition() const
{
    const auto held = m_heldOffsets.find(m_view.term);
    if (held == m_heldOffsets.end())
        return std::nullopt;
    return log_position{held->first, held->second};
}

void commit_tracker::onEvent(const wait_started &event, time_point /*now*/, actions &out)
{
    const auto [entry, isNew] = m_waiters.insert_or_assign(
            event.waiter, pending_wait{event.position, event.deadline, std::nullopt});
    m_firstDeadline = std::min(m_firstDeadline, event.deadline);
    if (event.position.term < m_view.term) {
        carryOver(m_view, out);
        releaseHeld(out);
    } else if (isHeld(entry->second)) {
        out.emplace_back(release_waiter{event.waiter, event.position});
        m_waiters.erase(entry);
    }
}

void commit_tracker::onEvent(const wait_abandoned &event, time_point /*now*/, actions & /*out*/)
{
    m_waiters.erase(event.waiter);
}

void commit_tracker::onEvent(const status_answered &event, time_point now, actions &out)
{
    const bool isPending = m_pending && m_pending->request == event.request;
    if (isPending)
        m_pending.reset();
    const bool fromPrimary =
            event.status.role == member_role::primary && event.status.term >= m_view.term;
    if (fromPrimary)
        updateHeldPosition(event, now);
    else if (isPending)
        onRequestFailure(now, out);
    releaseHeld(out);
}

void commit_tracker::onEvent(const status_failed &event, time_point now, actions &out)
{
    if (!m_pending || m_pending->request != event.request)
        return;
    m_pending.reset();
    onRequestFailure(now, out);
}

void commit_tracker::onEvent(const view_learned &event, time_point now, actions &out)
{
    if (!supersedes(event.view, m_view))
        return;
    carryOver(event.view, out);
    m_view = event.view;
    m_members = serversOf(m_view);
    m_heldOffsets.erase(m_heldOffsets.begin(), m_heldOffsets.lower_bound(m_view.term));
    m_pending.reset();
    m_nextRequest = now;
    m_freshConnection = false;
    m_suspicionReported = false;
    releaseHeld(out);
}

void commit_tracker::onEvent(const time_passed & /*event*/, time_point now, actions &out)
{
    if (!m_pending || m_pending->deadline > now)
        return;
    m_pending.reset();
    onRequestFailure(now, out);
}

void commit_tracker::updateHeldPosition(const status_answered &event, time_point now)
{
    const auto held = majorityHeldPosition(event.status, event.server, m_members);
    if (held) {
        auto &offset = m_heldOffsets[held->term];
        offset = std::max(offset, held->offset);
    }
    m_nextRequest = now + m_settings.pollInterval;
    m_freshConnection = false;
    m_suspicionReported = false;
}

bool commit_tracker::isHeld(const log_position &position) const
{
    const auto held = m_heldOffsets.find(position.term);
    return held != m_heldOffsets.end() && position.offset <= held->second;
}

bool commit_tracker::isHeld(const pending_wait &wait) const
{
    return isHeld(wait.position) || (wait.inheritedAt && isHeld(*wait.inheritedAt));
}

void commit_tracker::releaseHeld(actions &out)
{
    std::erase_if(m_waiters, [&](const auto &entry) {
        const auto &[id, wait] = entry;
        const bool held = isHeld(wait);
        if (held)
            out.emplace_back(release_waiter{id, wait.position});
        return held;
    });
}

void commit_tracker::carryOver(const group_view &view, actions &out)
{
    for (auto &[id, wait] : m_waiters) {
        if (!view.base)
            break;
        const auto isInBase = [&view](const log_position &position) {
            return position.term == view.base->term && position.offset <= view.base->offset;
        };
        if (isInBase(wait.position) || (wait.inheritedAt && isInBase(*wait.inheritedAt)))
            wait.inheritedAt = log_position{view.term, view.base->offset + 1};
    }
    std::erase_if(m_waiters, [&](const auto &entry) {
        const auto &[id, wait] = entry;
        const bool inherited = wait.inheritedAt && wait.inheritedAt->term >= view.term;
        const bool isLost = wait.position.term < view.term && !inherited;
        if (isLost)
            out.emplace_back(report_unknown{id, unknown_reason::termEnded});
        return isLost;
    });
}

void commit_tracker::expire(time_point now, actions &out)
{
    if (m_firstDeadline > now)
        return;
    m_firstDeadline = time_point::max();
    std::erase_if(m_waiters, [&](const auto &entry) {
        const auto &[id, wait] = entry;
        const bool isLate = wait.deadline <= now;
        if (isLate)
            out.emplace_back(report_unknown{id, unknown_reason::deadlinePassed});
        else
            m_firstDeadline = std::min(m_firstDeadline, wait.deadline);
        return isLate;
    });
}

void commit_tracker::onRequestFailure(time_point now, actions &out)
{
    const bool freshFailedToo = m_freshConnection;
    m_freshConnection = true;
    m_nextRequest = now + m_settings.retryInterval;
    if (!freshFailedToo || m_suspicionReported)
        return;
    m_suspicionReported = true;
    out.emplace_back(suspect_primary{m_view.primary, m_view.term});
}

void commit_tracker::sendRequestIfDue(time_point now, actions &out)
{
    const bool isDue = !m_waiters.empty() && !m_pending && m_nextRequest <= now;
    if (!isDue || m_view.primary.empty())
        return;
    m_pending = pending_request{++m_lastRequest, now + m_settings.requestTimeout};
    out.emplace_back(request_status{m_lastRequest, m_view.primary, m_freshConnection});
}

} // namespace sycamorespan
