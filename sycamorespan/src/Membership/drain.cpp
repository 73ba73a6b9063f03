#include "sycamorespan/src/Membership/drain.h"

#include <algorithm>
#include <iterator>

namespace sycamorespan {

drain::drain(const drain_policy &policy)
    : m_policy(policy)
{ }

std::vector<drain_output> drain::handle(const drain_input &event, time_point now)
{
    outputs actions;
    std::visit([&](const auto &alternative) { on(alternative, now, actions); }, event);
    finishIfEmpty(actions);
    return actions;
}

std::optional<time_point> drain::nextDeadline() const
{
    if (!draining() || m_idleSessions.empty())
        return std::nullopt;
    return m_nextGroup;
}

void drain::on(const drain_event::stop_requested &, time_point now, outputs &actions)
{
    if (draining())
        return;
    m_drainStarted = now;
    m_nextGroup = now;
    const auto groups = m_policy.closeSpread / m_policy.closeInterval;
    const auto groupCount = static_cast<std::size_t>(std::max<std::int64_t>(1, groups));
    m_groupSize = (m_sessions.size() + groupCount - 1) / groupCount;
    actions.emplace_back(drain_action::announce_shutdown{});
    closeGroup(now, actions);
}

void drain::on(const drain_event::session_requested &event, time_point, outputs &actions)
{
    if (draining()) {
        actions.emplace_back(drain_action::reject_session{event.session});
        return;
    }
    setState(event.session, session_state::idle);
    actions.emplace_back(drain_action::admit_session{event.session});
}

void drain::on(const drain_event::session_ended &event, time_point, outputs &)
{
    m_sessions.erase(event.session);
    m_idleSessions.erase(event.session);
}

void drain::on(const drain_event::request_started &event, time_point, outputs &)
{
    const auto found = m_sessions.find(event.session);
    if (found != m_sessions.end() && found->second != session_state::closing)
        setState(event.session, session_state::running);
}

void drain::on(const drain_event::request_finished &event, time_point, outputs &actions)
{
    const auto found = m_sessions.find(event.session);
    if (found == m_sessions.end() || found->second == session_state::closing)
        return;
    if (event.inTransaction)
        setState(event.session, session_state::inTransaction);
    else if (draining())
        close(event.session, actions);
    else
        setState(event.session, session_state::idle);
}

void drain::on(const drain_event::tick &, time_point now, outputs &actions)
{
    if (draining() && now >= m_nextGroup)
        closeGroup(now, actions);
}

void drain::setState(const session_id &session, session_state state)
{
    m_sessions[session] = state;
    if (state == session_state::idle)
        m_idleSessions.insert(session);
    else
        m_idleSessions.erase(session);
}

void drain::close(const session_id &session, outputs &actions)
{
    setState(session, session_state::closing);
    actions.emplace_back(drain_action::close_session{session});
}

void drain::closeGroup(time_point now, outputs &actions)
{
    m_nextGroup = now + m_policy.closeInterval;
    std::vector<session_id> group;
    std::copy_n(m_idleSessions.begin(), std::min(m_groupSize, m_idleSessions.size()),
                std::back_inserter(group));
    for (const auto &session : group)
        close(session, actions);
}

void drain::finishIfEmpty(outputs &actions)
{
    if (!draining() || m_finished || !m_sessions.empty())
        return;
    m_finished = true;
    actions.emplace_back(drain_action::finished{});
}

} // namespace sycamorespan
