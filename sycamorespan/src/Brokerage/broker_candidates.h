#ifndef SYCAMORESPAN_BROKERAGE_BROKER_CANDIDATES_H
#define SYCAMORESPAN_BROKERAGE_BROKER_CANDIDATES_H

#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Membership/instance_incarnation.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sycamorespan {

/** \brief Timeouts of the choice among candidates. */
struct candidate_policy
{
    /** Time for which an instance must be live before it is preferred as a broker. A restarted one
     * does not take work back before its views and connections are ready.
     */
    duration settlingTime = 2s;
    /** Time after the first candidates in which others count as having been live as long, because
     * this instance has just started and learns of the others.
     */
    duration discoveryPeriod = 1s;
    /** Time for which an instance is not chosen after its link was lost. It doubles with each loss
     * that follows within maximumPause.
     */
    duration firstPause = 1s;
    duration maximumPause = 8s;

    auto operator<=>(const candidate_policy &) const = default;
};

/** \brief Instances of a data centre that may be chosen as brokers.
 *
 * Load pattern: instances restart one after the other, or one is cut off from some of the others
 * only, so that its link is lost while it is reported as live.
 */
class broker_candidates
{
public:
    explicit broker_candidates(const candidate_policy &policy)
        : m_policy(policy)
    { }

    /** \brief Sets the instances of the own data centre that are live and don't stop, this one
     * included unless it stops.
     */
    void setLive(const std::vector<instance_incarnation> &live, time_point now);

    /** \brief Records that the link to an instance was lost or refused. */
    void onLost(const instance_id &instance, time_point now);

    /** \returns the instances among which brokers are chosen: those that have been live for some
     * time, or all if there are none.
     */
    std::vector<instance_incarnation> usable(time_point now) const;

private:
    struct candidate
    {
        instance_incarnation run;
        time_point settledAt; ///< when it has been live for long enough
        time_point pausedUntil;
        duration pause{}; ///< the last one; zero if the link was never lost
    };

    candidate_policy m_policy;
    std::map<instance_id, candidate> m_candidates;
    std::optional<time_point> m_firstAt; ///< when the first candidates were set
};

} // namespace sycamorespan

#endif
