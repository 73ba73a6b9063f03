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

enum class member_role { primary, replica, fenced };

/** \brief What a follower last confirmed to the primary in the primary's term. */
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
    std::optional<duration> staleness; ///< empty where unknown
    std::vector<follower_position> followers;

    bool operator==(const member_status &) const = default;
};

/** \brief Computes what a majority of the group holds in the term of the answering primary.
 *
 * A follower counts only with a position of that term: holding an entry of the term proves
 * that its log is the primary's up to there.
 * \param status  an answer of group_status()
 * \param server  the member that answered
 * \param members  the configured members; others don't count
 * \returns the highest majority-held position, empty where none of this term is, or where the
 * member isn't primary
 */
std::optional<log_position> majorityHeldPosition(const member_status &status,
                                                 const server_id &server,
                                                 const std::vector<server_id> &members);

/** \brief group_status(). */
struct status_operation
{
    auto operator<=>(const status_operation &) const = default;
};

/** \brief group_fence(term, token). */
struct fence_operation
{
    term_number term = 0;
    std::string token; ///< names one attempt of one supervisor

    auto operator<=>(const fence_operation &) const = default;
};

/** \brief group_promote(term, token). */
struct promote_operation
{
    term_number term = 0;
    std::string token;

    auto operator<=>(const promote_operation &) const = default;
};

/** \brief group_follow(term, server, address). */
struct follow_operation
{
    term_number term = 0;
    server_id primary;
    std::string address;

    auto operator<=>(const follow_operation &) const = default;
};

/** \brief group_end_sessions(instance, boot). */
struct end_sessions_operation
{
    instance_id instance;
    std::string boot; ///< names one start of the instance's proxy

    auto operator<=>(const end_sessions_operation &) const = default;
};

using group_operation = std::variant<status_operation, fence_operation, promote_operation,
                                     follow_operation, end_sessions_operation>;

enum class call_purpose { probe, change, upkeep, cleanup };

/** \brief Names a call to a member; the answer carries it back. */
struct call_id
{
    call_purpose purpose = call_purpose::probe;
    std::uint64_t series = 0;
    std::uint64_t number = 0;

    auto operator<=>(const call_id &) const = default;
};

/** \brief Action: run \a operation on a member and hand in the result as call_returned.
 *
 * No answer by \a deadline is handed in as call_failed, and the connection is closed; an answer
 * after that may still be handed in.
 */
struct call_member
{
    call_id id;
    server_id server;
    group_operation operation;
    bool freshConnection = false; ///< open a new connection, and close the kept one
    time_point deadline;

    auto operator<=>(const call_member &) const = default;
};

/** \brief Answer of fence, promote and follow. */
struct position_answer
{
    log_position position;

    auto operator<=>(const position_answer &) const = default;
};

/** \brief Answer of group_end_sessions. */
struct sessions_ended
{
    std::uint32_t count = 0;

    auto operator<=>(const sessions_ended &) const = default;
};

/** \brief The member refused (SQLSTATE 55000 or another error): nothing was changed. */
struct call_refused
{
    std::optional<term_number> term; ///< the member's own term, where it said so

    auto operator<=>(const call_refused &) const = default;
};

/** \brief No answer: the connection failed or the deadline passed; the call may have run. */
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

/** \brief Event: only time has passed. */
struct time_passed
{
    auto operator<=>(const time_passed &) const = default;
};

} // namespace sycamorespan

#endif
