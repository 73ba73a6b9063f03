#include "test/quota_simulation.h"

#include <array>

#include <gtest/gtest.h>

namespace sycamorespan::test {
namespace {

constexpr quota_limit limit{token_rate::tokensPerSecond(300), token_amount::tokens(90)};
constexpr std::size_t holderCount = 6;
constexpr std::size_t dataCentreCount = 3;
constexpr duration start = 10s;
constexpr duration length = 60s;
constexpr double load = 0.85; ///< of the rate, on average

struct arrival
{
    duration when{};
    std::size_t holder = 0;
};
using trace = std::vector<arrival>;

struct refusals
{
    std::size_t central = 0;
    std::size_t equalSplit = 0;
    std::size_t fleet = 0;
    std::int64_t excess = 0;
    double messagesPerSecond = 0;
    double bytesPerSecond = 0;
};

/** \brief Generates Poisson arrivals; holder and relative rate are functions of the time. */
trace makeTrace(const std::function<std::size_t(duration, std::mt19937_64 &)> &holderAt,
                const std::function<double(duration)> &relativeRate)
{
    std::mt19937_64 random(7);
    const auto rate = load * static_cast<double>(limit.rate.millitokensPerSecond)
                      / token_rate::millitokensPerToken;
    trace result;
    for (duration when = start; when < start + length;) {
        const auto current = std::max(1.0, rate * relativeRate(when));
        when += fromSeconds(std::exponential_distribution<double>(current)(random));
        result.push_back({when, holderAt(when, random)});
    }
    return result;
}

/** \brief Token bucket without clock drift, for the central and equal-split baselines. */
class baseline_bucket
{
public:
    explicit baseline_bucket(const quota_limit &whole)
        : m_bucket(whole, clock_drift{0}, time_point{})
    {
        m_bucket.add(whole.burst);
    }
    bool admits(duration when)
    {
        m_bucket.refill(time_point(when));
        return m_bucket.trySpend(token_amount::tokens(1));
    }

private:
    token_bucket m_bucket;
};

std::size_t refusedByCentral(const trace &arrivals)
{
    baseline_bucket bucket(limit);
    return static_cast<std::size_t>(std::ranges::count_if(
            arrivals, [&](const arrival &each) { return !bucket.admits(each.when); }));
}

std::size_t refusedByEqualSplit(const trace &arrivals)
{
    std::vector<baseline_bucket> buckets(holderCount, baseline_bucket(limit.share(1, holderCount)));
    return static_cast<std::size_t>(std::ranges::count_if(arrivals, [&](const arrival &each) {
        return !buckets[each.holder].admits(each.when);
    }));
}

refusals compare(const trace &arrivals, const std::function<void(simulated_fleet &)> &faults)
{
    simulated_fleet fleet(limit, quota_policy{}, allotment_policy{}, dataCentreCount, 1);
    for (std::size_t index = 0; index < holderCount; ++index)
        fleet.addHolder("proxy-" + std::to_string(index), index % dataCentreCount);
    faults(fleet);
    fleet.events.runUntil(start - 1s);
    // The arrivals start a minute later, when the six holders have got their shares by polling the
    // row.
    for (const auto &each : arrivals)
        fleet.events.at(each.when + 60s, [&fleet, each] { fleet.request(each.holder); });
    fleet.events.runUntil(start + length + 60s + 2s);
    const auto refused =
            std::ranges::count_if(fleet.outcomes(), [](const simulated_fleet::outcome &each) {
                return each.decided && !each.admitted;
            });
    const auto seconds = toSeconds(length);
    return {refusedByCentral(arrivals),
            refusedByEqualSplit(arrivals),
            static_cast<std::size_t>(refused),
            excessOf(fleet.admittedWork(), limit),
            static_cast<double>(fleet.messages()) / seconds,
            static_cast<double>(fleet.messageBytes()) / seconds};
}

struct scenario
{
    const char *name;
    std::function<std::size_t(duration, std::mt19937_64 &)> holderAt;
    std::function<double(duration)> relativeRate;
    std::function<void(simulated_fleet &)> faults;
};

std::vector<scenario> scenarios()
{
    const auto anyHolder = [](duration, std::mt19937_64 &random) { return random() % holderCount; };
    const auto oneHolder = [](duration, std::mt19937_64 &) { return std::size_t{2}; };
    const auto mostlyOne = [](duration, std::mt19937_64 &random) {
        return random() % 10 < 8 ? std::size_t{2} : random() % holderCount;
    };
    const auto roaming = [](duration when, std::mt19937_64 &) {
        return static_cast<std::size_t>(when / 5s) % holderCount;
    };
    const auto steady = [](duration) { return 1.0; };
    const auto bursty = [](duration when) { return when % 2s < 500ms ? 3.4 : 0.2; };
    const auto noFaults = [](simulated_fleet &) {};
    const auto isolatedDataCentre = [](simulated_fleet &fleet) {
        fleet.events.at(start + 65s, [&fleet] { fleet.isolateDataCentre(1, true); });
    };
    const auto storeOutage = [](simulated_fleet &fleet) {
        fleet.events.at(start + 55s, [&fleet] { fleet.store.outage = true; });
    };
    return {{"uniform", anyHolder, steady, noFaults},
            {"one instance only", oneHolder, steady, noFaults},
            {"skewed, 80% at one", mostlyOne, steady, noFaults},
            {"roaming every 5 s", roaming, steady, noFaults},
            {"bursty", anyHolder, bursty, noFaults},
            {"skewed, store outage", mostlyOne, steady, storeOutage},
            {"uniform, one data centre isolated", anyHolder, steady, isolatedDataCentre},
            {"skewed, one data centre isolated", mostlyOne, steady, isolatedDataCentre}};
}

TEST(quota_refusals, areFewerThanThoseOfAnEqualSplitOnEveryTrace)
{
    std::printf("%-34s %8s %8s %8s %8s %6s %8s\n", "trace", "requests", "central", "split", "fleet",
                "msg/s", "bytes/s");
    for (const auto &each : scenarios()) {
        const auto arrivals = makeTrace(each.holderAt, each.relativeRate);
        const auto result = compare(arrivals, each.faults);
        std::printf("%-34s %8zu %8zu %8zu %8zu %6.1f %8.0f\n", each.name, arrivals.size(),
                    result.central, result.equalSplit, result.fleet, result.messagesPerSecond,
                    result.bytesPerSecond);
        EXPECT_EQ(result.excess, 0) << each.name;
        EXPECT_LE(result.fleet, result.equalSplit) << each.name;
    }
}

} // namespace
} // namespace sycamorespan::test
