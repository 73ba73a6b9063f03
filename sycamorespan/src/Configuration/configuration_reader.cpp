#include "sycamorespan/src/Configuration/configuration_reader.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>

namespace sycamorespan::configuration {

namespace {

constexpr std::size_t treeFanOut = 8;
constexpr unsigned highestBackoffExponent = 3;
constexpr double smallestJitter = 0.75; // of the base
constexpr double jitterRange = 0.5;

std::string orderKey(const data_centre_id &dataCentre)
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
    , m_nextDirectTry(start + timing.freshnessBound / 2)
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
        instances = rendezvousOrder(orderKey(dataCentre), std::move(instances));
    if (agents[m_self.dataCentre] != m_order)
        m_unanswered.clear();
    m_order = agents[m_self.dataCentre];
    agents.erase(m_self.dataCentre);
    m_otherOrders = std::move(agents);
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
    if (!isReader() && isNearBound(now) && now >= m_nextDirectTry)
        tryDirectly(now, actions);
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
    learn(now, std::nullopt, row->version, row->object, actions);
    return actions;
}

configuration_actions configuration_reader::bodyRead(time_point now, configuration_version version,
                                                     const std::optional<std::string> &body)
{
    configuration_actions actions;
    if (body)
        takeBody(now, version, *body, actions);
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
    answer.knownVersion = m_known.version;
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
    m_tracker.peerAnswered(pending->second.askedAt, answer);
    m_pendingQueries.erase(pending);
    if (m_tracker.isOlderThan(m_timing.freshnessBound / 2, now))
        countUnanswered(from); // it has no evidence to give: another is asked next
    learn(now, from, answer.version, answer.object, actions);
    learn(now, std::nullopt, answer.knownVersion, "", actions);
    const bool isOwnDataCentre = std::ranges::find(m_order, from) != m_order.end();
    m_isWitness = m_isWitness || (answer.isWitness && isOwnDataCentre);
    return actions;
}

configuration_actions
configuration_reader::received(time_point now, const instance_id &from,
                               const messages::configuration_announce &announce)
{
    configuration_actions actions;
    learn(now, from, announce.version, announce.object, actions);
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
    takeBody(now, body.version, body.body, actions);
    return actions;
}

duration configuration_reader::jittered(duration base) const
{
    const double factor = smallestJitter + jitterRange * uniformUnit(m_random);
    return fromSeconds(toSeconds(base) * factor);
}

std::size_t configuration_reader::ownPlace() const
{
    const auto found = std::ranges::find(m_order, m_self.instance);
    return static_cast<std::size_t>(found - m_order.begin());
}

std::optional<instance_id> configuration_reader::parent() const
{
    const auto place = ownPlace();
    if (place == 0)
        return std::nullopt;
    const auto missed = m_unanswered.find(m_self.dataCentre);
    const auto skipped = missed == m_unanswered.end() ? 0 : missed->second;
    const auto parentPlace = (place - 1) / treeFanOut;
    return m_order[(parentPlace + skipped) % place];
}

std::vector<instance_id> configuration_reader::neighbours() const
{
    std::vector<instance_id> result;
    const auto place = ownPlace();
    if (place > 0)
        result.push_back(m_order[(place - 1) / treeFanOut]);
    const auto firstChild = place * treeFanOut + 1;
    for (auto child = firstChild; child < std::min(firstChild + treeFanOut, m_order.size());
         ++child)
        result.push_back(m_order[child]);
    return result;
}

std::optional<instance_id> configuration_reader::readerOf(const data_centre_id &dataCentre) const
{
    const auto &order = m_otherOrders.at(dataCentre);
    const auto missed = m_unanswered.find(dataCentre);
    const auto skipped = missed == m_unanswered.end() ? 0 : missed->second;
    return order[skipped % order.size()];
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
        m_tracker.dataCentreReported(m_self.dataCentre, {now, m_known.version});
}

void configuration_reader::countUnanswered(const instance_id &instance)
{
    if (std::ranges::find(m_order, instance) != m_order.end())
        ++m_unanswered[m_self.dataCentre];
    for (const auto &[dataCentre, order] : m_otherOrders) {
        if (std::ranges::find(order, instance) != order.end())
            ++m_unanswered[dataCentre];
    }
}

void configuration_reader::updateDataCentres()
{
    auto dataCentres = m_listedDataCentres;
    dataCentres.insert(m_self.dataCentre);
    for (const auto &[dataCentre, order] : m_otherOrders)
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
        const bool isExpired = now - entry.second.askedAt > m_timing.requestTimeout;
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
    m_failedReads = std::min(m_failedReads + 1, highestBackoffExponent);
    const auto backoff = m_timing.pollInterval * (1U << m_failedReads) / 2;
    m_nextRead = now + jittered(std::min<duration>(backoff, m_timing.longestBackoff));
}

void configuration_reader::queryParent(time_point now, configuration_actions &actions)
{
    if (const auto asked = parent())
        query(now, *asked, actions);
}

void configuration_reader::queryOtherDataCentres(time_point now, configuration_actions &actions)
{
    for (const auto &[dataCentre, order] : m_otherOrders)
        query(now, *readerOf(dataCentre), actions);
}

void configuration_reader::query(time_point now, const instance_id &to,
                                 configuration_actions &actions)
{
    const auto sequence = m_nextRequest++;
    m_pendingQueries.emplace(sequence, pending_query{to, now});
    actions.emplace_back(send_message{to, messages::freshness_query{sequence}});
}

void configuration_reader::tryDirectly(time_point now, configuration_actions &actions)
{
    m_nextDirectTry = now + jittered(m_timing.longestBackoff / 2);
    if (!m_pendingRead)
        readRow(now, actions);
    queryOtherDataCentres(now, actions);
}

void configuration_reader::learn(time_point now, const std::optional<instance_id> &from,
                                 configuration_version version, const std::string &object,
                                 configuration_actions &actions)
{
    if (version > m_known.version) {
        m_known = {version, object, {}};
        m_fetchAttempts = 0;
        m_nextFetch = now;
        if (!object.empty())
            announce(from, version, object, actions);
    }
    if (version == m_known.version && !object.empty()) {
        m_known.object = object;
        if (from)
            m_known.holders.insert(*from);
    }
    fetchBody(now, actions);
}

void configuration_reader::fetchBody(time_point now, configuration_actions &actions)
{
    const bool isMissing =
            m_known.version > m_holder.version() && !m_candidates.contains(m_known.version);
    const bool hasSource = !m_known.object.empty();
    if (!isMissing || !hasSource || now < m_nextFetch)
        return;
    m_nextFetch = now + jittered(m_timing.requestTimeout / 2);
    const auto attempt = m_fetchAttempts++;
    const bool isPeerAsked = !m_known.holders.empty() && attempt % 2 == 0;
    if (!isPeerAsked) {
        actions.emplace_back(read_body{m_known.version, m_known.object});
        return;
    }
    const auto chosen = (attempt / 2) % m_known.holders.size();
    const auto holder = std::next(m_known.holders.begin(), static_cast<std::ptrdiff_t>(chosen));
    actions.emplace_back(send_message{*holder, messages::configuration_request{m_known.version}});
}

void configuration_reader::takeBody(time_point now, configuration_version version,
                                    const std::string &body, configuration_actions &actions)
{
    if (version <= m_holder.version() || version < m_known.version)
        return;
    m_candidates.insert_or_assign(version, body);
    putCandidateInForce(now, actions);
}

void configuration_reader::putCandidateInForce(time_point now, configuration_actions &actions)
{
    if (m_candidates.empty())
        return;
    const bool isGathering = m_holder.version() == 0 && !m_tracker.newest()
                             && now - m_start < m_timing.gatherTimeout;
    if (isGathering)
        return;
    const auto [version, body] = *std::prev(m_candidates.end());
    m_candidates.clear();
    if (version < m_known.version || !m_holder.offer(version, body))
        return;
    updateDataCentres();
    actions.emplace_back(put_in_force{m_holder.document()});
    m_known = {version, m_holder.object(), {}};
    announce(std::nullopt, version, m_holder.object(), actions);
}

void configuration_reader::announce(const std::optional<instance_id> &except,
                                    configuration_version version, const std::string &object,
                                    configuration_actions &actions) const
{
    auto receivers = neighbours();
    if (isReader()) {
        for (const auto &[dataCentre, order] : m_otherOrders)
            receivers.push_back(*readerOf(dataCentre));
    }
    for (const auto &receiver : receivers) {
        if (receiver != except)
            actions.emplace_back(
                    send_message{receiver, messages::configuration_announce{version, object}});
    }
}

} // namespace sycamorespan::configuration
