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

constexpr duration demandPeriod = 250ms;
constexpr double demandWeight = 0.5;
/** \brief An idle voucher goes back when this part of its validity is over. */
constexpr int idlePart = 2;
/** \brief Settlements wait this part of a voucher's validity for a request that carries them. */
constexpr int settlementPart = 4;
constexpr duration retryAfterLimit = 1s;
/** \brief A grant within this part of the wait leaves time to ask elsewhere. */
constexpr int quickPart = 4;
/** \brief Least wait for lenders' tokens: a round trip between data centres. */
constexpr duration retryStep = 5ms;

token_amount fromTokens(double tokens)
{
    return {static_cast<std::int64_t>(tokens
                                      * static_cast<double>(token_amount::nanotokensPerToken))};
}

} // namespace

quota_holder::quota_holder(workspace_id workspace, holder_run self, const quota_policy &policy,
                           time_point now)
    : m_workspace(std::move(workspace))
    , m_self(std::move(self))
    , m_policy(policy)
    , m_bucket({}, policy.drift, now)
    , m_shareValidUntil(now)
    , m_nextRound(now)
    , m_roundInterval(policy.borrowInterval)
    , m_demandSince(now)
{ }

std::vector<quota_output> quota_holder::handle(const quota_input &event, time_point now)
{
    outputs actions;
    m_handled = now;
    advance(now);
    std::visit([&](const auto &alternative) { on(alternative, now, actions); }, event);
    serve(now, actions);
    return actions;
}

std::optional<time_point> quota_holder::nextDeadline() const
{
    std::optional<time_point> earliest = m_nextSettlement;
    const auto consider = [&](time_point due) {
        earliest = earliest ? std::min(*earliest, due) : due;
    };
    if (!m_waiting.empty()) {
        consider(m_waiting.front().deadline);
        if (m_nextRound > m_handled)
            consider(m_nextRound);
        for (const auto &[id, lender] : m_peers) {
            const auto due = lender.pending
                                     ? lender.pending->sent + m_policy.borrowTimeout / quickPart
                                     : time_point();
            if (due > m_handled)
                consider(due);
        }
    }
    for (const auto &held : m_vouchers)
        consider(held.validUntil - m_policy.voucherValidity / idlePart);
    return earliest;
}

token_amount quota_holder::available(time_point now) const
{
    auto sum = token_amount{};
    for (const auto &held : m_vouchers) {
        if (now < held.validUntil)
            sum += held.left;
    }
    if (shareValid(now))
        sum += m_bucket.level();
    return sum;
}

void quota_holder::on(const quota_event::request_arrived &event, time_point now, outputs &actions)
{
    countDemand(event.cost, now);
    if (m_waiting.empty() && trySpend(event.id, event.cost, now)) {
        actions.emplace_back(quota_action::admit{event.id});
        return;
    }
    if (m_waiting.size() >= m_policy.queueLimit) {
        actions.emplace_back(quota_action::refuse{event.id, retryAfter(event.cost)});
        return;
    }
    m_waiting.push_back({event.id, event.cost, now + m_policy.borrowTimeout});
}

void quota_holder::on(const quota_event::request_cancelled &event, time_point, outputs &)
{
    std::erase_if(m_waiting,
                  [&](const waiting_request &waiting) { return waiting.id == event.id; });
}

void quota_holder::on(const quota_event::request_ran &event, time_point, outputs &)
{
    m_credits.take(event.id);
}

void quota_holder::on(const quota_event::request_not_run &event, time_point, outputs &)
{
    m_bucket.add(m_credits.take(event.id));
}

void quota_holder::on(const quota_event::share_changed &event, time_point now, outputs &)
{
    m_bucket.setLimit(event.share, now);
    m_credits.limitTo(m_bucket.room());
    m_shareValidUntil = event.validUntil;
}

void quota_holder::on(const quota_event::peers_changed &event, time_point now, outputs &)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        return std::ranges::find(event.peers, entry.first) == event.peers.end();
    });
    m_peerShare = event.peerShare;
    for (const auto &id : event.peers) {
        const auto [entry, added] = m_peers.try_emplace(id);
        if (added) {
            entry->second.levelHint = m_peerShare.value_or(m_bucket.limit()).burst;
            entry->second.hintTaken = now;
        }
        entry->second.isNearby = std::ranges::find(event.nearby, id) != event.nearby.end();
    }
}

void quota_holder::on(const quota_event::message_received &event, time_point now, outputs &actions)
{
    std::visit([&](const auto &message) { receive(message, now, actions); }, event.message);
}

void quota_holder::on(const quota_event::tick &, time_point now, outputs &actions)
{
    returnIdleVouchers(now);
    if (m_nextSettlement && now >= *m_nextSettlement)
        settleLoans(now, actions);
}

void quota_holder::receive(const loan_request &request, time_point now, outputs &actions)
{
    if (request.workspace != m_workspace || request.borrower.holder == m_self.holder)
        return;
    auto &last = m_borrowers[request.borrower.holder];
    const bool repeated = last.boot == request.borrower.boot && request.sequence <= last.sequence;
    if (repeated)
        return;
    last = {request.borrower.boot, request.sequence};
    if (request.lenderBoot == m_self.boot) {
        for (const auto &settlement : request.settled) {
            const auto found = m_loans.find(settlement.loan);
            if (found == m_loans.end() || found->second.borrower != request.borrower)
                continue;
            m_bucket.settle(found->second.amount, settlement.unspent);
            m_loans.erase(found);
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
        const auto expires = now + m_policy.voucherValidity;
        m_loans.emplace(++m_lastLoan, loan{request.borrower, amount, expires});
    }
    actions.emplace_back(quota_action::send_message{request.borrower.holder,
                                                    loan_grant{m_workspace, m_self,
                                                               request.borrower, request.sequence,
                                                               m_lastLoan, amount, lendable(now)}});
}

token_amount quota_holder::lendable(time_point now) const
{
    const bool outlived = now + m_policy.voucherValidity > m_shareValidUntil;
    if (outlived || !m_waiting.empty())
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
    const bool quick = now - request.sent < m_policy.borrowTimeout / quickPart;
    if (quick && grant.amount < request.wanted)
        m_askElsewhere = true; // another lender may have what this one lacks
    if (lender.boot != grant.lender.boot)
        lender.settled.clear();
    lender.boot = grant.lender.boot;
    lender.levelHint = grant.left;
    lender.hintTaken = now;
    const auto validUntil = request.sent + m_policy.drift.usableTime(m_policy.voucherValidity);
    if (grant.amount == token_amount{} || now >= validUntil)
        return;
    m_borrowedInRound += grant.amount;
    m_vouchers.push_back({grant.lender, grant.loan, grant.amount, validUntil});
    std::ranges::sort(m_vouchers, {}, &voucher::validUntil);
}

void quota_holder::advance(time_point now)
{
    expireLoans(now);
    expireVouchers(now);
    m_bucket.refill(now);
    m_credits.limitTo(m_bucket.room());
}

void quota_holder::expireLoans(time_point now)
{
    // Loans are numbered in the order in which they expire.
    while (!m_loans.empty() && now >= m_loans.begin()->second.expires) {
        m_bucket.settle(m_loans.begin()->second.amount, {});
        m_loans.erase(m_loans.begin());
    }
}

void quota_holder::expireVouchers(time_point now)
{
    std::erase_if(m_vouchers, [&](const voucher &held) { return now >= held.validUntil; });
}

void quota_holder::returnIdleVouchers(time_point now)
{
    const auto idle = [&](const voucher &held) {
        return now >= held.validUntil - m_policy.voucherValidity / idlePart;
    };
    for (const auto &held : m_vouchers) {
        if (idle(held))
            close(held, now);
    }
    if (std::erase_if(m_vouchers, idle) > 0)
        m_nextSettlement = now;
}

void quota_holder::close(const voucher &closed, time_point now)
{
    const auto lender = m_peers.find(closed.lender.holder);
    if (lender == m_peers.end() || lender->second.boot != closed.lender.boot)
        return;
    lender->second.settled.push_back({closed.loan, closed.left});
    const auto due = now + m_policy.voucherValidity / settlementPart;
    m_nextSettlement = m_nextSettlement ? std::min(*m_nextSettlement, due) : due;
}

bool quota_holder::trySpend(std::uint64_t id, token_amount cost, time_point now)
{
    if (available(now) < cost)
        return false;
    const auto ownCost = cost - spendVouchers(cost, now);
    if (ownCost > token_amount{}) {
        m_bucket.trySpend(ownCost);
        m_credits.add(id, ownCost);
    }
    return true;
}

token_amount quota_holder::spendVouchers(token_amount cost, time_point now)
{
    auto spent = token_amount{};
    for (auto &held : m_vouchers) {
        const auto part = std::min(held.left, cost - spent);
        held.left -= part;
        spent += part;
        if (held.left == token_amount{})
            close(held, now);
    }
    std::erase_if(m_vouchers, [](const voucher &held) { return held.left == token_amount{}; });
    return spent;
}

void quota_holder::serve(time_point now, outputs &actions)
{
    admitWaiting(now, actions);
    refuseOverdue(now, actions);
    if (!m_waiting.empty())
        borrow(now, actions);
}

void quota_holder::admitWaiting(time_point now, outputs &actions)
{
    while (!m_waiting.empty() && trySpend(m_waiting.front().id, m_waiting.front().cost, now)) {
        actions.emplace_back(quota_action::admit{m_waiting.front().id});
        // What several lenders gave together counts as a fruitful round, too.
        m_borrowedInRound = std::max(m_borrowedInRound, m_waiting.front().cost);
        m_waiting.pop_front();
    }
}

void quota_holder::refuseOverdue(time_point now, outputs &actions)
{
    while (!m_waiting.empty() && now >= m_waiting.front().deadline) {
        const auto &overdue = m_waiting.front();
        actions.emplace_back(quota_action::refuse{overdue.id, retryAfter(overdue.cost)});
        m_waiting.pop_front();
    }
}

void quota_holder::refuseAll(outputs &actions)
{
    for (const auto &waiting : m_waiting)
        actions.emplace_back(quota_action::refuse{waiting.id, retryAfter(waiting.cost)});
    m_waiting.clear();
}

void quota_holder::borrow(time_point now, outputs &actions)
{
    const auto lenders = lendersByLevel(now);
    const auto head = m_waiting.front().cost;
    auto lendableSum = available(now);
    for (const auto &id : lenders)
        lendableSum += estimatedLevel(m_peers.at(id), now);
    if (lendableSum < head) {
        if (!awaitingLoans(now))
            awaitRefill(head - lendableSum, now, actions);
        return;
    }
    const bool anyOverdue = std::ranges::any_of(
            m_peers, [&](const auto &entry) { return isOverdue(entry.second, now); });
    const bool sameRound = std::exchange(m_askElsewhere, false) || anyOverdue;
    if (!sameRound && now < m_nextRound)
        return;
    if (!sameRound)
        beginRound(head, now);
    auto wanted = queuedCost() + expectedDemand() - available(now);
    for (const auto &id : lenders) {
        if (wanted <= token_amount{})
            break;
        const auto part = std::min(wanted, estimatedLevel(m_peers.at(id), now));
        ask(id, part, now, actions);
        wanted -= part;
    }
}

/** The time between two rounds doubles while they yield less than \a head. */
void quota_holder::beginRound(token_amount head, time_point now)
{
    const bool fruitless = m_borrowedInRound < head;
    m_roundInterval = fruitless ? std::min(2 * m_roundInterval, m_policy.borrowIntervalLimit)
                                : m_policy.borrowInterval;
    m_borrowedInRound = {};
    m_nextRound = now + m_roundInterval;
}

/** Keeps the requests waiting if \a missing comes in at the lenders before the first has to be
 * answered, and refuses them otherwise.
 */
void quota_holder::awaitRefill(token_amount missing, time_point now, outputs &actions)
{
    const auto share = m_peerShare.value_or(m_bucket.limit());
    const auto answering = std::ranges::count_if(
            m_peers, [&](const auto &entry) { return !isSilent(entry.second, now); });
    const auto perSecond =
            (share.rate * fromSeconds(1)).asTokens() * static_cast<double>(answering);
    if (perSecond <= 0)
        return refuseAll(actions);
    const auto refilled = now + fromSeconds(missing.asTokens() / perSecond);
    if (refilled >= m_waiting.front().deadline)
        return refuseAll(actions);
    m_nextRound = std::max(refilled, now + retryStep);
}

void quota_holder::ask(const holder_id &lender, token_amount wanted, time_point now,
                       outputs &actions)
{
    auto &asked = m_peers.at(lender);
    ++m_lastSequence;
    if (wanted > token_amount{}) {
        asked.pending = pending_request{m_lastSequence, now, wanted};
        asked.levelHint = {};
        asked.hintTaken = now;
    }
    actions.emplace_back(quota_action::send_message{
            lender, loan_request{m_workspace, m_self, m_lastSequence, wanted, asked.boot,
                                 std::exchange(asked.settled, {})}});
}

void quota_holder::settleLoans(time_point now, outputs &actions)
{
    m_nextSettlement.reset();
    for (const auto &[id, lender] : m_peers) {
        if (!lender.settled.empty())
            ask(id, {}, now, actions);
    }
}

std::vector<holder_id> quota_holder::lendersByLevel(time_point now) const
{
    struct ranked
    {
        bool isNearby = false; // and has enough for one request
        token_amount level;
        holder_id holder;
    };
    std::vector<ranked> byLevel;
    for (const auto &[id, candidate] : m_peers) {
        const auto level = estimatedLevel(candidate, now);
        if (level > token_amount{})
            byLevel.push_back({candidate.isNearby && level >= token_amount::tokens(1), level, id});
    }
    std::ranges::sort(byLevel, std::greater{}, [](const ranked &each) {
        return std::tie(each.isNearby, each.level, each.holder);
    });
    std::vector<holder_id> result;
    byLevel.resize(std::min(byLevel.size(), m_policy.lendersPerRound));
    std::ranges::transform(byLevel, std::back_inserter(result), &ranked::holder);
    return result;
}

token_amount quota_holder::estimatedLevel(const peer &of, time_point now) const
{
    if (isSilent(of, now))
        return {};
    const auto share = m_peerShare.value_or(m_bucket.limit());
    const auto elapsed = std::min<duration>(now - of.hintTaken, m_policy.borrowIntervalLimit);
    return std::min(of.levelHint + share.rate * elapsed, std::max(share.burst, of.levelHint));
}

/** \returns whether the answer of \a of takes so long that others should be asked. */
bool quota_holder::isOverdue(const peer &of, time_point now) const
{
    return of.pending && now >= of.pending->sent + m_policy.borrowTimeout / quickPart
           && now < of.pending->sent + m_policy.borrowTimeout;
}

bool quota_holder::isSilent(const peer &of, time_point now) const
{
    return of.pending && now < of.pending->sent + m_policy.silentPause;
}

token_amount quota_holder::queuedCost() const
{
    return std::accumulate(
            m_waiting.begin(), m_waiting.end(), token_amount{},
            [](token_amount sum, const waiting_request &waiting) { return sum + waiting.cost; });
}

token_amount quota_holder::expectedDemand() const
{
    // Demand is measured when requests arrive; once they end, the last measurement is too old.
    const auto elapsed = m_handled - m_demandSince;
    const bool outdated = elapsed >= 2 * demandPeriod;
    const auto demand =
            outdated ? m_demandCounted.asTokens() / toSeconds(elapsed) : m_demandTokensPerSecond;
    return fromTokens(demand * toSeconds(m_policy.lookahead));
}

void quota_holder::countDemand(token_amount cost, time_point now)
{
    const auto elapsed = now - m_demandSince;
    if (elapsed >= demandPeriod) {
        const auto measured = m_demandCounted.asTokens() / toSeconds(elapsed);
        m_demandTokensPerSecond =
                demandWeight * measured + (1 - demandWeight) * m_demandTokensPerSecond;
        m_demandCounted = {};
        m_demandSince = now;
    }
    m_demandCounted += cost;
}

bool quota_holder::awaitingLoans(time_point now) const
{
    return std::ranges::any_of(m_peers, [&](const auto &entry) {
        const auto &pending = entry.second.pending;
        return pending && now < pending->sent + m_policy.borrowTimeout;
    });
}

duration quota_holder::retryAfter(token_amount cost) const
{
    return std::min(m_bucket.timeUntil(cost), retryAfterLimit);
}

} // namespace sycamorespan
