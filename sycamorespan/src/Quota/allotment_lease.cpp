#include "sycamorespan/src/Quota/allotment_lease.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"

#include <algorithm>

namespace sycamorespan {

namespace {

constexpr double leastJitter = 0.5;
constexpr duration readSoon = 1s;

std::vector<holder_id> otherHolders(const allotment &row, const holder_id &self)
{
    std::vector<holder_id> result;
    for (const auto &share : row.shares()) {
        if (share.run.holder != self)
            result.push_back(share.run.holder);
    }
    return result;
}

std::int64_t unitsOf(const allotment &row, const holder_run &run)
{
    const auto *share = row.find(run.holder);
    return share != nullptr && share->run == run ? share->units : 0;
}

} // namespace

allotment_lease::allotment_lease(std::string key, std::int64_t total, holder_run self,
                                 const allotment_policy &policy, random_source random,
                                 time_point now)
    : m_key(std::move(key))
    , m_newTotal(total)
    , m_self(std::move(self))
    , m_policy(policy)
    , m_random(std::move(random))
    , m_answerTimeout(policy.answerTimeout)
    , m_nextRead(now)
    , m_validUntil(now)
    , m_wanted(total)
{ }

std::vector<allotment_output> allotment_lease::handle(const allotment_input &event, time_point now)
{
    outputs actions;
    settle(now);
    std::visit([&](const auto &alternative) { on(alternative, now, actions); }, event);
    considerWrite(now, actions);
    publish(now, actions);
    return actions;
}

time_point allotment_lease::nextDeadline() const
{
    const auto storeDue = m_outstanding ? m_outstandingSent + m_answerTimeout : m_nextRead;
    return m_settled ? std::min(storeDue, *m_settled) : storeDue;
}

std::int64_t allotment_lease::usableUnits(time_point now) const
{
    return now < m_validUntil && !superseded() ? m_usable : 0;
}

void allotment_lease::on(const allotment_event::row_read &event, time_point now, outputs &)
{
    if (event.request != m_outstanding)
        return;
    m_outstanding.reset();
    m_answerTimeout = m_policy.answerTimeout;
    scheduleRead(m_policy.pollInterval, now);
    auto row = event.value ? allotment::decode(*event.value) : allotment(m_newTotal, {}, {});
    resolvePending(event.revision, row, now);
    adopt(event.revision, std::move(row), now);
}

void allotment_lease::on(const allotment_event::write_answered &event, time_point now,
                         outputs &actions)
{
    if (event.request != m_outstanding)
        return;
    m_outstanding.reset();
    const auto written = *std::exchange(m_pending, std::nullopt);
    if (!event.succeeded) {
        read(now, actions);
        return;
    }
    confirm(written, now);
    adopt(event.revision, written.value, now);
}

void allotment_lease::on(const allotment_event::request_failed &event, time_point now, outputs &)
{
    if (event.request == m_outstanding)
        fail(now);
}

void allotment_lease::on(const allotment_event::wanted_changed &event, time_point, outputs &)
{
    m_wanted = event.wanted;
}

void allotment_lease::on(const allotment_event::committed_changed &event, time_point, outputs &)
{
    m_committed = event.units;
}

void allotment_lease::on(const allotment_event::holders_changed &, time_point now, outputs &)
{
    const auto delay = fromSeconds(toSeconds(readSoon) * uniformUnit(m_random));
    m_nextRead = std::min(m_nextRead, now + delay);
}

void allotment_lease::on(const allotment_event::drain &, time_point, outputs &)
{
    m_draining = true;
}

void allotment_lease::on(const allotment_event::tick &, time_point now, outputs &actions)
{
    if (m_outstanding && now >= m_outstandingSent + m_answerTimeout) {
        m_answerTimeout = std::min(2 * m_answerTimeout, m_policy.answerTimeoutLimit);
        fail(now);
    }
    if (!m_outstanding && now >= m_nextRead)
        read(now, actions);
}

void allotment_lease::read(time_point now, outputs &actions)
{
    if (m_drained) {
        scheduleRead(m_policy.pollInterval, now);
        return;
    }
    m_outstanding = ++m_lastRequest;
    m_outstandingSent = now;
    actions.emplace_back(allotment_action::read_row{m_lastRequest, m_key});
}

void allotment_lease::considerWrite(time_point now, outputs &actions)
{
    if (!m_known || m_outstanding || m_pending || m_drained || superseded())
        return;
    const auto next = desiredRow(now);
    if (worthWriting(next, now))
        write(next, now, actions);
}

void allotment_lease::write(const allotment &next, time_point now, outputs &actions)
{
    const auto unique = uniqueId();
    const auto value = next.withRequest(unique);
    m_pending = pending_write{unique, value, now};
    m_outstanding = ++m_lastRequest;
    m_outstandingSent = now;
    actions.emplace_back(
            allotment_action::write_row{m_lastRequest, m_key, m_revision, value.encode()});
}

void allotment_lease::confirm(const pending_write &written, time_point now)
{
    if (written.value.find(m_self.holder) == nullptr) {
        m_drained = m_draining;
        return;
    }
    m_renewed = written.sent;
    m_validUntil = written.sent + m_policy.drift.usableTime(m_policy.validity);
    const auto *before = m_row.find(m_self.holder);
    if (before != nullptr && before->run != m_self) {
        m_inherited = true;
        m_settled = now + m_policy.settleTime;
    }
}

void allotment_lease::resolvePending(std::uint64_t revision, const allotment &row, time_point now)
{
    if (!m_pending)
        return;
    const auto written = *std::exchange(m_pending, std::nullopt);
    if (row.request() == written.unique)
        confirm(written, now);
    else if (revision == m_revision)
        m_unresolvedBase = revision;
}

void allotment_lease::adopt(std::uint64_t revision, allotment row, time_point now)
{
    if (!m_known || revision != m_revision)
        m_rowSeen = now;
    if (m_unresolvedBase && revision != *m_unresolvedBase)
        m_unresolvedBase.reset();
    m_known = true;
    m_revision = revision;
    m_row = std::move(row);
    adoptOwnUnits(unitsOf(m_row, m_self));
}

void allotment_lease::adoptOwnUnits(std::int64_t units)
{
    const bool mayGrow = !m_inherited && !m_reducing && !m_unresolvedBase;
    m_usable = mayGrow ? units : std::min(m_usable, units);
    if (m_reducing && m_usable == units)
        m_reducing = false;
}

void allotment_lease::settle(time_point now)
{
    if (!m_settled || now < *m_settled)
        return;
    m_settled.reset();
    if (!std::exchange(m_inherited, false))
        return;
    adoptOwnUnits(unitsOf(m_row, m_self));
}

void allotment_lease::reduceTo(std::int64_t units, time_point now)
{
    if (m_usable <= units)
        return;
    m_usable = units;
    m_reducing = true;
    m_settled = now + m_policy.settleTime;
}

allotment allotment_lease::desiredRow(time_point now)
{
    const auto row =
            m_row.withSilence(now - m_rowSeen, m_self.holder).withoutExpired(m_policy.validity);
    const auto *mine = row.find(m_self.holder);
    const auto units = mine != nullptr ? mine->units : 0;
    if (m_draining) {
        reduceTo(0, now);
        const bool returnable = !m_settled && m_committed == 0;
        return returnable ? row.without(m_self.holder) : row;
    }
    return row.with({m_self, desiredUnits(row, units, now), m_wanted, {}});
}

std::int64_t allotment_lease::desiredUnits(const allotment &row, std::int64_t units, time_point now)
{
    // Loans of the run before may still be spent: its units stay as they are until they settled.
    const auto *mine = m_row.find(m_self.holder);
    const bool ofRunBefore = mine != nullptr && mine->run != m_self;
    if (m_inherited || ofRunBefore)
        return units;
    const auto fair = row.with({m_self, units, m_wanted, {}}).fairUnits(m_self.holder);
    if (fair < units) {
        reduceTo(fair, now);
        const bool returnable = !m_settled && m_committed <= fair;
        return returnable ? fair : units;
    }
    m_reducing = false;
    adoptOwnUnits(unitsOf(m_row, m_self));
    return std::min(fair, units + row.freeUnits());
}

bool allotment_lease::superseded() const
{
    const auto *share = m_row.find(m_self.holder);
    return share != nullptr && share->run.boot > m_self.boot;
}

bool allotment_lease::worthWriting(const allotment &next, time_point now) const
{
    const auto *before = m_row.find(m_self.holder);
    const auto *after = next.find(m_self.holder);
    if (after == nullptr)
        return m_draining;
    if (m_draining)
        return false;
    const bool sameShare = before != nullptr && before->run == after->run
                           && before->units == after->units && before->wanted == after->wanted;
    const bool renewalDue = !m_renewed || now - *m_renewed >= m_policy.renewInterval;
    // Only a later write rules out that an unanswered reduction still takes effect.
    const bool heldBack = m_unresolvedBase && m_usable < after->units;
    return !sameShare || renewalDue || heldBack || next.shares().size() != m_row.shares().size();
}

void allotment_lease::fail(time_point now)
{
    m_outstanding.reset();
    scheduleRead(m_policy.answerTimeout, now);
}

void allotment_lease::publish(time_point now, outputs &actions)
{
    allotment_action::share_changed share{usableUnits(now), m_newTotal, m_validUntil,
                                          otherHolders(m_row, m_self.holder)};
    if (share != m_published)
        actions.emplace_back(share);
    m_published = std::move(share);
    if (m_drained && !std::exchange(m_drainReported, true))
        actions.emplace_back(allotment_action::drained{});
}

void allotment_lease::scheduleRead(duration mean, time_point now)
{
    const auto factor = leastJitter + uniformUnit(m_random);
    m_nextRead = now + fromSeconds(toSeconds(mean) * factor);
}

std::string allotment_lease::uniqueId()
{
    return m_self.holder.str() + '/' + std::to_string(m_self.boot) + '/'
           + std::to_string(m_lastRequest) + '/' + std::to_string(m_random());
}

} // namespace sycamorespan
