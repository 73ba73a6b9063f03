#include "sycamorespan/src/Membership/membership.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>
#include <array>

namespace sycamorespan {

namespace {

constexpr std::string_view ringKey = "ring";
constexpr std::size_t maxPendingSuspicions = 64;
/** \brief Size of a message without records, with its frame and headers. */
constexpr std::int64_t baseMessageBytes = 110;
/** \brief Size of one record in a message. */
constexpr std::int64_t recordBytes = 64;

/** \returns up to \a count elements of \a ring that follow \a self, or precede it. */
std::vector<member_id> neighbours(const std::vector<member_id> &ring, const member_id &self,
                                  std::size_t count, bool following)
{
    std::vector<member_id> result;
    const auto found = std::ranges::find(ring, self);
    if (found == ring.end())
        return result;
    const auto position = static_cast<std::size_t>(found - ring.begin());
    const auto size = ring.size();
    for (std::size_t step = 1; step <= std::min(count, size - 1); ++step)
        result.push_back(ring[(position + (following ? step : size - step)) % size]);
    return result;
}

std::vector<member_id> ringOf(const std::vector<member_id> &instances)
{
    return rendezvousOrder(ringKey, instances);
}

/** \returns the contribution of a record to the digest; 0 if the record is not part of it. */
std::uint64_t digestContribution(const member &known)
{
    if (known.state == member_state::removed || known.id.empty())
        return 0;
    const std::array<std::uint64_t, 2> number{known.incarnation, known.version};
    return XXH3_64bits_withSeed(number.data(), sizeof(number),
                                XXH3_64bits(known.id.str().data(), known.id.str().size()));
}

} // namespace

membership::membership(member self, const membership_policy &policy, random_source random,
                       time_point now)
    : m_self(std::move(self))
    , m_policy(policy)
    , m_random(std::move(random))
    , m_nextHeartbeat(now)
    , m_nextGossip(now)
    , m_gossipBudget({token_rate::tokensPerSecond(policy.gossipBytesPerSecond),
                      token_amount::tokens(policy.gossipBytesBurst)},
                     {}, now)
    , m_nextAntiEntropy(now)
    , m_lastHandled(now)
    , m_viewDue(now)
    , m_lastPublished(now - policy.viewInterval)
{
    m_gossipBudget.add(token_amount::tokens(policy.gossipBytesBurst));
    auto &record = m_records[m_self.id];
    record.known = m_self;
    addToDigest(m_self);
    queueUpdate(m_self.id, record);
}

std::vector<membership_output> membership::handle(const membership_input &event, time_point now)
{
    outputs actions;
    // A gap between two events means that this process was paused. The monitored instances are not
    // to be suspected for messages that it could not receive.
    if (now - m_lastHandled > m_policy.suspectAfter / 2) {
        for (const auto &id : m_watched)
            m_records.at(id).lastHeard = now;
        m_lastResumed = now;
    }
    m_lastHandled = now;
    std::visit([&](const auto &alternative) { on(alternative, now, actions); }, event);
    updateRings(now);
    if (hasPendingUpdates() && now >= m_nextGossip)
        sendGossip(now, actions);
    publish(now, actions);
    return actions;
}

time_point membership::nextDeadline() const
{
    auto earliest = m_nextHeartbeat;
    if (hasPendingUpdates())
        earliest = std::min(earliest, m_nextGossip);
    if (m_viewDue)
        earliest = std::min(earliest, *m_viewDue);
    return earliest;
}

void membership::on(const membership_event::list_read &event, time_point now, outputs &)
{
    std::set<member_id> listed;
    for (const auto &each : event.members) {
        listed.insert(each.id);
        applyListed(each, now);
    }
    for (auto &[id, record] : m_records) {
        const bool isUnlisted = record.listed && !listed.contains(id);
        record.listed = listed.contains(id);
        if (isUnlisted)
            applyUnlisted(record, now);
    }
}

void membership::on(const membership_event::message_received &event, time_point now,
                    outputs &actions)
{
    const auto &message = event.message;
    for (const auto &contact : message.contacts)
        apply(contact, now);
    for (const auto &update : message.updates)
        apply(update, !message.isPage, now);
    for (const auto &report : message.suspicions)
        apply(report, now);
    if (message.isPage) {
        const bool last = message.updates.size() < m_policy.recordsPerPage;
        m_pageCursor = last ? member_id() : message.updates.back().id;
    }
    answer(message, now, actions);
}

void membership::on(const membership_event::server_reported &event, time_point now, outputs &)
{
    auto &record = m_records[event.server];
    if (record.known.id.empty()) {
        record.known.id = event.server;
        record.known.kind = member_kind::backendServer;
    }
    if (record.known.state == event.state && record.known.version > 0)
        return;
    auto update = record.known;
    update.state = event.state;
    ++update.version;
    replace(record, update, now);
    queueUpdate(update.id, record);
}

void membership::on(const membership_event::shutdown_started &, time_point, outputs &)
{
    if (m_self.state < member_state::draining)
        updateSelf(m_self.incarnation, m_self.version + 1, member_state::draining);
}

void membership::on(const membership_event::shutdown_finished &, time_point, outputs &)
{
    updateSelf(m_self.incarnation, m_self.version + 1, member_state::removed);
}

void membership::on(const membership_event::tick &, time_point now, outputs &actions)
{
    checkWatched(now);
    expire(now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_policy.heartbeatInterval;
        sendHeartbeats(now, actions);
        requestPage(now, actions);
    }
}

void membership::apply(const member &update, bool isPassedOn, time_point now)
{
    if (update.id == m_self.id) {
        refute(update);
        return;
    }
    const auto found = m_records.find(update.id);
    const bool unknown = found == m_records.end();
    if (unknown && update.state == member_state::removed)
        return;
    if (!unknown && !update.newerThan(found->second.known))
        return;
    auto &record = m_records[update.id];
    replace(record, update, now);
    if (isPassedOn)
        queueUpdate(update.id, record);
}

void membership::refute(const member &update)
{
    if (!update.newerThan(m_self))
        return;
    if (update.incarnation > m_self.incarnation)
        updateSelf(update.incarnation + 1, 0, m_self.state);
    else
        updateSelf(m_self.incarnation, update.version + 1, m_self.state);
}

void membership::apply(const suspicion &report, time_point now)
{
    if (report.subject == m_self.id) {
        if (report.incarnation == m_self.incarnation && report.version >= m_self.version)
            updateSelf(m_self.incarnation, report.version + 1, m_self.state);
        return;
    }
    const auto found = m_records.find(report.subject);
    if (found == m_records.end())
        return;
    auto &record = found->second;
    const auto &known = record.known;
    const bool current = known.incarnation == report.incarnation && known.version == report.version;
    const bool open = known.state == member_state::live || known.state == member_state::draining;
    if (!current || !open || !record.reporters.insert(report.reporter).second)
        return;
    queueSuspicion(report);
    if (record.reporters.size() < suspicionQuorum())
        return;
    setState(record,
             known.state == member_state::live ? member_state::suspected : member_state::removed,
             now);
    queueUpdate(report.subject, record);
}

void membership::queueSuspicion(const suspicion &report)
{
    if (m_suspicions.size() < maxPendingSuspicions)
        m_suspicions.push_back({report, m_policy.gossipFanOut * m_policy.gossipRounds});
}

void membership::apply(const data_centre_contact &report, time_point now)
{
    auto &lastHeard =
            m_centreLastHeard.try_emplace(report.dataCentre, now - report.age).first->second;
    lastHeard = std::max(lastHeard, now - report.age);
}

void membership::applyListed(const member &listed, time_point now)
{
    if (listed.id == m_self.id) {
        if (listed.state == member_state::draining && m_self.state == member_state::live)
            updateSelf(m_self.incarnation, m_self.version + 1, member_state::draining);
        return;
    }
    auto &record = m_records[listed.id];
    if (record.known.id.empty()) {
        replace(record, listed, now);
        return;
    }
    const bool nowLeaving =
            listed.state == member_state::draining && record.known.state < member_state::draining;
    if (!nowLeaving)
        return;
    setState(record, member_state::draining, now);
    queueUpdate(listed.id, record);
}

void membership::applyUnlisted(member_record &record, time_point now)
{
    const bool neverResponded =
            record.known.kind == member_kind::instance && record.known.incarnation == 0;
    if (record.known.id != m_self.id
        && (neverResponded || record.known.state != member_state::live))
        setState(record, member_state::removed, now);
}

void membership::replace(member_record &record, const member &update, time_point now)
{
    const auto &known = record.known;
    const bool sameState = known.id == update.id && known.state == update.state;
    scheduleView(sameState ? m_policy.minorChangeDelay : duration::zero());
    const bool sameRing =
            known.id == update.id && known.dataCentre == update.dataCentre
            && (known.state == member_state::removed) == (update.state == member_state::removed);
    m_ringsChanged = m_ringsChanged || !sameRing;
    removeFromDigest(record.known);
    addToDigest(update);
    const auto listed = record.listed;
    const auto lastHeard = std::max(record.lastHeard, now);
    record = {update, listed, {}, now, lastHeard, {}, 0};
}

void membership::setState(member_record &record, member_state state, time_point now)
{
    if (record.known.state == state)
        return;
    const bool wasRemoved = record.known.state == member_state::removed;
    m_ringsChanged = m_ringsChanged || wasRemoved != (state == member_state::removed);
    scheduleView(duration::zero());
    removeFromDigest(record.known);
    record.known.state = state;
    addToDigest(record.known);
    record.lastChanged = now;
}

void membership::queueUpdate(const member_id &id, member_record &record)
{
    const bool urgent = record.known.state != member_state::live;
    record.sendsLeft =
            m_policy.gossipFanOut * (urgent ? m_policy.urgentGossipRounds : m_policy.gossipRounds);
    m_pendingUpdates.insert(id);
}

void membership::updateSelf(std::uint64_t incarnation, std::uint64_t version, member_state state)
{
    removeFromDigest(m_self);
    m_self.incarnation = incarnation;
    m_self.version = version;
    m_self.state = state;
    addToDigest(m_self);
    auto &record = m_records[m_self.id];
    record.known = m_self;
    queueUpdate(m_self.id, record);
    scheduleView(duration::zero());
}

void membership::answer(const membership_message &message, time_point now, outputs &actions)
{
    applySender(message, now);
    const auto found = m_records.find(message.sender);
    m_digestsDiffer = message.digest != m_digest;
    if (found == m_records.end())
        return;
    auto &record = found->second;
    apply(data_centre_contact{record.known.dataCentre, {}}, now);
    const bool sameIncarnation = record.known.incarnation == message.incarnation;
    if (sameIncarnation || record.known.incarnation == 0)
        record.lastHeard = now;
    const bool outdated = std::pair(message.incarnation, message.version)
                          < std::pair(record.known.incarnation, record.known.version);
    const bool disputed = sameIncarnation && message.version == record.known.version
                          && (record.known.state == member_state::suspected
                              || record.known.state == member_state::removed);
    if (outdated || disputed) {
        auto reply = newMessage(false);
        reply.updates.push_back(record.known);
        send(message.sender, std::move(reply), actions);
    }
    if (message.pageAfter)
        answerPage(message, actions);
}

void membership::applySender(const membership_message &message, time_point now)
{
    const auto found = m_records.find(message.sender);
    if (found == m_records.end())
        return;
    auto update = found->second.known;
    update.incarnation = message.incarnation;
    update.version = message.version;
    update.state = message.state;
    const bool isPassedOn = found->second.known.incarnation != 0;
    apply(update, isPassedOn, now);
}

void membership::answerPage(const membership_message &request, outputs &actions)
{
    auto page = newMessage(false);
    page.isPage = true;
    const auto first = m_records.upper_bound(*request.pageAfter);
    for (auto next = first; next != m_records.end(); ++next) {
        if (page.updates.size() == m_policy.recordsPerPage)
            break;
        page.updates.push_back(next->second.known);
    }
    send(request.sender, std::move(page), actions);
}

void membership::checkWatched(time_point now)
{
    for (const auto &id : m_watched) {
        auto &record = m_records.at(id);
        const bool unresponsive = now - record.lastHeard >= m_policy.suspectAfter;
        const bool open = record.known.state == member_state::live
                          || record.known.state == member_state::draining;
        if (!unresponsive || !open || now - record.lastReported < m_policy.suspicionReportInterval)
            continue;
        // The report is repeated, as a network partition may have lost the first one.
        record.lastReported = now;
        const suspicion report{id, record.known.incarnation, record.known.version, m_self.id};
        // The quorum can't be reached if the other monitors have failed too.
        if (now - record.lastHeard >= m_policy.suspectWithoutQuorumAfter) {
            setState(record, member_state::suspected, now);
            queueUpdate(id, record);
        } else if (record.reporters.contains(m_self.id))
            queueSuspicion(report);
        else
            apply(report, now);
    }
}

void membership::expire(time_point now)
{
    for (auto &[id, record] : m_records) {
        const bool isOverdue = record.known.state == member_state::suspected
                               && now - record.lastChanged >= m_policy.removeAfter;
        if (isOverdue)
            setState(record, member_state::removed, now);
    }
    // Records in state removed are part of neither the digest nor the rings.
    const auto erased = std::erase_if(m_records, [&](const auto &entry) {
        const auto &record = entry.second;
        return record.known.state == member_state::removed && !record.listed
               && record.known.id != m_self.id && now - record.lastChanged >= m_policy.eraseAfter;
    });
    if (erased > 0)
        scheduleView(duration::zero());
}

void membership::sendHeartbeats(time_point now, outputs &actions)
{
    m_centreLastHeard[m_self.dataCentre] = now;
    for (const auto &monitor : m_monitors)
        send(monitor, messageWithUpdates(false), actions);
    if (const auto receiver = randomInstance())
        send(*receiver, messageWithUpdates(true), actions);
    if (const auto receiver = randomRemovedInstance()) {
        auto probe = newMessage(false);
        probe.updates.push_back(m_self);
        send(*receiver, std::move(probe), actions);
    }
}

void membership::requestPage(time_point now, outputs &actions)
{
    if (!m_digestsDiffer || now < m_nextAntiEntropy)
        return;
    m_nextAntiEntropy = now + m_policy.antiEntropyInterval;
    for (const auto &receiver : randomReceivers(1)) {
        auto request = newMessage(false);
        request.pageAfter = m_pageCursor;
        send(receiver, std::move(request), actions);
    }
}

void membership::sendGossip(time_point now, outputs &actions)
{
    m_nextGossip = now + m_policy.gossipInterval;
    const auto receivers = randomReceivers(m_policy.gossipFanOut);
    const auto cost = gossipCost(receivers.size());
    m_gossipBudget.refill(now);
    const bool affordable = m_gossipBudget.trySpend(cost);
    if (!affordable && !hasUrgentUpdates())
        return;
    for (const auto &receiver : receivers)
        send(receiver, messageWithUpdates(false), actions);
}

bool membership::hasUrgentUpdates() const
{
    return !m_suspicions.empty() || std::ranges::any_of(m_pendingUpdates, [&](const member_id &id) {
        return m_records.at(id).known.state != member_state::live;
    });
}

void membership::send(const member_id &to, membership_message message, outputs &actions) const
{
    const auto found = m_records.find(to);
    if (found == m_records.end())
        return;
    actions.emplace_back(
            membership_action::send_message{to, found->second.known.address, std::move(message)});
}

membership_message membership::newMessage(bool withContacts) const
{
    membership_message message;
    message.sender = m_self.id;
    message.incarnation = m_self.incarnation;
    message.version = m_self.version;
    message.state = m_self.state;
    message.digest = m_digest;
    if (!withContacts)
        return message;
    for (const auto &[id, lastHeard] : m_centreLastHeard) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(m_lastHandled - lastHeard);
        message.contacts.push_back({id, age});
    }
    return message;
}

token_amount membership::gossipCost(std::size_t receivers) const
{
    const auto records =
            std::min(m_policy.recordsPerMessage, m_pendingUpdates.size() + m_suspicions.size());
    const auto bytes = baseMessageBytes + recordBytes * static_cast<std::int64_t>(records);
    return token_amount::tokens(static_cast<std::int64_t>(receivers) * bytes);
}

membership_message membership::messageWithUpdates(bool withContacts)
{
    auto message = newMessage(withContacts);
    std::vector<member_id> ids(m_pendingUpdates.begin(), m_pendingUpdates.end());

    std::stable_partition(ids.begin(), ids.end(), [&](const member_id &id) {
        return m_records.at(id).known.state != member_state::live;
    });
    ids.resize(std::min(ids.size(), m_policy.recordsPerMessage));
    for (const auto &id : ids) {
        auto &record = m_records.at(id);
        message.updates.push_back(record.known);
        if (--record.sendsLeft == 0)
            m_pendingUpdates.erase(id);
    }
    const auto suspicions = std::min(m_suspicions.size(), m_policy.recordsPerMessage);
    for (std::size_t index = 0; index < suspicions; ++index) {
        message.suspicions.push_back(m_suspicions[index].report);
        --m_suspicions[index].sendsLeft;
    }
    std::erase_if(m_suspicions,
                  [](const pending_suspicion &pending) { return pending.sendsLeft == 0; });
    return message;
}

void membership::publish(time_point now, outputs &actions)
{
    auto unresponsive = unresponsiveCentres(now);
    if (unresponsive != m_view.unresponsiveDataCentres())
        scheduleView(duration::zero());
    if (!m_viewDue || now < *m_viewDue)
        return;
    m_viewDue.reset();
    m_lastPublished = now;
    std::vector<member> members;
    for (const auto &[id, record] : m_records)
        members.push_back(record.known);
    membership_view view(std::move(members), std::move(unresponsive));
    if (view == m_view)
        return;
    m_view = std::move(view);
    actions.emplace_back(membership_action::view_changed{m_view});
}

void membership::updateRings(time_point now)
{
    if (!std::exchange(m_ringsChanged, false))
        return;
    std::map<data_centre_id, std::vector<member_id>> byCentre;
    std::vector<member_id> allInstances;
    for (const auto &[id, record] : m_records) {
        const bool isInRing = record.known.kind == member_kind::instance
                              && (record.known.state != member_state::removed || id == m_self.id);
        if (!isInRing)
            continue;
        byCentre[record.known.dataCentre].push_back(id);
        allInstances.push_back(id);
    }
    // The instances of a large enough data centre monitor each other, so that a network partition
    // between data centres causes no suspicions.
    const auto isLarge = [&](const data_centre_id &centre) {
        return byCentre[centre].size() > m_policy.monitors;
    };
    const auto watchedBefore = m_watched;
    const auto ring = ringOf(allInstances);
    m_watched.clear();
    for (const auto &id : neighbours(ring, m_self.id, m_policy.monitors, false)) {
        if (!isLarge(m_records.at(id).known.dataCentre))
            m_watched.push_back(id);
    }
    m_monitors = neighbours(ring, m_self.id, m_policy.monitors, true);
    if (isLarge(m_self.dataCentre)) {
        const auto ownRing = ringOf(byCentre[m_self.dataCentre]);
        m_monitors = neighbours(ownRing, m_self.id, m_policy.monitors, true);
        const auto before = neighbours(ownRing, m_self.id, m_policy.monitors, false);
        m_watched.insert(m_watched.end(), before.begin(), before.end());
    }
    for (const auto &id : m_watched) {
        if (std::ranges::find(watchedBefore, id) == watchedBefore.end())
            m_records.at(id).lastHeard = now;
    }
    std::erase(allInstances, m_self.id);
    m_instances = std::move(allInstances);
}

std::vector<member_id> membership::randomReceivers(std::size_t count)
{
    constexpr std::size_t drawsPerReceiver = 4;
    const auto &unresponsive = m_view.unresponsiveDataCentres();
    std::vector<member_id> result;
    for (std::size_t draw = 0; draw < drawsPerReceiver * count && !m_instances.empty(); ++draw) {
        const auto &id = m_instances[m_random() % m_instances.size()];
        const auto &centre = m_records.at(id).known.dataCentre;
        const bool usable = !std::ranges::binary_search(unresponsive, centre)
                            && std::ranges::find(result, id) == result.end();
        if (usable && result.size() < count)
            result.push_back(id);
    }
    return result;
}

std::optional<member_id> membership::randomInstance() const
{
    if (m_instances.empty())
        return std::nullopt;
    return m_instances[m_random() % m_instances.size()];
}

std::optional<member_id> membership::randomRemovedInstance() const
{
    std::vector<member_id> removed;
    for (const auto &[id, record] : m_records) {
        const bool isRemoved = record.known.kind == member_kind::instance && record.listed
                               && record.known.state == member_state::removed && id != m_self.id;
        if (isRemoved)
            removed.push_back(id);
    }
    if (removed.empty())
        return std::nullopt;
    return removed[m_random() % removed.size()];
}

std::size_t membership::suspicionQuorum() const
{
    return std::clamp<std::size_t>(m_policy.suspicionQuorum, 1,
                                   std::max<std::size_t>(1, m_instances.size()));
}

void membership::scheduleView(duration delay)
{
    const auto due = std::max(m_lastHandled + delay, m_lastPublished + m_policy.viewInterval);
    m_viewDue = m_viewDue ? std::min(*m_viewDue, due) : due;
}

void membership::removeFromDigest(const member &known)
{
    m_digest -= digestContribution(known);
}

void membership::addToDigest(const member &known)
{
    m_digest += digestContribution(known);
}

std::vector<data_centre_id> membership::unresponsiveCentres(time_point now) const
{
    std::vector<data_centre_id> result;
    for (const auto &[id, lastHeard] : m_centreLastHeard) {
        const auto age = now - std::max(lastHeard, m_lastResumed);
        if (id != m_self.dataCentre && age >= m_policy.dataCentreTimeout)
            result.push_back(id);
    }
    return result;
}

} // namespace sycamorespan
