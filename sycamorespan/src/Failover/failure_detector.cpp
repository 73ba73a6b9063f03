#include "sycamorespan/src/Failover/failure_detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorespan {

namespace {

constexpr std::size_t rememberedAnswerTimes = 16;

std::vector<server_id> serversOf(const group_view &view)
{
    std::vector<server_id> servers;
    std::ranges::transform(view.members, std::back_inserter(servers), &group_member::server);
    return servers;
}

} // namespace

primary_health healthOf(const group_answer &answer, term_number term)
{
    const auto *status = std::get_if<member_status>(&answer);
    if (!status)
        return primary_health::unresponsive;
    const bool isPrimary = status->role == member_role::primary && status->term == term;
    return isPrimary ? primary_health::healthy : primary_health::deposed;
}

failure_detector::failure_detector(const failure_detector_settings &settings, group_view view,
                                   data_centre_id ownDataCentre, std::uint64_t series)
    : m_settings(settings)
    , m_view(std::move(view))
    , m_members(serversOf(m_view))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_series(series)
{ }

std::vector<failure_detector_action> failure_detector::start(time_point now)
{
    actions out;
    startProbing(now, out);
    return out;
}

std::vector<failure_detector_action> failure_detector::handle(const call_returned &event,
                                                              time_point now)
{
    actions out;
    const bool isOwn = event.id.purpose == call_purpose::probe && event.id.series == m_series;
    // The answer to the last probe but one is recent enough to show that the primary is alive.
    const bool isRecent = event.id.number + 1 >= m_lastCallNumber;
    if (!isOwn || !isRecent)
        return out;
    if (std::holds_alternative<member_status>(event.answer))
        onStatus(event, now, out);
    else if (event.id.number == m_lastCallNumber)
        probeFailed(now, out);
    return out;
}

std::vector<failure_detector_action> failure_detector::handle(const observer_report &event,
                                                              time_point now)
{
    actions out;
    if (event.round != m_round || event.dataCentre == m_ownDataCentre)
        return out;
    m_reports.insert_or_assign(event.dataCentre, event.health);
    suspectIfAgreed(now, out);
    return out;
}

std::vector<failure_detector_action> failure_detector::handle(const time_passed & /*event*/,
                                                              time_point now)
{
    actions out;
    if (m_deadline > now)
        return out;
    switch (m_phase) {
    case phase::idle:
        startProbing(now, out);
        break;
    case phase::probing:
    case phase::confirming:
        probeFailed(now, out);
        break;
    case phase::confirmed:
        m_isSecondRound = false;
        startConfirming(freshTimeout(), now, out);
        break;
    }
    return out;
}

std::vector<failure_detector_action> failure_detector::probeNow(time_point now)
{
    actions out;
    if (m_phase == phase::idle)
        startProbing(now, out);
    return out;
}

std::optional<time_point> failure_detector::nextDeadline() const
{
    return m_deadline;
}

duration failure_detector::freshTimeout() const
{
    if (m_answerTimes.empty())
        return m_settings.minimumFreshTimeout;
    const duration slowest = std::ranges::max(m_answerTimes);
    return std::clamp(m_settings.freshTimeoutFactor * slowest, m_settings.minimumFreshTimeout,
                      m_settings.maximumFreshTimeout);
}

void failure_detector::sendProbe(bool freshConnection, time_point now, duration timeout,
                                 actions &out)
{
    m_sentAt = now;
    m_deadline = now + timeout;
    const call_id id{call_purpose::probe, m_series, ++m_lastCallNumber};
    out.emplace_back(
            call_member{id, m_view.primary, status_operation{}, freshConnection, m_deadline});
}

void failure_detector::startProbing(time_point now, actions &out)
{
    m_phase = phase::probing;
    sendProbe(false, now, m_settings.probeTimeout, out);
}

void failure_detector::startConfirming(duration timeout, time_point now, actions &out)
{
    m_phase = phase::confirming;
    m_reports.clear();
    sendProbe(true, now, timeout, out);
    out.emplace_back(query_observers{++m_round, m_view.primary, m_view.term, timeout});
}

void failure_detector::probeFailed(time_point now, actions &out)
{
    if (m_phase == phase::probing)
        return startConfirming(freshTimeout(), now, out);
    if (m_phase != phase::confirming)
        return;
    m_phase = phase::confirmed;
    m_deadline = now + m_settings.probeInterval;
    m_reports.insert_or_assign(m_ownDataCentre, primary_health::unresponsive);
    suspectIfAgreed(now, out);
}

void failure_detector::onStatus(const call_returned &event, time_point now, actions &out)
{
    if (event.id.number == m_lastCallNumber) {
        m_answerTimes.push_back(now - m_sentAt);
        if (m_answerTimes.size() > rememberedAnswerTimes)
            m_answerTimes.pop_front();
    }
    const bool answeredFresh = m_phase == phase::confirming && event.id.number == m_lastCallNumber;
    m_failedConnections += answeredFresh ? 1 : 0;
    m_phase = phase::idle;
    m_deadline = now + m_settings.probeInterval;
    m_reports.clear();
    m_isSecondRound = false;
    if (healthOf(event.answer, m_view.term) == primary_health::deposed)
        return suspect(suspicion_cause::deposed, out);
    onHealthyStatus(std::get<member_status>(event.answer), now, out);
}

void failure_detector::onHealthyStatus(const member_status &status, time_point now, actions &out)
{
    watchProgress(status, now, out);
    const bool isStalled = m_behindSince && now - *m_behindSince >= m_settings.stallTimeout;
    if (!m_suspected || isStalled)
        return;
    m_suspected = false;
    out.emplace_back(primary_recovered{});
}

void failure_detector::watchProgress(const member_status &status, time_point now, actions &out)
{
    const auto held = majorityHeldPosition(status, m_view.primary, m_members);
    const bool isBehind = !held || *held < status.position;
    const bool hasAdvanced = held != m_heldPosition;
    m_heldPosition = held;
    if (!isBehind) {
        m_behindSince.reset();
        return;
    }
    if (hasAdvanced || !m_behindSince)
        m_behindSince = now;
    if (now - *m_behindSince >= m_settings.stallTimeout)
        suspect(suspicion_cause::stalled, out);
}

void failure_detector::suspectIfAgreed(time_point now, actions &out)
{
    if (m_phase != phase::confirmed)
        return;
    const auto healthyCount = static_cast<std::size_t>(std::ranges::count(
            m_reports, primary_health::healthy, [](const auto &entry) { return entry.second; }));
    const auto unhealthyCount = m_reports.size() - healthyCount;
    if (unhealthyCount < m_settings.requiredDataCentres || unhealthyCount <= healthyCount)
        return;
    if (std::exchange(m_isSecondRound, true))
        return suspect(suspicion_cause::unresponsive, out);
    startConfirming(m_settings.verificationTimeout, now, out);
}

void failure_detector::suspect(suspicion_cause cause, actions &out)
{
    m_suspected = true;
    out.emplace_back(primary_suspected{cause});
}

} // namespace sycamorespan
