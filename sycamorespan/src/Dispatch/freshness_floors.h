#ifndef SYCAMORESPAN_DISPATCH_FRESHNESS_FLOORS_H
#define SYCAMORESPAN_DISPATCH_FRESHNESS_FLOORS_H

#include "sycamorespan/src/Core/log_position.h"
#include "sycamorespan/src/Core/time_types.h"

#include <deque>
#include <optional>

namespace sycamorespan {

/** \brief A log position that covers every commit acknowledged before a time. */
struct freshness_floor
{
    log_position position;
    time_point coversUntil;

    auto operator<=>(const freshness_floor &) const = default;
};

/** \brief Floors of one database, learnt from its primary's answers and from other instances.
 *
 * A position that the primary reports in the answer to a statement covers all that was
 * acknowledged before the statement was sent. A read that may be stale by a bound needs the oldest
 * floor inside the bound: replicas are the most likely to have it.
 */
class freshness_floors
{
public:
    /** \brief Adds a floor. Floors of an older term than the newest one's are dropped. */
    void add(const freshness_floor &floor, time_point now);

    /** \brief Forgets all: after a change of primary their positions may not exist any more. */
    void clear() { m_floors.clear(); }

    /** \returns the oldest floor that covers all commits acknowledged until \a time; nothing if
     * none does.
     */
    std::optional<freshness_floor> covering(time_point time) const;

    std::optional<freshness_floor> newest() const;

private:
    std::deque<freshness_floor> m_floors; // ascending by time
};

} // namespace sycamorespan

#endif
