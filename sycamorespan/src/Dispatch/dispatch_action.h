#ifndef SYCAMORESPAN_DISPATCH_DISPATCH_ACTION_H
#define SYCAMORESPAN_DISPATCH_DISPATCH_ACTION_H

#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Dispatch/statement.h"
#include "sycamorespan/src/Pooling/slot_action.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Number of a caller's session, unique in its process. */
using session_number = std::uint64_t;

/** \brief What the owner of a dispatcher is to do. */
namespace dispatch_action {

/** \brief Answer the oldest unanswered message of a caller; its connection attempt counts. */
struct reply_to_caller
{
    session_number session = 0;
    statement_answer answer;

    bool operator==(const reply_to_caller &) const = default;
};

/** \brief The session was accepted. */
struct accept_caller
{
    session_number session = 0;

    auto operator<=>(const accept_caller &) const = default;
};

/** \brief The session was refused; close it after the error. */
struct reject_caller
{
    session_number session = 0;
    rejected error;

    auto operator<=>(const reject_caller &) const = default;
};

/** \brief Close the caller's connection once everything is written. */
struct close_caller
{
    session_number session = 0;

    auto operator<=>(const close_caller &) const = default;
};

/** \brief Open a connection; report opened() or closed(). */
struct open_member
{
    connection_id connection = 0;
    server_id server;
    database_id database;
    std::string address;
    workspace_id workspace;

    auto operator<=>(const open_member &) const = default;
};

/** \brief Send statements together; each gets one answer, in order. */
struct send_to_member
{
    connection_id connection = 0;
    std::vector<outgoing_statement> statements;

    bool operator==(const send_to_member &) const = default;
};

/** \brief Close without waiting; no event of the connection is expected any more. */
struct close_member
{
    connection_id connection = 0;

    auto operator<=>(const close_member &) const = default;
};

/** \brief Ask for one operation of a workspace's rate; report admitted() or throttled(). */
struct request_admission
{
    session_number session = 0;
    workspace_id workspace;

    auto operator<=>(const request_admission &) const = default;
};

/** \brief An admitted operation was sent to a member, or certainly was not. */
struct settle_admission
{
    session_number session = 0;
    workspace_id workspace;
    bool ran = false;

    auto operator<=>(const settle_admission &) const = default;
};

/** \brief An admission that was asked for is needed no more. */
struct cancel_admission
{
    session_number session = 0;
    workspace_id workspace;

    auto operator<=>(const cancel_admission &) const = default;
};

/** \brief How a statement ended, for logs and metrics. */
struct record_outcome
{
    session_number session = 0;
    std::string request;
    std::string route;
    database_id database;
    workspace_id workspace;
    std::string outcome; ///< "completed", or the error's name
    std::string cause; ///< why it was refused or failed; empty after a success
    server_id server; ///< that answered last, if any
    duration latency{};
    duration queued{};
    int attempts = 0;
    bool late = false; ///< answered after the route's latency objective
    std::vector<std::pair<std::string, std::string>> inputs; ///< what decided it, with ages

    bool operator==(const record_outcome &) const = default;
};

/** \brief A step of a request that went on, such as a retry. */
struct record_step
{
    std::string request;
    std::string step;
    std::vector<std::pair<std::string, std::string>> inputs;

    bool operator==(const record_step &) const = default;
};

} // namespace dispatch_action

using dispatch_output =
        std::variant<dispatch_action::reply_to_caller, dispatch_action::accept_caller,
                     dispatch_action::reject_caller, dispatch_action::close_caller,
                     dispatch_action::open_member, dispatch_action::send_to_member,
                     dispatch_action::close_member, dispatch_action::request_admission,
                     dispatch_action::settle_admission, dispatch_action::cancel_admission,
                     dispatch_action::record_outcome, dispatch_action::record_step>;

using dispatch_outputs = std::vector<dispatch_output>;

} // namespace sycamorespan

#endif
