#include "sycamorespan/src/Quota/allotment_lease.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"

#include <algorithm>

namespace sycamorespan {

namespace {

/** \brief Lower end of the random factor of the time between two reads; its mean is 1. */
constexpr double minJitterFactor = 0.5;
constexpr duration maxReadDelayAfterHolderChange = 1s;

std::vector<holder_id> otherHolders(const allotment &row, const holder_id &self)
{
    std::vector<holder_id> result;
    for (const auto &share : row.shares()) {
        if (share.incarnation.holder != self)
            result.push_back(share.incarnation.holder);
    }
    return result;
}

std::int64_t unitsOf(const allotment &row, const holder_incarnation &incarnation)
{
    const auto *share = row.find(incarnation.holder);
    return share != nullptr && share->incarnation == incarnation ? share->units : 0;
}

} // namespace

allotment_lease::allotment_lease(std::string key, std::int64_t total, holder_incarnation self,
                                 const allotment_policy &policy, random_source random,
                                 time_point now)
    : m_key(std::move(key))
    , m_configuredTotal(total)
    , m_self(std::move(self))
    , m_policy(policy)
    , m_random(std::move(random))
    , m_answerTimeout(policy.answerTimeout)
    , m_nextReadAt(now)
    , m_validUntil(now)
    , m_wanted(total)
{ }

std::vector<allotment_output> allotment_lease::handle(const allotment_input &event, time_point now)
{
    outputs actions;
    finishSettling(now);
    std::visit([&](const auto &alternative) { handle(alternative, now, actions); }, event);
    writeIfNeeded(now, actions);
    publish(now, actions);
    return actions;
}

time_point allotment_lease::nextDeadline() const
{
    const auto storeDue =
            m_outstandingRequest ? m_outstandingSentAt + m_answerTimeout : m_nextReadAt;
    return m_settleEnd ? std::min(storeDue, *m_settleEnd) : storeDue;
}

std::int64_t allotment_lease::usableUnits(time_point now) const
{
    return now < m_validUntil && !isSuperseded() ? m_usableUnits : 0;
}

void allotment_lease::handle(const allotment_event::row_read &event, time_point now, outputs &)
{
    if (event.request != m_outstandingRequest)
        return;
    m_outstandingRequest.reset();
    m_answerTimeout = m_policy.answerTimeout;
    scheduleRead(m_policy.pollInterval, now);
    auto row = event.value ? allotment::decode(*event.value) : allotment(m_configuredTotal, {}, {});
    resolveUnansweredWrite(event.revision, row, now);
    applyRow(event.revision, std::move(row), now);
}

void allotment_lease::handle(const allotment_event::write_answered &event, time_point now,
                             outputs &actions)
{
    if (event.request != m_outstandingRequest)
        return;
    m_outstandingRequest.reset();
    const auto written = *std::exchange(m_unansweredWrite, std::nullopt);
    if (!event.succeeded) {
        read(now, actions);
        return;
    }
    applyConfirmedWrite(written, now);
    applyRow(event.revision, written.value, now);
}

void allotment_lease::handle(const allotment_event::request_failed &event, time_point now,
                             outputs &)
{
    if (event.request == m_outstandingRequest)
        onRequestFailed(now);
}

void allotment_lease::handle(const allotment_event::wanted_changed &event, time_point, outputs &)
{
    m_wanted = event.wanted;
}

void allotment_lease::handle(const allotment_event::committed_changed &event, time_point, outputs &)
{
    m_committed = event.units;
}

void allotment_lease::handle(const allotment_event::holders_changed &, time_point now, outputs &)
{
    const auto delay =
            fromSeconds(toSeconds(maxReadDelayAfterHolderChange) * uniformUnit(m_random));
    m_nextReadAt = std::min(m_nextReadAt, now + delay);
}

void allotment_lease::handle(const allotment_event::drain &, time_point, outputs &)
{
    m_isDraining = true;
}

void allotment_lease::handle(const allotment_event::tick &, time_point now, outputs &actions)
{
    if (m_outstandingRequest && now >= m_outstandingSentAt + m_answerTimeout) {
        m_answerTimeout = std::min(2 * m_answerTimeout, m_policy.maxAnswerTimeout);
        onRequestFailed(now);
    }
    if (!m_outstandingRequest && now >= m_nextReadAt)
        read(now, actions);
}

void allotment_lease::read(time_point now, outputs &actions)
{
    if (m_isDrained) {
        scheduleRead(m_policy.pollInterval, now);
        return;
    }
    m_outstandingRequest = ++m_lastRequest;
    m_outstandingSentAt = now;
    actions.emplace_back(allotment_action::read_row{m_lastRequest, m_key});
}

void allotment_lease::writeIfNeeded(time_point now, outputs &actions)
{
    if (!m_isRowKnown || m_outstandingRequest || m_unansweredWrite || m_isDrained || isSuperseded())
        return;
    const auto next = desiredRow(now);
    if (needsWrite(next, now))
        write(next, now, actions);
}

void allotment_lease::write(const allotment &next, time_point now, outputs &actions)
{
    const auto uniqueId = nextUniqueId();
    const auto value = next.withRequest(uniqueId);
    m_unansweredWrite = pending_write{uniqueId, value, now};
    m_outstandingRequest = ++m_lastRequest;
    m_outstandingSentAt = now;
    actions.emplace_back(
            allotment_action::write_row{m_lastRequest, m_key, m_revision, value.encode()});
}

void allotment_lease::applyConfirmedWrite(const pending_write &written, time_point now)
{
    if (written.value.find(m_self.holder) == nullptr) {
        m_isDrained = m_isDraining;
        return;
    }
    m_renewedAt = written.sent;
    m_validUntil = written.sent + m_policy.drift.usableLeaseTime(m_policy.validity);
    const auto *before = m_row.find(m_self.holder);
    if (before != nullptr && before->incarnation != m_self) {
        m_hasInheritedShare = true;
        m_settleEnd = now + m_policy.settleTime;
    }
}

void allotment_lease::resolveUnansweredWrite(std::uint64_t revision, const allotment &row,
                                             time_point now)
{
    if (!m_unansweredWrite)
        return;
    const auto written = *std::exchange(m_unansweredWrite, std::nullopt);
    if (row.request() == written.uniqueId)
        applyConfirmedWrite(written, now);
    else if (revision == m_revision)
        m_unresolvedRevision = revision;
}

void allotment_lease::applyRow(std::uint64_t revision, allotment row, time_point now)
{
    if (!m_isRowKnown || revision != m_revision)
        m_revisionSeenAt = now;
    if (m_unresolvedRevision && revision != *m_unresolvedRevision)
        m_unresolvedRevision.reset();
    m_isRowKnown = true;
    m_revision = revision;
    m_row = std::move(row);
    applyOwnUnits(unitsOf(m_row, m_self));
}

void allotment_lease::applyOwnUnits(std::int64_t units)
{
    const bool mayGrow = !m_hasInheritedShare && !m_isReducing && !m_unresolvedRevision;
    m_usableUnits = mayGrow ? units : std::min(m_usableUnits, units);
    if (m_isReducing && m_usableUnits == units)
        m_isReducing = false;
}

void allotment_lease::finishSettling(time_point now)
{
    if (!m_settleEnd || now < *m_settleEnd)
        return;
    m_settleEnd.reset();
    if (!std::exchange(m_hasInheritedShare, false))
        return;
    applyOwnUnits(unitsOf(m_row, m_self));
}

void allotment_lease::reduceUsableTo(std::int64_t units, time_point now)
{
    if (m_usableUnits <= units)
        return;
    m_usableUnits = units;
    m_isReducing = true;
    m_settleEnd = now + m_policy.settleTime;
}

allotment allotment_lease::desiredRow(time_point now)
{
    const auto row = m_row.withElapsedTime(now - m_revisionSeenAt, m_self.holder)
                             .withoutExpired(m_policy.validity);
    const auto *ownShare = row.find(m_self.holder);
    const auto units = ownShare != nullptr ? ownShare->units : 0;
    if (m_isDraining) {
        reduceUsableTo(0, now);
        const bool isReleasable = !m_settleEnd && m_committed == 0;
        return isReleasable ? row.without(m_self.holder) : row;
    }
    return row.with({m_self, desiredUnits(row, units, now), m_wanted, {}});
}

std::int64_t allotment_lease::desiredUnits(const allotment &row, std::int64_t units, time_point now)
{
    // Loans of the previous incarnation may still be spent, so its units stay as they are until the
    // settle time is over.
    const auto *ownShare = m_row.find(m_self.holder);
    const bool isPreviousIncarnationShare = ownShare != nullptr && ownShare->incarnation != m_self;
    if (m_hasInheritedShare || isPreviousIncarnationShare)
        return units;
    const auto fairUnits = row.with({m_self, units, m_wanted, {}}).fairUnits(m_self.holder);
    if (fairUnits < units) {
        reduceUsableTo(fairUnits, now);
        const bool isReleasable = !m_settleEnd && m_committed <= fairUnits;
        return isReleasable ? fairUnits : units;
    }
    m_isReducing = false;
    applyOwnUnits(unitsOf(m_row, m_self));
    return std::min(fairUnits, units + row.freeUnits());
}

bool allotment_lease::isSuperseded() const
{
    const auto *share = m_row.find(m_self.holder);
    return share != nullptr && share->incarnation.number > m_self.number;
}

bool allotment_lease::needsWrite(const allotment &next, time_point now) const
{
    const auto *before = m_row.find(m_self.holder);
    const auto *after = next.find(m_self.holder);
    if (after == nullptr)
        return m_isDraining;
    if (m_isDraining)
        return false;
    const bool sameShare = before != nullptr && before->incarnation == after->incarnation
                           && before->units == after->units && before->wanted == after->wanted;
    const bool renewalDue = !m_renewedAt || now - *m_renewedAt >= m_policy.renewInterval;
    // An unanswered reduction may still be applied until a later write succeeds.
    const bool isReductionUnresolved = m_unresolvedRevision && m_usableUnits < after->units;
    return !sameShare || renewalDue || isReductionUnresolved
           || next.shares().size() != m_row.shares().size();
}

void allotment_lease::onRequestFailed(time_point now)
{
    m_outstandingRequest.reset();
    scheduleRead(m_policy.answerTimeout, now);
}

void allotment_lease::publish(time_point now, outputs &actions)
{
    allotment_action::share_changed share{usableUnits(now), m_configuredTotal, m_validUntil,
                                          otherHolders(m_row, m_self.holder)};
    if (share != m_published)
        actions.emplace_back(share);
    m_published = std::move(share);
    if (m_isDrained && !std::exchange(m_isDrainReported, true))
        actions.emplace_back(allotment_action::drained{});
}

void allotment_lease::scheduleRead(duration mean, time_point now)
{
    const auto factor = minJitterFactor + uniformUnit(m_random);
    m_nextReadAt = now + fromSeconds(toSeconds(mean) * factor);
}

std::string allotment_lease::nextUniqueId()
{
    return m_self.holder.str() + '/' + std::to_string(m_self.number) + '/'
           + std::to_string(m_lastRequest) + '/' + std::to_string(m_random());
}

} // namespace sycamorespan
