#ifndef SYCAMORESPAN_DISPATCH_DISPATCH_ACTION_H
#define SYCAMORESPAN_DISPATCH_DISPATCH_ACTION_H

#include "sycamorespan/src/Brokerage/brokered_statement.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Dispatch/statement.h"
#include "sycamorespan/src/Dispatch/waiting_statement.h"
#include "sycamorespan/src/Pooling/slot_action.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Number of a caller's session, unique in its process. */
using session_number = std::uint64_t;

/** \brief Actions that the owner of a dispatcher carries out. */
namespace dispatch_action {

/** \brief Answers the oldest unanswered message of a caller. The message that opens the session
 * counts as one. */
struct reply_to_caller
{
    session_number session = 0;
    statement_answer answer;

    bool operator==(const reply_to_caller &) const = default;
};

/** \brief Tells the caller that the session is accepted. */
struct accept_caller
{
    session_number session = 0;

    auto operator<=>(const accept_caller &) const = default;
};

/** \brief Tells the caller that the session is rejected, and closes the connection after the error.
 */
struct reject_caller
{
    session_number session = 0;
    rejected error;

    auto operator<=>(const reject_caller &) const = default;
};

/** \brief Closes the caller's connection after all pending output is written. */
struct close_caller
{
    session_number session = 0;

    auto operator<=>(const close_caller &) const = default;
};

/** \brief Opens a connection to a member; the owner reports opened() or closed(). */
struct open_member
{
    connection_id connection = 0;
    server_id server;
    database_id database;
    std::string address;
    workspace_id workspace;

    auto operator<=>(const open_member &) const = default;
};

/** \brief Sends statements in one write; the member gives one answer to each, in order. */
struct send_to_member
{
    connection_id connection = 0;
    std::vector<outgoing_statement> statements;

    bool operator==(const send_to_member &) const = default;
};

/** \brief Closes a connection at once; the owner reports no further event of it. */
struct close_member
{
    connection_id connection = 0;

    auto operator<=>(const close_member &) const = default;
};

/** \brief Requests one operation from a workspace's rate; the owner reports admitted() or
 * throttled(). */
struct request_admission
{
    session_number session = 0;
    workspace_id workspace;

    auto operator<=>(const request_admission &) const = default;
};

/** \brief Reports whether an admitted operation was sent to a member. */
struct settle_admission
{
    session_number session = 0;
    workspace_id workspace;
    bool wasSent = false; ///< false only if it certainly was not sent

    auto operator<=>(const settle_admission &) const = default;
};

/** \brief Cancels a pending request for admission. */
struct cancel_admission
{
    session_number session = 0;
    workspace_id workspace;

    auto operator<=>(const cancel_admission &) const = default;
};

/** \brief Hands a statement over to the broker of its database. The owner reports brokerAnswered()
 * or brokerLost().
 */
struct hand_over
{
    instance_id broker;
    brokered_statement statement;

    bool operator==(const hand_over &) const = default;
};

/** \brief Ends an operation at a broker, which answers no more of it. */
struct end_hand_over
{
    instance_id broker;
    brokered_end end;

    auto operator<=>(const end_hand_over &) const = default;
};

/** \brief Answers a statement that another instance has handed over. */
struct answer_hand_over
{
    session_number session = 0; ///< that the owner gave with handedOver()
    brokered_answer answer;

    bool operator==(const answer_hand_over &) const = default;
};

/** \brief Reports how a statement ended, for logs and metrics. */
struct record_outcome
{
    session_number session = 0;
    std::string request;
    std::string route;
    database_id database;
    workspace_id workspace;
    std::string outcome; ///< "completed", or the error's name
    std::string cause; ///< reason of the rejection or failure; empty after success
    server_id server; ///< member of the last attempt, if any
    instance_id broker; ///< broker of the last attempt, if it was handed over
    instance_id servedFor; ///< instance that handed the statement over, if any
    duration latency{};
    duration queued{};
    int attempts = 0;
    bool late = false; ///< it ended after the route's latency objective
    int priority = 0; ///< of the route
    refusal_cause refusal = refusal_cause::none;
    std::vector<std::pair<std::string, std::string>>
            inputs; ///< values used for the decision, with their ages

    bool operator==(const record_outcome &) const = default;
};

/** \brief Reports an intermediate step of a request, such as a retry. */
struct record_step
{
    std::string request;
    std::string step;
    std::vector<std::pair<std::string, std::string>> inputs;

    bool operator==(const record_step &) const = default;
};

/** \brief Reports the work of a workspace that ended because keys were withdrawn from it. */
struct record_withdrawal
{
    workspace_id workspace;
    std::size_t transactions = 0; ///< that were rolled back between two statements
    std::size_t statements = 0; ///< that were rejected while they waited

    auto operator<=>(const record_withdrawal &) const = default;
};

} // namespace dispatch_action

using dispatch_output =
        std::variant<dispatch_action::reply_to_caller, dispatch_action::accept_caller,
                     dispatch_action::reject_caller, dispatch_action::close_caller,
                     dispatch_action::open_member, dispatch_action::send_to_member,
                     dispatch_action::close_member, dispatch_action::request_admission,
                     dispatch_action::settle_admission, dispatch_action::cancel_admission,
                     dispatch_action::hand_over, dispatch_action::end_hand_over,
                     dispatch_action::answer_hand_over, dispatch_action::record_outcome,
                     dispatch_action::record_step, dispatch_action::record_withdrawal>;

using dispatch_outputs = std::vector<dispatch_output>;

} // namespace sycamorespan

#endif
