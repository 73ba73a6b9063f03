#ifndef SYCAMORESPAN_POOLING_SLOT_ACTION_H
#define SYCAMORESPAN_POOLING_SLOT_ACTION_H

#include <cstdint>
#include <variant>

#include "sycamorespan/src/Pooling/fair_queue.h"

namespace sycamorespan {

/** \brief Identifies a connection to a backend server; unique within its instance, never reused. */
using connection_id = std::uint64_t;

/** \brief Open a connection, then call onOpened() or onOpenFailed(). */
struct open_connection
{
    connection_id connection = 0;
    auto operator<=>(const open_connection &) const = default;
};

/** \brief Assign the connection to the request until onReleased(). */
struct run_on_connection
{
    connection_id connection = 0;
    request_id request = 0;
    auto operator<=>(const run_on_connection &) const = default;
};

/** \brief Reset the session to its defaults (DISCARD ALL), then call onReset(). */
struct reset_connection
{
    connection_id connection = 0;
    auto operator<=>(const reset_connection &) const = default;
};

/** \brief Send an empty query; call onPong() when it is answered. */
struct ping_connection
{
    connection_id connection = 0;
    auto operator<=>(const ping_connection &) const = default;
};

/** \brief Close the connection; the scheduler doesn't wait for the end of the close. */
struct close_connection
{
    connection_id connection = 0;
    auto operator<=>(const close_connection &) const = default;
};

/** \brief Reason for which a request got no slot. */
enum class slot_refusal {
    queueFull, ///< too many requests wait
    deadline, ///< the request can't be answered before its deadline
    memberUnreachable, ///< no connection to the member is open, and opening one failed
    closing, ///< the scheduler drains and accepts no requests
};

/** \brief Refuse the request, which got no slot and did not run. */
struct refuse_request
{
    request_id request = 0;
    slot_refusal reason = slot_refusal::queueFull;
    auto operator<=>(const refuse_request &) const = default;
};

/** \brief Fail the request: its connection broke, or it was not released in time and is closed.
 * \sa requestOutcome()
 */
struct abandon_request
{
    request_id request = 0;
    auto operator<=>(const abandon_request &) const = default;
};

/** \brief An action that the owner of a slot_scheduler carries out. */
using slot_action =
        std::variant<open_connection, run_on_connection, reset_connection, ping_connection,
                     close_connection, refuse_request, abandon_request>;

} // namespace sycamorespan

#endif
