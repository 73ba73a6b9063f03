#include "sycamorespan/src/Overload/intake_budget.h"

#include <algorithm>
#include <iterator>

namespace sycamorespan {

std::string_view nameOf(intake_cause cause)
{
    switch (cause) {
    case intake_cause::tooManySessions:
        return "too_many_sessions";
    case intake_cause::tooManyUnidentified:
        return "too_many_unidentified";
    case intake_cause::budgetExceeded:
        return "budget_exceeded";
    case intake_cause::notIdentified:
        return "not_identified";
    case intake_cause::messageUnfinished:
        return "message_unfinished";
    case intake_cause::answersUnread:
        return "answers_unread";
    }
    return "unknown";
}

intake_budget::ends intake_budget::opened(std::uint64_t session, time_point now)
{
    if (m_sessions.size() >= m_policy.maxSessions)
        return {{session, intake_cause::tooManySessions, {}}};
    m_sessions.emplace(session, session_state{{}, now, now, false});
    m_bySize.emplace(0, session);
    m_unidentified.insert(session);
    ends result;
    while (m_unidentified.size() > m_policy.maxUnidentified)
        result.push_back(end(*m_unidentified.begin(), intake_cause::tooManyUnidentified));
    return result;
}

void intake_budget::identified(std::uint64_t session)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return;
    found->second.isIdentified = true;
    m_unidentified.erase(session);
}

intake_budget::ends intake_budget::changed(std::uint64_t session, const intake_load &load,
                                           time_point now)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return {};
    auto &state = found->second;
    if (load.unsent == 0 || state.load.unsent == 0 || load.sent != state.load.sent)
        state.progressAt = now;
    const auto before = state.load.held();
    const auto after = load.held();
    state.load = load;
    if (before == after)
        return {};
    m_bySize.erase({before, session});
    m_bySize.emplace(after, session);
    m_heldBytes = m_heldBytes - before + after;
    ends result;
    while (m_heldBytes > m_policy.budgetBytes)
        result.push_back(end(m_bySize.rbegin()->second, intake_cause::budgetExceeded));
    return result;
}

void intake_budget::closed(std::uint64_t session)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return;
    const auto held = found->second.load.held();
    m_bySize.erase({held, session});
    m_heldBytes -= held;
    m_unidentified.erase(session);
    m_sessions.erase(found);
}

intake_budget::ends intake_budget::expired(time_point now)
{
    std::vector<std::pair<std::uint64_t, intake_cause>> late;
    for (const auto &[session, state] : m_sessions) {
        if (const auto cause = expiryCause(state, now))
            late.emplace_back(session, *cause);
    }
    ends result;
    std::ranges::transform(late, std::back_inserter(result),
                           [this](const auto &each) { return end(each.first, each.second); });
    return result;
}

std::optional<intake_cause> intake_budget::expiryCause(const session_state &state,
                                                       time_point now) const
{
    if (!state.isIdentified && now - state.openedAt > m_policy.identificationTimeout)
        return intake_cause::notIdentified;
    if (state.load.messageBegunAt && now - *state.load.messageBegunAt > m_policy.messageTimeout)
        return intake_cause::messageUnfinished;
    if (state.load.unsent > 0 && now - state.progressAt > m_policy.unreadTimeout)
        return intake_cause::answersUnread;
    return std::nullopt;
}

bool intake_budget::mustPause(std::uint64_t session) const
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return false;
    const auto &load = found->second.load;
    const auto share = std::max(m_policy.guaranteedBytes, m_policy.budgetBytes - m_heldBytes);
    return load.waiting + load.unsent > share;
}

intake_end intake_budget::end(std::uint64_t session, intake_cause cause)
{
    intake_end result{session, cause, m_sessions.at(session).load};
    closed(session);
    return result;
}

} // namespace sycamorespan
