#ifndef SYCAMORESPAN_POOLING_SLOT_ACTION_H
#define SYCAMORESPAN_POOLING_SLOT_ACTION_H

#include <cstdint>
#include <variant>

#include "sycamorespan/src/Pooling/fair_queue.h"

namespace sycamorespan {

/** \brief Number of a connection to a backend server, unique in its instance, never used again. */
using connection_id = std::uint64_t;

/** \brief Open a connection, then call onOpened() or onOpenFailed(). */
struct open_connection
{
    connection_id connection = 0;
    auto operator<=>(const open_connection &) const = default;
};

/** \brief Give the connection to the request until onReleased(). */
struct run_on_connection
{
    connection_id connection = 0;
    request_id request = 0;
    auto operator<=>(const run_on_connection &) const = default;
};

/** \brief Bring the session back to its defaults (DISCARD ALL), then call onReset(). */
struct reset_connection
{
    connection_id connection = 0;
    auto operator<=>(const reset_connection &) const = default;
};

/** \brief Send an empty query, then call onPong(). */
struct ping_connection
{
    connection_id connection = 0;
    auto operator<=>(const ping_connection &) const = default;
};

/** \brief Close the connection without waiting for it. */
struct close_connection
{
    connection_id connection = 0;
    auto operator<=>(const close_connection &) const = default;
};

/** \brief Why a request got no slot. */
enum class slot_refusal {
    queueFull, ///< the workspace has too many waiting requests
    deadline, ///< it can't be answered in time
    memberUnreachable, ///< no connection to the member, and a new one failed
    closing, ///< the member or the instance takes no new work
};

/** \brief The request got no slot, and did not run. */
struct refuse_request
{
    request_id request = 0;
    slot_refusal reason = slot_refusal::queueFull;
    auto operator<=>(const refuse_request &) const = default;
};

/** \brief The request held a connection that gave no answer in time; the connection is closed.
 * \sa requestOutcome()
 */
struct abandon_request
{
    request_id request = 0;
    auto operator<=>(const abandon_request &) const = default;
};

/** \brief What the owner of a slot_scheduler is to do. */
using slot_action =
        std::variant<open_connection, run_on_connection, reset_connection, ping_connection,
                     close_connection, refuse_request, abandon_request>;

} // namespace sycamorespan

#endif
