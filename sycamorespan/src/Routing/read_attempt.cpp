#include "sycamorespan/src/Routing/read_attempt.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

read_attempt::read_attempt(const replica_selector &selector, read_policy policy,
                           read_request request)
    : m_selector(selector)
    , m_policy(policy)
    , m_request(std::move(request))
{ }

std::vector<read_action> read_attempt::start(const routing_view &view, time_point now)
{
    return chooseMember(view, now);
}

std::vector<read_action> read_attempt::onAnswer(execution_id execution, const member_report &report,
                                                const routing_view &view, time_point now)
{
    if (m_state != state::running || execution != m_execution || report.server != m_server)
        return {};
    m_proof = report;
    return evaluateAnswer(view, now);
}

std::vector<read_action> read_attempt::onFailure(execution_id execution, read_failure failure,
                                                 const routing_view &view, time_point now)
{
    if (m_state != state::running || execution != m_execution)
        return {};
    if (failure == read_failure::notReadOnly) {
        m_state = state::finished;
        return {reroute_as_write{}};
    }
    m_mayHaveRun = m_mayHaveRun || failure == read_failure::connectionLost;
    m_state = state::waiting;
    m_triedServers.insert(m_server);
    return chooseMember(view, now);
}

std::vector<read_action> read_attempt::onTimer(const routing_view &view, time_point now)
{
    switch (m_state) {
    case state::waiting:
        m_triedServers.clear();
        return chooseMember(view, now);
    case state::holdingAnswer:
        return evaluateAnswer(view, now);
    case state::running:
        return now >= m_request.deadline ? refuse(read_refusal::noMember)
                                         : std::vector<read_action>{};
    case state::idle:
    case state::finished:
        break;
    }
    return {};
}

std::vector<read_action> read_attempt::onViewChanged(const routing_view &view, time_point now)
{
    if (m_state != state::holdingAnswer)
        return {};
    auto actions = evaluateAnswer(view, now);
    if (m_state == state::holdingAnswer)
        actions.clear(); // the pending timer repeats the query
    return actions;
}

std::vector<read_action> read_attempt::chooseMember(const routing_view &view, time_point now)
{
    if (now >= m_request.deadline)
        return refuse(read_refusal::noMember);
    const auto candidates = untriedCandidates(view, now);
    if (candidates.empty())
        return wait(std::min(now + m_policy.retryInterval, m_request.deadline));
    const auto &best = candidates.front();
    if (best.catchUpWait > duration{0} && !std::exchange(m_waitedForCatchUp, true))
        return wait(std::min(now + best.catchUpWait, m_request.deadline));
    return run(best, view, now);
}

std::vector<read_candidate> read_attempt::untriedCandidates(const routing_view &view,
                                                            time_point now) const
{
    auto candidates = m_selector.rank(view, m_request, now);
    const bool replicasAllowed = m_replicaAttempts < m_policy.maximumReplicaAttempts
                                 || !view.primary || m_triedServers.contains(*view.primary);
    std::erase_if(candidates, [&](const read_candidate &candidate) {
        return m_triedServers.contains(candidate.server) || !(replicasAllowed || candidate.primary);
    });
    return candidates;
}

std::vector<read_action> read_attempt::run(const read_candidate &candidate,
                                           const routing_view &view, time_point now)
{
    m_state = state::running;
    m_server = candidate.server;
    m_replicaAttempts += candidate.primary ? 0 : 1;
    ++m_execution;
    std::vector<read_action> actions = {run_read{m_execution, m_server}};
    if (view.confirmedAt(view.term) < m_request.requiredCompleteUntil())
        actions.emplace_back(confirm_term{});
    actions.emplace_back(wait_until{std::max(now, m_request.deadline)});
    return actions;
}

std::vector<read_action> read_attempt::wait(time_point until)
{
    m_state = state::waiting;
    return {wait_until{until}};
}

std::vector<read_action> read_attempt::evaluateAnswer(const routing_view &view, time_point now)
{
    m_mayHaveRun = true;
    const auto known = view.withReport(*m_proof);
    if (!meetsOtherConditions(*m_proof, known))
        return discard(known, now);
    if (completeUntil(known, *m_proof) >= m_request.requiredCompleteUntil())
        return deliver();
    return holdAnswer(now);
}

/** \returns whether the answer meets all conditions but the confirmation of the proof's term, which
 * may still arrive.
 */
bool read_attempt::meetsOtherConditions(const member_report &report, const routing_view &view) const
{
    const bool includesFloor =
            report.position >= m_request.floor.position || m_request.floor.isSupersededBy(report);
    const bool isFresh =
            report.staleness
            && report.queriedAt - *report.staleness >= m_request.requiredCompleteUntil();
    return includesFloor && isFresh && !view.isSuperseded(report.term);
}

std::vector<read_action> read_attempt::holdAnswer(time_point now)
{
    if (now >= m_request.deadline)
        return refuse(read_refusal::termUnconfirmed);
    m_state = state::holdingAnswer;
    return {confirm_term{}, wait_until{std::min(now + m_policy.retryInterval, m_request.deadline)}};
}

std::vector<read_action> read_attempt::deliver()
{
    m_state = state::finished;
    return {deliver_answer{m_execution, *m_proof}};
}

std::vector<read_action> read_attempt::discard(const routing_view &view, time_point now)
{
    m_proof.reset();
    m_triedServers.insert(m_server);
    std::vector<read_action> actions = {discard_answer{m_execution}};
    std::ranges::move(chooseMember(view, now), std::back_inserter(actions));
    return actions;
}

std::vector<read_action> read_attempt::refuse(read_refusal reason)
{
    const bool mayBeRunning = std::exchange(m_state, state::finished) == state::running;
    return {refuse_read{reason, !m_mayHaveRun && !mayBeRunning}};
}

} // namespace sycamorespan
