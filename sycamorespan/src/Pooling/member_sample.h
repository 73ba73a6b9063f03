#ifndef SYCAMORESPAN_POOLING_MEMBER_SAMPLE_H
#define SYCAMORESPAN_POOLING_MEMBER_SAMPLE_H

#include "sycamorespan/src/Core/time_types.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sycamorespan {

/** \brief How a statement at a member ended, as its limit sees it. */
enum class member_outcome {
    answered, ///< it succeeded, or failed for a reason of its own
    refused, ///< the member had no free slot
    failed, ///< the member failed it, or gave no answer in the usual time
};

/** \brief One finished statement at a member. */
struct member_sample
{
    member_outcome outcome = member_outcome::answered;
    /** Time from sending to the answer, divided by the usual time of its kind of statement; nothing
     * if it depends on more than the member.
     */
    std::optional<double> relativeTime = 1;
    std::size_t inFlight = 0; ///< statements at the member when it was sent, itself included

    auto operator<=>(const member_sample &) const = default;
};

/** \brief How much a member takes well, as one instance has found or heard. */
struct member_capacity
{
    double limit = 0; ///< statements in flight, over all instances
    double slowness = 1; ///< times of statements, relative to the other members of the database
    std::uint64_t samples = 0; ///< statements on which the estimate rests

    auto operator<=>(const member_capacity &) const = default;
};

} // namespace sycamorespan

#endif
