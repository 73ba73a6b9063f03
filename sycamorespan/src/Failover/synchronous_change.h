#ifndef SYCAMORESPAN_FAILOVER_SYNCHRONOUS_CHANGE_H
#define SYCAMORESPAN_FAILOVER_SYNCHRONOUS_CHANGE_H

#include "sycamorespan/src/Dispatch/freshness_floors.h"
#include "sycamorespan/src/Dispatch/statement.h"
#include "sycamorespan/src/Failover/supervisor_election.h"
#include "sycamorespan/src/Failover/view_ledger.h"
#include "sycamorespan/src/Membership/server_entry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief A member's answer to a status, pause or step-down statement. */
struct replication_status
{
    replication_role role = replication_role::replica;
    term_number term = 0; ///< newest term known to the member
    log_position received; ///< end of the member's log
    term_number pausedFor = 0; ///< term for which replication is paused; 0 if it isn't paused

    auto operator<=>(const replication_status &) const = default;
};

/** \brief Timeouts and intervals of a synchronous_change. */
struct change_policy
{
    /** Interval between statements to a member that doesn't answer. */
    duration statementInterval = 120ms;
    duration confirmInterval = 80ms; ///< interval between status queries that confirm a promotion
    /** Delay from a promotion order to the first status query that confirms it. Promotions take
     * 600 ms and more.
     */
    duration firstConfirmDelay = 400ms;
    /** Interval between status queries to members that are fenced. An order that takes effect after
     * its timeout ends the fencing of its member.
     */
    duration fencedQueryInterval = 1s;
    duration orderRetryInterval = 900ms; ///< time after which an order without effect is repeated
    /** Time since the store is known to have held the claim within which an order must be sent. An
     * order that is due later is discarded.
     */
    duration orderSendTimeout = 1s;
    /** Time after a claim during which an order of a former supervisor may still be sent and take
     * effect: orderSendTimeout and the timeout of the order's call.
     */
    duration foreignOrderTimeout = 2s;
    /** Time after an old primary was kept, because it answered again, during which it is not kept a
     * second time. Longer than two changes that wait for views to expire.
     */
    duration keepCooldown = 10s;
    /** Interval between status queries that find out whether a removed member has ended. A fifth
     * of a member's check-in interval.
     */
    duration removedMemberInterval = 250ms;
    /** Time after a change during which paused replicas are told to resume. Shorter than any
     * takeover, because the next supervisor may pause the replicas again.
     */
    duration resumeTimeout = 1s;
    duration promotionTimeout = 4s; ///< timeout of a promotion; then another member is chosen
    /** Time after which the primary of a former era of the store is replaced if it isn't found. */
    duration adoptionTimeout = 2s;
    duration catchUpTimeout = 400ms; ///< timeout for a replica to receive the last commits
    /** Time for which a member that was removed from the list counts as a possible holder of
     * commits. While the old primary is listed, the change waits longer, because that primary's
     * log can still show these commits.
     */
    duration removedMemberTimeout = 10s;
    /** Time after which a store write without an answer is repeated. */
    duration writeRetryInterval = 300ms;
    duration storeReadInterval = 200ms; ///< interval of reading a row whose state is unknown
    duration expectedPromotionTime = 1s; ///< assumed duration of a promotion until one was measured
    /** Assumed duration of fencing live members and reading their positions. */
    duration expectedStatusQueryTime = 150ms;
    /** Interval of the status queries that renew a floor. A seventh of the smallest staleness bound
     * in use.
     */
    duration floorInterval = 200ms;
    /** Upper bound on the time from when a replica joins, and may confirm commits, until it is seen
     * in the list. It is a hundred times the usual time to write its entry and to pass on the
     * update about it.
     */
    duration maximumListingDelay = 500ms;

    auto operator<=>(const change_policy &) const = default;
};

/** \brief What is known about the system at the moment when a change advances. */
struct change_context
{
    supervisor_claim claim; ///< claim of this supervisor
    /** Whether the store is known to have held the claim so recently that a promotion may be
     * ordered.
     */
    bool mayOrder = false;
    /** End of the time in which orders of former supervisors may take effect, if there are any. */
    std::optional<reference_time> foreignOrdersUntil;
    std::vector<server_entry> members; ///< listed members of the database
    std::optional<primary_view> view; ///< newest known view of the present era of the store
    /** Newest known view of a former era, if there is none of the present one. The primary may have
     * changed since.
     */
    std::optional<primary_view> formerView;
    row_revision replacedRevision; ///< revision of the row that holds a view of a former era
    std::size_t synchronousReplicas = 0; ///< replicas that hold a commit before it is acknowledged
    bool allReleased = false; ///< whether every instance has released all older views
    bool quorumReleased = false; ///< whether a quorum of the instances has
    std::optional<reference_time> earliest; ///< lower bound of the reference time now
    std::optional<reference_time> latest; ///< upper bound of the reference time now
    bool storeReachable = false;
    /** Members that were recorded in the store as possible holders of commits. */
    std::vector<log_holder> recordedHolders;
    /** Whether \c members has every running member. Otherwise a replica that is not listed may
     * confirm commits.
     */
    bool hasAllMembers = true;

    bool operator==(const change_context &) const = default;
};

namespace change_action {

/** \brief Write the row if its revision is still \c view.revision, where 0 means that no row
 * exists, and if the row of the claim still has the revision \c claimRevision.
 */
struct write_view
{
    primary_view view;
    row_revision claimRevision;

    auto operator<=>(const write_view &) const = default;
};

/** \brief Record in the store which draining and removed members may hold acknowledged commits, if
 * the row of the claim still has the revision \c claimRevision. It replaces the former record.
 */
struct record_holders
{
    database_id database;
    std::vector<log_holder> holders;
    row_revision claimRevision;

    auto operator<=>(const record_holders &) const = default;
};

/** \brief Read all rows that coordinate the instances from the store. */
struct read_rows
{
    auto operator<=>(const read_rows &) const = default;
};

/** \brief Read the rows of all primary views from the store, after this action. That of one view
 * would not do: an instance that knows a view must know all older ones, as it reports up to which
 * revision it has released them.
 */
struct read_views
{
    auto operator<=>(const read_views &) const = default;
};

/** \brief Send a statement to a member outside any session and report onMemberAnswered(). */
struct send_statement
{
    server_id server;
    outgoing_statement statement;

    bool operator==(const send_statement &) const = default;
};

/** \brief Have the platform promote a member. The order must not be sent later. */
struct order_promotion
{
    database_id database;
    server_id server;
    fencing_token fencingToken = 0;

    auto operator<=>(const order_promotion &) const = default;
};

/** \brief Publish a floor for reads. No commit beyond it was acknowledged in the time it covers. */
struct publish_floor
{
    database_id database;
    freshness_floor floor;
    bool isFirst =
            false; ///< whether it is the first of this change, for which other instances wait

    auto operator<=>(const publish_floor &) const = default;
};

/** \brief Write one line to the log. */
struct log_event
{
    database_id database;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const log_event &) const = default;
};

} // namespace change_action

using change_output = std::variant<change_action::write_view, change_action::record_holders,
                                   change_action::read_rows, change_action::read_views,
                                   change_action::send_statement, change_action::order_promotion,
                                   change_action::publish_floor, change_action::log_event>;
using change_outputs = std::vector<change_output>;

/** \brief Why a primary is replaced. */
enum class change_reason {
    none,
    noView, ///< no view exists yet; the current primary is looked for
    draining, ///< the primary drains
    evacuated, ///< the primary is in a data centre that is evacuated
    removed, ///< the primary was removed from the list
    unreachable, ///< neither the instances nor the supervisor get an answer from the primary
    partlyUnreachable, ///< the primary answers the supervisor, but many instances get no answer
    demoted, ///< the primary reports that it is a replica
    unfinishedChange, ///< the change of another supervisor is unfinished
};

/** \brief State machine by which a supervisor changes the primary of one database.
 *
 * It is meant for groups whose primary acknowledges a commit once a replica has received it. The
 * steps are:
 * 1. The intent is written to the store. Instances release the old view, or it expires.
 * 2. The old primary steps down and replicas are paused, so that no further commit is acknowledged.
 * 3. A member is chosen whose log holds every acknowledged commit. It is one that has all of the
 *    old primary's log or, if the old primary doesn't answer, the replica with the longest log.
 * 4. The order is written with the supervisor's fencing token and then sent.
 * 5. Once the member reports that it is primary, the new view is written.
 *
 * This supervisor or its successor can repeat each step. The change waits as long as step 1 or 3
 * can't be completed, because a slow change is better than a lost commit.
 *
 * A primary that was unreachable and answers again before anything was ordered is kept. It may have
 * restarted with its log under another id: only one member leads a term. An order of a former
 * supervisor that has taken effect is published.
 *
 * A removed member may have been the only one to confirm a commit, so that a change waits for it.
 * The change need not wait if the member has ended and another replica holds everything that the
 * primary reported afterwards. This is established between changes, before one is needed. Until
 * then the store has a record of the member, because the next supervisor may never have seen it.
 *
 * A store that returns from an older copy has lost the newest views, intents and orders, but not
 * the terms of the members. The supervisor then looks for the member that leads the newest term and
 * publishes it again. If none is found, the primary is replaced, from a view of a former era only
 * if no member knows a later term than that view.
 *
 * From step 2 on, no commit is acknowledged until the new primary is used. The positions that are
 * read then are published repeatedly as floors, so that replicas serve reads during the change.
 */
class synchronous_change
{
public:
    synchronous_change(database_id database, const change_policy &policy, const view_policy &views);

    bool isRunning() const { return m_step != step::none; }

    /** \returns whether the row holds, or may yet hold, an intent that the known view lacks. */
    bool mayHaveWritten() const { return m_isWriting || m_writeUnresolved; }

    /** \returns when the new primary is expected, or nothing if no change is running. */
    std::optional<time_point> expectedEnd(time_point now) const;

    change_outputs begin(change_reason reason, const change_context &context, time_point now);

    /** \brief Ends the change without a result because another supervisor has taken over. */
    change_outputs abandon();

    /** \brief The store answered that the row was written. The change goes on once the known view
     * shows it: the answer does not tell the revision of the row, without which it can't be
     * written again, and instances can't tell what they have released.
     *  \param committed  a reading of the store's clock after the write
     */
    change_outputs onViewWritten(reference_time committed, const change_context &context,
                                 time_point now);
    change_outputs onViewConflict(time_point now);
    change_outputs onViewWriteUnknown(time_point now);
    /** \brief A member answered a statement, or the statement failed.
     *  \param status  the answer, or nothing if there was none
     *  \param requestedAt   when the statement was sent, or an earlier time
     */
    change_outputs onMemberAnswered(const server_id &server,
                                    const std::optional<replication_status> &status,
                                    time_point requestedAt, const change_context &context,
                                    time_point now);
    /** \brief No process, or that of another server, answers at the address of \a server. */
    void onMemberEnded(const server_id &server, time_point now);
    /** \brief The platform answered a promotion order, or the order failed.
     *  \param accepted  whether the order was accepted, or nothing if there was no answer
     */
    change_outputs onOrderAnswered(std::optional<bool> accepted, const change_context &context,
                                   time_point now);
    change_outputs tick(const change_context &context, time_point now);

private:
    enum class step {
        none,
        adopting,
        resuming, ///< waits because the former supervisor's order may still take effect
        writingIntent,
        queryingStatus,
        writingOrder,
        confirming,
        publishing,
    };

    struct member_state
    {
        std::optional<replication_status> status;
        time_point statusRequestedAt; ///< when the status was requested; it was read then or later
        time_point statementSentAt; ///< when the last statement was sent
        time_point lastListedAt; ///< when the member was last seen in the list
    };

    struct log_holder_state
    {
        time_point lastListedAt; ///< when the incarnation was last seen in the list
        bool isDraining = false; ///< whether it was draining when last seen in the list
        std::optional<time_point> endedBy; ///< a time by which the incarnation had ended
    };

    change_outputs takeOutputs() { return std::exchange(m_outputs, {}); }
    void write(view_phase phase, const server_id &primary, term_number term,
               const change_context &context, step next, time_point now);
    void publish(const server_id &primary, const change_context &context, time_point now);
    const replication_status *statusOf(const server_id &server) const;
    bool wasPromoted(const server_id &server) const;
    void advance(const change_context &context, time_point now);
    void queryStatus(const change_context &context, time_point now);
    void sendStatement(const server_id &server, outgoing_statement statement, duration interval,
                       time_point now);
    void adoptPrimary(const change_context &context, time_point now);
    void replaceUnknownPrimary(const change_context &context, time_point now);
    bool isUnknownPrimary(const server_id &server) const;
    bool mayForeignOrderTakeEffect(const change_context &context) const;
    void awaitForeignOrder(const change_context &context, time_point now);
    bool mayKeepOldPrimary(time_point now) const;
    bool oldLogIsComplete() const;
    bool oldPrimaryLeads(const change_context &context) const;
    bool isOldPrimaryRenamed(const server_id &server) const;
    void renameOldPrimary(const server_id &server);
    void resumeReplicas(time_point now);
    void noteQuorum(const change_context &context);
    bool viewsReleased(const change_context &context) const;
    bool isLeaving(const server_id &server, const change_context &context) const;
    bool hasOneIncarnation(const server_id &server) const;
    bool isListedIncarnation(const log_holder &holder, const change_context &context) const;
    std::vector<log_holder> holders() const;
    bool awaitsReadyMember(const change_context &context, time_point now) const;
    std::optional<server_id> chooseMember(const change_context &context, time_point now);
    bool isFenced(const log_holder &holder, const change_context &context) const;
    std::optional<freshness_floor> lastFloor(const change_context &context) const;
    void dropEndedHolders(const change_context &context, time_point now);
    void publishFloor(const change_context &context);
    void renewFloor(const change_context &context, time_point now);
    std::optional<server_id> memberPromotedLate() const;
    void restartStatusQuery(time_point now);
    void confirm(const change_context &context, time_point now);
    void finish(const change_context &context, time_point now);
    void updateMembers(const change_context &context, time_point now);
    void mergeRecordedHolders(const change_context &context, time_point now);
    void recordHolders(const change_context &context, time_point now);
    void resolveWrite(const change_context &context, time_point now);
    bool isPendingView(const primary_view &view) const;
    void orderPromotion(const change_context &context, time_point now);
    void continueAfterWrite(reference_time committed, const change_context &context,
                            time_point now);
    term_number nextTerm() const;
    void noteEvent(std::string event, std::vector<std::pair<std::string, std::string>> fields = {});
    void enter(step next, time_point now);

    database_id m_database;
    change_policy m_policy;
    view_policy m_views;
    step m_step = step::none;
    change_reason m_reason = change_reason::none;
    time_point m_beganAt;
    time_point m_stepBeganAt; ///< when the current step began
    bool m_isPlanned = false;
    bool m_isWriting = false;
    bool m_writeUnresolved = false; ///< the known view may lack what was written
    std::optional<reference_time> m_writtenAt; ///< set if the unresolved write has taken effect
    time_point m_unresolvedReadAt;
    time_point m_notBefore;
    primary_view m_pendingView; ///< row that is being written
    row_revision m_pendingClaimRevision; ///< revision of the claim that the write requires
    std::optional<reference_time> m_intentAt;
    std::optional<reference_time> m_quorumReleasedAt; ///< upper bound on when a quorum had released
    server_id m_oldPrimary;
    term_number m_oldTerm = 0;
    bool m_oldPrimaryLed = false; ///< whether m_oldPrimary is known to have led m_oldTerm
    term_number m_fencingTerm = 0;
    bool m_steppedDown = false;
    std::optional<time_point> m_fencingSince;
    bool m_wasReleased = false; ///< whether views were released before this change began
    std::optional<time_point> m_oldKeptAt; ///< when an old primary was last kept
    std::set<server_id> m_paused; ///< members that were told to pause in this change
    time_point m_finishedAt; ///< when the last change of this supervisor ended
    std::optional<freshness_floor> m_publishedFloor; ///< the floor published last
    std::map<server_id, member_state> m_members;
    std::map<log_holder, log_holder_state> m_holders;
    bool m_hasMergedRecord = false; ///< whether the record of former supervisors was applied
    std::vector<log_holder> m_lastRecord; ///< record that was written last
    time_point m_recordRetryAt; ///< when it is written again if the store does not show it
    std::optional<freshness_floor> m_primaryPosition; ///< last reported by the current primary
    term_number m_primaryPositionTerm = 0; ///< term in which it was reported
    server_id m_chosen;
    time_point m_orderedAt;
    std::optional<time_point> m_firstOrderedAt; ///< first order for the chosen member
    bool m_hasOrdered = false; ///< whether this change has sent an order
    duration m_promotionTime{};
    change_outputs m_outputs;
};

} // namespace sycamorespan

#endif
