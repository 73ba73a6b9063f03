#ifndef SYCAMORESPAN_OVERLOAD_INTAKE_BUDGET_H
#define SYCAMORESPAN_OVERLOAD_INTAKE_BUDGET_H

#include "sycamorespan/src/Core/time_types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamorespan {

/** \brief Limits on what a process holds for its clients. */
struct intake_policy
{
    std::size_t budgetBytes = std::size_t{64} << 20; ///< for all sessions together
    std::size_t maxSessions = 3072;
    /** Maximum number of sessions whose client has not identified itself. */
    std::size_t maxUnidentified = 768;
    /** Bytes of messages and answers that a session may always hold without being paused. */
    std::size_t guaranteedBytes = std::size_t{64} << 10;
    duration identificationTimeout = 30s; ///< from the connection to its first message
    duration messageTimeout = 30s; ///< from the first byte of a message to its last one
    duration unreadTimeout = 30s; ///< without a byte taken by the client while answers wait

    auto operator<=>(const intake_policy &) const = default;
};

/** \brief What a process holds for one session. All sizes are in bytes. */
struct intake_load
{
    std::size_t unfinished = 0; ///< of a message whose end has not arrived
    std::size_t untaken = 0; ///< received while the session is paused
    std::size_t waiting = 0; ///< of messages that were taken and are not answered
    std::size_t unsent = 0; ///< of answers that the client has not taken
    std::size_t kept = 0; ///< of the session's state
    std::size_t spare = 0; ///< allocated for buffers beyond their content
    std::size_t sent = 0; ///< over the life of the session; not held
    std::optional<time_point> messageBegunAt; ///< arrival of the first byte of the unfinished one

    std::size_t held() const { return unfinished + untaken + waiting + unsent + kept + spare; }

    auto operator<=>(const intake_load &) const = default;
};

/** \brief Why a session is closed or refused. */
enum class intake_cause {
    tooManySessions,
    tooManyUnidentified,
    budgetExceeded,
    notIdentified,
    messageUnfinished,
    answersUnread
};

/** \returns the name of the cause in logs and metrics. */
std::string_view nameOf(intake_cause cause);

/** \brief A session to be closed at once, without delivering what it holds. */
struct intake_end
{
    std::uint64_t session = 0;
    intake_cause cause = intake_cause::budgetExceeded;
    intake_load load;

    auto operator<=>(const intake_end &) const = default;
};

/** \brief Divides the memory of a process for received and unsent bytes among its sessions.
 *
 * A session may hold as many bytes of messages and answers as are free in the budget; beyond that
 * its client is not read from until answers are taken. When the budget is used up nevertheless,
 * the sessions that hold most are closed, so that a session is never closed for the bytes of a
 * larger one. The sessions named in a result are forgotten.
 */
class intake_budget
{
public:
    using ends = std::vector<intake_end>;

    explicit intake_budget(const intake_policy &policy)
        : m_policy(policy)
    { }

    /** \brief Adds a session.
     * \returns the session itself if there are too many; the oldest ones without identification if
     *          there are too many of these
     */
    ends opened(std::uint64_t session, time_point now);

    /** \brief Notes that the client has identified itself. */
    void identified(std::uint64_t session);

    /** \brief Replaces the load of a session.
     * \returns the largest holders, until the others fit into the budget
     */
    ends changed(std::uint64_t session, const intake_load &load, time_point now);

    void closed(std::uint64_t session);

    /** \returns the sessions whose time limits have passed. */
    ends expired(time_point now);

    /** \returns whether no further message of the session may be taken. */
    bool mustPause(std::uint64_t session) const;

    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t sessionCount() const { return m_sessions.size(); }

private:
    struct session_state
    {
        intake_load load;
        time_point openedAt;
        time_point progressAt; ///< when the client last took a byte, or had taken all
        bool isIdentified = false;
    };

    std::optional<intake_cause> expiryCause(const session_state &state, time_point now) const;
    intake_end end(std::uint64_t session, intake_cause cause);

    intake_policy m_policy;
    std::map<std::uint64_t, session_state> m_sessions;
    std::set<std::uint64_t> m_unidentified;
    std::set<std::pair<std::size_t, std::uint64_t>> m_bySize; ///< held bytes and session
    std::size_t m_heldBytes = 0;
};

} // namespace sycamorespan

#endif
