#include "sycamorespan/src/Configuration/freshness_tracker.h"

#include <algorithm>
#include <chrono>

namespace sycamorespan::configuration {

namespace {

constexpr std::chrono::milliseconds longestStatedAge = 1h;

messages::freshness_evidence stated(const data_centre_id &dataCentre,
                                    const freshness_evidence &evidence, time_point now)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - evidence.asOf);
    const auto bounded = std::clamp(age, std::chrono::milliseconds::zero(), longestStatedAge);
    return {dataCentre, static_cast<std::uint64_t>(bounded.count()), evidence.version};
}

bool isLater(const freshness_evidence &left, const std::optional<freshness_evidence> &right)
{
    return !right || left.asOf > right->asOf;
}

} // namespace

freshness_tracker::freshness_tracker(duration bound)
    : m_bound(bound)
{ }

void freshness_tracker::setDataCentres(std::set<data_centre_id> dataCentres)
{
    m_dataCentres = std::move(dataCentres);
}

void freshness_tracker::evidenceFound(const freshness_evidence &evidence)
{
    if (isLater(evidence, m_direct))
        m_direct = evidence;
}

void freshness_tracker::dataCentreReported(const data_centre_id &dataCentre,
                                           const freshness_evidence &evidence)
{
    auto &report = m_reports.try_emplace(dataCentre, evidence).first->second;
    if (evidence.asOf > report.asOf)
        report = evidence;
}

void freshness_tracker::peerAnswered(time_point askedAt, const messages::freshness_answer &answer)
{
    for (const auto &[dataCentre, ageMs, version] : answer.evidence) {
        const freshness_evidence evidence{askedAt - std::chrono::milliseconds(ageMs), version};
        if (dataCentre.empty())
            evidenceFound(evidence);
        else
            dataCentreReported(dataCentre, evidence);
    }
}

std::vector<messages::freshness_evidence>
freshness_tracker::evidenceAt(time_point now, const data_centre_id &own) const
{
    std::vector<messages::freshness_evidence> result;
    if (const auto evidence = newest())
        result.push_back(stated({}, *evidence, now));
    const bool isAllTold = isOlderThan(m_bound / 2, now);
    for (const auto &[dataCentre, report] : m_reports) {
        const bool isTold = isAllTold || dataCentre == own;
        if (isTold && now - report.asOf <= m_bound)
            result.push_back(stated(dataCentre, report, now));
    }
    return result;
}

std::optional<freshness_evidence> freshness_tracker::newest() const
{
    const auto combined = combinedReports();
    if (combined && isLater(*combined, m_direct))
        return combined;
    return m_direct;
}

bool freshness_tracker::isOlderThan(duration age, time_point now) const
{
    const auto evidence = newest();
    return !evidence || now - evidence->asOf > age;
}

bool freshness_tracker::isFresh(time_point now, configuration_version inForce) const
{
    return !isOlderThan(m_bound, now) && inForce > 0 && inForce >= newest()->version;
}

std::optional<freshness_evidence> freshness_tracker::combinedReports() const
{
    std::optional<freshness_evidence> result;
    for (const auto &dataCentre : m_dataCentres) {
        const auto found = m_reports.find(dataCentre);
        if (found == m_reports.end())
            return std::nullopt;
        const auto &report = found->second;
        result = result ? freshness_evidence{std::min(result->asOf, report.asOf),
                                             std::max(result->version, report.version)}
                        : report;
    }
    return result;
}

} // namespace sycamorespan::configuration
