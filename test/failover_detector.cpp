#include "simulated_group.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

constexpr duration observedTime = 20s;

/** Injects faults under which the primary keeps serving and reaches a majority, and checks that no
 * change of primary happens.
 */
void expectNoChange(const std::function<void(simulated_group &)> &injectFault)
{
    const auto seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
    simulated_group group({}, seed);
    group.runFor(2s);
    const auto end = group.now() + observedTime;
    while (group.now() < end) {
        injectFault(group);
        group.runFor(duration(group.drawBelow(1'500'000)));
    }
    RC_ASSERT(group.highestTerm() == 1U);
    RC_ASSERT(group.firstAcknowledgedAfter(end - 2s).has_value());
}

RC_GTEST_PROP(false_suspicion, anUnresponsiveConnectionDoesNotChangeThePrimary, ())
{
    expectNoChange([](simulated_group &group) {
        const auto agent = group.agentNode(group.drawBelow(simulated_group::agentCount));
        group.makeConnectionsUnresponsive(agent, group.primaryOfHighestTerm());
    });
}

RC_GTEST_PROP(false_suspicion, aSlowPrimaryDoesNotChangeThePrimary, ())
{
    expectNoChange([](simulated_group &group) {
        constexpr std::uint64_t longestDelayMicroseconds = 600'000;
        group.slowDown(group.primaryOfHighestTerm(),
                       duration(group.drawBelow(longestDelayMicroseconds)));
    });
}

RC_GTEST_PROP(false_suspicion, aPartitionFromOneDataCentreDoesNotChangeThePrimary, ())
{
    expectNoChange([](simulated_group &group) {
        constexpr std::size_t primaryZone = 0;
        const auto zone = 1 + group.drawBelow(simulated_group::dataCentreCount - 1);
        for (std::size_t other = 1; other < simulated_group::dataCentreCount; ++other)
            group.setPartitioned(primaryZone, other, other == zone);
    });
}

RC_GTEST_PROP(false_suspicion, frozenAgentsAndReplicasDoNotChangeThePrimary, ())
{
    expectNoChange([](simulated_group &group) {
        constexpr std::size_t replica = 2;
        const auto agent = group.agentNode(group.drawBelow(simulated_group::agentCount));
        group.drawBelow(2) == 0 ? group.freeze(agent) : group.thaw(agent);
        group.drawBelow(2) == 0 ? group.freeze(replica) : group.thaw(replica);
    });
}

group_view servingView()
{
    const std::vector<group_member> members{{server_id("s0"), "", data_centre_id("a")},
                                            {server_id("s1"), "", data_centre_id("b")}};
    return {database_id("stock"), 3, server_id("s0"), members, {}, group_state::served};
}

bool isSuspected(const std::vector<failure_detector_action> &actions)
{
    return std::ranges::any_of(actions, [](const auto &action) {
        return std::holds_alternative<primary_suspected>(action);
    });
}

/** \returns a detector in its first round, after the probes on the existing and on a new connection
 * have failed.
 */
failure_detector unansweredDetector()
{
    failure_detector detector({}, servingView(), data_centre_id("a"), 1);
    detector.start(time_point());
    for (std::uint64_t number = 1; number <= 2; ++number) {
        const call_returned failed{
                {call_purpose::probe, 1, number}, server_id("s0"), call_failed{}};
        EXPECT_FALSE(isSuspected(detector.handle(failed, time_point())));
    }
    return detector;
}

TEST(failure_detector, needsAnotherDataCentreInTwoRoundsToSuspect)
{
    auto detector = unansweredDetector();
    const observer_report own{1, data_centre_id("a"), primary_health::unresponsive};
    EXPECT_FALSE(isSuspected(detector.handle(own, time_point())));
    const observer_report late{0, data_centre_id("b"), primary_health::unresponsive};
    EXPECT_FALSE(isSuspected(detector.handle(late, time_point())));
    const observer_report first{1, data_centre_id("b"), primary_health::unresponsive};
    EXPECT_FALSE(isSuspected(detector.handle(first, time_point())));
    const observer_report second{2, data_centre_id("b"), primary_health::unresponsive};
    EXPECT_FALSE(isSuspected(detector.handle(second, time_point())));
    const call_returned failed{{call_purpose::probe, 1, 3}, server_id("s0"), call_failed{}};
    EXPECT_TRUE(isSuspected(detector.handle(failed, time_point())));
}

TEST(failure_detector, discardsTheFirstRoundIfTheSecondIsAnswered)
{
    auto detector = unansweredDetector();
    const observer_report first{1, data_centre_id("b"), primary_health::unresponsive};
    detector.handle(first, time_point());
    const member_status status{3, member_role::primary, {3, 1}, {}, {{server_id("s1"), {3, 1}}}};
    const call_returned answered{{call_purpose::probe, 1, 3}, server_id("s0"), status};
    EXPECT_FALSE(isSuspected(detector.handle(answered, time_point())));
    const observer_report second{2, data_centre_id("b"), primary_health::unresponsive};
    EXPECT_FALSE(isSuspected(detector.handle(second, time_point())));
}

using reports = std::vector<std::pair<std::string, primary_health>>;

/** Lets the detector's own probes fail while the observers report the same in each of two rounds.
 * \returns whether the primary is suspected
 */
bool isSuspectedAfterTwoRounds(const reports &observed)
{
    auto detector = unansweredDetector();
    bool suspected = false;
    for (std::uint64_t round = 1; round <= 2; ++round) {
        const call_returned failed{
                {call_purpose::probe, 1, round + 1}, server_id("s0"), call_failed{}};
        suspected = isSuspected(detector.handle(failed, time_point())) || suspected;
        for (const auto &[dataCentre, health] : observed) {
            const observer_report report{round, data_centre_id(dataCentre), health};
            suspected = isSuspected(detector.handle(report, time_point())) || suspected;
        }
    }
    return suspected;
}

TEST(failure_detector, countsDataCentres)
{
    const auto healthy = primary_health::healthy;
    const auto unresponsive = primary_health::unresponsive;
    EXPECT_FALSE(isSuspectedAfterTwoRounds({}));
    EXPECT_FALSE(isSuspectedAfterTwoRounds({{"a", unresponsive}}));
    EXPECT_FALSE(isSuspectedAfterTwoRounds({{"b", healthy}}));
    EXPECT_FALSE(isSuspectedAfterTwoRounds({{"b", healthy}, {"c", healthy}, {"d", unresponsive}}));
    EXPECT_TRUE(isSuspectedAfterTwoRounds({{"b", unresponsive}}));
    EXPECT_TRUE(
            isSuspectedAfterTwoRounds({{"b", healthy}, {"c", unresponsive}, {"d", unresponsive}}));
}

/** Answers every probe of \a detector for \a time. \a offsetAt returns the follower's log offset.
 * \returns whether the primary is suspected
 */
bool suspectsWhileAnswered(failure_detector &detector, duration time,
                           const std::function<std::uint64_t(time_point)> &offsetAt)
{
    time_point now;
    std::uint64_t number = 0;
    bool suspected = false;
    detector.start(now);
    while (now < time_point() + time) {
        const member_status status{
                3, member_role::primary, {3, 1000}, {}, {{server_id("s1"), {3, offsetAt(now)}}}};
        const call_returned answer{{call_purpose::probe, 1, ++number}, server_id("s0"), status};
        suspected = isSuspected(detector.handle(answer, now)) || suspected;
        now = *detector.nextDeadline();
        detector.handle(time_passed{}, now);
    }
    return suspected;
}

TEST(failure_detector, suspectsAPrimaryWhoseFollowersStopConfirming)
{
    failure_detector detector({}, servingView(), data_centre_id("a"), 1);
    EXPECT_TRUE(suspectsWhileAnswered(detector, 5s, [](time_point) { return 7; }));
}

TEST(failure_detector, doesNotSuspectAPrimaryWhoseFollowersLag)
{
    failure_detector detector({}, servingView(), data_centre_id("a"), 1);
    const auto slowly = [](time_point now) {
        return static_cast<std::uint64_t>(now.time_since_epoch() / 2s);
    };
    EXPECT_FALSE(suspectsWhileAnswered(detector, 60s, slowly));
}

TEST(failure_detector, waitsLongerForAPrimaryThatHasBeenSlow)
{
    failure_detector detector({}, servingView(), data_centre_id("a"), 1);
    const time_point now;
    const auto usual = detector.freshTimeout();
    detector.start(now);
    const call_returned slow{
            {call_purpose::probe, 1, 1},
            server_id("s0"),
            member_status{3, member_role::primary, {3, 1}, {}, {{server_id("s1"), {3, 1}}}}};
    detector.handle(slow, now + 290ms);
    EXPECT_GT(detector.freshTimeout(), usual);
    EXPECT_GE(detector.freshTimeout(), 4 * 290ms);
}

} // namespace
} // namespace sycamorespan
