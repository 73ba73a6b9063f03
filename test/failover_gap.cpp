#include "simulated_group.h"

#include <cstdio>

#include <gtest/gtest.h>

namespace sycamorespan {
namespace {

constexpr duration maximumGap = 11s;
constexpr duration gapTarget = 2s;
constexpr std::uint64_t repetitionsPerFault = 50;

struct fault
{
    const char *name;
    std::function<void(simulated_group &)> inject;
    duration bound;
};

/** Kills the first supervisor as soon as it has begun to fence. */
void killPrimaryThenSupervisor(simulated_group &group)
{
    group.kill(group.primaryOfHighestTerm());
    const auto end = group.now() + maximumGap;
    while (!group.firstSeen.contains("fencing") && group.now() < end)
        group.runFor(100us);
    group.kill(group.agentNode(group.leadingAgent()));
}

/** Kills the chosen member when it is promoted, and restarts the old primary. */
void killPrimaryThenCandidate(simulated_group &group)
{
    const auto old = group.primaryOfHighestTerm();
    const auto term = group.highestTerm();
    group.kill(old);
    const auto end = group.now() + maximumGap;
    while (group.highestTerm() == term && group.now() < end)
        group.runFor(100us);
    group.kill(group.primaryOfHighestTerm());
    group.restart(old);
}

std::vector<fault> faults()
{
    using group = simulated_group;
    return {
            {"primary killed", [](group &g) { g.kill(g.primaryOfHighestTerm()); }, gapTarget},
            {"primary frozen", [](group &g) { g.freeze(g.primaryOfHighestTerm()); }, gapTarget},
            {"data centre isolated",
             [](group &g) { g.setIsolated(g.primaryOfHighestTerm(), true); }, maximumGap},
            {"then the supervisor", killPrimaryThenSupervisor, maximumGap},
            {"then the candidate", killPrimaryThenCandidate, maximumGap},
    };
}

double milliseconds(duration value)
{
    return toSeconds(value) * 1000;
}

class gap_statistics
{
public:
    void add(const std::string &step, duration value) { m_values[step].push_back(value); }
    duration worst(const std::string &step) { return std::ranges::max(m_values[step]); }
    duration median(const std::string &step)
    {
        auto &values = m_values[step];
        std::ranges::nth_element(values,
                                 values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2));
        return values[values.size() / 2];
    }

private:
    std::map<std::string, std::vector<duration>> m_values;
};

/** Injects the fault at a random time after a healthy phase and waits for the first acknowledged
 * write after it.
 */
void measure(const fault &fault, const simulation_settings &settings, std::uint64_t seed,
             gap_statistics &statistics)
{
    simulated_group group(settings, seed);
    group.runFor(3s + duration(group.drawBelow(1'000'000)));
    group.firstSeen.clear();
    const auto start = group.now();
    fault.inject(group);
    while (!group.firstAcknowledgedAfter(start) && group.now() - start <= maximumGap)
        group.runFor(10ms);
    const auto first = group.firstAcknowledgedAfter(start);
    ASSERT_TRUE(first) << fault.name << ", seed " << seed;
    ASSERT_TRUE(group.firstSeen.contains("published")) << fault.name << ", seed " << seed;
    const auto &seen = group.firstSeen;
    statistics.add("detection", seen.at("changing") - start);
    statistics.add("status query", seen.at("fencing") - seen.at("changing"));
    statistics.add("fencing", seen.at("promoting") - seen.at("fencing"));
    statistics.add("promotion", seen.at("published") - seen.at("promoting"));
    statistics.add("routing", *first - seen.at("published"));
    statistics.add("total", *first - start);
    group.runFor(500ms);
    group.checkAgainstModel();
}

class failover_gap : public testing::TestWithParam<std::pair<const char *, duration>>
{ };

TEST_P(failover_gap, staysWithinItsBound)
{
    const auto [user, oneWay] = GetParam();
    simulation_settings settings;
    settings.oneWay = oneWay;
    settings.writeInterval = 10ms;
    std::printf("%s, %.1f ms one way; median / worst of %d runs, ms\n", user, milliseconds(oneWay),
                static_cast<int>(repetitionsPerFault));
    for (const auto &fault : faults()) {
        gap_statistics statistics;
        for (std::uint64_t seed = 1; seed <= repetitionsPerFault && !HasFatalFailure(); ++seed)
            measure(fault, settings, seed, statistics);
        ASSERT_FALSE(HasFatalFailure());
        std::printf("%-20s", fault.name);
        for (const auto *step :
             {"detection", "status query", "fencing", "promotion", "routing", "total"})
            std::printf(" %s %.0f/%.0f", step, milliseconds(statistics.median(step)),
                        milliseconds(statistics.worst(step)));
        std::printf("\n");
        EXPECT_LE(statistics.worst("total"), fault.bound) << fault.name;
    }
}

INSTANTIATE_TEST_SUITE_P(failover, failover_gap,
                         testing::Values(std::pair("brandon_hollow", duration(500us)),
                                         std::pair("gronda_padana", duration(1500us))),
                         [](const auto &user) { return std::string(user.param.first); });

} // namespace
} // namespace sycamorespan
