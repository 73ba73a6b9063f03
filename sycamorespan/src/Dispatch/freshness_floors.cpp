#include "sycamorespan/src/Dispatch/freshness_floors.h"

#include <algorithm>

namespace sycamorespan {

namespace {

/** Time for which floors are kept. It is longer than any staleness bound in use, so that no read
 * needs an older floor.
 */
constexpr duration retentionTime = 10s;

/** Minimum distance between two floors. Closer floors would not change the choice of a replica.
 * It bounds the number of floors to retentionTime / minimumSpacing.
 */
constexpr duration minimumSpacing = 20ms;

} // namespace

void freshness_floors::add(const freshness_floor &floor, time_point now)
{
    if (!m_floors.empty()) {
        const auto newestTerm = m_floors.back().position.term;
        if (floor.position.term < newestTerm)
            return;
        if (floor.position.term > newestTerm)
            m_floors.clear();
    }
    while (!m_floors.empty() && m_floors.front().coversCommitsUntil < now - retentionTime)
        m_floors.pop_front();
    const auto next = std::ranges::upper_bound(m_floors, floor.coversCommitsUntil, {},
                                               &freshness_floor::coversCommitsUntil);
    const bool isNewest = next == m_floors.end();
    if (!isNewest && next->coversCommitsUntil - floor.coversCommitsUntil < minimumSpacing)
        return;
    if (next != m_floors.begin() && std::prev(next) != m_floors.begin() && isNewest
        && floor.coversCommitsUntil - std::prev(next, 2)->coversCommitsUntil < minimumSpacing) {
        m_floors.back() = floor;
        return;
    }
    m_floors.insert(next, floor);
}

std::optional<freshness_floor> freshness_floors::covering(time_point time) const
{
    const auto found =
            std::ranges::lower_bound(m_floors, time, {}, &freshness_floor::coversCommitsUntil);
    if (found == m_floors.end())
        return std::nullopt;
    return *found;
}

std::optional<freshness_floor> freshness_floors::newest() const
{
    if (m_floors.empty())
        return std::nullopt;
    return m_floors.back();
}

} // namespace sycamorespan
