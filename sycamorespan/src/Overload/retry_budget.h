#ifndef SYCAMORESPAN_OVERLOAD_RETRY_BUDGET_H
#define SYCAMORESPAN_OVERLOAD_RETRY_BUDGET_H

#include <algorithm>

namespace sycamorespan {

/** \brief How many retries are allowed for the requests that came. */
struct retry_budget_policy
{
    double retriesPerRequest = 0.1;
    double largestBalance = 10; ///< retries that may follow each other after a calm time

    auto operator<=>(const retry_budget_policy &) const = default;
};

/** \brief Bounds retries to a share of the requests, so that they can't multiply an overload. */
class retry_budget
{
public:
    explicit retry_budget(retry_budget_policy policy)
        : m_policy(policy)
        , m_balance(policy.largestBalance)
    { }

    /** \brief Counts a first try. */
    void onRequest()
    {
        m_balance = std::min(m_balance + m_policy.retriesPerRequest, m_policy.largestBalance);
    }

    /** \returns whether a retry is allowed; it is then spent. */
    bool trySpend()
    {
        if (m_balance < 1)
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
