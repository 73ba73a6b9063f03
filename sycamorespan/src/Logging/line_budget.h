#ifndef SYCAMORESPAN_LOGGING_LINE_BUDGET_H
#define SYCAMORESPAN_LOGGING_LINE_BUDGET_H

#include "sycamorespan/src/Core/time_types.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace sycamorespan {

/** \brief Importance of a log line, ascending. The least important lines are dropped first. */
enum class line_importance {
    routine, ///< a request that succeeded
    failure, ///< a request that was refused, repeated, interrupted or late
    state, ///< a change of the state known to the process, such as the primary view
};

/** \brief Rate limit of log lines. */
struct line_budget_policy
{
    double linesPerSecond = 150; ///< uses 3% of a quarter core at 50 microseconds a line
    double burst = 300; ///< number of lines that may be written at once
    /** Tokens that only failures and state changes may use. */
    double reservedForFailures = 150;
    /** Tokens that only state changes may use. */
    double reservedForState = 50;

    auto operator<=>(const line_budget_policy &) const = default;
};

/** \brief Token bucket that limits log lines and reserves its last tokens for important lines. */
class line_budget
{
public:
    explicit line_budget(const line_budget_policy &policy)
        : m_policy(policy)
        , m_tokens(policy.burst)
    { }

    /** \returns whether a line may be written. If not, the line is counted as dropped. */
    bool take(line_importance importance, time_point now)
    {
        const double earned = toSeconds(now - m_lastRefill) * m_policy.linesPerSecond;
        m_tokens = std::min(m_tokens + std::max(earned, 0.0), m_policy.burst);
        m_lastRefill = now;
        if (m_tokens < 1 + reservedTokens(importance)) {
            ++m_dropped;
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /** \brief Counts a line that was dropped for a reason other than the rate limit. */
    void countDropped() { ++m_dropped; }

    std::uint64_t dropped() const { return m_dropped; }

private:
    double reservedTokens(line_importance importance) const
    {
        switch (importance) {
        case line_importance::routine:
            return m_policy.reservedForFailures;
        case line_importance::failure:
            return m_policy.reservedForState;
        case line_importance::state:
            return 0;
        }
        return 0;
    }

    line_budget_policy m_policy;
    double m_tokens;
    time_point m_lastRefill;
    std::uint64_t m_dropped = 0;
};

} // namespace sycamorespan

#endif
