#ifndef SYCAMORESPAN_POOLING_RETRY_POLICY_H
#define SYCAMORESPAN_POOLING_RETRY_POLICY_H

#include <variant>

#include "sycamorespan/src/Overload/backoff.h"
#include "sycamorespan/src/Overload/retry_budget.h"
#include "sycamorespan/src/Pooling/request_outcome.h"

namespace sycamorespan {

/** \brief A request that ended without its whole answer. */
struct failed_request
{
    request_progress progress = request_progress::sent;
    bool readOnly = false; ///< proven by its classification
    bool inTransaction = false; ///< of the caller: earlier statements can't be repeated
    bool answerForwarded = false; ///< some of the answer reached the caller
    time_point deadline = {};

    auto operator<=>(const failed_request &) const = default;
};

/** \brief Send the request again at \a at. */
struct retry_request
{
    time_point at;
    auto operator<=>(const retry_request &) const = default;
};

/** \brief Tell the caller; unknown is SQLSTATE 08007. */
struct fail_request
{
    request_outcome outcome = request_outcome::unknown;
    auto operator<=>(const fail_request &) const = default;
};

using retry_decision = std::variant<retry_request, fail_request>;

/** \brief Decides whether a failed request is sent again.
 *
 * A write is repeated only if it did not run, so that it runs at most once. All retries come out
 * of one budget and are spread by a backoff with jitter.
 */
class retry_policy
{
public:
    retry_policy(retry_budget_policy budget, backoff_policy delays, random_source random);

    /** \brief Counts a first try. */
    void onRequest();

    /** \param attempts  tries of this request that failed, at least 1 */
    retry_decision onFailure(const failed_request &request, int attempts, time_point now);

private:
    retry_budget m_budget;
    backoff_policy m_delays;
    random_source m_random;
};

} // namespace sycamorespan

#endif
