#ifndef SYCAMORESPAN_OVERLOAD_RETURN_SCHEDULE_H
#define SYCAMORESPAN_OVERLOAD_RETURN_SCHEDULE_H

#include "sycamorespan/src/Core/time_types.h"

#include <algorithm>

namespace sycamorespan {

/** \brief Gives refused callers times to return, so that they don't return together.
 *
 * The times follow one another at the rate at which callers are served. Those beyond the spread are
 * divided over its second half.
 */
class return_schedule
{
public:
    /** \param spread  greatest time between the first and the last return */
    explicit return_schedule(duration spread)
        : m_spread(spread)
    { }

    /** \returns the time after which the next caller is to return.
     * \param earliest  time after which a caller can be served
     * \param interval  time in which one caller is served
     */
    duration next(duration earliest, duration interval, time_point now)
    {
        const auto first = now + earliest;
        const auto due = m_next > first + m_spread ? first + m_spread / 2 : std::max(m_next, first);
        m_next = due + std::min(interval, m_spread);
        return due - now;
    }

private:
    duration m_spread;
    time_point m_next;
};

} // namespace sycamorespan

#endif
