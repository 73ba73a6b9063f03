#ifndef SYCAMORESPAN_DISPATCH_MEMBER_POOL_H
#define SYCAMORESPAN_DISPATCH_MEMBER_POOL_H

#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Membership/server_entry.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sycamorespan {

/** \brief Values of a session, by name. */
using session_values = std::map<std::string, std::string>;

/** \brief What an answer from a member will belong to. */
enum class expected_answer { setup, begin, statement, rollback };

struct pending_answer
{
    expected_answer kind = expected_answer::setup;
    time_point sent;

    auto operator<=>(const pending_answer &) const = default;
};

/** \brief One connection to a member. It serves one workspace for its whole life. */
struct member_connection
{
    enum class phase { opening, idle, bound, finishing };

    connection_id id = 0;
    workspace_id workspace;
    phase state = phase::opening;
    time_point since; ///< of the phase
    session_values values; ///< as the member holds them
    std::set<std::string> prepared; ///< names, each derived from its shape
    std::deque<pending_answer> pending;
    session_number session = 0; ///< that it is bound to
    bool viewDependent = false; ///< bound to work that only the primary may do
};

/** \brief Connections of this instance to one member, and what is known of the member. */
class member_pool
{
public:
    explicit member_pool(server_entry entry);

    const server_entry &entry() const { return m_entry; }
    void setEntry(server_entry entry) { m_entry = std::move(entry); }

    /** \returns the idle connection of \a workspace that needs the fewest statements to hold
     * \a values and \a preparedName; nullptr if none is idle.
     */
    member_connection *idleFor(const workspace_id &workspace, const session_values &values,
                               const std::string &preparedName);

    /** \returns the idle connection of another workspace that was used longest ago. */
    member_connection *longestIdleOfOthers(const workspace_id &workspace, time_point now,
                                           duration leastIdle);

    member_connection &add(connection_id id, workspace_id workspace, time_point now);
    member_connection *find(connection_id id);
    void erase(connection_id id) { m_connections.erase(id); }
    std::map<connection_id, member_connection> &connections() { return m_connections; }
    const std::map<connection_id, member_connection> &connections() const { return m_connections; }

    bool isOpening(connection_id id) const;

    /** \returns connections that carry a statement or an open transaction. */
    std::size_t working() const;

    // Health.

    /** \brief Anything arrived from the member. */
    void heard(time_point now);

    /** \returns when anything last arrived; nothing if nothing did. */
    std::optional<time_point> lastHeard() const { return m_lastHeard; }

    /** \brief A connection attempt failed or a connection broke. */
    void failed(time_point now);

    /** \brief The member is alive but takes no more connections for now. */
    void pauseOpening(time_point now);

    /** \returns since when the member has left something unanswered without a sign of life;
     * nothing while it answers.
     */
    std::optional<time_point> silentSince() const;

    /** \returns whether a connection may be opened: not shortly after a failure. */
    bool mayOpen(time_point now) const { return now >= m_openAfter; }
    bool reachable() const { return m_failures == 0; }
    int failures() const { return m_failures; }

    /** \brief Takes the time of a statement, relative to what statements of its route take. */
    void observeSlowness(double ratio);
    double slowness() const { return m_slowness; }

    /** \brief The last position that the member reported, and when. */
    void observePosition(log_position position, time_point now);
    log_position position() const { return m_position; }
    time_point positionSeen() const { return m_positionSeen; }
    void lagged(time_point until) { m_laggingUntil = until; }
    bool lagging(time_point now) const { return now < m_laggingUntil; }

    void avoid(time_point until) { m_avoidUntil = until; }
    bool avoided(time_point now) const { return now < m_avoidUntil; }

    void setOthersWorking(std::size_t statements) { m_othersWorking = statements; }
    std::size_t othersWorking() const { return m_othersWorking; }

    std::optional<time_point> drainingSince() const { return m_drainingSince; }
    void setDrainingSince(time_point now) { m_drainingSince = now; }

private:
    server_entry m_entry;
    std::map<connection_id, member_connection> m_connections;
    std::optional<time_point> m_lastHeard;
    time_point m_openAfter;
    int m_failures = 0;
    double m_slowness = 1;
    log_position m_position;
    time_point m_positionSeen;
    time_point m_laggingUntil;
    time_point m_avoidUntil;
    std::size_t m_othersWorking = 0;
    std::optional<time_point> m_drainingSince;
};

/** \returns how many statements bring \a connection to \a values; discarding drops the prepared
 * names too.
 */
std::size_t setupCost(const member_connection &connection, const session_values &values,
                      const std::string &preparedName);

} // namespace sycamorespan

#endif
