#include "sycamorespan/src/Membership/fleet_table.h"
#include "sycamorespan/src/Core/map_projections.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <utility>

namespace sycamorespan {

namespace {

bool hasSuspicion(const std::vector<primary_observation> &observations)
{
    return std::ranges::any_of(observations, [](const primary_observation &each) {
        return each.suspecting > 0 || each.demoted > 0;
    });
}

/** Adds \a each to the sums of the same database. Only observations of the newest view count. */
void add(std::map<database_id, primary_observation> &sums, const primary_observation &each)
{
    auto &sum = sums[each.database];
    if (each.viewRevision < sum.viewRevision)
        return;
    if (each.viewRevision > sum.viewRevision || sum.database != each.database)
        sum = {each.database, each.viewRevision};
    sum.suspecting += each.suspecting;
    sum.demoted += each.demoted;
    sum.answered += each.answered;
}

void add(std::map<server_id, server_load_report> &sums, const server_load_report &each)
{
    auto &sum = sums[each.server];
    sum.server = each.server;
    sum.runningStatements += each.runningStatements;
    if (each.capacity)
        sum.capacity = sum.capacity ? merge(*sum.capacity, *each.capacity) : each.capacity;
}

template<typename Sums>
auto valuesOf(const Sums &sums)
{
    std::vector<typename Sums::mapped_type> values;
    std::ranges::transform(sums, std::back_inserter(values), mappedOf);
    return values;
}

} // namespace

fleet_table::fleet_table(instance_incarnation self, const fleet_policy &policy)
    : m_self(std::move(self))
    , m_policy(policy)
    , m_instancesDigest(digestOf(std::vector<instance_incarnation>{}))
{ }

std::string_view nameOf(report_cause cause)
{
    switch (cause) {
    case report_cause::regular:
        return "regular";
    case report_cause::requested:
        return "requested";
    case report_cause::released:
        return "released";
    case report_cause::suspected:
        return "suspected";
    case report_cause::stopping:
        return "stopping";
    }
    return "unknown";
}

/** Has the next reports sent soon. The first cause since the last ones is kept, except that a
 * release replaces the others, because it is sent sooner.
 */
void fleet_table::urge(report_cause cause)
{
    if (!m_urgentCause || cause == report_cause::released)
        m_urgentCause = cause;
}

// What is known of the other instances.

void fleet_table::setInstances(const std::vector<instance_incarnation> &registered,
                               reference_time readAt, store_revision revision, time_point now)
{
    if (readAt <= m_instancesReadAt)
        return;
    m_instancesReadAt = readAt;
    m_instancesRevision = revision;
    m_registered = registered;
    m_instancesDigest = digestOf(registered);
    for (auto &[id, each] : m_instances)
        each.isRegistered = false;
    std::ranges::for_each(registered, [&](const instance_incarnation &run) {
        if (run.instance == m_self.instance)
            return;
        auto &known = m_instances[run.instance];
        if (known.firstKnown == time_point())
            known.firstKnown = now;
        // A new incarnation that is heard of is newer than the list.
        const bool isHeard = known.coveredAt && now - *known.coveredAt < m_policy.stateTimeout;
        if (!isHeard)
            known.run = run;
        known.isRegistered = true;
    });
    std::erase_if(m_instances, [&](const auto &entry) {
        const auto &each = entry.second;
        const auto heard = std::max(each.coveredAt.value_or(time_point()),
                                    each.relayHeardAt.value_or(time_point()));
        return !each.isRegistered && now - heard > m_policy.removeAfter;
    });
    merge();
}

fleet_table::known_instance &fleet_table::noteSender(const instance_incarnation &sender,
                                                     time_point now)
{
    auto &known = m_instances[sender.instance];
    if (known.firstKnown == time_point())
        known.firstKnown = now;
    if (known.run.incarnation != sender.incarnation)
        known.viewsDigest.reset();
    if (known.run != sender) {
        known.run = sender;
        m_candidates.reset();
    }
    return known;
}

bool fleet_table::handle(const instance_report &report, time_point now)
{
    if (report.sender.instance == m_self.instance)
        return false;
    auto &known = noteSender(report.sender, now);
    known.viewsDigest = report.news.viewsDigest;
    known.coveredAt = now;
    const auto former = m_reports.find(report.sender.instance);
    const bool isNew = former == m_reports.end()
                       || former->second.report.sender.incarnation != report.sender.incarnation;
    if (!isNew) {
        const auto &last = former->second.report;
        if (report.sentAt && last.sentAt && *report.sentAt < *last.sentAt)
            return false; // the datagrams were reordered
        if (report.releasedThrough > last.releasedThrough)
            urge(report_cause::released);
        if (report.flags.shuttingDown != last.flags.shuttingDown)
            urge(report_cause::stopping);
        if (hasSuspicion(report.observations) && !hasSuspicion(last.observations))
            urge(report_cause::suspected);
    }
    m_reports.insert_or_assign(report.sender.instance, received_report{report, now});
    return isNew;
}

void fleet_table::handle(const relay_report &report, time_point now)
{
    if (report.sender.instance == m_self.instance)
        return;
    auto &known = noteSender(report.sender, now);
    known.viewsDigest = report.news.viewsDigest;
    known.relayHeardAt = now;
    known.addressedSince.reset();
    std::ranges::for_each(report.dataCentres, [&](const data_centre_state &state) {
        storeState(state, now - state.age);
    });
    merge();
}

/** Stores a state unless a newer one of the same relay is known. */
void fleet_table::storeState(const data_centre_state &state, time_point asOf)
{
    const std::pair key(state.dataCentre, state.relay);
    const auto former = m_states.find(key);
    if (former != m_states.end()) {
        if (asOf <= former->second.asOf)
            return;
        const auto &last = former->second.state;
        if (m_isRelay && state.releasedThrough > last.releasedThrough)
            urge(report_cause::released);
        if (m_isRelay && hasSuspicion(state.observations) && !hasSuspicion(last.observations))
            urge(report_cause::suspected);
    }
    m_states.insert_or_assign(key, known_state{state, asOf});
}

void fleet_table::refresh(time_point now)
{
    const auto isOutdated = [&](const auto &entry) {
        return now - entry.second.asOf > m_policy.stateTimeout;
    };
    const bool isChanged = std::erase_if(m_states, isOutdated) > 0;
    std::erase_if(m_reports, [&](const auto &entry) {
        return now - entry.second.receivedAt > m_policy.stateTimeout;
    });
    if (isChanged)
        merge();
}

/** Merges the states of all data centres. */
void fleet_table::merge()
{
    m_candidates.reset();
    m_covered.clear();
    std::map<std::uint64_t, time_point> coveredAt;
    for (const auto &[key, known] : m_states) {
        const auto &state = known.state;
        for (const auto &entry : state.instances) {
            auto &merged = m_covered[entry.incarnation];
            auto &newest = coveredAt[entry.incarnation];
            if (known.asOf >= newest) {
                newest = known.asOf;
                merged.flags = entry.flags;
            }
            merged.releasedThrough = std::max(merged.releasedThrough, state.releasedThrough);
            const bool knowsSameInstances =
                    entry.flags.knowsSameInstances && state.instancesDigest == m_instancesDigest;
            if (entry.flags.attests && state.attestedAt && knowsSameInstances)
                merged.attestations.emplace_back(state.viewsDigest, *state.attestedAt);
        }
    }
    for (auto &[id, known] : m_instances)
        if (const auto at = coveredAt.find(known.run.incarnation); at != coveredAt.end())
            known.coveredAt = std::max(known.coveredAt.value_or(at->second), at->second);
    m_loads.clear();
    std::ranges::for_each(bestStates(), [&](const known_state *best) {
        std::ranges::for_each(best->state.loads,
                              [&](const server_load_report &load) { add(m_loads, load); });
    });
}

/** \returns the state of each data centre with the most instances, and of these the newest. */
std::vector<const fleet_table::known_state *> fleet_table::bestStates() const
{
    std::map<data_centre_id, const known_state *> best;
    for (const auto &[key, known] : m_states) {
        auto &chosen = best[key.first];
        const auto rank = [](const known_state &each) {
            return std::pair(each.state.instances.size(), each.asOf);
        };
        if (!chosen || rank(known) > rank(*chosen))
            chosen = &known;
    }
    return valuesOf(best);
}

// Reports.

time_point fleet_table::nextReportsAt() const
{
    const auto regular = m_lastReportsAt + m_policy.reportInterval;
    if (!m_urgentCause)
        return regular;
    const auto soonest = m_lastReportsAt + m_policy.urgentInterval;
    // A change of primary waits for releases. The changes of views bound their number.
    if (*m_urgentCause == report_cause::released)
        return std::min(regular, soonest);
    const auto allowed = m_urgentReportsCoverUntil - m_policy.urgentBurst * m_policy.reportInterval;
    return std::min(regular, std::max(soonest, allowed));
}

std::vector<outgoing_report> fleet_table::makeReports(const instance_report &own, time_point now)
{
    if (now < m_lastReportsAt + m_policy.reportInterval)
        m_urgentReportsCoverUntil =
                std::max(m_urgentReportsCoverUntil, now) + m_policy.reportInterval;
    m_lastReportsAt = now;
    m_lastReportCause = m_urgentCause.value_or(report_cause::regular);
    m_urgentCause.reset();
    m_ownLoads = own.loads;
    std::vector<outgoing_report> reports;
    const auto relays = ownRelays(own.flags, now);
    const auto isSelf = [this](const instance_incarnation &each) {
        return each.instance == m_self.instance;
    };
    auto addressed = relays;
    std::erase_if(addressed, isSelf);
    noteAddressed(addressed, now);
    addReport(reports, addressed, own);
    const auto place = std::ranges::find_if(relays, isSelf);
    m_isRelay = place != relays.end() || !m_reports.empty();
    if (!m_isRelay)
        return reports;
    storeState(aggregate(own, now), now);
    merge();
    std::vector<instance_incarnation> members;
    for (const auto &[id, received] : m_reports)
        members.push_back(received.report.sender);
    addReport(reports, members, relay_report{m_self, own.sentAt, own.news, statesToSend(now)});
    const auto rank = static_cast<std::size_t>(place - relays.begin());
    std::set<data_centre_id> dataCentres;
    for (const auto &[id, known] : m_instances)
        dataCentres.insert(known.run.dataCentre);
    dataCentres.erase(m_self.dataCentre);
    std::vector<instance_incarnation> receivers;
    std::ranges::for_each(dataCentres, [&](const data_centre_id &dataCentre) {
        std::ranges::copy(relaysOf(dataCentre, rank, relays.size() < 2, now),
                          std::back_inserter(receivers));
    });
    addReport(reports, receivers, relay_report{m_self, own.sentAt, own.news, {ownState()}});
    return reports;
}

/** Adds a report to the receivers, with the views for those that don't know the same ones. */
template<typename Report>
void fleet_table::addReport(std::vector<outgoing_report> &to,
                            const std::vector<instance_incarnation> &receivers, Report report) const
{
    std::vector<std::string> current;
    std::vector<std::string> others;
    std::ranges::for_each(receivers, [&](const instance_incarnation &each) {
        const auto known = m_instances.find(each.instance);
        const bool isCurrent =
                known != m_instances.end() && known->second.viewsDigest == report.news.viewsDigest;
        (isCurrent ? current : others).push_back(each.address);
    });
    if (!others.empty())
        to.push_back({std::move(others), report});
    report.news.views.clear();
    if (!current.empty())
        to.push_back({std::move(current), std::move(report)});
}

void fleet_table::noteAddressed(const std::vector<instance_incarnation> &relays, time_point now)
{
    std::ranges::for_each(relays, [&](const instance_incarnation &each) {
        auto &known = m_instances.at(each.instance);
        if (!known.addressedSince)
            known.addressedSince = now;
    });
    // A relay that was silent for long gets another chance.
    for (auto &[id, known] : m_instances)
        if (known.addressedSince
            && now - *known.addressedSince > m_policy.relayTimeout + m_policy.relayRetryInterval)
            known.addressedSince.reset();
}

/** \returns whether the instance was addressed as a relay for some time without an answer. */
bool fleet_table::isSilent(const known_instance &candidate, time_point now) const
{
    return candidate.addressedSince && now - *candidate.addressedSince > m_policy.relayTimeout;
}

/** \returns the relays to which this instance reports, itself among them if it is preferred. */
std::vector<instance_incarnation> fleet_table::ownRelays(const instance_flags &ownFlags,
                                                         time_point now) const
{
    std::vector<instance_incarnation> relays;
    if (!ownFlags.shuttingDown)
        relays.push_back(m_self);
    for (const auto &[id, known] : m_instances) {
        const auto covered = m_covered.find(known.run.incarnation);
        const bool isStopping = covered != m_covered.end() && covered->second.flags.shuttingDown;
        if (known.run.dataCentre == m_self.dataCentre && !isStopping && !isSilent(known, now))
            relays.push_back(known.run);
    }
    std::ranges::sort(relays, isPreferred);
    relays.resize(std::min(relays.size(), m_policy.relaysPerDataCentre));
    return relays;
}

/** \returns the relays of another data centre to which this relay reports: the one of the same
 * rank, or all if this data centre has no other relay. A relay is known because it was heard, or
 * from the state that it aggregated. Without any known relay the preferred instance of the same
 * rank is addressed, as it is most likely a relay, and the others in turn.
 */
std::vector<instance_incarnation> fleet_table::relaysOf(const data_centre_id &dataCentre,
                                                        std::size_t rank, bool isOnlyRelay,
                                                        time_point now)
{
    std::vector<instance_incarnation> candidates;
    std::vector<instance_incarnation> active;
    for (const auto &[id, known] : m_instances) {
        if (known.run.dataCentre != dataCentre)
            continue;
        candidates.push_back(known.run);
        const bool isHeard =
                known.relayHeardAt && now - *known.relayHeardAt < m_policy.relayTimeout;
        if (isHeard || m_states.contains({dataCentre, known.run.incarnation}))
            active.push_back(known.run);
    }
    std::ranges::sort(candidates, isPreferred);
    std::ranges::sort(active, isPreferred);
    if (active.empty()) {
        const auto since = m_noRelaySince.try_emplace(dataCentre, now).first->second;
        const auto preferred = std::min(rank, candidates.size() - 1);
        const auto turn = rank + static_cast<std::size_t>((now - since) / m_policy.reportInterval);
        if (turn % candidates.size() == preferred)
            return {candidates[preferred]};
        return {candidates[preferred], candidates[turn % candidates.size()]};
    }
    m_noRelaySince.erase(dataCentre);
    if (isOnlyRelay) {
        active.resize(std::min(active.size(), m_policy.relaysPerDataCentre));
        return active;
    }
    return {active[std::min(rank, active.size() - 1)]};
}

/** \returns the state of this data centre from the recent reports. */
data_centre_state fleet_table::aggregate(const instance_report &own, time_point now) const
{
    data_centre_state state;
    state.dataCentre = m_self.dataCentre;
    state.relay = m_self.incarnation;
    state.instancesDigest = m_instancesDigest;
    state.viewsDigest = own.news.viewsDigest;
    state.releasedThrough = own.releasedThrough;
    std::map<database_id, primary_observation> observations;
    std::map<server_id, server_load_report> loads;
    const auto include = [&](const instance_report &report) {
        auto flags = report.flags;
        flags.attests =
                flags.attests && report.sentAt && report.news.viewsDigest == state.viewsDigest;
        flags.knowsSameInstances = report.news.instancesDigest == m_instancesDigest;
        if (flags.attests)
            state.attestedAt = std::min(state.attestedAt.value_or(*report.sentAt), *report.sentAt);
        state.releasedThrough = std::min(state.releasedThrough, report.releasedThrough);
        state.instances.push_back({report.sender.incarnation, flags});
        std::ranges::for_each(report.observations,
                              [&](const primary_observation &each) { add(observations, each); });
        std::ranges::for_each(report.loads,
                              [&](const server_load_report &load) { add(loads, load); });
    };
    include(own);
    for (const auto &[id, received] : m_reports)
        if (now - received.receivedAt <= m_policy.liveTimeout)
            include(received.report);
    state.observations = valuesOf(observations);
    state.loads = valuesOf(loads);
    return state;
}

/** \returns the state of this data centre for other ones. It leaves out observations of primaries
 * that nobody suspects.
 */
data_centre_state fleet_table::ownState() const
{
    auto state = m_states.at({m_self.dataCentre, m_self.incarnation}).state;
    std::set<database_id> suspected;
    for (const auto &[key, known] : m_states)
        for (const auto &each : known.state.observations)
            if (each.suspecting > 0 || each.demoted > 0)
                suspected.insert(each.database);
    std::erase_if(state.observations, [&](const primary_observation &each) {
        return !suspected.contains(each.database);
    });
    return state;
}

std::vector<data_centre_state> fleet_table::statesToSend(time_point now) const
{
    std::vector<data_centre_state> states;
    std::ranges::transform(bestStates(), std::back_inserter(states), [&](const known_state *best) {
        auto state = best->state;
        state.age = now - best->asOf;
        return state;
    });
    return states;
}

// Queries.

bool fleet_table::lacksInstances(const fleet_news &news) const
{
    return news.instancesDigest != m_instancesDigest && news.instancesReadAt > m_instancesReadAt;
}

std::optional<instance_incarnation> fleet_table::incarnationOf(const instance_id &instance) const
{
    const auto known = m_instances.find(instance);
    return known == m_instances.end() ? std::nullopt : std::optional(known->second.run);
}

std::vector<instance_incarnation> fleet_table::others() const
{
    std::vector<instance_incarnation> result;
    for (const auto &[id, known] : m_instances)
        result.push_back(known.run);
    return result;
}

std::vector<instance_incarnation> fleet_table::live() const
{
    std::vector<instance_incarnation> result;
    for (const auto &[id, known] : m_instances)
        if (isLive(known))
            result.push_back(known.run);
    return result;
}

std::size_t fleet_table::liveCount() const
{
    const auto isCounted = [this](const known_instance &known) { return isLive(known); };
    return static_cast<std::size_t>(std::ranges::count_if(m_instances, isCounted, mappedOf));
}

bool fleet_table::isLive(const known_instance &known) const
{
    return m_covered.contains(known.run.incarnation);
}

std::vector<instance_incarnation> fleet_table::expectedLive(time_point now) const
{
    std::vector<instance_incarnation> result;
    for (const auto &[id, known] : m_instances) {
        const bool isNew = known.isRegistered && !known.coveredAt
                           && now - known.firstKnown < m_policy.stateTimeout;
        if (isNew || isLive(known))
            result.push_back(known.run);
    }
    return result;
}

std::optional<duration> fleet_table::timeSinceHeard(const instance_id &instance,
                                                    time_point now) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end() || !found->second.coveredAt)
        return std::nullopt;
    return now - *found->second.coveredAt;
}

std::optional<instance_flags> fleet_table::flagsOf(const instance_id &instance) const
{
    const auto known = m_instances.find(instance);
    if (known == m_instances.end())
        return std::nullopt;
    const auto covered = m_covered.find(known->second.run.incarnation);
    return covered == m_covered.end() ? std::nullopt : std::optional(covered->second.flags);
}

const std::vector<instance_incarnation> &
fleet_table::candidates(const instance_flags &ownFlags) const
{
    const auto mayServe = [](const instance_flags &flags) {
        return flags.storeReachable && !flags.shuttingDown;
    };
    const bool includesSelf = mayServe(ownFlags);
    if (m_candidates && m_candidates->includesSelf == includesSelf)
        return m_candidates->instances;
    std::vector<instance_incarnation> result;
    if (includesSelf)
        result.push_back(m_self);
    for (const auto &[id, known] : m_instances) {
        const auto covered = m_covered.find(known.run.incarnation);
        if (covered != m_covered.end() && mayServe(covered->second.flags))
            result.push_back(known.run);
    }
    std::ranges::sort(result, isPreferred);
    m_candidates = candidate_list{includesSelf, std::move(result)};
    return m_candidates->instances;
}

/** \returns whether all other registered instances are covered and fulfil the condition. */
template<typename Condition>
bool fleet_table::allRegistered(Condition condition) const
{
    return std::ranges::all_of(
            m_instances,
            [&](const known_instance &known) {
                if (!known.isRegistered)
                    return true;
                const auto covered = m_covered.find(known.run.incarnation);
                return covered != m_covered.end() && condition(covered->second);
            },
            mappedOf);
}

bool fleet_table::released(row_revision revision) const
{
    return m_instancesRevision >= storeAfter(revision)
           && allRegistered(
                   [&](const coverage &covered) { return covered.releasedThrough >= revision; });
}

std::size_t fleet_table::quorumSize() const
{
    const auto others = std::ranges::count_if(
            m_instances, [](const known_instance &known) { return known.isRegistered; }, mappedOf);
    return static_cast<std::size_t>(
            std::ceil(static_cast<double>(others + 1) * m_policy.quorumFraction));
}

/** \returns what the states tell of the other registered instances. */
std::vector<fleet_table::coverage> fleet_table::coveredRegistered() const
{
    std::vector<coverage> result;
    for (const auto &[id, known] : m_instances) {
        const auto covered = m_covered.find(known.run.incarnation);
        if (known.isRegistered && covered != m_covered.end())
            result.push_back(covered->second);
    }
    return result;
}

bool fleet_table::releasedByQuorum(row_revision revision, bool ownReleased) const
{
    if (m_instancesRevision < storeAfter(revision))
        return false;
    const auto released = std::ranges::count_if(coveredRegistered(), [&](const coverage &each) {
        return each.releasedThrough >= revision;
    });
    return static_cast<std::size_t>(released) + (ownReleased ? 1 : 0) >= quorumSize();
}

/** \returns the newest attestation of each other registered instance that attests to the views. */
std::vector<reference_time> fleet_table::attestationsTo(std::uint64_t viewsDigest) const
{
    std::vector<reference_time> attestations;
    for (const auto &covered : coveredRegistered()) {
        std::optional<reference_time> newest;
        for (const auto &[digest, at] : covered.attestations)
            if (digest == viewsDigest)
                newest = std::max(newest.value_or(at), at);
        if (newest)
            attestations.push_back(*newest);
    }
    return attestations;
}

std::size_t fleet_table::attestingCount(std::uint64_t viewsDigest) const
{
    return attestationsTo(viewsDigest).size();
}

std::optional<reference_time> fleet_table::attestedByQuorumAt(std::uint64_t viewsDigest) const
{
    auto attestations = attestationsTo(viewsDigest);
    const auto needed = quorumSize() - 1; // besides this instance
    if (needed == 0 || attestations.size() < needed)
        return std::nullopt;
    std::ranges::sort(attestations, std::greater{});
    return attestations[needed - 1];
}

std::optional<reference_time> fleet_table::attestedAt(std::uint64_t viewsDigest) const
{
    std::optional<reference_time> oldest;
    const bool allAttest = allRegistered([&](const coverage &covered) {
        std::optional<reference_time> newest;
        for (const auto &[digest, at] : covered.attestations)
            if (digest == viewsDigest)
                newest = std::max(newest.value_or(at), at);
        if (newest)
            oldest = std::min(oldest.value_or(*newest), *newest);
        return newest.has_value();
    });
    return allAttest ? oldest : std::nullopt;
}

fleet_observation fleet_table::observationOf(const database_id &database,
                                             row_revision viewRevision) const
{
    fleet_observation sum;
    std::ranges::for_each(bestStates(), [&](const known_state *best) {
        sum.live += best->state.instances.size();
        const auto &observations = best->state.observations;
        const auto found =
                std::ranges::find(observations, database, &primary_observation::database);
        if (found == observations.end() || found->viewRevision != viewRevision)
            return;
        sum.suspecting += found->suspecting;
        sum.demoted += found->demoted;
        sum.answered += found->answered;
    });
    return sum;
}

std::size_t fleet_table::statementsOfOthers(const server_id &server) const
{
    const auto total = m_loads.find(server);
    if (total == m_loads.end())
        return 0;
    const auto own = std::ranges::find(m_ownLoads, server, &server_load_report::server);
    const auto ownStatements = own == m_ownLoads.end() ? 0U : own->runningStatements;
    const auto running = total->second.runningStatements;
    return running - std::min(running, ownStatements);
}

std::optional<member_capacity> fleet_table::reportedCapacity(const server_id &server) const
{
    const auto known = m_loads.find(server);
    return known == m_loads.end() ? std::nullopt : known->second.capacity;
}

std::optional<bool> fleet_table::hearsOtherDataCentres(time_point now) const
{
    const auto isElsewhere = [this](const known_instance &known) {
        return known.run.dataCentre != m_self.dataCentre;
    };
    if (std::ranges::none_of(m_instances, isElsewhere, mappedOf))
        return std::nullopt;
    return std::ranges::any_of(m_states, [&](const auto &entry) {
        return entry.first.first != m_self.dataCentre
               && now - entry.second.asOf < m_policy.dataCentreTimeout;
    });
}

bool fleet_table::hearsOwnDataCentre(time_point now) const
{
    const auto isHeardRelay = [&](const known_instance &known) {
        return known.run.dataCentre == m_self.dataCentre && known.relayHeardAt
               && now - *known.relayHeardAt < m_policy.relayTimeout;
    };
    return std::ranges::any_of(m_instances, isHeardRelay, mappedOf);
}

std::vector<instance_incarnation> fleet_table::expiredRegistrations(time_point now) const
{
    std::vector<instance_incarnation> result;
    for (const auto &[id, known] : m_instances) {
        const auto since = std::max(known.coveredAt.value_or(known.firstKnown), known.firstKnown);
        if (known.isRegistered && now - since > m_policy.removeAfter)
            result.push_back(known.run);
    }
    return result;
}

} // namespace sycamorespan
