#include "sycamorespan/src/Pooling/member_limit.h"

#include <algorithm>
#include <cmath>

namespace sycamorespan {

namespace {

constexpr double slownessSmoothing = 0.1;
constexpr double lightTimeSmoothing = 0.05;
/** For times under the load of other instances, while the own limit leaves no load to reduce. */
constexpr double loadedLightTimeSmoothing = 0.01;
constexpr double failureSmoothing = 0.1;
/** Relative times outside of these bounds count as the bound. */
constexpr double smallestRelativeTime = 0.05;
constexpr double largestRelativeTime = 20;
/** Samples of a window for each statement of the limit. */
constexpr double windowForEach = 4;
/** Smallest factor of the limit in one window. */
constexpr double leastGradient = 0.7;
/** Increase in the first window after the limit fell, which doubles from window to window. */
constexpr double leastIncrease = 0.1;
/** Ratio of times under load to times under little load that needs only a quarter of a window. */
constexpr double clearRatio = 3;
/** Slowness from which a member is unusual, and failure share and share of the slots. */
constexpr double unusualSlowness = 1.5;
constexpr double unusualFailureShare = 0.1;
/** Slowness and failure share up to which a member gets enough work to find that it recovers. */
constexpr double favouredSlowness = 1.2;
constexpr double favouredFailureShare = 0.02;

void approach(double &mean, double value, double smoothing)
{
    mean += smoothing * (value - mean);
}

} // namespace

member_limit::member_limit(std::size_t slots, const member_limit_policy &policy)
    : m_policy(policy)
    , m_slots(static_cast<double>(std::max<std::size_t>(slots, 1)))
    , m_limit(largest())
{ }

double member_limit::largest() const
{
    return m_slots * m_policy.largestLimitPerSlot;
}

void member_limit::setLimit(double limit)
{
    m_limit = std::clamp(limit, 1.0, largest());
}

void member_limit::setSlots(std::size_t slots)
{
    const auto changed = static_cast<double>(std::max<std::size_t>(slots, 1));
    if (changed == m_slots)
        return;
    const auto share = m_limit / m_slots;
    m_slots = changed;
    setLimit(share * m_slots);
}

void member_limit::add(const member_sample &sample, time_point now)
{
    m_weight = weight(now) + 1;
    m_lastSampleAt = now;
    m_lastSentAt = std::max(m_lastSentAt, now);
    const bool answered = sample.outcome == member_outcome::answered;
    approach(m_failureShare, answered ? 0 : 1, failureSmoothing);
    const auto inFlight = static_cast<double>(sample.inFlight);
    m_wasBetter = answered && m_failureShare > favouredFailureShare;
    // A statement that was given up would have taken longer; a fast failure says nothing of times.
    const bool isBound =
            sample.relativeTime && *sample.relativeTime > std::max(std::exp(m_slowness), 1.0);
    if (sample.relativeTime && (answered || isBound)) {
        addTime(*sample.relativeTime, inFlight);
    } else if (sample.outcome == member_outcome::refused && inFlight > m_limit / 2
               && now - m_lastDecreaseAt >= m_policy.refusalPause) {
        m_lastDecreaseAt = now;
        m_windowCount = 0;
        m_untimedCount = 0;
        setLimit(m_limit * m_policy.refusalFactor);
    } else if (answered) {
        addUntimed(inFlight);
    }
}

void member_limit::addFailure(duration lost)
{
    approach(m_failureSeconds, toSeconds(lost), failureSmoothing);
}

void member_limit::addTime(double relativeTime, double inFlight)
{
    const double time =
            std::log(std::clamp(relativeTime, smallestRelativeTime, largestRelativeTime));
    // Waiting for a slot of the member is part of the time, but not the member's slowness.
    const double waiting = std::max(inFlight - m_slots, 0.0) / m_slots;
    const double slowness = time - std::log1p(waiting);
    m_wasBetter = m_wasBetter || slowness < m_slowness - std::log(unusualSlowness);
    approach(m_slowness, slowness, slownessSmoothing);
    const bool isLight = inFlight <= std::max(m_slots / 2, 1.0);
    // The limit may have fallen because of a slowness at any load that has ended.
    if (isLight && m_lightTime > std::log(unusualSlowness) && time < m_lightTime / 2)
        m_increase = 1;
    if (isLight)
        approach(m_lightTime, time, lightTimeSmoothing);
    else if (m_limit <= std::max(m_slots / 2, 1.0))
        approach(m_lightTime, time, loadedLightTimeSmoothing);
    if (m_windowCount == 0) {
        m_windowTimes = 0;
        m_windowInFlight = 0;
    }
    ++m_windowCount;
    m_windowTimes += time;
    m_windowInFlight = std::max(m_windowInFlight, inFlight);
    m_untimedCount = 0;
    const auto size = windowSize();
    const auto count = static_cast<double>(m_windowCount);
    const bool isClear =
            4 * count >= size && m_windowTimes / count - m_lightTime > std::log(clearRatio);
    if (count >= size || isClear)
        closeWindow();
}

void member_limit::closeWindow()
{
    const double mean = m_windowTimes / static_cast<double>(m_windowCount);
    const double gradient =
            std::clamp(m_policy.tolerance * std::exp(m_lightTime - mean), leastGradient, 1.0);
    m_windowCount = 0;
    if (gradient < 1) {
        setLimit(std::min(m_limit, m_windowInFlight) * gradient);
        m_increase = leastIncrease;
    } else if (m_windowInFlight >= m_limit / 2) {
        increase();
    }
}

/** Writes tell only by refusals that the member is full. */
void member_limit::addUntimed(double inFlight)
{
    if (inFlight < m_limit / 2)
        return;
    ++m_untimedCount;
    if (static_cast<double>(m_untimedCount) < windowSize())
        return;
    m_untimedCount = 0;
    increase();
}

/** \returns the samples of a window. At a small limit statements are few, and an error of the limit
 * is small.
 */
double member_limit::windowSize() const
{
    return std::min(windowForEach * m_limit, static_cast<double>(m_policy.windowSamples));
}

void member_limit::increase()
{
    setLimit(m_limit + m_increase);
    m_increase = std::min(2 * m_increase, 1.0);
}

double member_limit::weight(time_point now) const
{
    const auto age = std::max(toSeconds(now - m_lastSampleAt), 0.0);
    return m_weight * std::exp2(-age / toSeconds(m_policy.sampleHalfLife));
}

member_capacity member_limit::found(time_point now) const
{
    return {m_limit, std::exp(m_slowness), static_cast<std::uint64_t>(weight(now))};
}

member_capacity member_limit::capacity(time_point now) const
{
    const auto own = found(now);
    if (!m_heard || m_heard->samples == 0)
        return own;
    const auto ownWeight = static_cast<double>(own.samples);
    const auto heardWeight = static_cast<double>(m_heard->samples);
    const double share = heardWeight / (ownWeight + heardWeight);
    return {std::clamp(own.limit + share * (m_heard->limit - own.limit), 1.0, largest()),
            own.slowness + share * (m_heard->slowness - own.slowness),
            own.samples + m_heard->samples};
}

bool member_limit::isUnusual() const
{
    return m_slowness > std::log(unusualSlowness) || m_limit < m_slots
           || m_failureShare > unusualFailureShare;
}

bool member_limit::isHeardUnusual() const
{
    return m_heard && (m_heard->slowness > unusualSlowness || m_heard->limit < m_slots);
}

bool member_limit::isProbeDue(std::size_t probers, time_point now) const
{
    const auto pause = m_policy.probeInterval * static_cast<std::int64_t>(probers);
    const bool isFavoured = m_slowness < std::log(favouredSlowness) && m_limit >= m_slots
                            && m_failureShare <= favouredFailureShare;
    return !isFavoured && (m_wasBetter || now - m_lastSentAt >= pause);
}

} // namespace sycamorespan
