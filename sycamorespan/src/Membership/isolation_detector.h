#ifndef SYCAMORESPAN_MEMBERSHIP_ISOLATION_DETECTOR_H
#define SYCAMORESPAN_MEMBERSHIP_ISOLATION_DETECTOR_H

#include "sycamorespan/src/Core/time_types.h"

#include <cstddef>
#include <optional>

namespace sycamorespan {

/** \brief Timeouts of an isolation_detector. */
struct isolation_policy
{
    /** Time for which the evidence must last. A process that stood still gets reports again within
     * an interval of reports.
     */
    duration confirmationTime = 250ms;
    /** Time without an answer after which the store is evidence that the network is cut. */
    duration storeTimeout = 700ms;

    auto operator<=>(const isolation_policy &) const = default;
};

/** \brief What an instance observes of the other data centres at one moment. */
struct isolation_evidence
{
    /** Whether another data centre was heard recently; nothing if none is known. */
    std::optional<bool> hearsOtherDataCentres;
    /** Whether a relay of the own data centre, other than this instance, was heard recently. */
    bool hearsOwnDataCentre = false;
    std::optional<duration> storeUnansweredFor; ///< while a call is pending
    bool isMemberElsewhereUnreachable = false;

    auto operator<=>(const isolation_evidence &) const = default;
};

/** \brief Decides whether the data centre of this instance is isolated from all others.
 *
 * All instances of the data centre must decide so at about the same time: as long as some of them
 * take callers, the platform sends them all.
 *
 * Load pattern: a data centre is cut off under full load, and its callers have to go elsewhere.
 */
class isolation_detector
{
public:
    explicit isolation_detector(const isolation_policy &policy)
        : m_policy(policy)
    { }

    /** \returns whether this instance is isolated. Must be called at least every 100 ms. */
    bool update(const isolation_evidence &evidence, time_point now);

private:
    isolation_policy m_policy;
    std::optional<time_point> m_since;
    time_point m_lastUpdate;
};

} // namespace sycamorespan

#endif
