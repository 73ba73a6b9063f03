#ifndef SYCAMORESPAN_FAILOVER_SYNCHRONOUS_CHANGE_H
#define SYCAMORESPAN_FAILOVER_SYNCHRONOUS_CHANGE_H

#include "sycamorespan/src/Dispatch/freshness_floors.h"
#include "sycamorespan/src/Dispatch/statement.h"
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
    term_number term = 0; ///< the newest that it knows
    log_position received; ///< end of its log
    term_number pausedFor = 0; ///< the term that it was paused for; 0: it receives

    auto operator<=>(const replication_status &) const = default;
};

/** \brief Constants of a synchronous_change. */
struct change_policy
{
    duration askInterval = 120ms; ///< between two statements to a member that didn't answer
    duration confirmInterval = 80ms; ///< between two questions whether the promotion took effect
    duration confirmAfter = 400ms; ///< the first of them; promotions take 600 ms and more
    duration orderInterval = 900ms; ///< an order that had no effect is repeated after it
    duration orderLimit = 1s; ///< from the written order to its sending; later it is given up
    /** Another supervisor's order may be sent, and take effect, until then. */
    duration foreignOrderWait = 2s;
    /** A primary that was kept, as it answered again, is not kept once more so soon: longer than
     * two changes take that wait for views to lapse.
     */
    duration keptPause = 10s;
    /** Between two questions whether a member has ended: a fifth of a member's check-in interval.
     */
    duration departedInterval = 250ms;
    duration resumeLimit = 1s; ///< shorter than any takeover: the next supervisor may pause anew
    duration orderPatience = 4s; ///< without effect another member is chosen
    duration catchUpLimit = 400ms; ///< for a replica to receive the old primary's last commits
    /** A member that left the list may hold commits so long; while the old primary is listed, its
     * log can still show them, so that the change waits for it.
     */
    duration lapsedMember = 10s;
    duration writeRetry = 300ms; ///< after a write of the store that had no answer
    duration storeReadInterval = 200ms; ///< of the row, while its state is unknown
    duration expectedPromotion = 1s; ///< until one was measured
    duration expectedSurvey = 150ms; ///< fencing and reading of positions on live members
    duration floorInterval = 200ms; ///< a seventh of the smallest staleness bound in use
    /** A replica that joins may confirm commits before it is seen in the list: the time for its
     * entry to be written and for the news of it, a hundred times the usual.
     */
    duration listingDelay = 500ms;

    auto operator<=>(const change_policy &) const = default;
};

/** \brief What is known of the system when a change advances. */
struct change_surroundings
{
    std::uint64_t fence = 0; ///< of this supervisor
    std::vector<server_entry> members; ///< of the database, as listed
    std::optional<primary_view> view; ///< newest known
    std::size_t synchronousReplicas = 0; ///< that hold a commit before it is acknowledged
    bool allReleased = false; ///< every instance has dropped views before the newest revision
    std::optional<reference_time> earliest; ///< bounds of the reference clock's reading
    std::optional<reference_time> latest;
    bool storeReachable = false;

    bool operator==(const change_surroundings &) const = default;
};

namespace change_action {

/** \brief Write the row on the condition that its revision is \c view.revision; 0: none exists. */
struct write_view
{
    primary_view view;

    auto operator<=>(const write_view &) const = default;
};

/** \brief Read the rows of views. */
struct read_views
{
    auto operator<=>(const read_views &) const = default;
};

/** \brief Send a statement to a member outside of any session; report memberAnswered(). */
struct ask_member
{
    server_id server;
    outgoing_statement statement;

    bool operator==(const ask_member &) const = default;
};

/** \brief Have the platform promote a member, now or not at all. */
struct order_promotion
{
    database_id database;
    server_id server;
    std::uint64_t fence = 0;

    auto operator<=>(const order_promotion &) const = default;
};

/** \brief Reads may rely on \c floor: no commit beyond it was acknowledged until then. */
struct state_floor
{
    database_id database;
    freshness_floor floor;
    bool isFirst = false; ///< of this change: others wait for it

    auto operator<=>(const state_floor &) const = default;
};

/** \brief A line for the log. */
struct note
{
    database_id database;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const note &) const = default;
};

} // namespace change_action

using change_output = std::variant<change_action::write_view, change_action::read_views,
                                   change_action::ask_member, change_action::order_promotion,
                                   change_action::state_floor, change_action::note>;
using change_outputs = std::vector<change_output>;

/** \brief Why a primary is replaced. */
enum class change_reason {
    none,
    adoption, ///< no view exists yet: find out who is primary
    leaving, ///< it drains
    gone, ///< it left the list
    unreachable, ///< neither instances nor the supervisor get an answer from it
    missed, ///< it answers the supervisor, but many instances get no answer
    demoted, ///< it says that it is a replica
    resumption, ///< another supervisor's change is unfinished
};

/** \brief One supervisor's steps to a new primary of one database.
 *
 * For groups whose primary acknowledges a commit once a replica has received it:
 * 1. the intent is written to the store; instances drop the old view, or it lapses;
 * 2. the old primary steps down, replicas are paused, so that no further commit is acknowledged;
 * 3. a member is chosen whose log holds every acknowledged commit: one that has all of the old
 *    primary's log, or, if that one doesn't answer, the longest log of all replicas;
 * 4. the order is written with the supervisor's fencing token, then sent;
 * 5. once the member reports that it leads, the new view is written.
 * Each step can be repeated, by this supervisor or the next. Without step 1 or 3 it waits: a slow
 * change is better than a lost commit.
 *
 * A primary that was out of reach and answers again before anything was ordered is kept. An order
 * of a former supervisor that has taken effect is published.
 *
 * A member that left may have been the only one to confirm a commit, so that a change waits for it.
 * Not so if it has ended, and another replica holds all that the primary had acknowledged
 * afterwards: that is found out before any change is needed.
 *
 * From step 2 on nothing is acknowledged until the next primary is used. The positions then read
 * are floors for reads, stated again and again, so that replicas serve them all the while.
 */
class synchronous_change
{
public:
    synchronous_change(database_id database, const change_policy &policy, const view_policy &views);

    bool isRunning() const { return m_step != step::none; }

    /** \returns whether the row may hold, or come to hold, an intent that the view doesn't show. */
    bool mayHaveWritten() const { return m_writing || m_unresolved; }

    /** \returns when the new primary is expected; nothing if no change is running. */
    std::optional<time_point> expectedEnd(time_point now) const;

    change_outputs begin(change_reason reason, const change_surroundings &around, time_point now);

    /** \brief Gives up: another supervisor has taken over. */
    void abandon();

    /** \param revision   of the row after the write
     *  \param committed  a reading of the store's clock after the write
     */
    change_outputs viewWritten(std::uint64_t revision, reference_time committed,
                               const change_surroundings &around, time_point now);
    change_outputs viewConflict(time_point now);
    change_outputs viewUnknown(time_point now);
    /** \param status  nothing: no answer
     *  \param asked   when the question was sent, or before
     */
    change_outputs memberAnswered(const server_id &server,
                                  const std::optional<replication_status> &status, time_point asked,
                                  const change_surroundings &around, time_point now);
    /** \brief Nobody answers at the address of \a server, or another server does. */
    void memberEnded(const server_id &server, time_point now);
    /** \param accepted  nothing: no answer
     */
    change_outputs orderAnswered(std::optional<bool> accepted, const change_surroundings &around,
                                 time_point now);
    change_outputs tick(const change_surroundings &around, time_point now);

private:
    enum class step {
        none,
        adopting,
        resuming, ///< the former supervisor's order may take effect
        writingIntent,
        surveying,
        writingOrder,
        confirming,
        publishing,
    };

    struct member_state
    {
        std::optional<replication_status> status;
        time_point statusAsked; ///< the status was read at this time or later
        time_point asked;
        time_point listed; ///< last seen in the list
    };

    struct holder_state
    {
        time_point listed; ///< last seen in the list
        bool isDraining = false; ///< when it was seen last
        std::optional<time_point> ended; ///< it had ended by then
    };

    change_outputs take() { return std::exchange(m_outputs, {}); }
    void write(view_phase phase, const server_id &primary, term_number term,
               const change_surroundings &around, step next, time_point now);
    void publish(const server_id &primary, const change_surroundings &around, time_point now);
    const replication_status *statusOf(const server_id &server) const;
    bool leadsAnew(const server_id &server) const;
    void advance(const change_surroundings &around, time_point now);
    void survey(const change_surroundings &around, time_point now);
    void ask(const server_id &server, outgoing_statement statement, duration interval,
             time_point now);
    void adopt(const change_surroundings &around, time_point now);
    void awaitForeignOrder(const change_surroundings &around, time_point now);
    bool mayKeepOld(time_point now) const;
    bool oldLogIsWhole() const;
    bool oldLeadsAgain(const change_surroundings &around) const;
    void resumeReplicas(time_point now);
    bool released(const change_surroundings &around) const;
    bool isLeaving(const server_id &server, const change_surroundings &around) const;
    bool holdsAllCommits(const server_id &server) const;
    bool isListedRun(const log_holder &holder, const change_surroundings &around) const;
    std::vector<log_holder> holders() const;
    bool awaitsStayingMember(const change_surroundings &around, time_point now) const;
    std::optional<server_id> choose(const change_surroundings &around, time_point now);
    bool isFenced(const log_holder &holder, const change_surroundings &around) const;
    std::optional<freshness_floor> lastFloor(const change_surroundings &around) const;
    void dropEndedHolders(const change_surroundings &around, time_point now);
    void stateFloor(const change_surroundings &around);
    void renewFloor(const change_surroundings &around, time_point now);
    std::optional<server_id> promotedLate() const;
    void surveyAgain(time_point now);
    void confirm(const change_surroundings &around, time_point now);
    void finish(const change_surroundings &around, time_point now);
    void updateMembers(const change_surroundings &around, time_point now);
    void resolve(const change_surroundings &around, time_point now);
    term_number nextTerm() const;
    void noteEvent(std::string event, std::vector<std::pair<std::string, std::string>> fields = {});
    void enter(step next, time_point now);

    database_id m_database;
    change_policy m_policy;
    view_policy m_views;
    step m_step = step::none;
    change_reason m_reason = change_reason::none;
    time_point m_begun;
    time_point m_entered; ///< the present step
    bool m_planned = false;
    bool m_writing = false;
    bool m_unresolved = false;
    time_point m_unresolvedRead;
    time_point m_notBefore;
    primary_view m_wanted; ///< the row being written
    std::optional<reference_time> m_intentAt;
    std::uint64_t m_intentRevision = 0;
    std::optional<reference_time> m_foreignOrder; ///< another supervisor may order until then
    server_id m_old;
    term_number m_oldTerm = 0;
    term_number m_askTerm = 0;
    bool m_steppedDown = false;
    std::optional<time_point> m_fencingSince;
    bool m_wasReleased = false; ///< before this change began
    std::optional<time_point> m_kept; ///< when an old primary was kept for the last time
    std::set<server_id> m_paused; ///< told to pause in this change
    time_point m_finished; ///< the last change of this supervisor
    std::optional<freshness_floor> m_floor; ///< the last one stated
    std::map<server_id, member_state> m_members;
    std::map<log_holder, holder_state> m_holders;
    std::optional<freshness_floor> m_primaryPosition; ///< the last that the primary in use told
    term_number m_primaryPositionTerm = 0; ///< of its reign
    server_id m_chosen;
    time_point m_ordered;
    std::optional<time_point> m_firstOrder; ///< to the chosen member
    bool m_hasOrdered = false; ///< in this change
    duration m_promotionTook{};
    change_outputs m_outputs;
};

} // namespace sycamorespan

#endif
