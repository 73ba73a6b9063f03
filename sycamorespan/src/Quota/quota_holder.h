#ifndef SYCAMORESPAN_QUOTA_QUOTA_HOLDER_H
#define SYCAMORESPAN_QUOTA_QUOTA_HOLDER_H

#include "sycamorespan/src/Overload/return_schedule.h"
#include "sycamorespan/src/Quota/quota_messages.h"
#include "sycamorespan/src/Quota/refund_credits.h"
#include "sycamorespan/src/Quota/token_bucket.h"

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Settings of a quota_holder. */
struct quota_policy
{
    clock_drift drift;
    /** Time after which a lender takes a loan as settled. On the borrower's clock, it ends earlier
     * by the bound of the clock drift.
     */
    duration loanValidity = 1s;
    duration borrowTimeout = 100ms; ///< time for which a request waits for borrowed tokens
    /** Time for which a request waits for tokens that neither this holder nor a lender has yet. A
     * workspace over its rate would else have a queue at all times, in which the requests that its
     * rate allows become late.
     */
    duration refillTimeout = 20ms;
    duration maxBorrowInterval = 1s; ///< greatest interval; it doubles while too little is lent
    duration minBorrowInterval = 50ms; ///< least time between two rounds of loan requests
    duration unresponsivePeerPause = 3s; ///< time without requests to a peer that didn't answer
    /** Period whose expected demand a borrower requests in addition and a lender doesn't lend. */
    duration demandLookahead = 250ms;
    std::size_t lendersPerRound = 5; ///< greatest number of lenders in one round
    std::size_t maxWaitingRequests = 1'024; ///< requests over this number are refused at once

    bool operator==(const quota_policy &) const = default;
};

namespace quota_event {

/** \brief A request arrived. \a id is unique within the process. */
struct request_arrived
{
    std::uint64_t id = 0;
    token_amount cost = token_amount::tokens(1);
};

/** \brief The caller of a waiting request cancelled it or disconnected. */
struct request_cancelled
{
    std::uint64_t id = 0;
};

/** \brief The first byte of an admitted request was sent to a backend server; its cost is final. */
struct request_sent
{
    std::uint64_t id = 0;
};

/** \brief An admitted request was refused later and did not run; its cost is refunded. */
struct request_not_run
{
    std::uint64_t id = 0;
};

/** \brief The share of this holder changed.
 * \sa allotment_lease
 */
struct share_changed
{
    quota_limit share;
    time_point validUntil;
};

/** \brief The live holders from which tokens can be borrowed changed. */
struct peers_changed
{
    std::vector<holder_id> peers;
    /** Share of each peer; if empty, it is assumed to equal the share of this holder. */
    std::optional<quota_limit> peerShare = {};
    std::vector<holder_id> nearby = {}; ///< peers to which requests go first
};

/** \brief A message from another holder arrived. */
struct message_received
{
    quota_message message;
};

/** \brief Time has passed; due at nextDeadline(). */
struct tick
{ };

} // namespace quota_event

using quota_input = std::variant<quota_event::request_arrived, quota_event::request_cancelled,
                                 quota_event::request_sent, quota_event::request_not_run,
                                 quota_event::share_changed, quota_event::peers_changed,
                                 quota_event::message_received, quota_event::tick>;

namespace quota_action {

/** \brief Run the request. Its time of admission is that of the handled event. */
struct admit
{
    std::uint64_t id = 0;

    bool operator==(const admit &) const = default;
};

/** \brief Refuse the request, which did not run. */
struct refuse
{
    std::uint64_t id = 0;
    duration retryAfter{};

    bool operator==(const refuse &) const = default;
};

/** \brief Send a message to a holder; it may be lost, delayed or duplicated. */
struct send_message
{
    holder_id to;
    quota_message message;

    bool operator==(const send_message &) const = default;
};

} // namespace quota_action

using quota_output =
        std::variant<quota_action::admit, quota_action::refuse, quota_action::send_message>;

/** \brief Admits requests from one holder's share of a workspace's rate; borrows tokens from the
 * other holders when its own run out, and lends tokens to them.
 *
 * At each holder, level + lent is at most the burst of its share; the shares add up to at most the
 * limit of the workspace. A borrowed token can't be spent after its lender has stopped counting it
 * as lent. Therefore the limit holds without a coordinator and without agreement among the holders.
 * \sa allotment_lease, token_bucket
 */
class quota_holder
{
public:
    /** \param workspace  workspace whose rate is limited
     *  \param self       incarnation of this holder
     *  \param policy     settings, the same for all holders of the workspace
     *  \param now        time of creation
     */
    quota_holder(workspace_id workspace, holder_incarnation self, const quota_policy &policy,
                 time_point now);

    /** \brief Handles one event. \param now  time that was read from the clock for this event */
    std::vector<quota_output> handle(const quota_input &event, time_point now);

    /** \returns the time at which a tick is due, if any. */
    std::optional<time_point> nextDeadline() const;

    /** \returns the tokens that can be spent at \a now. */
    token_amount available(time_point now) const;

    /** \returns the tokens of this share that other holders may still spend. The burst of the share
     * must not be reduced below them.
     */
    token_amount lent() const { return m_bucket.lent(); }

private:
    using outputs = std::vector<quota_output>;

    struct waiting_request
    {
        std::uint64_t id = 0;
        token_amount cost;
        time_point arrivedAt;
        time_point deadline;
    };
    /** \brief Tokens borrowed from another holder. */
    struct borrowed_loan
    {
        holder_incarnation lender;
        std::uint64_t loan = 0;
        token_amount left;
        token_amount unresolved; ///< spent on requests that may turn out not to run
        time_point validUntil;
    };
    /** \brief Tokens of one loan that a request spent. */
    struct borrowed_part
    {
        holder_incarnation lender;
        std::uint64_t loan = 0;
        token_amount amount;
    };
    /** \brief Tokens lent to another holder. */
    struct granted_loan
    {
        holder_incarnation borrower;
        token_amount amount;
        time_point expires;
    };
    struct pending_request
    {
        std::uint64_t sequence = 0;
        time_point sent;
        token_amount wanted;
    };
    /** \brief State kept for another holder. */
    struct peer
    {
        std::optional<pending_request> pending;
        token_amount reportedLevel;
        time_point reportedAt;
        std::uint64_t incarnation = 0;
        std::vector<loan_settlement> settled;
        bool isNearby = false;
    };
    /** \brief Last request received from a borrower; older and repeated requests are ignored. */
    struct borrower_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    void handle(const quota_event::request_arrived &event, time_point now, outputs &actions);
    void handle(const quota_event::request_cancelled &event, time_point now, outputs &actions);
    void handle(const quota_event::request_sent &event, time_point now, outputs &actions);
    void handle(const quota_event::request_not_run &event, time_point now, outputs &actions);
    void handle(const quota_event::share_changed &event, time_point now, outputs &actions);
    void handle(const quota_event::peers_changed &event, time_point now, outputs &actions);
    void handle(const quota_event::message_received &event, time_point now, outputs &actions);
    void handle(const quota_event::tick &event, time_point now, outputs &actions);
    void receive(const loan_request &request, time_point now, outputs &actions);
    void receive(const loan_grant &grant, time_point now, outputs &actions);

    void advanceTime(time_point now);
    void expireGrantedLoans(time_point now);
    void expireBorrowedLoans(time_point now);
    void returnIdleLoans(time_point now);
    void queueSettlement(const borrowed_loan &ended, time_point now);
    bool trySpend(std::uint64_t id, token_amount cost, time_point now);
    token_amount spendBorrowedTokens(std::uint64_t id, token_amount cost, time_point now);
    void resolveBorrowedTokens(std::uint64_t id, bool wasSent, time_point now);
    bool isShareValid(time_point now) const { return now < m_shareValidUntil; }
    void lend(const loan_request &request, time_point now, outputs &actions);
    token_amount lendable(time_point now) const;
    void admitWaiting(time_point now, outputs &actions);
    void refuseTimedOut(time_point now, outputs &actions);
    void refuseFirstWaiting(time_point now, outputs &actions);
    void refuseWithoutTokensUntil(time_point refilledAt, time_point now, outputs &actions);
    void processWaiting(time_point now, outputs &actions);
    void borrow(time_point now, outputs &actions);
    void beginBorrowRound(token_amount firstCost, time_point now);
    void awaitRefill(token_amount firstCost, token_amount missing, time_point now,
                     outputs &actions);
    void requestLoan(const holder_id &lender, token_amount wanted, time_point now,
                     outputs &actions);
    void settleLoans(time_point now, outputs &actions);
    time_point ownRefillAt(token_amount cost, time_point now) const;
    std::vector<holder_id> lendersByLevel(time_point now) const;
    token_amount estimatedLevel(const peer &lenderState, time_point now) const;
    bool isAnswerSlow(const peer &lenderState, time_point now) const;
    bool isUnresponsive(const peer &lenderState, time_point now) const;
    token_amount queuedCost() const;
    token_amount expectedDemand() const;
    void countDemand(token_amount cost, time_point now);
    bool awaitingLoans(time_point now) const;
    duration retryAfter(token_amount cost, time_point now);
    token_amount obtainable(time_point now) const;
    double lendersRefill(time_point now) const;

    workspace_id m_workspace;
    holder_incarnation m_self;
    quota_policy m_policy;
    token_bucket m_bucket;
    std::optional<quota_limit> m_sharePerPeer;
    time_point m_shareValidUntil;
    std::deque<waiting_request> m_waitingRequests;
    std::vector<borrowed_loan> m_borrowedLoans;
    std::map<std::uint64_t, std::vector<borrowed_part>> m_borrowedParts; ///< by request
    std::map<std::uint64_t, granted_loan> m_grantedLoans;
    std::map<holder_id, peer> m_peers;
    std::map<holder_id, borrower_state> m_borrowers;
    std::uint64_t m_lastLoanNumber = 0;
    std::uint64_t m_lastRequestSequence = 0;
    refund_credits m_refundCredits;
    time_point m_nextBorrowAt;
    duration m_borrowInterval;
    token_amount m_borrowedInRound;
    bool m_tryOtherLenders = false; ///< a lender of this round granted less than requested
    std::optional<time_point> m_nextSettlementAt;
    double m_demandTokensPerSecond = 0;
    token_amount m_countedDemand;
    token_amount m_countedAdmissions;
    double m_admittedTokensPerSecond = 0;
    return_schedule m_returns;
    time_point m_demandCountedSince;
    time_point m_lastEventAt;
};

} // namespace sycamorespan

#endif
