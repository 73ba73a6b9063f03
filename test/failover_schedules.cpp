#include "simulated_group.h"

#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace sycamorespan {
namespace {

constexpr duration faultyTime = 6s;
constexpr duration longestPause = 400ms;
constexpr duration maximumRecoveryTime = 11s;

simulation_settings concurrentSupervisorSettings(wrong_rule wrongRule)
{
    simulation_settings settings;
    settings.wrongRule = wrongRule;
    settings.lossRate = 0.05;
    settings.allSupervisorsFirst = true;
    settings.tracking.pollInterval = 10ms;
    settings.supervising.strandedTimeout = 2s;
    return settings;
}

void injectFault(simulated_group &group)
{
    const auto node = group.drawBelow(simulated_group::nodeCount);
    const auto member = group.drawBelow(simulated_group::memberCount);
    const auto left = group.drawBelow(simulated_group::dataCentreCount);
    const auto right = group.drawBelow(simulated_group::dataCentreCount);
    switch (group.drawBelow(12)) {
    case 0:
        return group.kill(node);
    case 1:
        return group.kill(group.primaryOfHighestTerm());
    case 2:
    case 3:
        return group.restart(node);
    case 4:
        return group.freeze(node);
    case 5:
        return group.thaw(node);
    case 6:
        return group.freeze(group.primaryOfHighestTerm());
    case 7:
        return group.setPartitioned(left, right, true);
    case 8:
        return group.setPartitioned(left, right, false);
    case 9:
        return group.setIsolated(left, group.drawBelow(2) == 0);
    case 10:
        return group.makeConnectionsUnresponsive(group.agentNode(left), member);
    default:
        return group.restart(member);
    }
}

struct schedule_totals
{
    std::size_t schedules = 0;
    std::size_t acknowledged = 0;
    std::size_t unknown = 0;
    term_number terms = 0;
    duration longestRecovery{0};
};

/** Advances the simulation until \a condition holds.
 * \returns the time until then
 */
template<typename Condition>
duration timeUntil(simulated_group &group, const char *description, const Condition &condition)
{
    constexpr duration step = 100ms;
    const auto start = group.now();
    while (!condition()) {
        if (group.now() - start > maximumRecoveryTime)
            throw guarantee_violated(std::string("not within the bound: ") + description);
        group.runFor(step);
    }
    return group.now() - start;
}

/** Injects faults at random times and then ends them all. The group must acknowledge writes again
 * within the bound.
 */
void runSchedule(const simulation_settings &settings, std::uint64_t seed, schedule_totals &totals)
{
    simulated_group group(settings, seed);
    group.runFor(1s);
    const auto end = group.now() + faultyTime;
    while (group.now() < end) {
        injectFault(group);
        group.runFor(duration(group.drawBelow(static_cast<std::uint64_t>(longestPause.count()))));
    }
    group.healAll();
    const auto healed = group.now();
    const auto recovery = timeUntil(group, "a write is acknowledged", [&] {
        return group.firstAcknowledgedAfter(healed).has_value();
    });
    totals.longestRecovery = std::max(totals.longestRecovery, recovery);
    timeUntil(group, "every member follows", [&] { return group.allMembersFollow(); });
    group.runFor(1s);
    group.checkAgainstModel();
    ++totals.schedules;
    totals.acknowledged += group.acknowledgedCount();
    totals.unknown += group.unknownCount;
    totals.terms += group.highestTerm();
}

TEST(failover_schedules, noAcknowledgedWriteIsLostUnderConcurrentSupervisors)
{
    constexpr std::uint64_t schedulesPerCase = 20;
    constexpr std::size_t acknowledgedPerSchedule = 20;
    constexpr std::size_t termsPerSchedule = 2;
    schedule_totals totals;
    EXPECT_TRUE(rc::check([&] {
        const std::uint64_t firstSeed =
                *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
        for (std::uint64_t seed = firstSeed; seed < firstSeed + schedulesPerCase; ++seed) {
            try {
                runSchedule(concurrentSupervisorSettings(wrong_rule::none), seed, totals);
            } catch (const guarantee_violated &failure) {
                RC_FAIL(failure.what() + std::string(", seed ") + std::to_string(seed));
            }
        }
    }));
    EXPECT_GE(totals.acknowledged, totals.schedules * acknowledgedPerSchedule);
    EXPECT_GE(totals.terms, totals.schedules * termsPerSchedule);
    std::cout << totals.schedules << " schedules, " << totals.acknowledged << " acknowledged, "
              << totals.unknown << " unknown, " << totals.terms << " terms, longest recovery "
              << toSeconds(totals.longestRecovery) << " s\n";
}

class wrong_rules : public testing::TestWithParam<std::pair<wrong_rule, const char *>>
{ };

TEST_P(wrong_rules, areExposedBySomeSchedule)
{
    constexpr std::uint64_t maximumSchedules = 3000;
    schedule_totals totals;
    for (std::uint64_t seed = 1; seed <= maximumSchedules; ++seed) {
        try {
            runSchedule(concurrentSupervisorSettings(GetParam().first), seed, totals);
        } catch (const guarantee_violated &failure) {
            const std::string what = failure.what();
            if (what.find("the bound") != std::string::npos)
                continue;
            std::cout << GetParam().second << ": seed " << seed << ": " << what << '\n';
            return;
        }
    }
    FAIL() << "no schedule violated a guarantee under the rule " << GetParam().second;
}

INSTANTIATE_TEST_SUITE_P(
        failover_schedules, wrong_rules,
        testing::Values(std::pair(wrong_rule::equalTermsAccepted, "equalTermsAccepted"),
                        std::pair(wrong_rule::minorityFenced, "minorityFenced"),
                        std::pair(wrong_rule::longestByOffset, "longestByOffset"),
                        std::pair(wrong_rule::followersOfAnyTerm, "followersOfAnyTerm"),
                        std::pair(wrong_rule::acknowledgedAtOnce, "acknowledgedAtOnce"),
                        std::pair(wrong_rule::divergentTailKept, "divergentTailKept")),
        [](const auto &rule) { return std::string(rule.param.second); });

} // namespace
} // namespace sycamorespan
