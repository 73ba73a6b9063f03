#include "test/membership_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::test {
namespace {

constexpr std::size_t plannedInstances = 900;
constexpr std::size_t plannedCentres = 11;
constexpr duration drainVisibleWithin = 3s;
constexpr double bytesPerSecondLimit = 2'000;
constexpr duration settleTime = 5s;

TEST(membership_views, aDrainingInstanceAndServerGetNoNewWorkWithinThreeSecondsAtPlannedSize)
{
    simulated_members fleet(plannedInstances, plannedCentres, 1);
    fleet.messageLoss = 0.02;
    fleet.events.runUntil(settleTime);
    const member server{member_id("server-a1"),
                        member_kind::backendServer,
                        simulated_members::centreId(0),
                        "10.1.0.1:5432",
                        0,
                        0,
                        member_state::live};
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        auto list = fleet.at(index).knowledge->view().members();
        list.push_back(server);
        fleet.handle(index, membership_event::list_read{list});
    }
    const std::vector<std::size_t> leaving{17, 18, 203, 899};
    for (const auto index : leaving)
        fleet.shutDown(index);
    fleet.handle(5, membership_event::server_reported{server.id, member_state::draining});
    ASSERT_GT(fleet.viewsOffering(server.id), 0U);
    fleet.events.runUntil(settleTime + drainVisibleWithin);
    for (const auto index : leaving)
        EXPECT_EQ(fleet.viewsOffering(fleet.at(index).self.id), 0U);
    EXPECT_EQ(fleet.viewsOffering(server.id), 0U);
}

TEST(membership_views, bytesStayWithinTheLimitAtPlannedSizeAlsoWhileInstancesRestart)
{
    constexpr duration measured = 20s;
    constexpr int restarts = 1; // the capacity plan has one restart in 110 s
    simulated_members fleet(plannedInstances, plannedCentres, 2);
    fleet.events.runUntil(settleTime);
    fleet.clearBytes();
    for (int number = 0; number < restarts; ++number) {
        fleet.events.after(measured * number / restarts, [&fleet, number] {
            const auto index = static_cast<std::size_t>(number) * 7;
            fleet.kill(index);
            fleet.start(index);
        });
    }
    fleet.events.runUntil(settleTime + measured);
    std::uint64_t greatest = 0;
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        greatest = std::max(greatest, fleet.at(index).bytes);
        sum += fleet.at(index).bytes;
        EXPECT_TRUE(fleet.at(index).knowledge->view().unresponsiveDataCentres().empty());
    }
    const auto seconds = toSeconds(measured);
    const auto mean = static_cast<double>(sum) / seconds / plannedInstances;
    std::printf("bytes a second and node, sent and received, with headers: mean %.0f, most %.0f\n",
                mean, static_cast<double>(greatest) / seconds);
    EXPECT_LE(static_cast<double>(greatest) / seconds, bytesPerSecondLimit);
}

TEST(membership_views, anIsolatedDataCentreIsUnresponsiveToTheOthersAndServesItself)
{
    simulated_members fleet(60, 4, 3);
    fleet.events.runUntil(settleTime);
    ASSERT_TRUE(fleet.viewsAgreeWithModel());
    fleet.isolate(1, true);
    fleet.events.runUntil(settleTime + 25s);
    EXPECT_TRUE(fleet.viewsAgreeWithModel());
    fleet.events.runUntil(settleTime + 70s);
    EXPECT_TRUE(fleet.viewsAgreeWithModel());
    fleet.isolate(1, false);
    fleet.events.runUntil(settleTime + 90s);
    EXPECT_TRUE(fleet.viewsAgreeWithModel());
}

TEST(membership_views, anInstanceThatWasPausedSuspectsNobody)
{
    simulated_members fleet(12, 3, 4);
    fleet.events.runUntil(settleTime);
    fleet.pause(3, 20s);
    fleet.events.runUntil(settleTime + 19s);
    EXPECT_EQ(fleet.viewsOffering(fleet.at(3).self.id), 0U);
    fleet.events.runUntil(settleTime + 25s);
    const auto &view = fleet.at(3).knowledge->view();
    EXPECT_EQ(view.available(member_kind::instance).size(), 12U);
    fleet.events.runUntil(settleTime + 30s);
    EXPECT_TRUE(fleet.viewsAgreeWithModel());
}

/** \brief Applies one random fault: a kill, restart, pause, network partition or shutdown. */
void injectFault(simulated_members &fleet, std::mt19937_64 &random, std::size_t centres)
{
    const auto index = random() % fleet.size();
    const auto centre = random() % centres;
    switch (random() % 5) {
    case 0:
        if (fleet.at(index).alive)
            fleet.kill(index);
        break;
    case 1:
        if (!fleet.at(index).alive)
            fleet.start(index);
        break;
    case 2:
        fleet.pause(index, duration(static_cast<std::int64_t>(random() % 8'000'000)));
        break;
    case 3:
        fleet.isolate(centre, true);
        fleet.events.after(duration(static_cast<std::int64_t>(random() % 15'000'000)),
                           [&fleet, centre] { fleet.isolate(centre, false); });
        break;
    default:
        if (fleet.at(index).alive && !fleet.at(index).leaving)
            fleet.shutDown(index);
    }
}

RC_GTEST_PROP(membership_views, allViewsBecomeWhatTheModelSays, ())
{
    constexpr std::size_t centres = 4;
    constexpr duration faultPhase = 40s;
    constexpr duration settlePhase = 2min;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto count = *rc::gen::element<std::size_t>(2, 6, 13, 40);
    simulated_members fleet(count, centres, seed);
    fleet.messageLoss = 0.05;
    std::mt19937_64 random(seed);
    for (duration when = 5s; when < faultPhase; when += 1300ms)
        fleet.events.at(when, [&] { injectFault(fleet, random, centres); });
    fleet.events.runUntil(faultPhase + settlePhase);
    RC_ASSERT(fleet.viewsAgreeWithModel());
}

} // namespace
} // namespace sycamorespan::test
