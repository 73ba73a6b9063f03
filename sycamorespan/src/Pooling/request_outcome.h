#ifndef SYCAMORESPAN_POOLING_REQUEST_OUTCOME_H
#define SYCAMORESPAN_POOLING_REQUEST_OUTCOME_H

#include <compare>

namespace sycamorespan {

/** \brief Known outcome of a request that ended without a complete answer. */
enum class request_outcome {
    notRun, ///< it had no effect and will have none
    unknown, ///< it may have run, or may still run
};

/** \brief Stage that a request had reached when it failed. */
enum class request_progress {
    notSent, ///< no byte of it was passed to the operating system for sending to a backend server
    sent, ///< some bytes may have reached a backend server
    refusedByServer, ///< a backend server answered that it did not run the request
    partlyAnswered, ///< some of the answer arrived
};

/** \returns the outcome to report to the caller of a failed request. */
constexpr request_outcome requestOutcome(request_progress progress)
{
    const bool hadNoEffect =
            progress == request_progress::notSent || progress == request_progress::refusedByServer;
    return hadNoEffect ? request_outcome::notRun : request_outcome::unknown;
}

} // namespace sycamorespan

#endif
