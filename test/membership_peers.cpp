// Tests of peer reports and the peer table, the list of backend servers, and the reference clock.

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Membership/peer_table.h"
#include "sycamorespan/src/Membership/server_roster.h"
#include "sycamorespan/src/Quota/share_homes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace sycamorespan;

constexpr time_point start(1h);

instance_incarnation incarnationOf(const std::string &name, const std::string &dataCentre,
                                   std::uint64_t incarnation = 1)
{
    return {instance_id(name), incarnation, "127.0.0.1:1", data_centre_id(dataCentre)};
}

peer_report reportOf(const instance_incarnation &sender)
{
    peer_report report;
    report.sender = sender;
    report.storeReachable = true;
    return report;
}

server_entry server(const std::string &id)
{
    server_entry entry;
    entry.id = server_id(id);
    entry.database = database_id("db");
    return entry;
}

TEST(MembershipPeers, AReportSurvivesEncoding)
{
    auto report = reportOf(incarnationOf("i1", "a"));
    report.sentAt = 17s;
    report.viewsConfirmed = 16s;
    report.views = {{database_id("db"), 4, server_id("s"), 2, view_phase::ordered, true, 9}};
    report.supervisor = instance_id("i2");
    report.fencingToken = 9;
    report.sinceSupervisorHeard = 40ms;
    report.databases = {{database_id("db"), log_position{2, 7}, 15s, 4, true, false, true}};
    report.loads = {{server_id("s"), 3}};
    EXPECT_EQ(decodePeerReport(encodePeerReport(report)), report);
}

RC_GTEST_PROP(MembershipPeers, NoBytesCrashTheDecoder, (const std::vector<std::uint8_t> &bytes))
{
    try {
        static_cast<void>(decodePeerReport(std::string(bytes.begin(), bytes.end())));
    } catch (const decode_error &) {
        RC_SUCCEED("refused");
    }
}

RC_GTEST_PROP(MembershipPeers, ATruncatedReportIsRejected, ())
{
    const auto whole = encodePeerReport(reportOf(incarnationOf("i1", "a")));
    const auto size = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT_THROWS_AS(decodePeerReport(whole.substr(0, size)), decode_error);
}

/** After the start of many instances, a share owner must not wait for the reports of the others
 * before it queries them.
 */
TEST(MembershipPeers, ANewlyRegisteredInstanceMayBeQueriedBeforeItsFirstReport)
{
    peer_table peers(incarnationOf("i0", "a"), {});
    peers.setRegistered({incarnationOf("i1", "a"), incarnationOf("i2", "b")}, start);
    EXPECT_EQ(peers.expectedLive(start + 100ms).size(), 2U);
    peers.handleReport(reportOf(incarnationOf("i1", "a")), start + 100ms);
    const auto later = start + peers.reportTimeout() + 50ms;
    EXPECT_EQ(peers.expectedLive(later), std::vector{incarnationOf("i1", "a")});
    EXPECT_TRUE(peers.expectedLive(later + 1h).empty());
}

/** One instance of each data centre follows the store, so that the loss of a data centre does not
 * stop the others from learning of changes in the store.
 */
TEST(MembershipPeers, OneInstanceOfEachDataCentreFollowsTheStore)
{
    const std::vector<instance_incarnation> instances{
            incarnationOf("a1", "a"), incarnationOf("a2", "a"), incarnationOf("a3", "a"),
            incarnationOf("b1", "b"), incarnationOf("b2", "b")};
    std::set<std::string> first;
    for (const auto &each : instances) {
        peer_table peers(each, {});
        for (const auto &other : instances)
            peers.handleReport(reportOf(other), start);
        if (peers.isFirstOfDataCentre(start))
            first.insert(each.instance.str());
    }
    EXPECT_EQ(first, (std::set<std::string>{"a1", "b1"}));
}

TEST(MembershipPeers, AnInstanceThatCannotReachTheStoreIsNotTheFirstOfItsDataCentre)
{
    peer_table peers(incarnationOf("a2", "a"), {});
    auto report = reportOf(incarnationOf("a1", "a"));
    peers.handleReport(report, start);
    EXPECT_FALSE(peers.isFirstOfDataCentre(start));
    report.storeReachable = false;
    peers.handleReport(report, start);
    EXPECT_TRUE(peers.isFirstOfDataCentre(start));
}

TEST(MembershipPeers, AViewIsReleasedOnceEveryRegisteredInstanceReportsIt)
{
    peer_table peers(incarnationOf("i0", "a"), {});
    peers.setRegistered(
            {incarnationOf("i0", "a"), incarnationOf("i1", "a"), incarnationOf("i2", "b")}, start);
    const database_id database("db");
    EXPECT_FALSE(peers.released(database, 4, start));
    for (const auto *name : {"i1", "i2"}) {
        EXPECT_FALSE(peers.released(database, 4, start));
        auto report = reportOf(incarnationOf(name, "a"));
        report.databases = {{database, std::nullopt, {}, 4, false, false, false}};
        peers.handleReport(report, start);
    }
    EXPECT_TRUE(peers.released(database, 4, start));
    EXPECT_FALSE(peers.released(database, 5, start));
}

TEST(MembershipPeers, AnEndedProcessHoldsNoView)
{
    peer_table peers(incarnationOf("i0", "a"), {});
    peers.setRegistered({incarnationOf("i0", "a"), incarnationOf("i1", "a")}, start);
    peers.connectionRefused(instance_id("i1"), start);
    EXPECT_TRUE(peers.released(database_id("db"), 4, start));
    peers.handleReport(reportOf(incarnationOf("i1", "a", 2)), start + 1s);
    EXPECT_FALSE(peers.released(database_id("db"), 4, start + 1s));
}

TEST(MembershipPeers, IsolationFromAllOtherDataCentresIsDetected)
{
    peer_table peers(incarnationOf("i0", "a"), {});
    EXPECT_FALSE(peers.hearsOtherDataCentres(start)) << "no other data centre is known";
    peers.handleReport(reportOf(incarnationOf("i1", "a")), start);
    peers.handleReport(reportOf(incarnationOf("i2", "b")), start);
    EXPECT_EQ(peers.hearsOtherDataCentres(start), true);
    peers.handleReport(reportOf(incarnationOf("i1", "a")), start + 2s);
    EXPECT_EQ(peers.hearsOtherDataCentres(start + 2s), false);
}

TEST(MembershipRoster, AnEntryRemovedWhileTheStoreIsAvailableIsRemovedAtOnce)
{
    server_roster roster({});
    roster.replace({server("s1"), server("s2")}, start);
    roster.remove(server_id("s2"), start + 1s);
    EXPECT_EQ(roster.entries().size(), 1U);
}

TEST(MembershipRoster, AnEntryThatExpiredDuringAStoreOutageIsKeptForTwoSecondsAfterIt)
{
    server_roster roster({});
    roster.replace({server("s1"), server("s2")}, start);
    roster.onStoreUnavailable(start + 1s);
    roster.onStoreAnswered(start + 5s);
    roster.replace({server("s1")}, start + 5s);
    roster.tick(start + 6900ms);
    EXPECT_EQ(roster.entries().size(), 2U);
    roster.tick(start + 7300ms);
    EXPECT_EQ(roster.entries().size(), 1U);
}

TEST(MembershipRoster, AnEntryThatIsRegisteredAgainStays)
{
    server_roster roster({});
    roster.replace({server("s1")}, start);
    roster.onStoreUnavailable(start + 1s);
    roster.onStoreAnswered(start + 5s);
    roster.remove(server_id("s1"), start + 5s);
    roster.put(server("s1"));
    roster.tick(start + 9s);
    EXPECT_EQ(roster.entries().size(), 1U);
}

TEST(MembershipRoster, NothingIsRemovedDuringAStoreOutage)
{
    server_roster roster({});
    roster.replace({server("s1")}, start);
    roster.onStoreUnavailable(start + 1s);
    roster.remove(server_id("s1"), start + 1s);
    roster.tick(start + 60s);
    EXPECT_EQ(roster.entries().size(), 1U);
}

/** The true reading lies between the bounds for all delays of requests and answers. */
RC_GTEST_PROP(ReferenceClock, TheTrueReadingLiesBetweenTheBounds, ())
{
    reference_clock clock;
    const auto offset = std::chrono::seconds(*rc::gen::inRange(-1000, 1000));
    auto now = start;
    const auto count = *rc::gen::inRange(1, 20);
    for (int index = 0; index < count; ++index) {
        const auto requestDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        const auto answerDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        clock.observe(now, now + requestDelay + answerDelay,
                      (now + requestDelay).time_since_epoch() + offset);
        now += requestDelay + answerDelay + 1s;
        const auto trueReading = now.time_since_epoch() + offset;
        RC_ASSERT(*clock.earliest(now) <= trueReading);
        RC_ASSERT(trueReading <= *clock.latest(now));
    }
}

RC_GTEST_PROP(ShareHomes, EveryDataCentreHasOneShareOwnerBeforeAnyHasTwo, ())
{
    const auto holders = *rc::gen::inRange(1, 60);
    const auto dataCentres = *rc::gen::inRange(1, 6);
    const auto count = *rc::gen::inRange(1, 8);
    std::vector<holder_location> placed;
    std::set<data_centre_id> used;
    for (int index = 0; index < holders; ++index) {
        placed.push_back({holder_id("h" + std::to_string(index)),
                          data_centre_id(std::to_string(index % dataCentres))});
        used.insert(placed.back().dataCentre);
    }
    const auto owners =
            chooseShareOwners(workspace_id("w"), placed, static_cast<std::size_t>(count));
    RC_ASSERT(owners.size() == static_cast<std::size_t>(std::min(count, holders)));
    std::set<data_centre_id> covered;
    for (const auto &owner : owners)
        covered.insert(std::ranges::find(placed, owner, &holder_location::holder)->dataCentre);
    RC_ASSERT(covered.size() == std::min(used.size(), owners.size()));
    std::ranges::reverse(placed);
    RC_ASSERT(chooseShareOwners(workspace_id("w"), placed, static_cast<std::size_t>(count))
              == owners);
}

} // namespace
