#ifndef SYCAMORESPAN_QUOTA_QUOTA_HOLDER_H
#define SYCAMORESPAN_QUOTA_QUOTA_HOLDER_H

#include "sycamorespan/src/Quota/quota_messages.h"
#include "sycamorespan/src/Quota/refund_credits.h"
#include "sycamorespan/src/Quota/token_bucket.h"

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Constants of a quota_holder. */
struct quota_policy
{
    clock_drift drift;
    duration voucherValidity = 1s; ///< at the lender; the borrower's is shorter by the drift
    duration borrowTimeout = 100ms; ///< a request waits this long for borrowed tokens
    duration borrowIntervalLimit = 1s; ///< the interval doubles up to it while nothing is lent
    duration borrowInterval = 50ms; ///< least time between two rounds of borrowing
    duration silentPause = 3s; ///< a peer that didn't answer is not asked for so long
    duration lookahead = 250ms; ///< demand that a loan covers, and that a lender keeps back
    std::size_t lendersPerRound = 5;
    std::size_t queueLimit = 1'024; ///< waiting requests

    bool operator==(const quota_policy &) const = default;
};

namespace quota_event {

/** \brief A request arrived. \a id is unique within the process. */
struct request_arrived
{
    std::uint64_t id = 0;
    token_amount cost = token_amount::tokens(1);
};

/** \brief The caller of a waiting request left. */
struct request_cancelled
{
    std::uint64_t id = 0;
};

/** \brief The first byte of an admitted request was sent to a backend server: it is charged. */
struct request_ran
{
    std::uint64_t id = 0;
};

/** \brief An admitted request was refused later on and certainly did not run: it costs nothing. */
struct request_not_run
{
    std::uint64_t id = 0;
};

/** \brief The share changed; from allotment_lease. */
struct share_changed
{
    quota_limit share;
    time_point validUntil;
};

/** \brief The other holders of the workspace's rate that are live. */
struct peers_changed
{
    std::vector<holder_id> peers;
    /** Share of each of them; nothing: as this holder's own. */
    std::optional<quota_limit> peerShare = {};
    std::vector<holder_id> nearby = {}; ///< of the peers: asked first
};

/** \brief A message from another holder. */
struct message_received
{
    quota_message message;
};

/** \brief Time has passed; due at nextDeadline(). */
struct tick
{ };

} // namespace quota_event

using quota_input = std::variant<quota_event::request_arrived, quota_event::request_cancelled,
                                 quota_event::request_ran, quota_event::request_not_run,
                                 quota_event::share_changed, quota_event::peers_changed,
                                 quota_event::message_received, quota_event::tick>;

namespace quota_action {

/** \brief Run the request. It was admitted at the time handed in with the event. */
struct admit
{
    std::uint64_t id = 0;

    bool operator==(const admit &) const = default;
};

/** \brief Refuse the request as not run. */
struct refuse
{
    std::uint64_t id = 0;
    duration retryAfter{};

    bool operator==(const refuse &) const = default;
};

/** \brief Send a message to a holder; it may be lost, delayed or doubled. */
struct send_message
{
    holder_id to;
    quota_message message;

    bool operator==(const send_message &) const = default;
};

} // namespace quota_action

using quota_output =
        std::variant<quota_action::admit, quota_action::refuse, quota_action::send_message>;

/** \brief Spends one holder's share of a workspace's rate, borrows tokens from the other holders
 * when they run out and lends to them.
 *
 * Over all holders together, level + lent <= burst and the refill rates add up to at most the rate;
 * a borrowed token can't be spent after its lender stops counting it. So no owner of a pool is
 * needed, and no agreement.
 * \sa allotment_lease, token_bucket
 */
class quota_holder
{
public:
    /** \param workspace  whose rate it is
     *  \param self       this run of this holder
     *  \param policy     constants, the same for all holders of the workspace
     *  \param now        time of creation
     */
    quota_holder(workspace_id workspace, holder_run self, const quota_policy &policy,
                 time_point now);

    /** \brief Takes one event at \a now, which was read from the clock for this event. */
    std::vector<quota_output> handle(const quota_input &event, time_point now);

    /** \returns when a tick is due; nothing if none is. */
    std::optional<time_point> nextDeadline() const;

    /** \returns tokens that could be spent at once. */
    token_amount available(time_point now) const;

    /** \returns tokens that other holders may still spend of this share. The share must not be
     * reduced below them.
     */
    token_amount lent() const { return m_bucket.lent(); }

private:
    using outputs = std::vector<quota_output>;

    struct waiting_request
    {
        std::uint64_t id = 0;
        token_amount cost;
        time_point deadline;
    };
    /** \brief Borrowed tokens. */
    struct voucher
    {
        holder_run lender;
        std::uint64_t loan = 0;
        token_amount left;
        time_point validUntil;
    };
    /** \brief Tokens lent to another holder. */
    struct loan
    {
        holder_run borrower;
        token_amount amount;
        time_point expires;
    };
    struct pending_request
    {
        std::uint64_t sequence = 0;
        time_point sent;
        token_amount wanted;
    };
    /** \brief What is known of another holder. */
    struct peer
    {
        std::optional<pending_request> pending;
        token_amount levelHint;
        time_point hintTaken;
        std::uint64_t boot = 0;
        std::vector<loan_settlement> settled;
        bool isNearby = false;
    };
    /** \brief The last request seen from a borrower; older and repeated ones are ignored. */
    struct borrower_state
    {
        std::uint64_t boot = 0;
        std::uint64_t sequence = 0;
    };

    void on(const quota_event::request_arrived &event, time_point now, outputs &actions);
    void on(const quota_event::request_cancelled &event, time_point now, outputs &actions);
    void on(const quota_event::request_ran &event, time_point now, outputs &actions);
    void on(const quota_event::request_not_run &event, time_point now, outputs &actions);
    void on(const quota_event::share_changed &event, time_point now, outputs &actions);
    void on(const quota_event::peers_changed &event, time_point now, outputs &actions);
    void on(const quota_event::message_received &event, time_point now, outputs &actions);
    void on(const quota_event::tick &event, time_point now, outputs &actions);
    void receive(const loan_request &request, time_point now, outputs &actions);
    void receive(const loan_grant &grant, time_point now, outputs &actions);

    void advance(time_point now);
    void expireLoans(time_point now);
    void expireVouchers(time_point now);
    void returnIdleVouchers(time_point now);
    void close(const voucher &closed, time_point now);
    bool trySpend(std::uint64_t id, token_amount cost, time_point now);
    token_amount spendVouchers(token_amount cost, time_point now);
    bool shareValid(time_point now) const { return now < m_shareValidUntil; }
    void lend(const loan_request &request, time_point now, outputs &actions);
    token_amount lendable(time_point now) const;
    void admitWaiting(time_point now, outputs &actions);
    void refuseOverdue(time_point now, outputs &actions);
    void refuseAll(outputs &actions);
    void serve(time_point now, outputs &actions);
    void borrow(time_point now, outputs &actions);
    void beginRound(token_amount head, time_point now);
    void awaitRefill(token_amount missing, time_point now, outputs &actions);
    void ask(const holder_id &lender, token_amount wanted, time_point now, outputs &actions);
    void settleLoans(time_point now, outputs &actions);
    std::vector<holder_id> lendersByLevel(time_point now) const;
    token_amount estimatedLevel(const peer &of, time_point now) const;
    bool isOverdue(const peer &of, time_point now) const;
    bool isSilent(const peer &of, time_point now) const;
    token_amount queuedCost() const;
    token_amount expectedDemand() const;
    void countDemand(token_amount cost, time_point now);
    bool awaitingLoans(time_point now) const;
    duration retryAfter(token_amount cost) const;

    workspace_id m_workspace;
    holder_run m_self;
    quota_policy m_policy;
    token_bucket m_bucket;
    std::optional<quota_limit> m_peerShare;
    time_point m_shareValidUntil;
    std::deque<waiting_request> m_waiting;
    std::vector<voucher> m_vouchers;
    std::map<std::uint64_t, loan> m_loans;
    std::map<holder_id, peer> m_peers;
    std::map<holder_id, borrower_state> m_borrowers;
    std::uint64_t m_lastLoan = 0;
    std::uint64_t m_lastSequence = 0;
    refund_credits m_credits;
    time_point m_nextRound;
    duration m_roundInterval;
    token_amount m_borrowedInRound;
    bool m_askElsewhere = false; ///< a lender of this round had less than it was asked for
    std::optional<time_point> m_nextSettlement;
    double m_demandTokensPerSecond = 0;
    token_amount m_demandCounted;
    time_point m_demandSince;
    time_point m_handled;
};

} // namespace sycamorespan

#endif
