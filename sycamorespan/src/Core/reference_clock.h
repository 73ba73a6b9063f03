#ifndef SYCAMORESPAN_CORE_REFERENCE_CLOCK_H
#define SYCAMORESPAN_CORE_REFERENCE_CLOCK_H

#include "sycamorespan/src/Core/time_types.h"

#include <algorithm>
#include <optional>

namespace sycamorespan {

/** \brief A reading of the steady clock that all instances can ask: the one of the platform's
 * store, in microseconds since an arbitrary start.
 */
using reference_time = duration;

/** \brief Bounds on the difference between the reference clock and this process's clock.
 *
 * Each answered request gives an interval: the reference clock was read after the request was sent
 * and before its answer arrived. The intersection is kept and widened with time, for drift.
 */
class reference_clock
{
public:
    /** \brief Takes one reading.
     * \param sent       when the request was sent
     * \param received   when its answer arrived
     * \param reference  the reading in the answer
     */
    void observe(time_point sent, time_point received, reference_time reference)
    {
        const offset_bounds seen{reference - received.time_since_epoch(),
                                 reference - sent.time_since_epoch()};
        const auto known = boundsAt(received);
        m_taken = received;
        if (!known) {
            m_bounds = seen;
            return;
        }
        const offset_bounds both{std::max(known->least, seen.least),
                                 std::min(known->most, seen.most)};
        // Disjoint intervals: one of the two clocks was set anew.
        m_bounds = both.least <= both.most ? both : seen;
    }

    bool isKnown() const { return m_bounds.has_value(); }

    /** \returns a reading that the reference clock has certainly reached at \a now. */
    std::optional<reference_time> earliest(time_point now) const
    {
        const auto bounds = boundsAt(now);
        if (!bounds)
            return std::nullopt;
        return now.time_since_epoch() + bounds->least;
    }

    /** \returns a reading that the reference clock has certainly not passed at \a now. */
    std::optional<reference_time> latest(time_point now) const
    {
        const auto bounds = boundsAt(now);
        if (!bounds)
            return std::nullopt;
        return now.time_since_epoch() + bounds->most;
    }

private:
    /** Of the offset: reference clock less own clock. */
    struct offset_bounds
    {
        duration least{};
        duration most{};
    };

    /** Drift allowed between two steady clocks, as a divisor: 1/5000 is 200 ppm, twice what
     * crystal oscillators are specified for.
     */
    static constexpr std::int64_t driftDivisor = 5'000;

    std::optional<offset_bounds> boundsAt(time_point now) const
    {
        if (!m_bounds)
            return std::nullopt;
        const auto drift = (now - m_taken) / driftDivisor;
        return offset_bounds{m_bounds->least - drift, m_bounds->most + drift};
    }

    std::optional<offset_bounds> m_bounds;
    time_point m_taken;
};

} // namespace sycamorespan

#endif
