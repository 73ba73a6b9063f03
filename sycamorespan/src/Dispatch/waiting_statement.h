#ifndef SYCAMORESPAN_DISPATCH_WAITING_STATEMENT_H
#define SYCAMORESPAN_DISPATCH_WAITING_STATEMENT_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorespan {

/** \brief What the order of a database's queue depends on, for one waiting statement. */
struct waiting_statement
{
    std::uint64_t session = 0; ///< session that the statement belongs to
    workspace_id workspace;
    int priority = 0; ///< of the route; 0 is served first
    time_point arrivedAt;
    time_point latencyDeadline; ///< end of the route's latency objective
    time_point deadline; ///< at which the statement is rejected
    duration expectedTime{}; ///< time for which it likely holds a slot
    double share = 1; ///< part of the slot time that the workspace may use, relative to the mean
    bool isRepeat = false; ///< an earlier attempt was served, so that its slot time is charged

    auto operator<=>(const waiting_statement &) const = default;
};

/** \brief Why a statement was refused, for metrics. */
enum class refusal_cause {
    none, ///< it was not refused, or for a reason of its own
    rate, ///< the workspace is over its rate
    backlog, ///< the queue is longer than the time left
    queueFull, ///< too many statements wait
    noPrimary, ///< no primary is known, or it changes
    deadline, ///< no member took it in its time
    repeats, ///< the attempts failed and no further one is allowed
    shutdown, ///< the instance is shutting down
    notAllowed, ///< evacuation, homes or a warm-up rate leave no member
};

/** \returns the name of \a cause in metrics, such as "queue_full". */
std::string_view nameOf(refusal_cause cause);

/** \brief A waiting statement that can't be answered before its deadline. */
struct queue_refusal
{
    std::uint64_t session = 0;
    refusal_cause cause = refusal_cause::none;
    duration retryAfter{}; ///< time after which the statement would be served; 0 if not known
    std::string reason;

    auto operator<=>(const queue_refusal &) const = default;
};

} // namespace sycamorespan

#endif
