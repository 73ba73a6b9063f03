#include "sycamorespan/src/Failover/primary_change.h"

#include "sycamorespan/Core"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sycamorespan {

primary_change::primary_change(const primary_change_settings &settings, group_configuration group,
                               change_request request, std::string token, term_number lowestTerm,
                               std::uint64_t series)
    : m_settings(settings)
    , m_group(std::move(group))
    , m_request(std::move(request))
    , m_token(std::move(token))
    , m_highestTerm(lowestTerm)
    , m_series(series)
{ }

std::vector<primary_change_action> primary_change::start(time_point now)
{
    actions out;
    enter(stage::queryingStatus, now);
    callAll(now, out);
    return out;
}

std::vector<primary_change_action> primary_change::handle(const call_returned &event,
                                                          time_point now)
{
    actions out;
    const bool isOwn = event.id.purpose == call_purpose::change && event.id.series == m_series;
    const auto pending = m_calls.find(event.server);
    if (!isOwn || pending == m_calls.end() || pending->second.number != event.id.number)
        return out;
    m_calls.erase(pending);
    std::visit([&](const auto &answer) { onAnswer(event.server, answer, now, out); }, event.answer);
    return out;
}

std::vector<primary_change_action> primary_change::handle(const time_passed & /*event*/,
                                                          time_point now)
{
    actions out;
    expireCalls(now, out);
    if (m_stage == stage::queryingStatus)
        endStatusQueryIfComplete(now, out);
    if (m_stage != stage::done && now >= m_stageBeganAt + m_settings.attemptTimeout)
        abandon(out);
    if (m_stage != stage::done)
        repeatCalls(now, out);
    return out;
}

std::optional<time_point> primary_change::nextDeadline() const
{
    if (m_stage == stage::done)
        return std::nullopt;
    std::vector<time_point> times{m_stageBeganAt + m_settings.attemptTimeout};
    const bool statusQueryIsTimed = m_stage == stage::queryingStatus
                                    && m_statuses.size() >= majorityOf(m_group.members.size());
    if (statusQueryIsTimed)
        times.push_back(m_stageBeganAt + m_settings.statusQueryTimeout);
    for (const auto &[server, call] : m_calls)
        times.push_back(call.deadline);
    for (const auto &[server, time] : m_repeatAt)
        times.push_back(time);
    return std::ranges::min(times);
}

void primary_change::enter(stage next, time_point now)
{
    m_stage = next;
    m_stageBeganAt = now;
    m_calls.clear();
    m_repeatAt.clear();
}

group_operation primary_change::stageOperation() const
{
    switch (m_stage) {
    case stage::fencing:
        return fence_operation{m_term, m_token};
    case stage::promoting:
        return promote_operation{m_term, m_token};
    case stage::queryingStatus:
    case stage::done:
        break;
    }
    return status_operation{};
}

void primary_change::callAll(time_point now, actions &out)
{
    for (const auto &member : m_group.members)
        call(member.server, true, now, out);
}

void primary_change::call(const server_id &server, bool freshConnection, time_point now,
                          actions &out)
{
    const auto deadline = now + m_settings.callTimeout;
    const call_id id{call_purpose::change, m_series, ++m_lastCallNumber};
    m_calls.insert_or_assign(server, pending_call{id.number, deadline});
    out.emplace_back(call_member{id, server, stageOperation(), freshConnection, deadline});
}

void primary_change::callFailed(const server_id &server, time_point now, actions &out)
{
    m_repeatAt.insert_or_assign(server, now + m_settings.retryInterval);
    if (m_stage == stage::queryingStatus)
        endStatusQueryIfComplete(now, out);
    if (m_stage == stage::promoting && ++m_failedPromotions >= m_settings.maximumPromotionFailures)
        abandon(out);
}

void primary_change::expireCalls(time_point now, actions &out)
{
    const auto before = m_calls;
    for (const auto &[server, call] : before) {
        // The expiry of an earlier call may have ended the stage and replaced the calls.
        const auto current = m_calls.find(server);
        const bool isPending = current != m_calls.end() && current->second.number == call.number;
        if (!isPending || call.deadline > now)
            continue;
        m_calls.erase(current);
        callFailed(server, now, out);
    }
}

void primary_change::repeatCalls(time_point now, actions &out)
{
    std::vector<server_id> due;
    for (const auto &[server, time] : m_repeatAt) {
        if (time <= now)
            due.push_back(server);
    }
    for (const auto &server : due) {
        m_repeatAt.erase(server);
        call(server, true, now, out);
    }
}

void primary_change::onAnswer(const server_id &server, const member_status &status, time_point now,
                              actions &out)
{
    m_highestTerm = std::max(m_highestTerm, status.term);
    m_statuses.insert_or_assign(server, status);
    endStatusQueryIfComplete(now, out);
}

void primary_change::onAnswer(const server_id &server, const position_answer &answer,
                              time_point now, actions &out)
{
    if (m_stage == stage::promoting)
        return complete(out);
    m_fenced.insert_or_assign(server, answer.position);
    if (m_fenced.size() >= majorityOf(m_group.members.size()))
        startPromoting(now, out);
}

void primary_change::onAnswer(const server_id &server, const call_refused &refusal, time_point now,
                              actions &out)
{
    // A refusal that isn't caused by the term, such as too many connections, may be temporary.
    if (!refusal.term)
        return callFailed(server, now, out);
    m_highestTerm = std::max(m_highestTerm, *refusal.term);
    m_refused.insert(server);
    const auto possible = m_group.members.size() - m_refused.size();
    if (m_stage == stage::promoting || possible < majorityOf(m_group.members.size()))
        abandon(out);
}

void primary_change::onAnswer(const server_id &server, const call_failed & /*failure*/,
                              time_point now, actions &out)
{
    callFailed(server, now, out);
}

void primary_change::onAnswer(const server_id &server, const sessions_ended & /*unexpected*/,
                              time_point now, actions &out)
{
    callFailed(server, now, out);
}

void primary_change::endStatusQueryIfComplete(time_point now, actions &out)
{
    if (m_stage != stage::queryingStatus || m_statuses.size() < majorityOf(m_group.members.size()))
        return;
    const auto serving = servingView();
    if (serving && !m_request.replaceServingPrimary)
        return finish(change_unnecessary{*serving}, out);
    const bool allAnsweredOrFailed = m_calls.empty();
    if (!allAnsweredOrFailed && now < m_stageBeganAt + m_settings.statusQueryTimeout)
        return;
    const auto unresponsive = firstUnresponsive();
    if (unresponsive && !m_request.suspected && !m_request.replaceServingPrimary)
        return finish(primary_unresponsive{*unresponsive, m_highestTerm}, out);
    m_term = m_highestTerm + 1;
    enter(stage::fencing, now);
    callAll(now, out);
}

std::optional<group_view> primary_change::servingView() const
{
    const auto found = std::ranges::find_if(m_statuses, [this](const auto &entry) {
        const auto &status = entry.second;
        return status.role == member_role::primary && status.term == m_highestTerm;
    });
    if (found == m_statuses.end())
        return std::nullopt;
    return group_view{m_group.database, m_highestTerm, found->first,
                      m_group.members,  std::nullopt,  group_state::served};
}

std::optional<server_id> primary_change::firstUnresponsive() const
{
    const auto found = std::ranges::find_if(m_group.members, [this](const group_member &member) {
        return !m_statuses.contains(member.server);
    });
    return found == m_group.members.end() ? std::nullopt : std::optional(found->server);
}

server_id primary_change::memberWithLongestLog() const
{
    const auto rank = [this](const auto &entry) {
        const auto &[server, position] = entry;
        return std::tuple(position, server != m_request.suspected, server == m_request.preferred);
    };
    return std::ranges::max_element(m_fenced, {}, rank)->first;
}

void primary_change::startPromoting(time_point now, actions &out)
{
    m_candidate = memberWithLongestLog();
    enter(stage::promoting, now);
    call(m_candidate, false, now, out);
}

void primary_change::complete(actions &out)
{
    const auto base = m_fenced.at(m_candidate);
    finish(change_completed{group_view{m_group.database, m_term, m_candidate, m_group.members, base,
                                       group_state::served}},
           out);
}

void primary_change::abandon(actions &out)
{
    finish(change_abandoned{std::max(m_highestTerm, m_term)}, out);
}

void primary_change::finish(change_result result, actions &out)
{
    m_stage = stage::done;
    m_calls.clear();
    m_repeatAt.clear();
    out.emplace_back(std::move(result));
}

} // namespace sycamorespan
