#ifndef SYCAMORESPAN_OVERLOAD_RETRY_BUDGET_H
#define SYCAMORESPAN_OVERLOAD_RETRY_BUDGET_H

#include <algorithm>

namespace sycamorespan {

/** \brief Settings of a retry_budget. */
struct retry_budget_policy
{
    double retriesPerRequest = 0.1; ///< retries that each first attempt allows
    double maxBalance = 10; ///< greatest number of retries that can be accumulated

    auto operator<=>(const retry_budget_policy &) const = default;
};

/** \brief Limits retries to a fraction of the requests, so that they can't amplify an overload. */
class retry_budget
{
public:
    explicit retry_budget(retry_budget_policy policy)
        : m_policy(policy)
        , m_balance(policy.maxBalance)
    { }

    /** \brief Counts the first attempt of a request, which adds to the budget. */
    void onRequest()
    {
        m_balance = std::min(m_balance + m_policy.retriesPerRequest, m_policy.maxBalance);
    }

    /** \returns whether a retry is left. */
    bool hasRetry() const { return m_balance >= 1; }

    /** \brief Takes a retry from the budget if one is left. \returns whether it did */
    bool trySpend()
    {
        if (!hasRetry())
            return false;
        m_balance -= 1;
        return true;
    }

private:
    retry_budget_policy m_policy;
    double m_balance;
};

} // namespace sycamorespan

#endif
