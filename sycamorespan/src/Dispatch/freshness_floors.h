#ifndef SYCAMORESPAN_DISPATCH_FRESHNESS_FLOORS_H
#define SYCAMORESPAN_DISPATCH_FRESHNESS_FLOORS_H

#include "sycamorespan/src/Core/log_position.h"
#include "sycamorespan/src/Core/time_types.h"

#include <deque>
#include <optional>

namespace sycamorespan {

/** \brief A log position that includes every commit acknowledged before a point in time. */
struct freshness_floor
{
    log_position position;
    time_point coversCommitsUntil;

    auto operator<=>(const freshness_floor &) const = default;
};

/** \brief Freshness floors of one database, taken from its primary's answers and from other
 * instances.
 *
 * A position that the primary reports in the answer to a statement includes every commit
 * acknowledged before the statement was sent. A read with a staleness bound uses the oldest floor
 * within the bound, because replicas are most likely to have reached it.
 */
class freshness_floors
{
public:
    /** \brief Adds a floor. Floors of a lower term than that of the newest floor are discarded. */
    void add(const freshness_floor &floor, time_point now);

    /** \brief Removes all floors. After a change of primary, their positions may not exist any
     * more. */
    void clear() { m_floors.clear(); }

    /** \returns the oldest floor that includes all commits acknowledged before \a time; nothing if
     * there is none.
     */
    std::optional<freshness_floor> covering(time_point time) const;

    /** \returns the floor with the latest coversCommitsUntil; nothing if there is none. */
    std::optional<freshness_floor> newest() const;

private:
    std::deque<freshness_floor> m_floors; // ascending by time
};

} // namespace sycamorespan

#endif
