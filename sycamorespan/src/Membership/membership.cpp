#include "sycamorespan/src/Membership/membership.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>
#include <array>

namespace sycamorespan {

namespace {

constexpr std::string_view ringKey = "ring";
constexpr std::size_t suspicionLimit = 64;
/** \brief Bytes of a message without records, with its frame and headers, and of a record. */
constexpr std::int64_t messageBytes = 110;
constexpr std::int64_t recordBytes = 64;

/** \returns up to \a count elements that follow (or precede) \a self in a ring. */
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

/** \returns the part of a record in the digest; 0 if it isn't compared. */
std::uint64_t markOf(const member &known)
{
    if (known.state == member_state::gone || known.id.empty())
        return 0;
    const std::array<std::uint64_t, 2> number{known.boot, known.version};
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
    , m_nextNews(now)
    , m_newsBudget({token_rate::tokensPerSecond(policy.newsBytesPerSecond),
                    token_amount::tokens(policy.newsBytesBurst)},
                   {}, now)
    , m_nextRepair(now)
    , m_handled(now)
    , m_viewDue(now)
    , m_lastView(now - policy.viewInterval)
{
    m_newsBudget.add(token_amount::tokens(policy.newsBytesBurst));
    auto &record = m_records[m_self.id];
    record.known = m_self;
    remember(m_self);
    announce(m_self.id, record);
}

std::vector<membership_output> membership::handle(const membership_input &event, time_point now)
{
    outputs actions;
    // After a pause of this process the others were not silent: it was deaf.
    if (now - m_handled > m_policy.suspectAfter / 2) {
        for (const auto &id : m_watched)
            m_records.at(id).heard = now;
        m_resumed = now;
    }
    m_handled = now;
    std::visit([&](const auto &alternative) { on(alternative, now, actions); }, event);
    updateRings(now);
    if (hasNews() && now >= m_nextNews)
        sendNews(now, actions);
    publish(now, actions);
    return actions;
}

time_point membership::nextDeadline() const
{
    auto earliest = m_nextHeartbeat;
    if (hasNews())
        earliest = std::min(earliest, m_nextNews);
    if (m_viewDue)
        earliest = std::min(earliest, *m_viewDue);
    return earliest;
}

void membership::on(const membership_event::list_read &event, time_point now, outputs &)
{
    std::set<member_id> listed;
    for (const auto &each : event.members) {
        listed.insert(each.id);
        learnListed(each, now);
    }
    for (auto &[id, record] : m_records) {
        const bool removed = record.listed && !listed.contains(id);
        record.listed = listed.contains(id);
        if (removed)
            learnUnlisted(record, now);
    }
}

void membership::on(const membership_event::message_received &event, time_point now,
                    outputs &actions)
{
    const auto &message = event.message;
    for (const auto &silence : message.silences)
        learn(silence, now);
    for (const auto &update : message.updates)
        learn(update, !message.isPage, now);
    for (const auto &news : message.suspicions)
        learn(news, now);
    if (message.isPage) {
        const bool last = message.updates.size() < m_policy.recordsPerPage;
        m_repairAfter = last ? member_id() : message.updates.back().id;
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
    announce(update.id, record);
}

void membership::on(const membership_event::leave &, time_point, outputs &)
{
    if (m_self.state < member_state::leaving)
        raiseSelf(m_self.boot, m_self.version + 1, member_state::leaving);
}

void membership::on(const membership_event::left &, time_point, outputs &)
{
    raiseSelf(m_self.boot, m_self.version + 1, member_state::gone);
}

void membership::on(const membership_event::tick &, time_point now, outputs &actions)
{
    watch(now);
    expire(now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_policy.heartbeatInterval;
        sendHeartbeats(now, actions);
        requestPage(now, actions);
    }
}

void membership::learn(const member &update, bool isNews, time_point now)
{
    if (update.id == m_self.id) {
        learnOfSelf(update);
        return;
    }
    const auto found = m_records.find(update.id);
    const bool unknown = found == m_records.end();
    if (unknown && update.state == member_state::gone)
        return;
    if (!unknown && !update.newerThan(found->second.known))
        return;
    auto &record = m_records[update.id];
    replace(record, update, now);
    if (isNews)
        announce(update.id, record);
}

void membership::learnOfSelf(const member &update)
{
    if (!update.newerThan(m_self))
        return;
    if (update.boot > m_self.boot)
        raiseSelf(update.boot + 1, 0, m_self.state);
    else
        raiseSelf(m_self.boot, update.version + 1, m_self.state);
}

void membership::learn(const suspicion &news, time_point now)
{
    if (news.subject == m_self.id) {
        if (news.boot == m_self.boot && news.version >= m_self.version)
            raiseSelf(m_self.boot, news.version + 1, m_self.state);
        return;
    }
    const auto found = m_records.find(news.subject);
    if (found == m_records.end())
        return;
    auto &record = found->second;
    const auto &known = record.known;
    const bool current = known.boot == news.boot && known.version == news.version;
    const bool open = known.state == member_state::live || known.state == member_state::leaving;
    if (!current || !open || !record.reporters.insert(news.reporter).second)
        return;
    passOn(news);
    if (record.reporters.size() < suspecting())
        return;
    setState(record,
             known.state == member_state::live ? member_state::suspected : member_state::gone, now);
    announce(news.subject, record);
}

void membership::passOn(const suspicion &news)
{
    if (m_suspicions.size() < suspicionLimit)
        m_suspicions.push_back({news, m_policy.newsFanOut * m_policy.newsRounds});
}

void membership::learn(const data_centre_silence &news, time_point now)
{
    auto &heard = m_centreHeard.try_emplace(news.dataCentre, now - news.length).first->second;
    heard = std::max(heard, now - news.length);
}

void membership::learnListed(const member &listed, time_point now)
{
    if (listed.id == m_self.id) {
        if (listed.state == member_state::leaving && m_self.state == member_state::live)
            raiseSelf(m_self.boot, m_self.version + 1, member_state::leaving);
        return;
    }
    auto &record = m_records[listed.id];
    if (record.known.id.empty()) {
        replace(record, listed, now);
        return;
    }
    const bool nowLeaving =
            listed.state == member_state::leaving && record.known.state < member_state::leaving;
    if (!nowLeaving)
        return;
    setState(record, member_state::leaving, now);
    announce(listed.id, record);
}

void membership::learnUnlisted(member_record &of, time_point now)
{
    const bool neverHeard = of.known.kind == member_kind::instance && of.known.boot == 0;
    if (of.known.id != m_self.id && (neverHeard || of.known.state != member_state::live))
        setState(of, member_state::gone, now);
}

void membership::replace(member_record &of, const member &update, time_point now)
{
    const auto &known = of.known;
    const bool sameState = known.id == update.id && known.state == update.state;
    changeView(sameState ? m_policy.lazyViewInterval : duration::zero());
    const bool sameRing =
            known.id == update.id && known.dataCentre == update.dataCentre
            && (known.state == member_state::gone) == (update.state == member_state::gone);
    m_ringsChanged = m_ringsChanged || !sameRing;
    forget(of.known);
    remember(update);
    const auto listed = of.listed;
    const auto heard = std::max(of.heard, now);
    of = {update, listed, {}, now, heard, {}, 0};
}

void membership::setState(member_record &of, member_state state, time_point now)
{
    if (of.known.state == state)
        return;
    const bool wasGone = of.known.state == member_state::gone;
    m_ringsChanged = m_ringsChanged || wasGone != (state == member_state::gone);
    changeView(duration::zero());
    forget(of.known);
    of.known.state = state;
    remember(of.known);
    of.changed = now;
}

void membership::announce(const member_id &id, member_record &of)
{
    const bool urgent = of.known.state != member_state::live;
    of.newsLeft = m_policy.newsFanOut * (urgent ? m_policy.urgentRounds : m_policy.newsRounds);
    m_news.insert(id);
}

void membership::raiseSelf(std::uint64_t boot, std::uint64_t version, member_state state)
{
    forget(m_self);
    m_self.boot = boot;
    m_self.version = version;
    m_self.state = state;
    remember(m_self);
    auto &record = m_records[m_self.id];
    record.known = m_self;
    announce(m_self.id, record);
    changeView(duration::zero());
}

void membership::answer(const membership_message &message, time_point now, outputs &actions)
{
    learnOfSender(message, now);
    const auto found = m_records.find(message.sender);
    m_digestsDiffer = message.digest != m_digest;
    if (found == m_records.end())
        return;
    auto &record = found->second;
    learn(data_centre_silence{record.known.dataCentre, {}}, now);
    const bool sameRun = record.known.boot == message.boot;
    if (sameRun || record.known.boot == 0)
        record.heard = now;
    const bool outdated = std::pair(message.boot, message.version)
                          < std::pair(record.known.boot, record.known.version);
    const bool denied = sameRun && message.version == record.known.version
                        && (record.known.state == member_state::suspected
                            || record.known.state == member_state::gone);
    if (outdated || denied) {
        auto reply = newMessage(false);
        reply.updates.push_back(record.known);
        send(message.sender, std::move(reply), actions);
    }
    if (message.pageAfter)
        answerPage(message, actions);
}

void membership::learnOfSender(const membership_message &message, time_point now)
{
    const auto found = m_records.find(message.sender);
    if (found == m_records.end())
        return;
    auto update = found->second.known;
    update.boot = message.boot;
    update.version = message.version;
    update.state = message.state;
    const bool isNews = found->second.known.boot != 0;
    learn(update, isNews, now);
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

void membership::watch(time_point now)
{
    for (const auto &id : m_watched) {
        auto &record = m_records.at(id);
        const bool silent = now - record.heard >= m_policy.suspectAfter;
        const bool open = record.known.state == member_state::live
                          || record.known.state == member_state::leaving;
        if (!silent || !open || now - record.reported < m_policy.reportInterval)
            continue;
        // Reported again while it lasts: the first report may have met a cut.
        record.reported = now;
        const suspicion news{id, record.known.boot, record.known.version, m_self.id};
        // Where the other monitors are gone too, nobody else will report it.
        if (now - record.heard >= m_policy.suspectAloneAfter) {
            setState(record, member_state::suspected, now);
            announce(id, record);
        } else if (record.reporters.contains(m_self.id))
            passOn(news);
        else
            learn(news, now);
    }
}

void membership::expire(time_point now)
{
    for (auto &[id, record] : m_records) {
        const bool silentForLong = record.known.state == member_state::suspected
                                   && now - record.changed >= m_policy.goneAfter;
        if (silentForLong)
            setState(record, member_state::gone, now);
    }
    // A gone record has no part in the digest or the rings.
    const auto erased = std::erase_if(m_records, [&](const auto &entry) {
        const auto &record = entry.second;
        return record.known.state == member_state::gone && !record.listed
               && record.known.id != m_self.id && now - record.changed >= m_policy.forgetAfter;
    });
    if (erased > 0)
        changeView(duration::zero());
}

void membership::sendHeartbeats(time_point now, outputs &actions)
{
    m_centreHeard[m_self.dataCentre] = now;
    for (const auto &monitor : m_monitors)
        send(monitor, messageWithNews(false), actions);
    if (const auto receiver = randomInstance())
        send(*receiver, messageWithNews(true), actions);
    if (const auto receiver = lostInstance()) {
        auto probe = newMessage(false);
        probe.updates.push_back(m_self);
        send(*receiver, std::move(probe), actions);
    }
}

void membership::requestPage(time_point now, outputs &actions)
{
    if (!m_digestsDiffer || now < m_nextRepair)
        return;
    m_nextRepair = now + m_policy.repairInterval;
    for (const auto &receiver : randomReceivers(1)) {
        auto request = newMessage(false);
        request.pageAfter = m_repairAfter;
        send(receiver, std::move(request), actions);
    }
}

void membership::sendNews(time_point now, outputs &actions)
{
    m_nextNews = now + m_policy.newsInterval;
    const auto receivers = randomReceivers(m_policy.newsFanOut);
    const auto cost = newsCost(receivers.size());
    m_newsBudget.refill(now);
    const bool affordable = m_newsBudget.trySpend(cost);
    if (!affordable && !hasUrgentNews())
        return;
    for (const auto &receiver : receivers)
        send(receiver, messageWithNews(false), actions);
}

bool membership::hasUrgentNews() const
{
    return !m_suspicions.empty() || std::ranges::any_of(m_news, [&](const member_id &id) {
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

membership_message membership::newMessage(bool withSilences) const
{
    membership_message message;
    message.sender = m_self.id;
    message.boot = m_self.boot;
    message.version = m_self.version;
    message.state = m_self.state;
    message.digest = m_digest;
    if (!withSilences)
        return message;
    for (const auto &[id, heard] : m_centreHeard) {
        const auto length = std::chrono::ceil<std::chrono::milliseconds>(m_handled - heard);
        message.silences.push_back({id, length});
    }
    return message;
}

token_amount membership::newsCost(std::size_t receivers) const
{
    const auto records = std::min(m_policy.recordsPerMessage, m_news.size() + m_suspicions.size());
    const auto bytes = messageBytes + recordBytes * static_cast<std::int64_t>(records);
    return token_amount::tokens(static_cast<std::int64_t>(receivers) * bytes);
}

membership_message membership::messageWithNews(bool withSilences)
{
    auto message = newMessage(withSilences);
    std::vector<member_id> ids(m_news.begin(), m_news.end());

    std::stable_partition(ids.begin(), ids.end(), [&](const member_id &id) {
        return m_records.at(id).known.state != member_state::live;
    });
    ids.resize(std::min(ids.size(), m_policy.recordsPerMessage));
    for (const auto &id : ids) {
        auto &record = m_records.at(id);
        message.updates.push_back(record.known);
        if (--record.newsLeft == 0)
            m_news.erase(id);
    }
    const auto suspicions = std::min(m_suspicions.size(), m_policy.recordsPerMessage);
    for (std::size_t index = 0; index < suspicions; ++index) {
        message.suspicions.push_back(m_suspicions[index].news);
        --m_suspicions[index].newsLeft;
    }
    std::erase_if(m_suspicions,
                  [](const pending_suspicion &pending) { return pending.newsLeft == 0; });
    return message;
}

void membership::publish(time_point now, outputs &actions)
{
    auto silent = silentCentres(now);
    if (silent != m_view.silentDataCentres())
        changeView(duration::zero());
    if (!m_viewDue || now < *m_viewDue)
        return;
    m_viewDue.reset();
    m_lastView = now;
    std::vector<member> members;
    for (const auto &[id, record] : m_records)
        members.push_back(record.known);
    membership_view view(std::move(members), std::move(silent));
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
    std::vector<member_id> everywhere;
    for (const auto &[id, record] : m_records) {
        const bool takesPart = record.known.kind == member_kind::instance
                               && (record.known.state != member_state::gone || id == m_self.id);
        if (!takesPart)
            continue;
        byCentre[record.known.dataCentre].push_back(id);
        everywhere.push_back(id);
    }
    // A data centre with enough instances watches its own, so that a cut raises no suspicions.
    const auto isLarge = [&](const data_centre_id &centre) {
        return byCentre[centre].size() > m_policy.monitors;
    };
    const auto watchedBefore = m_watched;
    const auto ring = ringOf(everywhere);
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
            m_records.at(id).heard = now;
    }
    std::erase(everywhere, m_self.id);
    m_instances = std::move(everywhere);
}

std::vector<member_id> membership::randomReceivers(std::size_t count)
{
    constexpr std::size_t drawsPerReceiver = 4;
    const auto &silent = m_view.silentDataCentres();
    std::vector<member_id> result;
    for (std::size_t draw = 0; draw < drawsPerReceiver * count && !m_instances.empty(); ++draw) {
        const auto &id = m_instances[m_random() % m_instances.size()];
        const auto &centre = m_records.at(id).known.dataCentre;
        const bool usable = !std::ranges::binary_search(silent, centre)
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

std::optional<member_id> membership::lostInstance() const
{
    std::vector<member_id> lost;
    for (const auto &[id, record] : m_records) {
        const bool isLost = record.known.kind == member_kind::instance && record.listed
                            && record.known.state == member_state::gone && id != m_self.id;
        if (isLost)
            lost.push_back(id);
    }
    if (lost.empty())
        return std::nullopt;
    return lost[m_random() % lost.size()];
}

std::size_t membership::suspecting() const
{
    return std::clamp<std::size_t>(m_policy.suspecting, 1,
                                   std::max<std::size_t>(1, m_instances.size()));
}

void membership::changeView(duration delay)
{
    const auto due = std::max(m_handled + delay, m_lastView + m_policy.viewInterval);
    m_viewDue = m_viewDue ? std::min(*m_viewDue, due) : due;
}

void membership::forget(const member &known)
{
    m_digest -= markOf(known);
}

void membership::remember(const member &known)
{
    m_digest += markOf(known);
}

std::vector<data_centre_id> membership::silentCentres(time_point now) const
{
    std::vector<data_centre_id> result;
    for (const auto &[id, heard] : m_centreHeard) {
        const auto silence = now - std::max(heard, m_resumed);
        if (id != m_self.dataCentre && silence >= m_policy.dataCentreSilentAfter)
            result.push_back(id);
    }
    return result;
}

} // namespace sycamorespan
