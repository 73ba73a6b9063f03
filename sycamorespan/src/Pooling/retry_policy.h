#ifndef SYCAMORESPAN_POOLING_RETRY_POLICY_H
#define SYCAMORESPAN_POOLING_RETRY_POLICY_H

#include <variant>

#include "sycamorespan/src/Overload/backoff.h"
#include "sycamorespan/src/Overload/retry_budget.h"
#include "sycamorespan/src/Pooling/request_outcome.h"

namespace sycamorespan {

/** \brief A request that ended without a complete answer. */
struct failed_request
{
    request_progress progress = request_progress::sent;
    bool readOnly = false; ///< its classification proves that it doesn't write
    bool inTransaction = false; ///< earlier statements of its transaction can't be repeated
    bool answerForwarded = false; ///< some of the answer reached the caller
    time_point deadline = {};

    auto operator<=>(const failed_request &) const = default;
};

/** \brief Retry the request at \a at. */
struct retry_request
{
    time_point at;
    auto operator<=>(const retry_request &) const = default;
};

/** \brief Report the failure to the caller; an unknown outcome has SQLSTATE 08007. */
struct fail_request
{
    request_outcome outcome = request_outcome::unknown;
    auto operator<=>(const fail_request &) const = default;
};

using retry_decision = std::variant<retry_request, fail_request>;

/** \brief Decides whether a failed request is retried.
 *
 * A write is retried only if it did not run, so that it runs at most once. All retries share one
 * budget and are delayed by a backoff with jitter.
 */
class retry_policy
{
public:
    retry_policy(retry_budget_policy budget, backoff_policy backoffPolicy, random_source random);

    /** \brief Counts the first attempt of a request, which adds to the retry budget. */
    void onRequest();

    /** \param attempts  failed attempts of this request, at least 1 */
    retry_decision onFailure(const failed_request &request, int attempts, time_point now);

private:
    retry_budget m_budget;
    backoff_policy m_backoffPolicy;
    random_source m_random;
};

} // namespace sycamorespan

#endif
