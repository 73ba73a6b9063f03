#include "sycamorespan/src/Configuration/configuration_reader.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>

namespace sycamorespan::configuration {

namespace {

constexpr std::size_t treeFanOut = 8;
constexpr unsigned maxBackoffExponent = 3;
constexpr double minJitterFactor = 0.75;
constexpr double jitterFactorRange = 0.5;

std::string rankingKey(const data_centre_id &dataCentre)
{
    return "configuration/" + dataCentre.str();
}

} // namespace

configuration_reader::configuration_reader(agent_peer self, const reader_timing &timing,
                                           random_source random, time_point start)
    : m_self(std::move(self))
    , m_timing(timing)
    , m_random(std::move(random))
    , m_start(start)
    , m_tracker(timing.freshnessBound)
    , m_nextRead(start)
    , m_nextQuery(start)
    , m_nextBypass(start + timing.freshnessBound / 2)
    , m_nextFetch(start)
{
    membersChanged({});
}

void configuration_reader::membersChanged(const std::vector<agent_peer> &members)
{
    std::map<data_centre_id, std::vector<instance_id>> agents;
    for (const auto &[instance, dataCentre] : members) {
        if (instance != m_self.instance)
            agents[dataCentre].push_back(instance);
    }
    agents[m_self.dataCentre].push_back(m_self.instance);
    for (auto &[dataCentre, instances] : agents)
        instances = rendezvousOrder(rankingKey(dataCentre), std::move(instances));
    if (agents[m_self.dataCentre] != m_ranking)
        m_unansweredQueries.clear();
    m_ranking = agents[m_self.dataCentre];
    agents.erase(m_self.dataCentre);
    m_otherRankings = std::move(agents);
    updateDataCentres();
}

void configuration_reader::dataCentresKnown(const std::set<data_centre_id> &dataCentres)
{
    m_listedDataCentres.insert(dataCentres.begin(), dataCentres.end());
    updateDataCentres();
}

configuration_actions configuration_reader::tick(time_point now)
{
    configuration_actions actions;
    expire(now);
    reportForDataCentre(now);
    if (now >= m_nextRead && !m_pendingRead && isReader())
        readRow(now, actions);
    if (now >= m_nextQuery) {
        m_nextQuery = now + jittered(m_timing.queryInterval);
        queryParent(now, actions);
        if (isReader() && isEvidenceDue(now))
            queryOtherDataCentres(now, actions);
    }
    if (!isReader() && isNearBound(now) && now >= m_nextBypass)
        bypassParent(now, actions);
    putCandidateInForce(now, actions);
    fetchBody(now, actions);
    return actions;
}

configuration_actions configuration_reader::rowRead(time_point now, std::uint64_t request,
                                                    const std::optional<configuration_row> &row)
{
    configuration_actions actions;
    if (!m_pendingRead || m_pendingRead->request != request)
        return actions;
    const auto read = *m_pendingRead;
    if (!row) {
        readFailed(now);
        return actions;
    }
    m_pendingRead.reset();
    m_failedReads = 0;
    m_nextRead = now + jittered(m_timing.pollInterval);
    if (row->version < read.inForceAtStart) {
        ++m_revertedRows;
        return actions;
    }
    m_isWitness = true;
    m_tracker.evidenceFound({read.startedAt, row->version});
    handleVersion(now, std::nullopt, row->version, row->object, actions);
    return actions;
}

configuration_actions configuration_reader::bodyRead(time_point now, configuration_version version,
                                                     const std::optional<std::string> &body)
{
    configuration_actions actions;
    if (body)
        acceptBody(now, version, *body, actions);
    return actions;
}

configuration_actions configuration_reader::received(time_point now, const instance_id &from,
                                                     const messages::freshness_query &query)
{
    reportForDataCentre(now);
    messages::freshness_answer answer;
    answer.sequence = query.sequence;
    answer.version = m_holder.version();
    answer.object = m_holder.object();
    answer.knownVersion = m_newestKnown.version;
    answer.isWitness = m_isWitness;
    answer.evidence = m_tracker.evidenceAt(now, m_self.dataCentre);
    return {send_message{from, std::move(answer)}};
}

configuration_actions configuration_reader::received(time_point now, const instance_id &from,
                                                     const messages::freshness_answer &answer)
{
    configuration_actions actions;
    const auto pending = m_pendingQueries.find(answer.sequence);
    if (pending == m_pendingQueries.end() || pending->second.to != from)
        return actions;
    m_tracker.peerAnswered(pending->second.sentAt, answer);
    m_pendingQueries.erase(pending);
    if (m_tracker.isOlderThan(m_timing.freshnessBound / 2, now))
        countUnanswered(from); // no newer evidence: query another agent next
    handleVersion(now, from, answer.version, answer.object, actions);
    handleVersion(now, std::nullopt, answer.knownVersion, "", actions);
    const bool isOwnDataCentre = std::ranges::find(m_ranking, from) != m_ranking.end();
    m_isWitness = m_isWitness || (answer.isWitness && isOwnDataCentre);
    return actions;
}

configuration_actions
configuration_reader::received(time_point now, const instance_id &from,
                               const messages::configuration_announce &announce)
{
    configuration_actions actions;
    handleVersion(now, from, announce.version, announce.object, actions);
    return actions;
}

configuration_actions
configuration_reader::received(time_point /*now*/, const instance_id &from,
                               const messages::configuration_request &request) const
{
    if (m_holder.version() == 0 || m_holder.version() < request.version)
        return {};
    return {send_message{from, messages::configuration_body{m_holder.version(), m_holder.body()}}};
}

configuration_actions configuration_reader::received(time_point now, const instance_id & /*from*/,
                                                     const messages::configuration_body &body)
{
    configuration_actions actions;
    acceptBody(now, body.version, body.body, actions);
    return actions;
}

duration configuration_reader::jittered(duration base) const
{
    const double factor = minJitterFactor + jitterFactorRange * uniformUnit(m_random);
    return fromSeconds(toSeconds(base) * factor);
}

std::size_t configuration_reader::ownRank() const
{
    const auto found = std::ranges::find(m_ranking, m_self.instance);
    return static_cast<std::size_t>(found - m_ranking.begin());
}

std::optional<instance_id> configuration_reader::parent() const
{
    const auto rank = ownRank();
    if (rank == 0)
        return std::nullopt;
    const auto unanswered = m_unansweredQueries.find(m_self.dataCentre);
    const auto skipped = unanswered == m_unansweredQueries.end() ? 0 : unanswered->second;
    const auto parentRank = (rank - 1) / treeFanOut;
    return m_ranking[(parentRank + skipped) % rank];
}

std::vector<instance_id> configuration_reader::neighbours() const
{
    std::vector<instance_id> result;
    const auto rank = ownRank();
    if (rank > 0)
        result.push_back(m_ranking[(rank - 1) / treeFanOut]);
    const auto firstChild = rank * treeFanOut + 1;
    for (auto child = firstChild; child < std::min(firstChild + treeFanOut, m_ranking.size());
         ++child)
        result.push_back(m_ranking[child]);
    return result;
}

std::optional<instance_id> configuration_reader::readerOf(const data_centre_id &dataCentre) const
{
    const auto &ranking = m_otherRankings.at(dataCentre);
    const auto unanswered = m_unansweredQueries.find(dataCentre);
    const auto skipped = unanswered == m_unansweredQueries.end() ? 0 : unanswered->second;
    return ranking[skipped % ranking.size()];
}

bool configuration_reader::isEvidenceDue(time_point now) const
{
    return m_tracker.isOlderThan(m_timing.pollInterval * 3 / 2, now);
}

bool configuration_reader::isNearBound(time_point now) const
{
    return m_tracker.isOlderThan(m_timing.freshnessBound * 5 / 8, now);
}

void configuration_reader::reportForDataCentre(time_point now)
{
    if (m_isWitness)
        m_tracker.dataCentreReported(m_self.dataCentre, {now, m_newestKnown.version});
}

void configuration_reader::countUnanswered(const instance_id &instance)
{
    if (std::ranges::find(m_ranking, instance) != m_ranking.end())
        ++m_unansweredQueries[m_self.dataCentre];
    for (const auto &[dataCentre, ranking] : m_otherRankings) {
        if (std::ranges::find(ranking, instance) != ranking.end())
            ++m_unansweredQueries[dataCentre];
    }
}

void configuration_reader::updateDataCentres()
{
    auto dataCentres = m_listedDataCentres;
    dataCentres.insert(m_self.dataCentre);
    for (const auto &[dataCentre, ranking] : m_otherRankings)
        dataCentres.insert(dataCentre);
    if (m_holder.document()) {
        for (const auto &[database, group] : m_holder.document()->lists.groups) {
            for (const auto &member : group.members)
                dataCentres.insert(member.dataCentre);
        }
    }
    m_tracker.setDataCentres(std::move(dataCentres));
}

void configuration_reader::expire(time_point now)
{
    if (m_pendingRead && now - m_pendingRead->startedAt > m_timing.requestTimeout)
        readFailed(now);
    std::erase_if(m_pendingQueries, [&](const auto &entry) {
        const bool isExpired = now - entry.second.sentAt > m_timing.requestTimeout;
        if (isExpired)
            countUnanswered(entry.second.to);
        return isExpired;
    });
}

void configuration_reader::readRow(time_point now, configuration_actions &actions)
{
    m_pendingRead = pending_read{m_nextRequest++, now, m_holder.version()};
    actions.emplace_back(read_row{m_pendingRead->request});
}

void configuration_reader::readFailed(time_point now)
{
    m_pendingRead.reset();
    m_failedReads = std::min(m_failedReads + 1, maxBackoffExponent);
    const auto backoff = m_timing.pollInterval * (1U << m_failedReads) / 2;
    m_nextRead = now + jittered(std::min<duration>(backoff, m_timing.maxBackoff));
}

void configuration_reader::queryParent(time_point now, configuration_actions &actions)
{
    if (const auto queried = parent())
        query(now, *queried, actions);
}

void configuration_reader::queryOtherDataCentres(time_point now, configuration_actions &actions)
{
    for (const auto &[dataCentre, ranking] : m_otherRankings)
        query(now, *readerOf(dataCentre), actions);
}

void configuration_reader::query(time_point now, const instance_id &to,
                                 configuration_actions &actions)
{
    const auto sequence = m_nextRequest++;
    m_pendingQueries.emplace(sequence, pending_query{to, now});
    actions.emplace_back(send_message{to, messages::freshness_query{sequence}});
}

void configuration_reader::bypassParent(time_point now, configuration_actions &actions)
{
    m_nextBypass = now + jittered(m_timing.maxBackoff / 2);
    if (!m_pendingRead)
        readRow(now, actions);
    queryOtherDataCentres(now, actions);
}

void configuration_reader::handleVersion(time_point now, const std::optional<instance_id> &from,
                                         configuration_version version, const std::string &object,
                                         configuration_actions &actions)
{
    if (version > m_newestKnown.version) {
        m_newestKnown = {version, object, {}};
        m_fetchAttempts = 0;
        m_nextFetch = now;
        if (!object.empty())
            announce(from, version, object, actions);
    }
    if (version == m_newestKnown.version && !object.empty()) {
        m_newestKnown.object = object;
        if (from)
            m_newestKnown.holders.insert(*from);
    }
    fetchBody(now, actions);
}

void configuration_reader::fetchBody(time_point now, configuration_actions &actions)
{
    const bool isMissing = m_newestKnown.version > m_holder.version()
                           && !m_candidates.contains(m_newestKnown.version);
    const bool hasSource = !m_newestKnown.object.empty();
    if (!isMissing || !hasSource || now < m_nextFetch)
        return;
    m_nextFetch = now + jittered(m_timing.requestTimeout / 2);
    const auto attempt = m_fetchAttempts++;
    const bool isPeerQueried = !m_newestKnown.holders.empty() && attempt % 2 == 0;
    if (!isPeerQueried) {
        actions.emplace_back(read_body{m_newestKnown.version, m_newestKnown.object});
        return;
    }
    const auto chosen = (attempt / 2) % m_newestKnown.holders.size();
    const auto holder =
            std::next(m_newestKnown.holders.begin(), static_cast<std::ptrdiff_t>(chosen));
    actions.emplace_back(
            send_message{*holder, messages::configuration_request{m_newestKnown.version}});
}

void configuration_reader::acceptBody(time_point now, configuration_version version,
                                      const std::string &body, configuration_actions &actions)
{
    if (version <= m_holder.version() || version < m_newestKnown.version)
        return;
    m_candidates.insert_or_assign(version, body);
    putCandidateInForce(now, actions);
}

void configuration_reader::putCandidateInForce(time_point now, configuration_actions &actions)
{
    if (m_candidates.empty())
        return;
    const bool isAwaitingEvidence = m_holder.version() == 0 && !m_tracker.newest()
                                    && now - m_start < m_timing.evidenceTimeout;
    if (isAwaitingEvidence)
        return;
    const auto [version, body] = *std::prev(m_candidates.end());
    m_candidates.clear();
    if (version < m_newestKnown.version || !m_holder.offer(version, body))
        return;
    updateDataCentres();
    actions.emplace_back(put_in_force{m_holder.document()});
    m_newestKnown = {version, m_holder.object(), {}};
    announce(std::nullopt, version, m_holder.object(), actions);
}

void configuration_reader::announce(const std::optional<instance_id> &except,
                                    configuration_version version, const std::string &object,
                                    configuration_actions &actions) const
{
    auto receivers = neighbours();
    if (isReader()) {
        for (const auto &[dataCentre, ranking] : m_otherRankings)
            receivers.push_back(*readerOf(dataCentre));
    }
    for (const auto &receiver : receivers) {
        if (receiver != except)
            actions.emplace_back(
                    send_message{receiver, messages::configuration_announce{version, object}});
    }
}

} // namespace sycamorespan::configuration
