#include "sycamorespan/src/Membership/peer_table.h"
#include "sycamorespan/src/Core/map_projections.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace sycamorespan {

peer_table::peer_table(instance_incarnation self, const peer_policy &policy)
    : m_self(std::move(self))
    , m_policy(policy)
{ }

duration peer_table::reportInterval() const
{
    if (sendsFullReportsToAll())
        return m_policy.reportInterval;
    return m_policy.briefIntervalPerInstance * static_cast<std::int64_t>(m_peers.size() + 1);
}

duration peer_table::fullReportInterval() const
{
    return sendsFullReportsToAll() ? m_policy.reportInterval : m_policy.fullReportInterval;
}

duration peer_table::reportTimeout() const
{
    return sendsFullReportsToAll() ? reportInterval() * m_policy.missedReports
                                   : reportInterval() * m_policy.missedBriefReports;
}

void peer_table::setRegistered(const std::vector<instance_incarnation> &instances, time_point now)
{
    for (auto &[key, each] : m_peers)
        each.isRegistered = false;
    std::ranges::for_each(instances, [&](const instance_incarnation &run) {
        if (run.instance == m_self.instance)
            return;
        auto &known = m_peers[run.instance];
        if (!known.lastHeard || known.run.incarnation == run.incarnation)
            known.run = run;
        if (known.firstKnown == time_point())
            known.firstKnown = now;
        known.isRegistered = true;
    });
    std::erase_if(m_peers, [&](const auto &entry) {
        const auto &each = entry.second;
        const bool unresponsive = !each.lastHeard || now - *each.lastHeard > m_policy.removeAfter;
        return !each.isRegistered && unresponsive;
    });
}

bool peer_table::handleReport(const peer_report &report, time_point now)
{
    if (report.sender.instance == m_self.instance)
        return false;
    auto &known = m_peers[report.sender.instance];
    const bool isNew = !known.lastHeard || known.run.incarnation != report.sender.incarnation;
    if (known.firstKnown == time_point())
        known.firstKnown = now;
    known.run = report.sender;
    known.lastHeard = now;
    known.refusedAt.reset();
    known.report = report;
    return isNew;
}

void peer_table::connectionRefused(const instance_id &instance, time_point now)
{
    const auto known = m_peers.find(instance);
    if (known != m_peers.end())
        known->second.refusedAt = now;
}

std::vector<instance_incarnation> peer_table::targets(time_point now) const
{
    std::vector<instance_incarnation> result;
    for (const auto &[key, each] : m_peers)
        if (each.isRegistered || (each.lastHeard && now - *each.lastHeard < m_policy.removeAfter))
            result.push_back(each.run);
    return result;
}

std::vector<const peer_report *> peer_table::recentReports(time_point now) const
{
    const auto limit = fullReportInterval() * 2 + m_policy.reportDelay;
    std::vector<const peer_report *> result;
    for (const auto &[id, each] : m_peers)
        if (each.lastHeard && now - *each.lastHeard <= limit)
            result.push_back(&each.report);
    return result;
}

std::optional<duration> peer_table::timeSinceReport(const instance_id &instance,
                                                    time_point now) const
{
    const auto known = m_peers.find(instance);
    if (known == m_peers.end() || !known->second.lastHeard)
        return std::nullopt;
    return now - *known->second.lastHeard;
}

bool peer_table::isLive(const instance_id &instance, time_point now) const
{
    const auto sinceReport = timeSinceReport(instance, now);
    return sinceReport && *sinceReport < reportTimeout();
}

std::vector<instance_incarnation> peer_table::live(time_point now) const
{
    std::vector<instance_incarnation> result;
    for (const auto &[id, each] : m_peers)
        if (isLive(id, now))
            result.push_back(each.run);
    return result;
}

std::vector<instance_incarnation> peer_table::expectedLive(time_point now) const
{
    std::vector<instance_incarnation> result;
    for (const auto &[id, each] : m_peers) {
        const bool isNew =
                !each.lastHeard && each.isRegistered && now - each.firstKnown < reportTimeout();
        if (isNew || isLive(id, now))
            result.push_back(each.run);
    }
    return result;
}

std::optional<instance_incarnation> peer_table::incarnationOf(const instance_id &instance) const
{
    const auto known = m_peers.find(instance);
    return known == m_peers.end() ? std::nullopt : std::optional(known->second.run);
}

const peer_report *peer_table::reportOf(const instance_id &instance) const
{
    const auto known = m_peers.find(instance);
    return known == m_peers.end() || !known->second.lastHeard ? nullptr : &known->second.report;
}

std::size_t peer_table::instanceCount(time_point now) const
{
    return targets(now).size() + 1;
}

std::size_t peer_table::statementsOfOthers(const server_id &server, time_point now) const
{
    std::size_t total = 0;
    for (const auto &[id, each] : m_peers) {
        if (!isLive(id, now))
            continue;
        const auto load = std::ranges::find(each.report.loads, server, &server_load_report::server);
        if (load != each.report.loads.end())
            total += load->runningStatements;
    }
    return total;
}

bool peer_table::mayUseViews(const peer &each, time_point now) const
{
    const bool ended = each.refusedAt && (!each.lastHeard || *each.refusedAt > *each.lastHeard);
    if (ended)
        return false;
    return each.isRegistered || (each.lastHeard && now - *each.lastHeard < m_policy.removeAfter);
}

bool peer_table::released(const database_id &database, std::uint64_t revision, time_point now) const
{
    const auto hasReleased = [&](const peer &each) {
        if (!mayUseViews(each, now))
            return true;
        if (!each.lastHeard)
            return false;
        const auto &reports = each.report.databases;
        const auto found = std::ranges::find(reports, database, &database_report::database);
        return found != reports.end() && found->releasedRevision >= revision;
    };
    return std::ranges::all_of(m_peers, hasReleased, mappedOf);
}

std::set<instance_id> peer_table::registered() const
{
    std::set<instance_id> result;
    for (const auto &[id, each] : m_peers)
        if (each.isRegistered || each.lastHeard)
            result.insert(id);
    return result;
}

std::optional<bool> peer_table::hearsOtherDataCentres(time_point now) const
{
    std::optional<bool> hears;
    for (const auto &[key, each] : m_peers) {
        if (each.run.dataCentre == m_self.dataCentre)
            continue;
        const bool heard = each.lastHeard && now - *each.lastHeard < m_policy.dataCentreTimeout;
        hears = hears.value_or(false) || heard;
    }
    return hears;
}

std::vector<instance_id> peer_table::inAgreedOrder(time_point now) const
{
    std::vector<instance_id> order{m_self.instance};
    for (const auto &[id, each] : m_peers)
        if (isLive(id, now) && !each.report.shuttingDown && each.report.storeReachable)
            order.push_back(id);
    std::ranges::sort(order);
    return order;
}

bool peer_table::isFirstOfDataCentre(time_point now) const
{
    const auto isNearby = [this](const instance_id &id) {
        const auto known = m_peers.find(id);
        return known == m_peers.end() || known->second.run.dataCentre == m_self.dataCentre;
    };
    const auto order = inAgreedOrder(now);
    const auto first = std::ranges::find_if(order, isNearby);
    return first != order.end() && *first == m_self.instance;
}

std::vector<instance_incarnation> peer_table::expiredRegistrations(time_point now) const
{
    std::vector<instance_incarnation> result;
    for (const auto &[key, each] : m_peers) {
        const auto since = std::max(each.lastHeard.value_or(each.firstKnown), each.firstKnown);
        if (each.isRegistered && now - since > m_policy.removeAfter)
            result.push_back(each.run);
    }
    return result;
}

} // namespace sycamorespan
