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

/** \brief Constants of a drain. */
struct drain_policy
{
    duration closeSpread = 2s; ///< idle sessions are closed over this time
    duration closeInterval = 100ms; ///< between two groups of them

    bool operator==(const drain_policy &) const = default;
};

namespace drain_event {

/** \brief SIGTERM, or an operator's order. Repeated ones change nothing. */
struct stop_requested
{ };

/** \brief A caller has connected; it is admitted or rejected by the answer. */
struct session_requested
{
    session_id session;
};

/** \brief The session's connection is closed, by whichever side. */
struct session_ended
{
    session_id session;
};

/** \brief The first byte of a request was read. */
struct request_started
{
    session_id session;
};

/** \brief The request's answer was sent whole. */
struct request_finished
{
    session_id session;
    bool inTransaction = false; ///< a transaction stays open
};

struct tick
{ };

} // namespace drain_event

using drain_input = std::variant<drain_event::stop_requested, drain_event::session_requested,
                                 drain_event::session_ended, drain_event::request_started,
                                 drain_event::request_finished, drain_event::tick>;

namespace drain_action {

struct admit_session
{
    session_id session;

    bool operator==(const admit_session &) const = default;
};

/** \brief Refuse the connection with rejectState; nothing of it ran. */
struct reject_session
{
    session_id session;

    bool operator==(const reject_session &) const = default;
};

/** \brief Tell the membership that this instance leaves, and stop listening. */
struct announce_leaving
{
    bool operator==(const announce_leaving &) const = default;
};

/** \brief Send closeState and close. A request that was not yet read has not run. */
struct close_session
{
    session_id session;

    bool operator==(const close_session &) const = default;
};

/** \brief No session is left: the process may end. */
struct finished
{
    bool operator==(const finished &) const = default;
};

} // namespace drain_action

using drain_output = std::variant<drain_action::admit_session, drain_action::reject_session,
                                  drain_action::announce_leaving, drain_action::close_session,
                                  drain_action::finished>;

/** \brief Graceful shutdown of a process that serves sessions.
 *
 * After the stop no session begins; a session is closed between two transactions only, and the
 * process ends when none is left.
 */
class drain
{
public:
    static constexpr std::string_view rejectState = "57P03"; ///< cannot_connect_now
    static constexpr std::string_view closeState = "57P01"; ///< admin_shutdown

    explicit drain(const drain_policy &policy);

    std::vector<drain_output> handle(const drain_input &event, time_point now);

    /** \returns when a tick is due; nothing if none is. */
    std::optional<time_point> nextDeadline() const;

    bool draining() const { return m_stopped.has_value(); }
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
    std::set<session_id> m_idle;
    std::optional<time_point> m_stopped;
    time_point m_nextGroup;
    std::size_t m_groupSize = 0;
    bool m_finished = false;
};

} // namespace sycamorespan

#endif
