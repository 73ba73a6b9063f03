#ifndef SYCAMORESPAN_POOLING_MEMBER_LIMIT_H
#define SYCAMORESPAN_POOLING_MEMBER_LIMIT_H

#include "sycamorespan/src/Pooling/member_sample.h"

#include <optional>

namespace sycamorespan {

/** \brief Settings of a member_limit. */
struct member_limit_policy
{
    /** Largest limit for each slot. What exceeds the slots waits in the member. */
    double largestLimitPerSlot = 2;
    /** Ratio of times under load to times under little load above which the limit falls. */
    double tolerance = 1.5;
    /** Factor of the limit after a refusal under load. */
    double refusalFactor = 0.7;
    duration refusalPause = 100ms; ///< refusals within it count as one
    std::size_t windowSamples = 20; ///< statements on which a change of the limit rests
    duration sampleHalfLife = 2s; ///< age at which a sample has half of its weight among others'
    duration probeInterval = 500ms; ///< between two probes of a member that gets no statements

    auto operator<=>(const member_limit_policy &) const = default;
};

/** \brief Finds from finished statements how many a member takes well at a time, how slow it is and
 * which share of its work it fails.
 *
 * The limit falls with the ratio of times under load to times under little load, and with refusals
 * under load. It rises by up to one statement in each window in which it was used and times didn't
 * rise, or in which all answers under load came without times.
 * Without samples nothing changes, except for the weight of the estimate beside those of others.
 */
class member_limit
{
public:
    /** \param slots  statements that the member says it runs at a time */
    explicit member_limit(std::size_t slots, const member_limit_policy &policy = {});

    void setSlots(std::size_t slots);
    void add(const member_sample &sample, time_point now);
    /** \param lost  time after which a statement that the member failed was known to have failed */
    void addFailure(duration lost);
    /** \brief Sets what other instances have found; nothing if they report nothing unusual. */
    void hear(std::optional<member_capacity> heard) { m_heard = heard; }

    /** \returns what this instance has found. */
    member_capacity found(time_point now) const;
    /** \returns what this instance and others have found, weighted by their samples. */
    member_capacity capacity(time_point now) const;
    /** \returns whether a statement has ended at the member, however long ago. */
    bool hasSamples() const { return m_weight > 0; }
    /** \returns the share of statements that the member refused or failed. */
    double failureShare() const { return m_failureShare; }
    /** \returns the mean time that a failed statement lost. */
    double failureSeconds() const { return m_failureSeconds; }
    /** \returns whether the estimate differs enough from a usual member's to be reported. */
    bool isUnusual() const;
    /** \returns whether others report so, which an own estimate then has to correct. */
    bool isHeardUnusual() const;
    /** \returns whether the member is to be tried because it got no work for some time, or because
     * its last answer suggests that it has recovered.
     * \param probers  instances that may do so
     */
    bool isProbeDue(std::size_t probers, time_point now) const;
    /** \brief Records that a statement was sent, after which the next probe is due later. */
    void recordSent(time_point now)
    {
        m_lastSentAt = now;
        m_wasBetter = false;
    }

private:
    double largest() const;
    void setLimit(double limit);
    void addTime(double relativeTime, double inFlight);
    void addUntimed(double inFlight);
    double windowSize() const;
    void increase();
    void closeWindow();
    double weight(time_point now) const;

    member_limit_policy m_policy;
    double m_slots;
    double m_limit;
    double m_slowness = 0; ///< logarithm
    double m_lightTime = 0; ///< logarithm of the relative time under little load
    double m_failureShare = 0;
    double m_failureSeconds = 0;
    double m_weight = 0; ///< of the samples, at m_lastSampleAt
    time_point m_lastSampleAt;
    time_point m_lastSentAt;
    time_point m_lastDecreaseAt;
    bool m_wasBetter = false; ///< the last answer came sooner than the slowness suggests
    double m_increase = 1; ///< of the limit in the next good window
    std::size_t m_windowCount = 0;
    std::size_t m_untimedCount = 0; ///< answers under load since the last time, rise or refusal
    double m_windowTimes = 0; ///< sum of logarithms
    double m_windowInFlight = 0; ///< largest
    std::optional<member_capacity> m_heard;
};

} // namespace sycamorespan

#endif
