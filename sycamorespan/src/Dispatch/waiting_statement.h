#ifndef SYCAMORESPAN_DISPATCH_WAITING_STATEMENT_H
#define SYCAMORESPAN_DISPATCH_WAITING_STATEMENT_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <compare>
#include <cstdint>
#include <string>

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

    auto operator<=>(const waiting_statement &) const = default;
};

/** \brief A waiting statement that can't be answered before its deadline. */
struct queue_refusal
{
    std::uint64_t session = 0;
    duration retryAfter{}; ///< time after which the statement would be served
    std::string reason;

    auto operator<=>(const queue_refusal &) const = default;
};

} // namespace sycamorespan

#endif
