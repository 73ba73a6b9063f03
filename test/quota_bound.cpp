#include "test/quota_simulation.h"

#include <array>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::test {
namespace {

constexpr quota_limit limit{token_rate::tokensPerSecond(120), token_amount::tokens(36)};
constexpr std::size_t holderCount = 6;
constexpr std::size_t dataCentreCount = 3;
constexpr duration simulatedTime = 60s;
constexpr duration faultInterval = 1500ms;
constexpr std::int64_t driftWithinBound = 950;

/** \brief Times short enough for many leases within the simulated minute. */
allotment_policy shortLeasePolicy()
{
    allotment_policy policy;
    policy.validity = 12s;
    policy.renewInterval = 3s;
    policy.pollInterval = 500ms;
    policy.answerTimeout = 500ms;
    policy.settleTime = 1200ms;
    return policy;
}

/** \brief Alternates between idle times, in which buckets fill, and load on all holders. */
class caller_load
{
public:
    caller_load(simulated_fleet &fleet, std::mt19937_64 &random)
        : m_fleet(fleet)
        , m_random(random)
    { }

    void run()
    {
        if (m_random() % 2 == 0)
            borrowThenFlood();
        else
            sendAtRandomRate();
    }

private:
    duration drawUpTo(duration longest)
    {
        return duration(static_cast<std::int64_t>(m_random()
                                                  % static_cast<std::uint64_t>(longest.count())));
    }

    void sendAtRandomRate()
    {
        constexpr std::array<double, 4> ratesPerHolder{0, 10, 40, 400};
        const auto length = drawUpTo(1500ms);
        sendToAll(ratesPerHolder[m_random() % ratesPerHolder.size()], length);
        m_fleet.events.after(length, [this] { run(); });
    }

    /** \brief Lets buckets fill, one holder borrow more than it needs, and then all spend. */
    void borrowThenFlood()
    {
        constexpr duration fillTime = 400ms;
        constexpr double borrowRate = 90;
        constexpr double floodRate = 1'000;
        constexpr duration floodTime = 60ms;
        const auto borrower = m_random() % m_fleet.holders();
        const auto borrowed = fillTime + 50ms + drawUpTo(350ms);
        const auto flood = borrowed + drawUpTo(1200ms);
        auto &events = m_fleet.events;
        events.after(fillTime, [this, borrower, until = events.now() + borrowed] {
            send(borrower, borrowRate, until);
        });
        events.after(flood, [this, length = floodTime] { sendToAll(floodRate, length); });
        events.after(flood + floodTime, [this] { run(); });
    }

    void sendToAll(double rate, duration length)
    {
        for (std::size_t index = 0; index < m_fleet.holders(); ++index)
            send(index, rate, m_fleet.events.now() + length);
    }

    void send(std::size_t index, double rate, duration until)
    {
        if (rate <= 0)
            return;
        const auto gap = fromSeconds(std::exponential_distribution<double>(rate)(m_random));
        if (m_fleet.events.now() + gap >= until)
            return;
        m_fleet.events.after(gap, [this, index, rate, until] {
            m_fleet.request(index);
            send(index, rate, until);
        });
    }

    simulated_fleet &m_fleet;
    std::mt19937_64 &m_random;
};

/** \brief Injects random faults at random intervals. */
class fault_schedule
{
public:
    fault_schedule(simulated_fleet &fleet, std::mt19937_64 &random)
        : m_fleet(fleet)
        , m_random(random)
    { }

    void run()
    {
        inject();
        m_fleet.events.after(
                duration(static_cast<std::int64_t>(
                        m_random() % static_cast<std::uint64_t>(2 * faultInterval.count()))),
                [this] { run(); });
    }

private:
    duration drawUpTo(duration longest)
    {
        return duration(static_cast<std::int64_t>(m_random()
                                                  % static_cast<std::uint64_t>(longest.count())));
    }

    void inject()
    {
        const auto holder = m_random() % m_fleet.holders();
        const auto dataCentre = m_random() % dataCentreCount;
        auto &events = m_fleet.events;
        switch (m_random() % 9) {
        case 0:
            m_fleet.pause(holder, drawUpTo(m_random() % 4 == 0 ? 20s : 2s));
            break;
        case 1:
            m_fleet.pauseBetweenCheckAndUse(holder, drawUpTo(3s));
            break;
        case 2:
            restart(holder, drawUpTo(200ms));
            break;
        case 3:
            restart(holder, drawUpTo(20s));
            break;
        case 4:
            m_fleet.isolateDataCentre(dataCentre, true);
            events.after(drawUpTo(10s),
                         [this, dataCentre] { m_fleet.isolateDataCentre(dataCentre, false); });
            break;
        case 5:
            m_fleet.cutDataCentreFromStore(dataCentre, true);
            events.after(drawUpTo(10s),
                         [this, dataCentre] { m_fleet.cutDataCentreFromStore(dataCentre, false); });
            break;
        case 6:
            m_fleet.store.outage = true;
            events.after(drawUpTo(5s), [this] { m_fleet.store.outage = false; });
            break;
        case 7:
            m_fleet.drain(holder);
            events.after(3s, [this, holder] { restart(holder, drawUpTo(3s)); });
            break;
        default:
            m_fleet.changeDrift(holder);
        }
    }

    void restart(std::size_t holder, duration delay)
    {
        if (!m_fleet.alive(holder))
            return;
        m_fleet.kill(holder);
        m_fleet.events.after(delay, [this, holder] { m_fleet.start(holder); });
    }

    simulated_fleet &m_fleet;
    std::mt19937_64 &m_random;
};

struct bound_result
{
    std::size_t admitted = 0;
    std::int64_t excess = 0;
    std::int64_t maxUnitsInUse = 0;
};

bound_result runWithFaults(std::uint64_t seed, bool slowNetwork)
{
    simulated_fleet fleet(limit, quota_policy{}, shortLeasePolicy(), dataCentreCount, seed);
    fleet.faults.driftPartsPerMillion = driftWithinBound;
    fleet.faults.loseMessage = 0.02;
    fleet.faults.duplicateMessage = 0.02;
    fleet.faults.longestDelay = slowNetwork ? 1500ms : 3ms;
    fleet.faults.notRunFraction = 0.1;
    fleet.faults.longestUntilRun = 600ms;
    fleet.store.loseAnswer = 0.1;
    fleet.store.longestDelay = slowNetwork ? 300ms : 20ms;
    for (std::size_t index = 0; index < holderCount; ++index)
        fleet.addHolder("proxy-" + std::to_string(index), index % dataCentreCount);
    std::mt19937_64 random(seed);
    caller_load load(fleet, random);
    fault_schedule schedule(fleet, random);
    fleet.events.after(2s, [&] { load.run(); });
    fleet.events.after(3s, [&] { schedule.run(); });
    fleet.events.runUntil(simulatedTime);
    const auto work = fleet.admittedWork();
    return {work.size(), excessOf(work, limit), fleet.maxUnitsInUse()};
}

RC_GTEST_PROP(quota_bound, everyWindowStaysWithinRateTimesTimePlusBurst, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto slowNetwork = *rc::gen::arbitrary<bool>();
    const auto result = runWithFaults(seed, slowNetwork);
    RC_ASSERT(result.admitted > 100U);
    RC_ASSERT(result.maxUnitsInUse <= simulated_fleet::totalUnits);
    RC_ASSERT(result.excess == 0);
}

TEST(quota_bound, fastClocksDoNotRaiseTheRate)
{
    constexpr duration saturated = 100s;
    simulated_fleet fleet(limit, quota_policy{}, shortLeasePolicy(), dataCentreCount, 1);
    fleet.faults.driftPartsPerMillion = driftWithinBound;
    fleet.faults.allClocksFast = true;
    for (std::size_t index = 0; index < holderCount; ++index)
        fleet.addHolder("proxy-" + std::to_string(index), index % dataCentreCount);
    for (duration when = 5s; when < saturated; when += 5ms) {
        fleet.events.at(when, [&] {
            for (std::size_t index = 0; index < holderCount; ++index)
                fleet.request(index);
        });
    }
    fleet.events.runUntil(saturated);
    EXPECT_EQ(excessOf(fleet.admittedWork(), limit), 0);
}

RC_GTEST_PROP(quota_bound, theLinearCheckAgreesWithTheDefinition, ())
{
    const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40'000));
    std::vector<admission> work;
    duration now{};
    for (const auto gap : gaps) {
        now += duration(gap);
        work.push_back({now, token_amount::tokens(1)});
    }
    const quota_limit small{token_rate::tokensPerSecond(60), token_amount::tokens(3)};
    RC_ASSERT(excessOf(work, small) == excessByDefinition(work, small));
}

} // namespace
} // namespace sycamorespan::test
