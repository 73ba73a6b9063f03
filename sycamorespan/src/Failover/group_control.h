#ifndef SYCAMORESPAN_FAILOVER_GROUP_CONTROL_H
#define SYCAMORESPAN_FAILOVER_GROUP_CONTROL_H

#include "sycamorespan/Core"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Role that a member of a group reports. */
enum class member_role { primary, replica, fenced };

/** \brief Position that a follower last confirmed to the primary in the primary's term. */
struct follower_position
{
    server_id server;
    log_position position;

    auto operator<=>(const follower_position &) const = default;
};

/** \brief Answer of group_status(). */
struct member_status
{
    term_number term = 0;
    member_role role = member_role::replica;
    log_position position;
    std::optional<duration> staleness; ///< nothing if unknown
    std::vector<follower_position> followers;

    bool operator==(const member_status &) const = default;
};

/** \brief Computes the position that a majority of the group holds in the term of the primary that
 * answered.
 *
 * A follower counts only if its position is in that term: holding an entry of the term proves that
 * its log equals the primary's log up to this entry.
 * \param status  an answer of group_status()
 * \param server  the member that answered
 * \param members  the configured members; others don't count
 * \returns the highest majority-held position, or nothing if no position of this term is held by a
 * majority or the member isn't primary
 */
std::optional<log_position> majorityHeldPosition(const member_status &status,
                                                 const server_id &server,
                                                 const std::vector<server_id> &members);

/** \brief Operation group_status(): reads the role, position and followers of a member. */
struct status_operation
{
    auto operator<=>(const status_operation &) const = default;
};

/** \brief Operation group_fence(term, token): fences a member in a term. */
struct fence_operation
{
    term_number term = 0;
    std::string token; ///< identifies one attempt of one supervisor

    auto operator<=>(const fence_operation &) const = default;
};

/** \brief Operation group_promote(term, token): promotes a fenced member. */
struct promote_operation
{
    term_number term = 0;
    std::string token;

    auto operator<=>(const promote_operation &) const = default;
};

/** \brief Operation group_follow(term, server, address): makes a member follow the primary. */
struct follow_operation
{
    term_number term = 0;
    server_id primary;
    std::string address;

    auto operator<=>(const follow_operation &) const = default;
};

/** \brief Operation group_end_sessions(instance, boot): ends the sessions of one incarnation of a
 * proxy.
 */
struct end_sessions_operation
{
    instance_id instance;
    std::string boot; ///< incarnation of the instance's proxy

    auto operator<=>(const end_sessions_operation &) const = default;
};

using group_operation = std::variant<status_operation, fence_operation, promote_operation,
                                     follow_operation, end_sessions_operation>;

/** \brief Part of the agent that made a call to a member. */
enum class call_purpose { probe, change, upkeep, cleanup };

/** \brief Identifies a call to a member. Its answer carries the same id. */
struct call_id
{
    call_purpose purpose = call_purpose::probe;
    std::uint64_t series = 0;
    std::uint64_t number = 0;

    auto operator<=>(const call_id &) const = default;
};

/** \brief Action: run \a operation on a member and report the result as call_returned.
 *
 * If there is no answer by \a deadline, call_failed is reported and the connection is closed. A
 * later answer may still be reported.
 */
struct call_member
{
    call_id id;
    server_id server;
    group_operation operation;
    bool freshConnection = false; ///< close the existing connection and open a new one
    time_point deadline;

    auto operator<=>(const call_member &) const = default;
};

/** \brief Answer of group_fence(), group_promote() and group_follow(). */
struct position_answer
{
    log_position position;

    auto operator<=>(const position_answer &) const = default;
};

/** \brief Answer of group_end_sessions(): the number of sessions ended. */
struct sessions_ended
{
    std::uint32_t count = 0;

    auto operator<=>(const sessions_ended &) const = default;
};

/** \brief Answer of a member that refused a call (SQLSTATE 55000 or another error) and changed
 * nothing.
 */
struct call_refused
{
    std::optional<term_number> term; ///< the member's own term, if it reported it

    auto operator<=>(const call_refused &) const = default;
};

/** \brief A call without an answer, because the connection failed or the deadline passed. The call
 * may have taken effect.
 */
struct call_failed
{
    auto operator<=>(const call_failed &) const = default;
};

using group_answer =
        std::variant<member_status, position_answer, sessions_ended, call_refused, call_failed>;

/** \brief Event: the result of a call_member. */
struct call_returned
{
    call_id id;
    server_id server;
    group_answer answer;

    bool operator==(const call_returned &) const = default;
};

/** \brief Event: the time returned by nextDeadline() was reached. */
struct time_passed
{
    auto operator<=>(const time_passed &) const = default;
};

} // namespace sycamorespan

#endif
