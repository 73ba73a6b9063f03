// Tests of the reports between instances: their encoding, what a fleet_table concludes from them,
// and how fast and how truly news spread in fleets of several sizes under faults.

#include "sycamorespan/src/Core/error.h"

#include "test/fleet_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

namespace {

using namespace sycamorespan;
using sycamorespan::testing::fleet_simulation;

constexpr time_point start(1h);

instance_incarnation incarnationOf(const std::string &name, const std::string &dataCentre,
                                   std::uint64_t incarnation = 1)
{
    return {instance_id(name), incarnation, name + ":1", data_centre_id(dataCentre), 0};
}

instance_report reportOf(const instance_incarnation &sender)
{
    instance_report report;
    report.sender = sender;
    report.sentAt = start.time_since_epoch();
    report.flags = {true, true, false, true};
    return report;
}

/** \returns the state of a data centre whose instances have released all views before a revision.
 */
data_centre_state stateOf(const std::string &dataCentre, std::vector<std::uint64_t> incarnations,
                          std::uint64_t releasedThrough = 0)
{
    data_centre_state state;
    state.dataCentre = data_centre_id(dataCentre);
    state.relay = incarnations.front();
    state.releasedThrough = releasedThrough;
    for (const auto incarnation : incarnations)
        state.instances.push_back({incarnation, {true, true, false, true}});
    return state;
}

relay_report relayReportOf(const instance_incarnation &sender,
                           std::vector<data_centre_state> states)
{
    relay_report report;
    report.sender = sender;
    report.dataCentres = std::move(states);
    return report;
}

TEST(MembershipFleet, ReportsSurviveEncoding)
{
    auto report = reportOf(incarnationOf("i1", "a"));
    report.releasedThrough = 12;
    report.news = {4,
                   5,
                   6,
                   7s,
                   8,
                   16s,
                   {{database_id("db"),
                     4,
                     server_id("s"),
                     2,
                     view_phase::ordered,
                     true,
                     9,
                     {{server_id("s"), 3}}}},
                   instance_id("i2"),
                   9,
                   {{database_id("db"), {2, 7}, 15s}}};
    report.observations = {{database_id("db"), 4, 1, 0, 1}};
    report.loads = {{server_id("s"), 3}, {server_id("t"), 0, member_capacity{2.5, 4.25, 40}}};
    EXPECT_EQ(decodeInstanceReport(encode(report)), report);
    auto state = stateOf("a", {1, 2}, 12);
    state.age = 40ms;
    state.attestedAt = 3s;
    state.observations = report.observations;
    state.loads = report.loads;
    const relay_report relayed{report.sender, report.sentAt, report.news, {state}};
    EXPECT_EQ(decodeRelayReport(encode(relayed)), relayed);
}

RC_GTEST_PROP(MembershipFleet, NoBytesCrashTheDecoders, (const std::vector<std::uint8_t> &bytes))
{
    const std::string text(bytes.begin(), bytes.end());
    try {
        static_cast<void>(decodeInstanceReport(text));
    } catch (const decode_error &) { }
    try {
        static_cast<void>(decodeRelayReport(text));
    } catch (const decode_error &) {
        RC_SUCCEED("refused");
    }
}

RC_GTEST_PROP(MembershipFleet, TruncatedReportsAreRejected, ())
{
    const auto sender = incarnationOf("i1", "a");
    const auto whole = *rc::gen::arbitrary<bool>() ? encode(reportOf(sender))
                                                   : encode(relayReportOf(sender, {}));
    const auto size = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT_THROWS_AS(decodeInstanceReport(whole.substr(0, size)), decode_error);
    RC_ASSERT_THROWS_AS(decodeRelayReport(whole.substr(0, size)), decode_error);
}

/** After the start of many instances, a share owner must not wait for the reports of the others
 * before it queries them.
 */
TEST(MembershipFleet, ANewlyRegisteredInstanceMayBeQueriedBeforeItsFirstReport)
{
    fleet_table table(incarnationOf("i0", "a"), {});
    table.setInstances({incarnationOf("i1", "a", 1), incarnationOf("i2", "b", 2)}, 1s, 1, start);
    EXPECT_EQ(table.expectedLive(start + 100ms).size(), 2U);
    table.handle(relayReportOf(incarnationOf("i1", "a", 1), {stateOf("a", {1})}), start + 100ms);
    const auto later = start + fleet_policy{}.stateTimeout + 50ms;
    EXPECT_EQ(table.expectedLive(later), std::vector{incarnationOf("i1", "a", 1)});
    table.refresh(later + 1h);
    EXPECT_TRUE(table.expectedLive(later + 1h).empty());
}

TEST(MembershipFleet, AnInstanceThatCannotReachTheStoreIsNoCandidate)
{
    fleet_table table(incarnationOf("a2", "a", 2), {});
    table.setInstances({incarnationOf("a1", "a", 1)}, 1s, 1, start);
    auto state = stateOf("a", {1});
    table.handle(relayReportOf(incarnationOf("a1", "a", 1), {state}), start);
    const instance_flags own{true, true, false, true};
    ASSERT_EQ(table.candidates(own).size(), 2U);
    EXPECT_EQ(table.candidates(own).front().instance, instance_id("a1"));
    state.instances.front().flags.storeReachable = false;
    table.handle(relayReportOf(incarnationOf("a1", "a", 1), {state}), start + 10ms);
    ASSERT_EQ(table.candidates(own).size(), 1U);
    EXPECT_EQ(table.candidates(own).front().instance, instance_id("a2"));
}

/** The list of candidates is computed once for many queries. */
TEST(MembershipFleet, CandidatesFollowOwnFlagsRestartsAndOutdatedStates)
{
    fleet_table table(incarnationOf("a2", "a", 2), {});
    table.setInstances({incarnationOf("a1", "a", 1)}, 1s, 1, start);
    table.handle(relayReportOf(incarnationOf("a1", "a", 1), {stateOf("a", {1})}), start);
    const instance_flags serving{true, true, false, true};
    const instance_flags stopping{true, true, true, true};
    EXPECT_EQ(table.candidates(serving).size(), 2U);
    EXPECT_EQ(table.candidates(stopping).size(), 1U);
    EXPECT_EQ(table.candidates(serving).size(), 2U);
    EXPECT_EQ(table.liveCount(), 1U);
    table.handle(reportOf(incarnationOf("a1", "a", 7)), start + 10ms);
    EXPECT_EQ(table.candidates(serving).size(), 1U) << "no state has the new incarnation yet";
    EXPECT_EQ(table.liveCount(), 0U);
    table.handle(relayReportOf(incarnationOf("a1", "a", 7), {stateOf("a", {7})}), start + 20ms);
    EXPECT_EQ(table.candidates(serving).size(), 2U);
    table.refresh(start + 20ms + fleet_policy{}.stateTimeout + 1ms);
    EXPECT_EQ(table.candidates(serving).size(), 1U);
}

/** The larger machines get the duties, whatever their names. */
TEST(MembershipFleet, LargerMachinesArePreferredForDuties)
{
    auto large = incarnationOf("z9", "a", 9);
    large.capacity = 500;
    fleet_table table(incarnationOf("a1", "a", 1), {});
    table.setInstances({large}, 1s, 1, start);
    table.handle(relayReportOf(large, {stateOf("a", {9})}), start);
    EXPECT_EQ(table.candidates({true, true, false, true}).front().instance, large.instance);
}

TEST(MembershipFleet, AViewIsReleasedOnceEveryRegisteredInstanceReportsIt)
{
    fleet_table table(incarnationOf("i0", "a"), {});
    const auto relay = incarnationOf("i1", "a", 1);
    table.setInstances({incarnationOf("i0", "a"), relay, incarnationOf("i2", "b", 2)}, 1s, 4,
                       start);
    EXPECT_FALSE(table.released(4));
    table.handle(relayReportOf(relay, {stateOf("a", {1}, 4)}), start);
    EXPECT_FALSE(table.released(4)) << "i2 has not reported";
    table.handle(relayReportOf(relay, {stateOf("a", {1}, 4), stateOf("b", {2}, 4)}), start + 1ms);
    EXPECT_TRUE(table.released(4));
    EXPECT_FALSE(table.released(5));
}

/** An instance that was registered after the list was read could use a view that is being changed.
 */
TEST(MembershipFleet, AViewIsNotReleasedWhileTheListOfInstancesIsOlder)
{
    fleet_table table(incarnationOf("i0", "a"), {});
    const auto relay = incarnationOf("i1", "a", 1);
    table.setInstances({relay}, 1s, 3, start);
    table.handle(relayReportOf(relay, {stateOf("a", {1}, 4)}), start);
    EXPECT_FALSE(table.released(4));
    table.setInstances({relay}, 2s, 4, start);
    EXPECT_TRUE(table.released(4));
}

/** The process has restarted and its new incarnation is registered. */
TEST(MembershipFleet, AnEndedIncarnationIsNotWaitedFor)
{
    fleet_table table(incarnationOf("i0", "a"), {});
    table.setInstances({incarnationOf("i1", "a", 1)}, 1s, 4, start);
    EXPECT_FALSE(table.released(4));
    const auto next = incarnationOf("i1", "a", 2);
    table.setInstances({next}, 2s, 5, start);
    EXPECT_FALSE(table.released(4)) << "the new incarnation may use a view";
    table.handle(relayReportOf(next, {stateOf("a", {2}, 4)}), start);
    EXPECT_TRUE(table.released(4));
}

TEST(MembershipFleet, AttestationsOfAllInstancesCount)
{
    fleet_table table(incarnationOf("i0", "a"), {});
    const auto relay = incarnationOf("i1", "a", 1);
    table.setInstances({relay, incarnationOf("i2", "b", 2)}, 1s, 1, start);
    auto near = stateOf("a", {1});
    auto far = stateOf("b", {2});
    near.attestedAt = 14s;
    far.attestedAt = 13s;
    near.viewsDigest = far.viewsDigest = 7;
    near.instancesDigest = far.instancesDigest = table.instancesDigest();
    table.handle(relayReportOf(relay, {near, far}), start);
    EXPECT_EQ(table.attestedAt(7), reference_time(13s));
    EXPECT_FALSE(table.attestedAt(8)) << "the attestations are for other views";
    far.instances.front().flags.attests = false;
    table.handle(relayReportOf(relay, {far}), start + 1ms);
    EXPECT_FALSE(table.attestedAt(7)) << "i2 does not attest any more";
}

/** An instance that the others don't know could have begun a change. */
TEST(MembershipFleet, AttestationsOfInstancesWithAnotherListDoNotCount)
{
    fleet_table table(incarnationOf("i0", "a"), {});
    const auto relay = incarnationOf("i1", "a", 1);
    table.setInstances({relay}, 1s, 1, start);
    auto state = stateOf("a", {1});
    state.attestedAt = 14s;
    state.instancesDigest = table.instancesDigest();
    state.instances.front().flags.knowsSameInstances = false;
    table.handle(relayReportOf(relay, {state}), start);
    EXPECT_FALSE(table.attestedAt(0));
    state.instances.front().flags.knowsSameInstances = true;
    state.instancesDigest += 1;
    table.handle(relayReportOf(relay, {state}), start + 1ms);
    EXPECT_FALSE(table.attestedAt(0));
}

/** Instances that get the list from each other must agree on its digest. */
TEST(MembershipFleet, AListThatWasPassedOnHasTheSameDigest)
{
    const auto sender = incarnationOf("i0", "a", 1);
    fleet_table table(sender, {});
    table.setInstances({sender, incarnationOf("i1", "a", 2)}, 1s, 4, start);
    table.handle(relayReportOf(incarnationOf("i1", "a", 3), {}), start); // it has restarted
    fleet_table receiver(incarnationOf("i1", "a", 3), {});
    receiver.setInstances(table.registered(), table.instancesReadAt(), table.instancesRevision(),
                          start);
    EXPECT_EQ(receiver.instancesDigest(), table.instancesDigest());
}

TEST(MembershipFleet, AQuorumNeedsMoreThanHalfOfTheRegisteredInstances)
{
    fleet_table table(incarnationOf("i0", "a"), {});
    const auto relay = incarnationOf("i1", "a", 1);
    std::vector<instance_incarnation> registered{relay};
    for (std::uint64_t number = 2; number <= 5; ++number)
        registered.push_back(incarnationOf("i" + std::to_string(number), "b", number));
    table.setInstances(registered, 1s, 4, start); // six with this one
    const auto near = stateOf("a", {1}, 4);
    table.handle(relayReportOf(relay, {near, stateOf("b", {2}, 4)}), start);
    EXPECT_FALSE(table.releasedByQuorum(4, true)) << "three of six";
    auto far = stateOf("b", {2, 3}, 4);
    far.attestedAt = 3s;
    far.instancesDigest = table.instancesDigest();
    table.handle(relayReportOf(relay, {near, far}), start + 1ms);
    EXPECT_TRUE(table.releasedByQuorum(4, true)) << "four of six";
    EXPECT_FALSE(table.releasedByQuorum(4, false));
    EXPECT_FALSE(table.attestedByQuorumAt(0)) << "i1 does not attest";
    auto attesting = near;
    attesting.attestedAt = 2s;
    attesting.instancesDigest = table.instancesDigest();
    table.handle(relayReportOf(relay, {attesting}), start + 2ms);
    EXPECT_EQ(table.attestedByQuorumAt(0), reference_time(2s));
}

TEST(MembershipFleet, IsolationFromAllOtherDataCentresIsDetected)
{
    fleet_simulation fleet(12, 3, 1);
    fleet.loss = 0;
    fleet.advance(2s);
    EXPECT_TRUE(fleet.all(
            [&](auto &each) { return each.table.hearsOtherDataCentres(fleet.now) == true; }));
    fleet.isolated = {0};
    const auto isolatedNotice = [&] {
        for (std::size_t number = 0; number < fleet.instances.size(); ++number)
            if (fleet.dataCentreOf(number) == 0
                && fleet.instances[number].table.hearsOtherDataCentres(fleet.now) != false)
                return false;
        return true;
    };
    EXPECT_LE(fleet.timeUntil(isolatedNotice, 5s), fleet_policy{}.dataCentreTimeout + 250ms);
    for (std::size_t number = 0; number < fleet.instances.size(); ++number)
        if (fleet.dataCentreOf(number) != 0)
            EXPECT_EQ(fleet.instances[number].table.hearsOtherDataCentres(fleet.now), true);
}

struct fleet_size
{
    std::size_t instances;
    std::size_t dataCentres;
};

class membership_fleet_sizes : public ::testing::TestWithParam<fleet_size>
{ };

/** A new version, as it reaches one instance from the store. */
TEST_P(membership_fleet_sizes, NewsReachAllInstancesWithinASecond)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 3);
    fleet.advance(1s);
    fleet.publish(fleet.instances.size() - 1, 7);
    const auto known = [&] { return fleet.all([](auto &each) { return each.version == 7; }); };
    EXPECT_LE(fleet.timeUntil(known, 5s), 1s);
}

/** A view is withdrawn: the supervisor learns that all instances have released it. */
TEST_P(membership_fleet_sizes, AReleaseIsKnownWithinASecond)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 4);
    fleet.advance(1s);
    for (std::size_t number = 0; number < fleet.instances.size(); ++number)
        fleet.release(number, 1);
    const auto known = [&] { return fleet.instances.front().table.released(1); };
    EXPECT_LE(fleet.timeUntil(known, 5s), 1s);
}

/** Instances end: all others notice within two seconds. */
TEST_P(membership_fleet_sizes, TheLossOfATenthIsKnownWithinTwoSeconds)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 5);
    fleet.advance(1s);
    const auto count = std::max<std::size_t>(fleet.instances.size() / 10, 1);
    std::set<instance_id> lost;
    for (std::size_t number = 0; number < count; ++number) {
        fleet.instances[number].isUp = false;
        lost.insert(fleet.instances[number].table.self().instance);
    }
    const auto known = [&] {
        return fleet.all([&](auto &each) {
            each.table.refresh(fleet.now);
            const auto live = each.table.live();
            return live.size() == fleet.instances.size() - 1 - lost.size();
        });
    };
    EXPECT_LE(fleet.timeUntil(known, 5s), 2s);
}

/** Both relays of a data centre end at the same time. */
TEST_P(membership_fleet_sizes, NewsSpreadAfterTheLossOfAllRelaysOfADataCentre)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 6);
    fleet.advance(1s);
    for (std::size_t number = 0; number < 2; ++number)
        fleet.instances[number * GetParam().dataCentres].isUp = false;
    fleet.advance(100ms);
    fleet.publish(1, 9);
    const auto known = [&] { return fleet.all([](auto &each) { return each.version == 9; }); };
    EXPECT_LE(fleet.timeUntil(known, 5s), 2s);
}

/** Load pattern: a data centre that was cut off comes back, and all its callers with it. Each data
 * centre had searched for a relay of the other ones for longer than a search of all instances
 * takes.
 */
TEST_P(membership_fleet_sizes, DataCentresHearEachOtherSoonAfterACut)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 8);
    fleet.advance(1s);
    fleet.isolated = {0};
    fleet.advance(9s);
    fleet.isolated.clear();
    const auto others = fleet.instances.size() - 1;
    const auto allHeard = [&] {
        return fleet.all([&](auto &each) { return each.table.live().size() == others; });
    };
    EXPECT_LE(fleet.timeUntil(allHeard, 20s), 1s);
}

/** Bytes between data centres in calm, for each instance. They must not grow with the fleet. */
TEST_P(membership_fleet_sizes, BytesBetweenDataCentresDoNotGrowWithTheFleet)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 7);
    fleet.advance(1s);
    fleet.bytesBetweenDataCentres = 0;
    fleet.advance(2s);
    constexpr std::size_t limitPerInstance = 2000; // bytes a second, the users' limit for control
    EXPECT_LE(fleet.bytesBetweenDataCentres / 2 / fleet.instances.size(), limitPerInstance);
    RecordProperty("bytes_per_instance_and_second",
                   static_cast<int>(fleet.bytesBetweenDataCentres / 2 / fleet.instances.size()));
}

/** Load pattern: instances that are short of processor time find primaries unresponsive and
 * responsive again by turns. Their suspicions must not multiply the reports, which would take the
 * rest of that time.
 */
TEST_P(membership_fleet_sizes, SuspicionsThatComeAndGoDoNotMultiplyTheReports)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 9);
    fleet.advance(1s);
    const auto sentIn = [&](duration time, bool suspicious) {
        std::size_t before = 0;
        std::size_t after = 0;
        for (const auto &each : fleet.instances)
            before += each.messagesSent;
        for (const auto end = fleet.now + time; fleet.now < end; fleet.advance(50ms))
            for (std::size_t number = 0; number < fleet.instances.size(); ++number)
                fleet.suspect(number, suspicious && fleet.chance(0.3));
        for (const auto &each : fleet.instances)
            after += each.messagesSent;
        return after - before;
    };
    const auto calm = sentIn(5s, false);
    EXPECT_LE(sentIn(5s, true), 3 * calm);
}

/** The first suspicion after a calm time is passed on at once. */
TEST_P(membership_fleet_sizes, AFirstSuspicionIsKnownSoonerThanTheNextRegularReport)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 10);
    fleet.advance(3s);
    fleet.suspect(fleet.instances.size() - 1, true);
    const auto known = [&] {
        return fleet.instances.front().table.observationOf(database_id("db"), 1).suspecting > 0;
    };
    EXPECT_LE(fleet.timeUntil(known, 5s), 100ms);
}

/** Load pattern: primaries fail over while many instances suspect them. The views are withdrawn
 * during the suspicions, which have used up the urgent reports.
 */
TEST_P(membership_fleet_sizes, AReleaseDoesNotWaitForSuspicions)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 11);
    fleet.loss = 0;
    fleet.advance(1s);
    const auto flicker = [&] {
        for (std::size_t number = 0; number < fleet.instances.size(); ++number)
            fleet.suspect(number, fleet.chance(0.3));
    };
    for (const auto end = fleet.now + 5s; fleet.now < end; fleet.advance(50ms))
        flicker();
    flicker();
    for (std::size_t number = 0; number < fleet.instances.size(); ++number)
        fleet.release(number, 1);
    const auto known = [&] { return fleet.instances.front().table.released(1); };
    EXPECT_LE(fleet.timeUntil(known, 5s), 100ms);
}

/** The same, where each instance that releases has used up its own urgent reports too. */
TEST_P(membership_fleet_sizes, AReleaseDoesNotWaitForOwnSuspicions)
{
    fleet_simulation fleet(GetParam().instances, GetParam().dataCentres, 12);
    fleet.loss = 0;
    fleet.advance(1s);
    const auto flicker = [&](bool suspects) {
        for (std::size_t number = 0; number < fleet.instances.size(); ++number)
            fleet.suspect(number, suspects);
    };
    for (const auto end = fleet.now + 5s; fleet.now < end; fleet.advance(30ms)) {
        flicker(true);
        fleet.advance(20ms);
        flicker(false);
    }
    flicker(true);
    for (std::size_t number = 0; number < fleet.instances.size(); ++number)
        fleet.release(number, 1);
    const auto known = [&] { return fleet.instances.front().table.released(1); };
    EXPECT_LE(fleet.timeUntil(known, 5s), 100ms);
}

INSTANTIATE_TEST_SUITE_P(Sizes, membership_fleet_sizes,
                         ::testing::Values(fleet_size{6, 4}, fleet_size{62, 3}, fleet_size{195, 6}),
                         [](const auto &info) {
                             return std::to_string(info.param.instances) + "Instances";
                         });

/** The size that the users plan for: news, a release and the loss of one data centre's relays. */
TEST(MembershipFleet, NewsSpreadAtThePlannedSize)
{
    constexpr std::size_t dataCentres = 11;
    fleet_simulation fleet(900, dataCentres, 8);
    fleet.advance(700ms);
    fleet.publish(fleet.instances.size() - 1, 7);
    for (std::size_t number = 0; number < fleet.instances.size(); ++number)
        fleet.release(number, 1);
    const auto known = [&] { return fleet.all([](auto &each) { return each.version == 7; }); };
    EXPECT_LE(fleet.timeUntil(known, 5s), 1s);
    const auto released = [&] { return fleet.instances.front().table.released(1); };
    EXPECT_LE(fleet.timeUntil(released, 5s), 1s);
    fleet.instances[0].isUp = false;
    fleet.instances[dataCentres].isUp = false;
    fleet.publish(1, 9);
    const auto knownAgain = [&] { return fleet.all([](auto &each) { return each.version == 9; }); };
    EXPECT_LE(fleet.timeUntil(knownAgain, 5s), 2s);
}

/** Cuts, one-way links, freezes, losses and restarts. A view never counts as released before every
 * running instance of the list has released it, and nobody attests for an instance that doesn't.
 * FLEET_SCHEDULES raises the number of schedules.
 */
TEST(MembershipFleet, NothingIsConcludedThatIsNotTrue)
{
    const char *requested = std::getenv("FLEET_SCHEDULES");
    const std::uint32_t schedules = requested ? std::stoul(requested) : 200;
    std::size_t released = 0;
    std::size_t extended = 0;
    for (std::uint32_t seed = 1; seed <= schedules; ++seed) {
        fleet_simulation fleet(9, 3, seed);
        fleet.loss = 0.05;
        std::uint64_t revision = 1;
        std::vector<std::optional<reference_time>> stoppedAttesting(fleet.instances.size());
        std::map<std::uint64_t, reference_time> quorums; ///< when one was first seen, by revision
        for (int step = 0; step < 60; ++step) {
            const auto number = static_cast<std::size_t>(fleet.delay(8us).count());
            auto &each = fleet.instances[number];
            if (fleet.chance(0.07))
                each.frozenUntil = fleet.now + fleet.delay(3s);
            if (fleet.chance(0.1))
                fleet.isolated = fleet.chance(0.4) ? std::set<std::size_t>{number % 3}
                                                   : std::set<std::size_t>{};
            if (fleet.chance(0.2))
                fleet.cutLinks.insert({number, (number + 1 + step) % fleet.instances.size()});
            if (fleet.chance(0.1))
                fleet.cutLinks.clear();
            if (fleet.chance(0.05)) {
                fleet.restart(number);
                stoppedAttesting[number].reset();
            }
            if (fleet.chance(0.07))
                revision = fleet.withdrawView();
            for (std::size_t reader = 0; reader < fleet.instances.size(); ++reader)
                if (fleet.chance(0.15)) {
                    fleet.readRows(reader, revision);
                    stoppedAttesting[reader].reset();
                }
            for (std::size_t other = 0; other < fleet.instances.size(); ++other)
                if (fleet.chance(0.3) && fleet.now >= fleet.instances[other].frozenUntil)
                    fleet.release(other, fleet.instances[other].viewsDigest); // which it knows
            if (fleet.chance(0.1)) {
                each.attests = !each.attests;
                stoppedAttesting[number].reset();
                if (!each.attests)
                    stoppedAttesting[number] = fleet.now.time_since_epoch();
            }
            fleet.advance(fleet.delay(400ms));
            for (auto &observer : fleet.instances) {
                observer.table.refresh(fleet.now);
                if (observer.table.released(revision)) {
                    ++released;
                    for (const auto &other : fleet.instances) {
                        const bool isOther = &other != &observer;
                        const bool isListed =
                                observer.table.incarnationOf(other.table.self().instance)
                                == other.table.self();
                        ASSERT_TRUE(!isOther || !isListed || other.releasedThrough >= revision)
                                << "seed " << seed << " step " << step;
                    }
                }
                const bool ownReleased = observer.releasedThrough >= revision;
                if (observer.table.releasedByQuorum(revision, ownReleased))
                    quorums.try_emplace(revision, fleet.now.time_since_epoch());
                for (const auto &[changed, seenAt] : quorums) {
                    const auto extendedTo = observer.table.attestedByQuorumAt(observer.viewsDigest);
                    if (observer.viewsDigest >= changed || !extendedTo)
                        continue;
                    ++extended;
                    ASSERT_LE(*extendedTo, seenAt) << "seed " << seed << " step " << step;
                }
                const auto attested = observer.table.attestedAt(1);
                for (std::size_t other = 0; attested && other < fleet.instances.size(); ++other)
                    if (&fleet.instances[other] != &observer && stoppedAttesting[other])
                        ASSERT_LE(*attested, *stoppedAttesting[other])
                                << "seed " << seed << " step " << step;
            }
        }
    }
    EXPECT_GT(released, schedules) << "the schedules must cause releases";
    EXPECT_GT(extended, 0U) << "and extensions beside a quorum that has released";
}

} // namespace
