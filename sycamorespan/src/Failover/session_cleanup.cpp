#include "sycamorespan/src/Failover/session_cleanup.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorespan {

session_cleanup::session_cleanup(const session_cleanup_settings &settings,
                                 group_configuration group)
    : m_settings(settings)
    , m_group(std::move(group))
{ }

std::vector<call_member> session_cleanup::setLive(const std::vector<proxy_incarnation> &live,
                                                  time_point now)
{
    const std::set<proxy_incarnation> current(live.begin(), live.end());
    for (const auto &incarnation : m_live) {
        if (!current.contains(incarnation))
            m_missingSince.emplace(incarnation, now);
    }
    for (const auto &incarnation : current) {
        m_missingSince.erase(incarnation);
        m_pendingEnds.erase(incarnation);
    }
    m_live = current;
    endOverdue(now);
    return callRemaining(now);
}

std::vector<call_member> session_cleanup::handle(const call_returned &event, time_point now)
{
    const auto call = m_calls.find(event.id.number);
    if (event.id.purpose != call_purpose::cleanup || call == m_calls.end())
        return {};
    const auto incarnation = call->second;
    m_calls.erase(call);
    const auto entry = m_pendingEnds.find(incarnation);
    if (entry != m_pendingEnds.end() && std::holds_alternative<sessions_ended>(event.answer)) {
        entry->second.remaining.erase(event.server);
        if (entry->second.remaining.empty())
            m_pendingEnds.erase(entry);
    }
    return callRemaining(now);
}

std::vector<call_member> session_cleanup::handle(const time_passed & /*event*/, time_point now)
{
    endOverdue(now);
    return callRemaining(now);
}

std::optional<time_point> session_cleanup::nextDeadline() const
{
    std::vector<time_point> times;
    for (const auto &[incarnation, since] : m_missingSince)
        times.push_back(since + m_settings.absenceTimeout);
    for (const auto &[incarnation, entry] : m_pendingEnds)
        times.push_back(entry.nextTry);
    return times.empty() ? std::nullopt : std::optional(std::ranges::min(times));
}

void session_cleanup::scheduleEnd(const proxy_incarnation &incarnation, time_point now)
{
    pending_end entry;
    entry.nextTry = now;
    std::ranges::transform(m_group.members, std::inserter(entry.remaining, entry.remaining.end()),
                           &group_member::server);
    m_pendingEnds.emplace(incarnation, std::move(entry));
}

void session_cleanup::endOverdue(time_point now)
{
    std::erase_if(m_missingSince, [&](const auto &entry) {
        const bool isOverdue = now - entry.second >= m_settings.absenceTimeout;
        if (isOverdue)
            scheduleEnd(entry.first, now);
        return isOverdue;
    });
}

std::vector<call_member> session_cleanup::callRemaining(time_point now)
{
    actions out;
    for (auto &[incarnation, entry] : m_pendingEnds) {
        if (entry.nextTry > now)
            continue;
        entry.nextTry = now + m_settings.retryInterval;
        for (const auto &server : entry.remaining) {
            const call_id id{call_purpose::cleanup, 0, ++m_lastNumber};
            m_calls.emplace(id.number, incarnation);
            const end_sessions_operation operation{incarnation.instance, incarnation.incarnation};
            out.push_back({id, server, operation, false, now + m_settings.callTimeout});
        }
    }
    return out;
}

} // namespace sycamorespan
