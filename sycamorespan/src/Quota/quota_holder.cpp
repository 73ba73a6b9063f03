#include "sycamorespan/src/Quota/quota_holder.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

namespace sycamorespan {

namespace {

/** \brief Time over which the demand is counted for one sample. */
constexpr duration demandSamplePeriod = 250ms;
/** \brief Weight of the latest sample in the exponential moving average of the demand. */
constexpr double demandSampleWeight = 0.5;
/** \brief An unspent loan is returned when loanValidity divided by this is left of its validity. */
constexpr int idleLoanDivisor = 2;
/** \brief Settlements wait for loanValidity divided by this, so that a loan request can carry them.
 */
constexpr int settlementDelayDivisor = 4;
/** \brief Upper bound of the retry delay that a refusal reports. */
constexpr duration maxRetryAfter = 1s;
/** \brief An answer within borrowTimeout divided by this leaves time to try other lenders. */
constexpr int quickAnswerDivisor = 4;
/** \brief Least wait for the refill of lenders: a round trip between data centres. */
constexpr duration minRefillWait = 5ms;

token_amount fromTokens(double tokens)
{
    return {static_cast<std::int64_t>(tokens
                                      * static_cast<double>(token_amount::nanotokensPerToken))};
}

} // namespace

quota_holder::quota_holder(workspace_id workspace, holder_incarnation self,
                           const quota_policy &policy, time_point now)
    : m_workspace(std::move(workspace))
    , m_self(std::move(self))
    , m_policy(policy)
    , m_bucket({}, policy.drift, now)
    , m_shareValidUntil(now)
    , m_nextBorrowAt(now)
    , m_borrowInterval(policy.minBorrowInterval)
    , m_returns(maxRetryAfter - policy.refillTimeout)
    , m_demandCountedSince(now)
{ }

std::vector<quota_output> quota_holder::handle(const quota_input &event, time_point now)
{
    outputs actions;
    m_lastEventAt = now;
    advanceTime(now);
    std::visit([&](const auto &alternative) { handle(alternative, now, actions); }, event);
    processWaiting(now, actions);
    return actions;
}

std::optional<time_point> quota_holder::nextDeadline() const
{
    std::optional<time_point> earliest = m_nextSettlementAt;
    const auto consider = [&](time_point due) {
        earliest = earliest ? std::min(*earliest, due) : due;
    };
    if (!m_waitingRequests.empty()) {
        consider(m_waitingRequests.front().deadline);
        if (m_nextBorrowAt > m_lastEventAt)
            consider(m_nextBorrowAt);
        for (const auto &[id, lender] : m_peers) {
            const auto due = lender.pending ? lender.pending->sent
                                                      + m_policy.borrowTimeout / quickAnswerDivisor
                                            : time_point();
            if (due > m_lastEventAt)
                consider(due);
        }
    }
    for (const auto &borrowed : m_borrowedLoans)
        consider(borrowed.validUntil - m_policy.loanValidity / idleLoanDivisor);
    return earliest;
}

token_amount quota_holder::available(time_point now) const
{
    auto sum = token_amount{};
    for (const auto &borrowed : m_borrowedLoans) {
        if (now < borrowed.validUntil)
            sum += borrowed.left;
    }
    if (isShareValid(now))
        sum += m_bucket.level();
    return sum;
}

void quota_holder::handle(const quota_event::request_arrived &event, time_point now,
                          outputs &actions)
{
    countDemand(event.cost, now);
    if (m_waitingRequests.empty() && trySpend(event.id, event.cost, now)) {
        actions.emplace_back(quota_action::admit{event.id});
        return;
    }
    if (m_waitingRequests.size() >= m_policy.maxWaitingRequests) {
        actions.emplace_back(quota_action::refuse{event.id, retryAfter(event.cost, now)});
        return;
    }
    m_waitingRequests.push_back({event.id, event.cost, now, now + m_policy.borrowTimeout});
}

void quota_holder::handle(const quota_event::request_cancelled &event, time_point, outputs &)
{
    std::erase_if(m_waitingRequests,
                  [&](const waiting_request &waiting) { return waiting.id == event.id; });
}

void quota_holder::handle(const quota_event::request_sent &event, time_point now, outputs &)
{
    m_refundCredits.take(event.id);
    resolveBorrowedTokens(event.id, true, now);
}

void quota_holder::handle(const quota_event::request_not_run &event, time_point now, outputs &)
{
    m_bucket.add(m_refundCredits.take(event.id));
    resolveBorrowedTokens(event.id, false, now);
}

void quota_holder::handle(const quota_event::share_changed &event, time_point now, outputs &)
{
    m_bucket.setLimit(event.share, now);
    m_refundCredits.limitTo(m_bucket.freeCapacity());
    m_shareValidUntil = event.validUntil;
}

void quota_holder::handle(const quota_event::peers_changed &event, time_point now, outputs &)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        return std::ranges::find(event.peers, entry.first) == event.peers.end();
    });
    m_sharePerPeer = event.peerShare;
    for (const auto &id : event.peers) {
        const auto [entry, added] = m_peers.try_emplace(id);
        if (added) {
            entry->second.reportedLevel = m_sharePerPeer.value_or(m_bucket.limit()).burst;
            entry->second.reportedAt = now;
        }
        entry->second.isNearby = std::ranges::find(event.nearby, id) != event.nearby.end();
    }
}

void quota_holder::handle(const quota_event::message_received &event, time_point now,
                          outputs &actions)
{
    std::visit([&](const auto &message) { receive(message, now, actions); }, event.message);
}

void quota_holder::handle(const quota_event::tick &, time_point now, outputs &actions)
{
    returnIdleLoans(now);
    if (m_nextSettlementAt && now >= *m_nextSettlementAt)
        settleLoans(now, actions);
}

void quota_holder::receive(const loan_request &request, time_point now, outputs &actions)
{
    if (request.workspace != m_workspace || request.borrower.holder == m_self.holder)
        return;
    auto &last = m_borrowers[request.borrower.holder];
    const bool repeated =
            last.incarnation == request.borrower.number && request.sequence <= last.sequence;
    if (repeated)
        return;
    last = {request.borrower.number, request.sequence};
    if (request.lenderIncarnation == m_self.number) {
        for (const auto &settlement : request.settled) {
            const auto found = m_grantedLoans.find(settlement.loan);
            if (found == m_grantedLoans.end() || found->second.borrower != request.borrower)
                continue;
            m_bucket.settle(found->second.amount, settlement.unspent);
            m_grantedLoans.erase(found);
        }
    }
    if (request.wanted > token_amount{})
        lend(request, now, actions);
}

void quota_holder::lend(const loan_request &request, time_point now, outputs &actions)
{
    const auto amount = std::min(request.wanted, lendable(now));
    m_bucket.lend(amount);
    if (amount > token_amount{}) {
        const auto expires = now + m_policy.loanValidity;
        m_grantedLoans.emplace(++m_lastLoanNumber, granted_loan{request.borrower, amount, expires});
    }
    actions.emplace_back(quota_action::send_message{
            request.borrower.holder,
            loan_grant{m_workspace, m_self, request.borrower, request.sequence, m_lastLoanNumber,
                       amount, lendable(now)}});
}

token_amount quota_holder::lendable(time_point now) const
{
    const bool outlivesShare = now + m_policy.loanValidity > m_shareValidUntil;
    if (outlivesShare || !m_waitingRequests.empty())
        return {};
    return std::max(token_amount{}, m_bucket.level() - expectedDemand());
}

void quota_holder::receive(const loan_grant &grant, time_point now, outputs &)
{
    const auto found = m_peers.find(grant.lender.holder);
    if (grant.workspace != m_workspace || grant.borrower != m_self || found == m_peers.end())
        return;
    auto &lender = found->second;
    if (!lender.pending || lender.pending->sequence != grant.sequence)
        return;
    const auto request = *std::exchange(lender.pending, std::nullopt);
    const bool isQuickAnswer = now - request.sent < m_policy.borrowTimeout / quickAnswerDivisor;
    if (isQuickAnswer && grant.amount < request.wanted)
        m_tryOtherLenders = true; // they may have the missing tokens
    if (lender.incarnation != grant.lender.number)
        lender.settled.clear();
    lender.incarnation = grant.lender.number;
    lender.reportedLevel = grant.left;
    lender.reportedAt = now;
    const auto validUntil = request.sent + m_policy.drift.usableLeaseTime(m_policy.loanValidity);
    if (grant.amount == token_amount{} || now >= validUntil)
        return;
    m_borrowedInRound += grant.amount;
    m_borrowedLoans.push_back({grant.lender, grant.loan, grant.amount, {}, validUntil});
    std::ranges::sort(m_borrowedLoans, {}, &borrowed_loan::validUntil);
}

void quota_holder::advanceTime(time_point now)
{
    expireGrantedLoans(now);
    expireBorrowedLoans(now);
    m_bucket.refill(now);
    m_refundCredits.limitTo(m_bucket.freeCapacity());
}

void quota_holder::expireGrantedLoans(time_point now)
{
    // All loans have the same validity, so they expire in the order of their numbers.
    while (!m_grantedLoans.empty() && now >= m_grantedLoans.begin()->second.expires) {
        m_bucket.settle(m_grantedLoans.begin()->second.amount, {});
        m_grantedLoans.erase(m_grantedLoans.begin());
    }
}

void quota_holder::expireBorrowedLoans(time_point now)
{
    std::erase_if(m_borrowedLoans,
                  [&](const borrowed_loan &borrowed) { return now >= borrowed.validUntil; });
}

void quota_holder::returnIdleLoans(time_point now)
{
    const auto isIdle = [&](const borrowed_loan &borrowed) {
        return now >= borrowed.validUntil - m_policy.loanValidity / idleLoanDivisor;
    };
    for (const auto &borrowed : m_borrowedLoans) {
        if (isIdle(borrowed))
            queueSettlement(borrowed, now);
    }
    if (std::erase_if(m_borrowedLoans, isIdle) > 0)
        m_nextSettlementAt = now;
}

void quota_holder::queueSettlement(const borrowed_loan &ended, time_point now)
{
    const auto lender = m_peers.find(ended.lender.holder);
    if (lender == m_peers.end() || lender->second.incarnation != ended.lender.number)
        return;
    lender->second.settled.push_back({ended.loan, ended.left});
    const auto due = now + m_policy.loanValidity / settlementDelayDivisor;
    m_nextSettlementAt = m_nextSettlementAt ? std::min(*m_nextSettlementAt, due) : due;
}

bool quota_holder::trySpend(std::uint64_t id, token_amount cost, time_point now)
{
    if (available(now) < cost)
        return false;
    m_countedAdmissions += cost;
    const auto ownCost = cost - spendBorrowedTokens(id, cost, now);
    if (ownCost > token_amount{}) {
        m_bucket.trySpend(ownCost);
        m_refundCredits.add(id, ownCost);
    }
    return true;
}

token_amount quota_holder::spendBorrowedTokens(std::uint64_t id, token_amount cost, time_point)
{
    auto spent = token_amount{};
    for (auto &borrowed : m_borrowedLoans) {
        const auto part = std::min(borrowed.left, cost - spent);
        if (part == token_amount{})
            continue;
        borrowed.left -= part;
        borrowed.unresolved += part;
        spent += part;
        m_borrowedParts[id].push_back({borrowed.lender, borrowed.loan, part});
    }
    return spent;
}

/** Returns the tokens of a request that was not sent to their loans, which may still be spent. A
 * loan is settled once all of it was spent on requests that were sent.
 */
void quota_holder::resolveBorrowedTokens(std::uint64_t id, bool wasSent, time_point now)
{
    const auto parts = m_borrowedParts.extract(id);
    if (parts.empty())
        return;
    std::ranges::for_each(parts.mapped(), [&](const borrowed_part &part) {
        const auto loan = std::ranges::find_if(m_borrowedLoans, [&](const borrowed_loan &each) {
            return each.lender == part.lender && each.loan == part.loan;
        });
        if (loan == m_borrowedLoans.end())
            return; // it was settled or has expired, and counts as spent
        loan->unresolved -= part.amount;
        if (!wasSent)
            loan->left += part.amount;
    });
    const auto isSpent = [](const borrowed_loan &each) {
        return each.left == token_amount{} && each.unresolved == token_amount{};
    };
    for (const auto &borrowed : m_borrowedLoans)
        if (isSpent(borrowed))
            queueSettlement(borrowed, now);
    std::erase_if(m_borrowedLoans, isSpent);
}

void quota_holder::processWaiting(time_point now, outputs &actions)
{
    admitWaiting(now, actions);
    refuseTimedOut(now, actions);
    if (!m_waitingRequests.empty())
        borrow(now, actions);
}

void quota_holder::admitWaiting(time_point now, outputs &actions)
{
    while (!m_waitingRequests.empty()
           && trySpend(m_waitingRequests.front().id, m_waitingRequests.front().cost, now)) {
        actions.emplace_back(quota_action::admit{m_waitingRequests.front().id});
        // A round in which several lenders together granted enough also counts as successful.
        m_borrowedInRound = std::max(m_borrowedInRound, m_waitingRequests.front().cost);
        m_waitingRequests.pop_front();
    }
}

void quota_holder::refuseTimedOut(time_point now, outputs &actions)
{
    while (!m_waitingRequests.empty() && now >= m_waitingRequests.front().deadline)
        refuseFirstWaiting(now, actions);
}

void quota_holder::refuseFirstWaiting(time_point now, outputs &actions)
{
    const auto &first = m_waitingRequests.front();
    actions.emplace_back(quota_action::refuse{first.id, retryAfter(first.cost, now)});
    m_waitingRequests.pop_front();
}

/** Refuses the requests that won't get tokens before \a refilledAt if they would have to wait
 * longer than refillTimeout.
 */
void quota_holder::refuseWithoutTokensUntil(time_point refilledAt, time_point now, outputs &actions)
{
    while (!m_waitingRequests.empty()
           && refilledAt > m_waitingRequests.front().arrivedAt + m_policy.refillTimeout)
        refuseFirstWaiting(now, actions);
}

void quota_holder::borrow(time_point now, outputs &actions)
{
    const auto lenders = lendersByLevel(now);
    const auto firstCost = m_waitingRequests.front().cost;
    auto lendersHave = available(now);
    for (const auto &id : lenders)
        lendersHave += estimatedLevel(m_peers.at(id), now);
    if (lendersHave < firstCost) {
        if (!awaitingLoans(now))
            awaitRefill(firstCost, firstCost - lendersHave, now, actions);
        return;
    }
    const bool anyAnswerSlow = std::ranges::any_of(
            m_peers, [&](const auto &entry) { return isAnswerSlow(entry.second, now); });
    const bool continuesRound = std::exchange(m_tryOtherLenders, false) || anyAnswerSlow;
    if (!continuesRound && now < m_nextBorrowAt) {
        const bool nextRoundIsTooLate = m_nextBorrowAt >= m_waitingRequests.front().deadline;
        if (nextRoundIsTooLate && !awaitingLoans(now))
            refuseWithoutTokensUntil(ownRefillAt(firstCost, now), now, actions);
        return;
    }
    if (!continuesRound)
        beginBorrowRound(firstCost, now);
    auto wanted = queuedCost() + expectedDemand() - available(now);
    for (const auto &id : lenders) {
        if (wanted <= token_amount{})
            break;
        const auto part = std::min(wanted, estimatedLevel(m_peers.at(id), now));
        requestLoan(id, part, now, actions);
        wanted -= part;
    }
}

/** Doubles the time between two rounds if the last one yielded less than \a firstCost. */
void quota_holder::beginBorrowRound(token_amount firstCost, time_point now)
{
    const bool yieldedTooLittle = m_borrowedInRound < firstCost;
    m_borrowInterval = yieldedTooLittle ? std::min(2 * m_borrowInterval, m_policy.maxBorrowInterval)
                                        : m_policy.minBorrowInterval;
    m_borrowedInRound = {};
    m_nextBorrowAt = now + m_borrowInterval;
}

/** \returns the tokens that the responsive lenders earn each second. */
double quota_holder::lendersRefill(time_point now) const
{
    const auto share = m_sharePerPeer.value_or(m_bucket.limit());
    const auto responsivePeers = std::ranges::count_if(
            m_peers, [&](const auto &entry) { return !isUnresponsive(entry.second, now); });
    return (share.rate * fromSeconds(1)).asTokens() * static_cast<double>(responsivePeers);
}

/** Keeps the requests waiting if the own share earns \a firstCost, or the lenders what is \a
 * missing of it, soon. Refuses them otherwise.
 */
void quota_holder::awaitRefill(token_amount firstCost, token_amount missing, time_point now,
                               outputs &actions)
{
    const auto tokensPerSecond = lendersRefill(now);
    const auto lendableAt = tokensPerSecond > 0
                                    ? now + fromSeconds(missing.asTokens() / tokensPerSecond)
                                    : time_point::max();
    const auto refilledAt = std::min(lendableAt, ownRefillAt(firstCost, now));
    refuseWithoutTokensUntil(refilledAt, now, actions);
    if (!m_waitingRequests.empty())
        m_nextBorrowAt = std::max(refilledAt, now + minRefillWait);
}

void quota_holder::requestLoan(const holder_id &lender, token_amount wanted, time_point now,
                               outputs &actions)
{
    auto &lenderState = m_peers.at(lender);
    ++m_lastRequestSequence;
    if (wanted > token_amount{}) {
        lenderState.pending = pending_request{m_lastRequestSequence, now, wanted};
        lenderState.reportedLevel = {};
        lenderState.reportedAt = now;
    }
    actions.emplace_back(quota_action::send_message{
            lender, loan_request{m_workspace, m_self, m_lastRequestSequence, wanted,
                                 lenderState.incarnation, std::exchange(lenderState.settled, {})}});
}

void quota_holder::settleLoans(time_point now, outputs &actions)
{
    m_nextSettlementAt.reset();
    for (const auto &[id, lender] : m_peers) {
        if (!lender.settled.empty())
            requestLoan(id, {}, now, actions);
    }
}

/** \returns when the own share has earned the tokens that are missing for \a cost. */
time_point quota_holder::ownRefillAt(token_amount cost, time_point now) const
{
    if (!isShareValid(now))
        return time_point::max();
    const auto borrowed = available(now) - m_bucket.level();
    const auto wait = m_bucket.timeUntil(cost - borrowed);
    return wait == duration::max() ? time_point::max() : now + wait;
}

std::vector<holder_id> quota_holder::lendersByLevel(time_point now) const
{
    struct ranked
    {
        bool isNearby = false; // and estimated to have enough for one request
        token_amount level;
        holder_id holder;
    };
    std::vector<ranked> byLevel;
    for (const auto &[id, candidate] : m_peers) {
        const auto level = estimatedLevel(candidate, now);
        if (level > token_amount{})
            byLevel.push_back({candidate.isNearby && level >= token_amount::tokens(1), level, id});
    }
    std::ranges::sort(byLevel, std::greater{}, [](const ranked &entry) {
        return std::tie(entry.isNearby, entry.level, entry.holder);
    });
    std::vector<holder_id> result;
    byLevel.resize(std::min(byLevel.size(), m_policy.lendersPerRound));
    std::ranges::transform(byLevel, std::back_inserter(result), &ranked::holder);
    return result;
}

token_amount quota_holder::estimatedLevel(const peer &lenderState, time_point now) const
{
    if (isUnresponsive(lenderState, now))
        return {};
    const auto share = m_sharePerPeer.value_or(m_bucket.limit());
    const auto elapsed =
            std::min<duration>(now - lenderState.reportedAt, m_policy.maxBorrowInterval);
    return std::min(lenderState.reportedLevel + share.rate * elapsed,
                    std::max(share.burst, lenderState.reportedLevel));
}

/** \returns whether the pending answer takes so long that other lenders should be tried. */
bool quota_holder::isAnswerSlow(const peer &lenderState, time_point now) const
{
    return lenderState.pending
           && now >= lenderState.pending->sent + m_policy.borrowTimeout / quickAnswerDivisor
           && now < lenderState.pending->sent + m_policy.borrowTimeout;
}

bool quota_holder::isUnresponsive(const peer &lenderState, time_point now) const
{
    return lenderState.pending && now < lenderState.pending->sent + m_policy.unresponsivePeerPause;
}

token_amount quota_holder::queuedCost() const
{
    return std::accumulate(
            m_waitingRequests.begin(), m_waitingRequests.end(), token_amount{},
            [](token_amount sum, const waiting_request &waiting) { return sum + waiting.cost; });
}

token_amount quota_holder::expectedDemand() const
{
    // A sample ends when a request arrives; without requests, the last one becomes outdated.
    const auto elapsed = m_lastEventAt - m_demandCountedSince;
    const bool isSampleOutdated = elapsed >= 2 * demandSamplePeriod;
    const auto demand = isSampleOutdated ? m_countedDemand.asTokens() / toSeconds(elapsed)
                                         : m_demandTokensPerSecond;
    return fromTokens(demand * toSeconds(m_policy.demandLookahead));
}

void quota_holder::countDemand(token_amount cost, time_point now)
{
    const auto elapsed = now - m_demandCountedSince;
    if (elapsed >= demandSamplePeriod) {
        const auto measured = m_countedDemand.asTokens() / toSeconds(elapsed);
        m_demandTokensPerSecond =
                demandSampleWeight * measured + (1 - demandSampleWeight) * m_demandTokensPerSecond;
        m_admittedTokensPerSecond =
                demandSampleWeight * m_countedAdmissions.asTokens() / toSeconds(elapsed)
                + (1 - demandSampleWeight) * m_admittedTokensPerSecond;
        m_countedDemand = {};
        m_countedAdmissions = {};
        m_demandCountedSince = now;
    }
    m_countedDemand += cost;
}

bool quota_holder::awaitingLoans(time_point now) const
{
    return std::ranges::any_of(m_peers, [&](const auto &entry) {
        const auto &pending = entry.second.pending;
        return pending && now < pending->sent + m_policy.borrowTimeout;
    });
}

/** \returns the tokens that this holder and the responsive lenders likely have. */
token_amount quota_holder::obtainable(time_point now) const
{
    return std::accumulate(m_peers.begin(), m_peers.end(), available(now),
                           [&](token_amount sum, const auto &entry) {
                               return sum + estimatedLevel(entry.second, now);
                           });
}

/** \returns the time after which a refused request likely gets its tokens: when they are earned,
 * and after those that were told to return before it. Their rate is that of the admissions here,
 * because the other holders admit the rest.
 */
duration quota_holder::retryAfter(token_amount cost, time_point now)
{
    const auto ownRefill = (m_bucket.limit().rate * fromSeconds(1)).asTokens();
    const auto tokensPerSecond = lendersRefill(now) + ownRefill;
    if (tokensPerSecond <= 0)
        return maxRetryAfter;
    const auto missing = std::max(token_amount{}, cost + queuedCost() - obtainable(now));
    const auto refill = fromSeconds(missing.asTokens() / tokensPerSecond);
    const auto earliest = std::min(std::max(refill, m_policy.refillTimeout), maxRetryAfter);
    const auto holders = static_cast<double>(m_peers.size() + 1);
    const auto admitted = std::max(m_admittedTokensPerSecond, tokensPerSecond / holders);
    const auto interval = fromSeconds(cost.asTokens() / admitted);
    return std::min(m_returns.next(earliest, interval, now), maxRetryAfter);
}

} // namespace sycamorespan
