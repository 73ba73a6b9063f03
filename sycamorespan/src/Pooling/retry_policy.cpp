#include "sycamorespan/src/Pooling/retry_policy.h"

#include <utility>

namespace sycamorespan {
namespace {

bool isSafeToRetry(const failed_request &request)
{
    if (request.inTransaction || request.answerForwarded)
        return false;
    return request.readOnly || requestOutcome(request.progress) == request_outcome::notRun;
}

} // namespace

retry_policy::retry_policy(retry_budget_policy budget, backoff_policy backoffPolicy,
                           random_source random)
    : m_budget(budget)
    , m_backoffPolicy(backoffPolicy)
    , m_random(std::move(random))
{ }

void retry_policy::onRequest()
{
    m_budget.onRequest();
}

retry_decision retry_policy::onFailure(const failed_request &request, int attempts, time_point now)
{
    const fail_request failure{requestOutcome(request.progress)};
    if (!isSafeToRetry(request))
        return failure;
    backoff delays(m_backoffPolicy, m_random);
    duration delay = delays.next();
    for (int attempt = 1; attempt < attempts; ++attempt)
        delay = delays.next();
    if (now + delay >= request.deadline || !m_budget.trySpend())
        return failure;
    return retry_request{now + delay};
}

} // namespace sycamorespan
