#include "sycamorespan/Overload"

#include <queue>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

constexpr int clientCount = 900; // one for each instance
constexpr duration period = 3s; // between two requests of a client
constexpr duration outageStart = 60s;
constexpr duration outageEnd = 180s;
constexpr duration endOfSimulation = 300s;
constexpr duration window = 1s;

struct load_result
{
    double before = 0; // mean requests a second
    double peakDuring = 0; // in any window of the outage
    double peakAfter = 0; // in any window after the outage
};

/** Simulates the clients of one peer; all their requests fail during the outage. */
template<typename Delay>
load_result simulateOutage(Delay delayAfterFailure)
{
    using event = std::pair<time_point, int>;
    std::mt19937_64 random(11);
    std::vector<backoff> delays;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    for (int client = 0; client < clientCount; ++client) {
        delays.emplace_back(backoff_policy{.firstUpperBound = period, .maxUpperBound = 10s},
                            [&random] { return random(); });
        events.emplace(time_point(period * client / clientCount), client);
    }
    std::vector<int> windows(static_cast<std::size_t>(endOfSimulation / window));
    while (events.top().first.time_since_epoch() < endOfSimulation) {
        const auto [at, client] = events.top();
        events.pop();
        const duration now = at.time_since_epoch();
        ++windows[static_cast<std::size_t>(now / window)];
        auto &delay = delays[static_cast<std::size_t>(client)];
        if (now >= outageStart && now < outageEnd) {
            events.emplace(at + delayAfterFailure(delay, now), client);
        } else {
            delay.reset();
            events.emplace(at + period, client);
        }
    }
    const auto peak = [&windows](duration from, duration to) {
        return *std::max_element(windows.begin() + from / window, windows.begin() + to / window);
    };
    return {clientCount / toSeconds(period), static_cast<double>(peak(outageStart, outageEnd)),
            static_cast<double>(peak(outageEnd, endOfSimulation))};
}

void print(const char *name, const load_result &result)
{
    std::printf("%s: %.0f requests/s before, at most %.0f in the outage, %.0f after it\n", name,
                result.before, result.peakDuring, result.peakAfter);
}

TEST(overload_recovery, clientsComeBackSpreadOut)
{
    constexpr double largestRatio =
            2; // load after to before; the platform takes several times more
    const auto jittered = simulateOutage([](backoff &delay, duration) { return delay.next(); });
    // Baseline: all clients retry at the next multiple of 10 s.
    const auto synchronised =
            simulateOutage([](backoff &, duration now) { return 10s - now % 10s; });
    print("jittered backoff", jittered);
    print("fixed retry times", synchronised);
    EXPECT_LE(jittered.peakAfter, largestRatio * jittered.before);
    EXPECT_LE(jittered.peakDuring, largestRatio * jittered.before);
    EXPECT_GT(synchronised.peakAfter, largestRatio * synchronised.before);
}

RC_GTEST_PROP(backoff, delaysStayWithinTheirDoublingBounds, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    backoff delays({.firstUpperBound = 10ms, .maxUpperBound = 1s}, [&random] { return random(); });
    duration upperEnd = 10ms;
    for (int attempt = 0; attempt < 20; ++attempt) {
        const duration delay = delays.next();
        RC_ASSERT(delay >= upperEnd / 2 && delay < upperEnd);
        upperEnd = std::min<duration>(upperEnd * 2, 1s);
    }
}

RC_GTEST_PROP(retry_budget, boundsRetriesByRequests, (const std::vector<bool> &isRequest))
{
    const retry_budget_policy policy{.retriesPerRequest = 0.125, .maxBalance = 5};
    retry_budget budget(policy);
    double allowed = policy.maxBalance;
    int retries = 0;
    for (const bool request : isRequest) {
        if (request) {
            budget.onRequest();
            allowed += policy.retriesPerRequest;
        } else if (budget.trySpend()) {
            ++retries;
        }
        RC_ASSERT(retries <= allowed);
    }
}

RC_GTEST_PROP(recovery_ramp, neverExceedsItsLimitAndDoublesAtMost,
              (const std::vector<std::uint8_t> &steps))
{
    const recovery_ramp_policy policy{.suspectLimit = 1, .normalLimit = 12, .failuresToSuspect = 2};
    recovery_ramp ramp(policy);
    std::size_t running = 0;
    for (const auto step : steps) {
        const std::size_t before = ramp.limit();
        if (step % 3 == 0) {
            const bool started = ramp.tryStart();
            RC_ASSERT(started == (running < ramp.limit()));
            running += started ? 1 : 0;
        } else if (running > 0) {
            --running;
            step % 3 == 1 ? ramp.onSuccess() : ramp.onFailure();
        }
        RC_ASSERT(ramp.limit() <= std::min(policy.normalLimit, before * 2));
    }
}

TEST(recovery_ramp, probesASuspectedPeerAndRecovers)
{
    recovery_ramp ramp({.suspectLimit = 1, .normalLimit = 6, .failuresToSuspect = 2});
    for (int failure = 0; failure < 2; ++failure) {
        ASSERT_TRUE(ramp.tryStart());
        ramp.onFailure();
    }
    EXPECT_EQ(ramp.limit(), 1U);
    for (int success = 0; success < 7; ++success) {
        ASSERT_TRUE(ramp.tryStart());
        ramp.onSuccess();
    }
    EXPECT_EQ(ramp.limit(), 6U);
}

} // namespace
} // namespace sycamorespan
