#include "sycamorespan/src/Configuration/freshness_tracker.h"

#include <algorithm>
#include <chrono>

namespace sycamorespan::configuration {

namespace {

constexpr std::chrono::milliseconds maxReportedAge = 1h;

messages::freshness_evidence toMessage(const data_centre_id &dataCentre,
                                       const freshness_evidence &evidence, time_point now)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - evidence.asOf);
    const auto bounded = std::clamp(age, std::chrono::milliseconds::zero(), maxReportedAge);
    return {dataCentre, static_cast<std::uint64_t>(bounded.count()), evidence.version};
}

bool isNewer(const freshness_evidence &left, const std::optional<freshness_evidence> &right)
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
    if (isNewer(evidence, m_standalone))
        m_standalone = evidence;
}

void freshness_tracker::dataCentreReported(const data_centre_id &dataCentre,
                                           const freshness_evidence &evidence)
{
    auto &report = m_reports.try_emplace(dataCentre, evidence).first->second;
    if (evidence.asOf > report.asOf)
        report = evidence;
}

void freshness_tracker::peerAnswered(time_point sentAt, const messages::freshness_answer &answer)
{
    for (const auto &[dataCentre, ageMs, version] : answer.evidence) {
        const freshness_evidence evidence{sentAt - std::chrono::milliseconds(ageMs), version};
        if (dataCentre.empty())
            evidenceFound(evidence);
        else
            dataCentreReported(dataCentre, evidence);
    }
}

std::vector<messages::freshness_evidence>
freshness_tracker::evidenceAt(time_point now, const data_centre_id &ownDataCentre) const
{
    std::vector<messages::freshness_evidence> result;
    if (const auto evidence = newest())
        result.push_back(toMessage({}, *evidence, now));
    const bool includesAllReports = isOlderThan(m_bound / 2, now);
    for (const auto &[dataCentre, report] : m_reports) {
        const bool isIncluded = includesAllReports || dataCentre == ownDataCentre;
        if (isIncluded && now - report.asOf <= m_bound)
            result.push_back(toMessage(dataCentre, report, now));
    }
    return result;
}

std::optional<freshness_evidence> freshness_tracker::newest() const
{
    const auto combined = combinedReports();
    if (combined && isNewer(*combined, m_standalone))
        return combined;
    return m_standalone;
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
