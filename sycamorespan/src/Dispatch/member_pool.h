#ifndef SYCAMORESPAN_DISPATCH_MEMBER_POOL_H
#define SYCAMORESPAN_DISPATCH_MEMBER_POOL_H

#include "sycamorespan/src/Dispatch/connection_setup.h"
#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Membership/server_entry.h"
#include "sycamorespan/src/Pooling/member_limit.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace sycamorespan {

/** \brief The kind of statement to which the next answer of a member belongs. */
enum class expected_answer { setup, begin, statement, rollback };

/** \brief An answer that a member has not given yet. */
struct pending_answer
{
    expected_answer kind = expected_answer::setup;
    time_point sentAt; ///< when the statement was sent
    std::optional<setup_statement> setup; ///< the statement, if it prepares the connection

    auto operator<=>(const pending_answer &) const = default;
};

/** \brief One connection to a member. It serves the same workspace until it is closed. */
struct member_connection
{
    enum class phase { opening, idle, bound, rollingBack };

    connection_id id = 0;
    workspace_id workspace;
    phase state = phase::opening;
    time_point since; ///< when the phase began
    connection_setup setup; ///< what the member has acknowledged
    std::optional<rejected> setupRefusal; ///< of a setup statement since it was bound
    std::deque<pending_answer> pending; ///< in the order of their statements
    session_number session = 0; ///< session to which it is bound
    bool requiresPrimary = false; ///< its work may run only on the primary
};

/** \brief Connections of this instance to one member, and the observed state of the member. */
class member_pool
{
public:
    explicit member_pool(server_entry entry);

    const server_entry &entry() const { return m_entry; }
    void setEntry(server_entry entry);

    /** \returns the idle connection of \a workspace that needs the fewest statements to hold
     * \a values and to have prepared \a executed, which may be null; nullptr if none is idle.
     */
    member_connection *findIdleConnection(const workspace_id &workspace,
                                          const session_values &values,
                                          const prepared_statement *executed);

    /** \returns the connection of another workspace that has been idle longest, and at least for
     * \a leastIdle; nullptr if there is none.
     */
    member_connection *findLongestIdleOfOthers(const workspace_id &workspace, time_point now,
                                               duration leastIdle);

    /** \returns whether a connection of \a workspace is open or being opened. */
    bool hasConnectionOf(const workspace_id &workspace) const;

    member_connection &add(connection_id id, workspace_id workspace, time_point now);
    member_connection *find(connection_id id);
    void erase(connection_id id) { m_connections.erase(id); }
    std::map<connection_id, member_connection> &connections() { return m_connections; }
    const std::map<connection_id, member_connection> &connections() const { return m_connections; }

    bool isOpening(connection_id id) const;

    /** \returns the number of statements and openings that the member has not answered, each of
     * which takes one of its slots.
     */
    std::size_t occupiedSlots() const;

    // Health of the member.

    /** \brief Records that the member sent a message. */
    void recordMessage(time_point now);

    /** \returns when the last message arrived; nothing if none did. */
    std::optional<time_point> lastMessageAt() const { return m_lastMessageAt; }

    /** \brief Records a failed connection attempt, and delays the next one exponentially. */
    void recordConnectionFailure(time_point now);

    /** \brief Delays further connection attempts because the member refused one. */
    void pauseOpening(time_point now);

    /** \brief Records that the member refused a connection because it has too many. */
    void recordConnectionLimit(time_point now);

    /** \returns how many connections the member accepts from this instance, as far as its refusals
     * tell. It grows again with the time since the last one.
     */
    std::size_t connectionLimit(time_point now) const;

    /** \returns since when a statement or opening has been unanswered without any message from the
     * member; nothing if none is unanswered.
     */
    std::optional<time_point> unresponsiveSince() const;

    /** \returns whether a connection may be opened, that is, no delay after a failure is pending.
     */
    bool mayOpen(time_point now) const { return now >= m_openAfter; }
    bool isReachable() const { return m_failures == 0; }
    int failures() const { return m_failures; }

    /** \brief How many statements the member takes well, and how slow it is. */
    member_limit &limit() { return m_limit; }
    const member_limit &limit() const { return m_limit; }

    /** \brief Adds the time of an opening to the moving average. */
    void observeOpening(duration took);
    /** \returns the mean time of an opening. */
    double openingSeconds() const { return m_openingSeconds; }

    /** \brief Records the log position that the member reported. */
    void observePosition(log_position position, time_point now);
    log_position position() const { return m_position; }
    time_point positionObservedAt() const { return m_positionObservedAt; }
    /** \brief Excludes the member from reads that require a floor, until a time. */
    void setLaggingUntil(time_point until) { m_laggingUntil = until; }
    bool isLagging(time_point now) const { return now < m_laggingUntil; }

    /** \brief Excludes the member from new statements, until a time. */
    void setAvoidedUntil(time_point until) { m_avoidedUntil = until; }
    bool isAvoided(time_point now) const { return now < m_avoidedUntil; }

    void setSlotsOccupiedByOthers(std::size_t slots) { m_slotsOccupiedByOthers = slots; }
    std::size_t slotsOccupiedByOthers() const { return m_slotsOccupiedByOthers; }

    /** \brief Notes the state that the member reports. Of a drain that is called off for less than
     * \a settlingTime the beginning is kept: a store that returned from an older copy reports the
     * former state for a moment.
     */
    void noteState(server_state state, duration settlingTime, time_point now);
    /** \returns when the member began to drain; nothing if it is ready. */
    std::optional<time_point> drainingSince() const
    {
        return m_readyAgainAt ? std::nullopt : m_drainingSince;
    }

private:
    server_entry m_entry;
    std::map<connection_id, member_connection> m_connections;
    std::optional<time_point> m_lastMessageAt;
    time_point m_openAfter;
    int m_failures = 0;
    std::optional<std::size_t> m_connectionLimit; ///< at the last refusal
    time_point m_connectionLimitAt;
    member_limit m_limit;
    double m_openingSeconds = 0.01; ///< until the first opening
    log_position m_position;
    time_point m_positionObservedAt;
    time_point m_laggingUntil;
    time_point m_avoidedUntil;
    std::size_t m_slotsOccupiedByOthers = 0;
    std::optional<time_point> m_drainingSince;
    std::optional<time_point> m_readyAgainAt; ///< when its last drain was called off
};

} // namespace sycamorespan

#endif
