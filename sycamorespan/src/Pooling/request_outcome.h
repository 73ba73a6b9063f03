#ifndef SYCAMORESPAN_POOLING_REQUEST_OUTCOME_H
#define SYCAMORESPAN_POOLING_REQUEST_OUTCOME_H

#include <compare>

namespace sycamorespan {

/** \brief What is known about a request that ended without its whole answer. */
enum class request_outcome {
    notRun, ///< it had no effect, and will have none
    unknown, ///< it may have run, or may still run
};

/** \brief How far a request came before it failed. */
enum class request_progress {
    notSent, ///< no byte of it was handed to the operating system for a backend server
    sent, ///< some bytes may have reached a backend server
    refusedByServer, ///< a server answered that it did not run it
    partlyAnswered, ///< some of the answer arrived
};

/** \returns what may be told to the caller of a failed request. */
constexpr request_outcome requestOutcome(request_progress progress)
{
    const bool hadNoEffect =
            progress == request_progress::notSent || progress == request_progress::refusedByServer;
    return hadNoEffect ? request_outcome::notRun : request_outcome::unknown;
}

} // namespace sycamorespan

#endif
