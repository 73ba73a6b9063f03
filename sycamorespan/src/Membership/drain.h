#ifndef SYCAMORESPAN_MEMBERSHIP_DRAIN_H
#define SYCAMORESPAN_MEMBERSHIP_DRAIN_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Timing of a drain. */
struct drain_policy
{
    duration closeSpread = 2s; ///< time over which idle sessions are closed
    duration closeInterval = 100ms; ///< time between two groups of closed sessions

    bool operator==(const drain_policy &) const = default;
};

namespace drain_event {

/** \brief The process is to shut down, on SIGTERM or an operator's request. Repetitions have no
 * effect. */
struct stop_requested
{ };

/** \brief A caller has connected; the returned action admits or rejects it. */
struct session_requested
{
    session_id session;
};

/** \brief The session's connection was closed by either side. */
struct session_ended
{
    session_id session;
};

/** \brief The first byte of a request was read. */
struct request_started
{
    session_id session;
};

/** \brief The complete answer to the request was sent. */
struct request_finished
{
    session_id session;
    bool inTransaction = false; ///< whether a transaction is still open
};

/** \brief Time has passed; due by drain::nextDeadline(). */
struct tick
{ };

} // namespace drain_event

using drain_input = std::variant<drain_event::stop_requested, drain_event::session_requested,
                                 drain_event::session_ended, drain_event::request_started,
                                 drain_event::request_finished, drain_event::tick>;

namespace drain_action {

/** \brief Accept the connection and serve the session. */
struct admit_session
{
    session_id session;

    bool operator==(const admit_session &) const = default;
};

/** \brief Refuse the connection with the SQLSTATE drain::rejectState; no statement of it was run.
 */
struct reject_session
{
    session_id session;

    bool operator==(const reject_session &) const = default;
};

/** \brief Announce the shutdown of this instance to the membership and stop listening. */
struct announce_shutdown
{
    bool operator==(const announce_shutdown &) const = default;
};

/** \brief Send the SQLSTATE drain::closeState and close the connection. A request that was not yet
 * read has not been run.
 */
struct close_session
{
    session_id session;

    bool operator==(const close_session &) const = default;
};

/** \brief No session is left; the process may exit. */
struct finished
{
    bool operator==(const finished &) const = default;
};

} // namespace drain_action

using drain_output = std::variant<drain_action::admit_session, drain_action::reject_session,
                                  drain_action::announce_shutdown, drain_action::close_session,
                                  drain_action::finished>;

/** \brief Graceful shutdown of a process that serves sessions.
 *
 * Once the shutdown is requested, new sessions are rejected and existing sessions are closed only
 * between two transactions. The process may exit when no session is left.
 */
class drain
{
public:
    static constexpr std::string_view rejectState = "57P03"; ///< cannot_connect_now
    static constexpr std::string_view closeState = "57P01"; ///< admin_shutdown

    explicit drain(const drain_policy &policy);

    /** \brief Handles one event.
     * \returns the actions to perform, in order
     */
    std::vector<drain_output> handle(const drain_input &event, time_point now);

    /** \returns the time by which a tick is due; nothing if no tick is needed. */
    std::optional<time_point> nextDeadline() const;

    bool draining() const { return m_drainStarted.has_value(); }
    std::size_t sessions() const { return m_sessions.size(); }

private:
    using outputs = std::vector<drain_output>;
    enum class session_state : std::uint8_t { idle, running, inTransaction, closing };

    void on(const drain_event::stop_requested &event, time_point now, outputs &actions);
    void on(const drain_event::session_requested &event, time_point now, outputs &actions);
    void on(const drain_event::session_ended &event, time_point now, outputs &actions);
    void on(const drain_event::request_started &event, time_point now, outputs &actions);
    void on(const drain_event::request_finished &event, time_point now, outputs &actions);
    void on(const drain_event::tick &event, time_point now, outputs &actions);

    void setState(const session_id &session, session_state state);
    void close(const session_id &session, outputs &actions);
    void closeGroup(time_point now, outputs &actions);
    void finishIfEmpty(outputs &actions);

    drain_policy m_policy;
    std::map<session_id, session_state> m_sessions;
    std::set<session_id> m_idleSessions;
    std::optional<time_point> m_drainStarted;
    time_point m_nextGroup;
    std::size_t m_groupSize = 0;
    bool m_finished = false;
};

} // namespace sycamorespan

#endif
