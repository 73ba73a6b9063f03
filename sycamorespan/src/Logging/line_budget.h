#ifndef SYCAMORESPAN_LOGGING_LINE_BUDGET_H
#define SYCAMORESPAN_LOGGING_LINE_BUDGET_H

#include "sycamorespan/src/Core/time_types.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace sycamorespan {

/** \brief Which lines go first when there are too many: routine ones, then failures. */
enum class line_importance {
    routine, ///< a request that went well
    failure, ///< a request that was refused, repeated, cut or late
    state, ///< a change of what the process believes
};

/** \brief How many lines may be written. */
struct line_budget_policy
{
    double linesPerSecond = 150; ///< 3% of a quarter core at 50 microseconds a line
    double burst = 300;
    /** Lines that only failures and state changes may use, and only state changes. */
    double keptForFailures = 150;
    double keptForState = 50;

    auto operator<=>(const line_budget_policy &) const = default;
};

/** \brief Token bucket of log lines in which the last tokens are kept for what matters most. */
class line_budget
{
public:
    explicit line_budget(const line_budget_policy &policy)
        : m_policy(policy)
        , m_level(policy.burst)
    { }

    /** \returns whether a line may be written; otherwise it is counted as dropped. */
    bool take(line_importance importance, time_point now)
    {
        const double earned = toSeconds(now - m_refilled) * m_policy.linesPerSecond;
        m_level = std::min(m_level + std::max(earned, 0.0), m_policy.burst);
        m_refilled = now;
        if (m_level < 1 + keptFrom(importance)) {
            ++m_dropped;
            return false;
        }
        m_level -= 1;
        return true;
    }

    /** \brief Counts a line that could not be written for another reason. */
    void countDropped() { ++m_dropped; }

    std::uint64_t dropped() const { return m_dropped; }

private:
    double keptFrom(line_importance importance) const
    {
        switch (importance) {
        case line_importance::routine:
            return m_policy.keptForFailures;
        case line_importance::failure:
            return m_policy.keptForState;
        case line_importance::state:
            return 0;
        }
        return 0;
    }

    line_budget_policy m_policy;
    double m_level;
    time_point m_refilled;
    std::uint64_t m_dropped = 0;
};

} // namespace sycamorespan

#endif
