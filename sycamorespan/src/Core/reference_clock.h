#ifndef SYCAMORESPAN_CORE_REFERENCE_CLOCK_H
#define SYCAMORESPAN_CORE_REFERENCE_CLOCK_H

#include "sycamorespan/src/Core/time_types.h"

#include <algorithm>
#include <optional>

namespace sycamorespan {

/** \brief Reading of the reference clock, the steady clock of the platform's store that all
 * instances can query, in microseconds since an arbitrary start.
 */
using reference_time = duration;

/** \brief Bounds on the difference between the reference clock and this process's clock.
 *
 * Each answered request gives an interval, as the reference clock was read after the request was
 * sent and before its answer arrived. The intersection of these intervals is kept, and it is
 * widened over time to allow for clock drift.
 */
class reference_clock
{
public:
    /** \brief Handles one reading of the reference clock.
     * \param sent       time at which the request was sent
     * \param received   time at which its answer arrived
     * \param reference  the reading in the answer
     */
    void observe(time_point sent, time_point received, reference_time reference)
    {
        const offset_bounds observed{reference - received.time_since_epoch(),
                                     reference - sent.time_since_epoch()};
        const auto known = boundsAt(received);
        m_lastReading = received;
        if (!known) {
            m_offset = observed;
            return;
        }
        const offset_bounds intersection{std::max(known->least, observed.least),
                                         std::min(known->most, observed.most)};
        // If the intervals are disjoint, one of the two clocks was reset. The old bounds are
        // invalid.
        m_offset = intersection.least <= intersection.most ? intersection : observed;
    }

    /** \returns whether there has been a reading. */
    bool isKnown() const { return m_offset.has_value(); }

    /** \returns a lower bound on the reference clock at \a now; nothing before the first reading.
     */
    std::optional<reference_time> earliest(time_point now) const
    {
        const auto bounds = boundsAt(now);
        if (!bounds)
            return std::nullopt;
        return now.time_since_epoch() + bounds->least;
    }

    /** \returns an upper bound on the reference clock at \a now; nothing before the first reading.
     */
    std::optional<reference_time> latest(time_point now) const
    {
        const auto bounds = boundsAt(now);
        if (!bounds)
            return std::nullopt;
        return now.time_since_epoch() + bounds->most;
    }

private:
    /** Bounds on the reference clock minus the clock of this process. */
    struct offset_bounds
    {
        duration least{};
        duration most{};
    };

    /** Divisor that gives the drift allowed between two steady clocks: 1/5000 is 200 ppm, which is
     * twice what crystal oscillators are specified for.
     */
    static constexpr std::int64_t driftDivisor = 5'000;

    std::optional<offset_bounds> boundsAt(time_point now) const
    {
        if (!m_offset)
            return std::nullopt;
        const auto drift = (now - m_lastReading) / driftDivisor;
        return offset_bounds{m_offset->least - drift, m_offset->most + drift};
    }

    std::optional<offset_bounds> m_offset;
    time_point m_lastReading;
};

} // namespace sycamorespan

#endif
