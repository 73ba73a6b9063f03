// Evacuation of data centres, homes and the warm-up of members: which members a statement may run
// on. Load pattern: ordinary reads and writes while operators take data centres out of use.

#include "dispatch_harness.h"

#include "programs/node/operator_rows.h"

#include "sycamorespan/src/Membership/evacuation_list.h"
#include "sycamorespan/src/Membership/fleet_messages.h"
#include "sycamorespan/src/Membership/server_roster.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <utility>

namespace {

using namespace sycamorespan;
using test::dispatch_harness;

const data_centre_id a("a");
const data_centre_id b("b");
const data_centre_id c("c");
using names = std::set<data_centre_id>;

constexpr duration timeout = 5s;

/** \brief A dispatcher that applies evacuations and homes. */
class access_harness : public dispatch_harness
{
public:
    explicit access_harness(consistency reads)
        : dispatch_harness(reads)
    {
        subject.setAccess(access_policy::forTimeout(timeout),
                          {{a, area_id("north")}, {b, area_id("south")}, {c, area_id("south")}});
        configure([](service_directory &) {});
        useServers();
        if (reads != consistency::latest)
            subject.addFloor(database, {{1, 7}, now - 1s}, now);
    }

    void configure(const std::function<void(service_directory &)> &change)
    {
        service_directory directory;
        directory.version = ++m_version;
        service_route route;
        route.database = database;
        route.reads = consistency::latest;
        route.statementTimeout = 1s;
        route.latencyObjective = 400ms;
        directory.routes.emplace("sales", route);
        route.reads = consistency::boundedStaleness;
        route.maxStaleness = 1500ms;
        directory.routes.emplace("browse", route);
        directory.keyOwners.emplace(callerKey, workspace);
        directory.workspaces[workspace] = {1000, 1000};
        directory.databases[database] = {12, 1};
        change(directory);
        collect(subject.setDirectory(std::make_shared<service_directory>(directory), now));
    }

    void useServers()
    {
        subject.setEvacuations(evacuations, now);
        collect(subject.setServers(evacuations.marked(servers), now));
    }

    void evacuate(const data_centre_id &dataCentre, bool requested)
    {
        evacuations.put(dataCentre, requested, ++m_revision);
        useServers();
    }

    /** Sends reads of new sessions, of which 25 run or wait at a time, and answers them.
     * \returns how many each server got
     */
    std::map<server_id, int> read(int count)
    {
        constexpr int concurrent = 25;
        std::map<server_id, int> placed;
        for (int number = 0; number < count; number += concurrent) {
            auto answered = sentCount();
            for (int index = 0; index < std::min(concurrent, count - number); ++index) {
                const auto session = ++m_session;
                collect(subject.callerConnected(session, "browse", callerKey, now));
                request(session, "READ x");
            }
            for (; answered < sentCount(); ++answered) {
                const auto connection =
                        outputsOf<dispatch_action::send_to_member>()[answered].connection;
                ++placed[serverOf(connection)];
                answer(connection);
            }
        }
        return placed;
    }

    evacuation_list evacuations;

private:
    std::uint64_t m_version = 1;
    std::uint64_t m_revision = 0;
    session_number m_session = 1000;
};

TEST(EvacuationList, AWithdrawalIsNotUndoneByAnOlderCopy)
{
    evacuation_list list;
    EXPECT_TRUE(list.put(a, true, 10));
    EXPECT_TRUE(list.put(a, false, 11));
    EXPECT_FALSE(list.put(a, true, 10));
    EXPECT_FALSE(list.replace({a}, 10, 10));
    EXPECT_FALSE(list.contains(a));
    EXPECT_TRUE(list.replace({a}, 12)) << "requested again";
    EXPECT_FALSE(list.put(a, false, 11));
    EXPECT_TRUE(list.contains(a));
}

TEST(EvacuationList, AnInstanceThatWasCutOffTakesWhatItMissed)
{
    evacuation_list cutOff;
    cutOff.put(a, true, 10);
    evacuation_list fresh; // it has read the store after the withdrawal, and never knew the request
    fresh.replace({}, 20);
    EXPECT_GT(fresh.revision(), cutOff.knownThrough()) << "its reports make the other one fetch";
    EXPECT_TRUE(cutOff.replace(fresh.dataCentres(), fresh.knownThrough(), fresh.revision()));
    EXPECT_FALSE(cutOff.contains(a));
}

TEST(EvacuationList, AReadThatConfirmsWhatIsKnownMakesNobodyFetch)
{
    evacuation_list list;
    list.replace({a}, 10);
    list.replace({a}, 20);
    EXPECT_EQ(list.revision(), 10U);
    EXPECT_EQ(list.knownThrough(), 20U);
}

TEST(EvacuationList, TwoDataCentresAreIndependent)
{
    evacuation_list list;
    list.put(a, true, 1);
    list.put(b, true, 2);
    list.put(a, false, 3);
    EXPECT_EQ(list.dataCentres(), names{b});
}

TEST(EvacuationList, ReportsCarryTheRevision)
{
    instance_report report;
    report.news.evacuationsRevision = 7;
    EXPECT_EQ(decodeInstanceReport(encode(report)).news.evacuationsRevision, 7U);
}

TEST(Evacuation, ReadsLeaveAtOnceAndReturnInSteps)
{
    access_harness harness(consistency::boundedStaleness);
    EXPECT_GT(harness.read(300)[server_id("s3")], 50);
    harness.evacuate(c, true);
    EXPECT_EQ(harness.read(300)[server_id("s3")], 0);
    harness.advance(timeout);
    harness.evacuate(c, false);
    EXPECT_LT(harness.read(300)[server_id("s3")], 5);
    harness.advance(timeout / 2);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    const auto half = harness.read(300)[server_id("s3")];
    EXPECT_GT(half, 15);
    harness.advance(timeout);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    EXPECT_GT(harness.read(300)[server_id("s3")], half);
}

TEST(Evacuation, TheOnlyUsableMemberServesUntilHalfOfTheTimeAndThenItIsRefusedAtOnce)
{
    access_harness harness(consistency::boundedStaleness);
    for (const auto &dataCentre : {a, b, c})
        harness.evacuate(dataCentre, true);
    EXPECT_FALSE(harness.read(5).empty());
    harness.advance(timeout / 2);
    const auto sent = harness.sentCount();
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::busy);
    EXPECT_TRUE(harness.read(5).empty());
    EXPECT_EQ(harness.sentCount(), sent) << "nothing at all is sent";
    for (const auto &dataCentre : {a, b, c})
        EXPECT_EQ(harness.subject.connectionsTo(dataCentre), 0U);
    harness.evacuate(a, false);
    harness.request(1, "WRITE x 1");
    EXPECT_GT(harness.sentCount(), sent);
}

TEST(Evacuation, AnOpenTransactionIsRolledBackInTimeWithoutAStatementToTheMember)
{
    access_harness harness(consistency::latest);
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.evacuate(a, true);
    harness.request(1, "WRITE x 2");
    harness.answer(connection, session_state::inTransaction);
    const auto sent = harness.sentCount();
    harness.advance(timeout / 2 + 20ms);
    EXPECT_EQ(harness.outputsOf<dispatch_action::close_member>().back().connection, connection);
    harness.request(1, "COMMIT");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.sentCount(), sent);
}

TEST(Evacuation, AStatementThatRunsIsAnsweredAndItsTransactionEnds)
{
    access_harness harness(consistency::latest);
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.evacuate(a, true);
    harness.advance(timeout / 2 - 200ms);
    harness.request(1, "WRITE x 2");
    harness.advance(400ms);
    harness.answer(connection, session_state::inTransaction);
    EXPECT_TRUE(harness.lastReply().succeeded());
    const auto sent = harness.sentCount();
    harness.request(1, "COMMIT");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.sentCount(), sent);
}

/** Requests a write, and expects it to be refused without a statement to a member. */
void expectRefusedWrite(access_harness &harness)
{
    const auto sent = harness.sentCount();
    const auto replies = harness.replyCount();
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(harness.sentCount(), sent);
    ASSERT_EQ(harness.replyCount(), replies + 1);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::busy);
}

TEST(Evacuation, AStatementWhoseSetupIsAnsweredTooLateIsNotSentToTheMember)
{
    access_harness harness(consistency::latest);
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.evacuate(a, true);
    harness.advance(timeout / 2 - 200ms);
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    const auto sent = harness.sentCount();
    harness.advance(220ms);
    harness.answer(connection);
    harness.advance(1s);
    EXPECT_EQ(harness.sentCount(), sent);
    EXPECT_EQ(harness.replyCount(), 2U);
    EXPECT_NE(dispatch_harness::codeOf(harness.lastReply()), statement_error::inDoubt);
}

TEST(Evacuation, ATransactionWhoseBeginIsAnsweredTooLateIsClosedWithoutAStatementToTheMember)
{
    access_harness harness(consistency::latest);
    harness.connect(1);
    harness.evacuate(a, true);
    harness.advance(timeout / 2 - 200ms);
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    const auto sent = harness.sentCount();
    harness.advance(220ms);
    harness.answer(connection, session_state::inTransaction);
    EXPECT_EQ(harness.sentCount(), sent);
    ASSERT_EQ(harness.outputsOf<dispatch_action::close_member>().size(), 1U);
    EXPECT_EQ(harness.outputsOf<dispatch_action::close_member>().back().connection, connection);
}

TEST(Evacuation, ItsTimeDoesNotBeginAgainForMembersThatRestartOrJoin)
{
    access_harness harness(consistency::latest);
    harness.evacuate(a, true);
    harness.advance(timeout / 2);
    harness.servers[0].startedAtMs = 5;
    harness.useServers();
    expectRefusedWrite(harness);
    const auto restarted = std::exchange(harness.servers, {});
    harness.useServers(); // no member of the data centre is listed for a while
    harness.servers = restarted;
    harness.useServers();
    expectRefusedWrite(harness);
}

TEST(Evacuation, AnInstanceThatStartsDuringItSendsNothingThere)
{
    access_harness harness(consistency::latest);
    harness.evacuations.replace({a}, 10);
    harness.useServers();
    expectRefusedWrite(harness);
}

TEST(Evacuation, AnInstanceThatHearsOfARequestLetsTheMembersServeForItsTime)
{
    access_harness harness(consistency::latest);
    harness.evacuations.replace({}, 10);
    harness.evacuations.replace({a}, 20);
    harness.useServers();
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(harness.sentCount(), 1U);
}

TEST(Evacuation, ItIsInForceBeforeTheConfigurationOfTheSameRead)
{
    using node::operator_rows;
    node::event_log log(line_budget_policy{}, STDERR_FILENO);
    node::node_metrics metrics;
    node::rejected_entries rejected(log, metrics);
    std::vector<std::string> calls;
    operator_rows rows(log, rejected, true,
                       {[&](const auto &) { calls.emplace_back("configuration"); },
                        [&] { calls.emplace_back("evacuations"); },
                        [](const auto &, time_point) { return false; },
                        [](const auto &) { return std::size_t{0}; }});
    platform::store_rows content;
    content.revision = 5;
    content.rows = {{"op", std::string(platform::configurationKey), R"({"version":1})", 1, false},
                    {"op", "evacuate/a", "{}", 2, false}};
    rows.apply(content, true);
    EXPECT_EQ(calls, (std::vector<std::string>{"evacuations", "configuration"}));
}

TEST(Homes, AStatementRunsOnlyInAreasThatRouteAndWorkspaceAllow)
{
    access_harness harness(consistency::boundedStaleness);
    harness.configure([](service_directory &directory) {
        directory.routes["browse"].homes = {area_id("south")};
    });
    EXPECT_EQ(harness.read(50)[server_id("s1")], 0);
    harness.configure([&](service_directory &directory) {
        directory.routes["browse"].homes = {area_id("south")};
        directory.workspaceHomes[harness.workspace] = {area_id("north")};
    });
    const auto sent = harness.sentCount();
    EXPECT_TRUE(harness.read(5).empty()) << "both bind, and no area is in both";
    EXPECT_EQ(harness.sentCount(), sent);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::busy);
}

TEST(Homes, AWriteWhosePrimaryIsElsewhereIsRefusedAtOnce)
{
    access_harness harness(consistency::latest);
    harness.configure([](service_directory &directory) {
        directory.routes["sales"].homes = {area_id("south")};
    });
    harness.connect(1);
    const auto sent = harness.sentCount();
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(harness.sentCount(), sent);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::busy);
}

/** Gives the database a warm-up rate and lets the first \a cold members be slow after their start.
 */
void warmUp(access_harness &harness, std::size_t cold, double rate)
{
    harness.configure([&](service_directory &directory) {
        directory.databases[harness.database].warmUp = 10s;
        directory.databases[harness.database].warmUpRatePerSecond = rate;
    });
    for (std::size_t index = 0; index < cold; ++index)
        harness.servers[index].warmUpLeft = 10s;
    harness.useServers();
    harness.subject.setRegisteredInstances(instance_id("i1"), {instance_id("i1")}, harness.now);
}

TEST(WarmUp, ReadsGoElsewhereOnceTheShareIsUsedUp)
{
    access_harness harness(consistency::boundedStaleness);
    warmUp(harness, 1, 4);
    EXPECT_EQ(harness.read(100)[server_id("s1")], 0) << "an interval has to pass first";
    harness.advance(500ms);
    EXPECT_LE(harness.read(100)[server_id("s1")], 1);
}

TEST(WarmUp, AWriteWaitsForTheRateOfAColdPrimaryOrIsRefusedWithATrueTime)
{
    access_harness harness(consistency::latest);
    warmUp(harness, 1, 4); // half is given out: one each 500 ms
    for (session_number session = 1; session <= 4; ++session) {
        harness.connect(session);
        harness.request(session, "WRITE x 1");
    }
    EXPECT_EQ(harness.sentCount(), 0U);
    const auto refused = harness.replyCount();
    EXPECT_GT(refused, 0U) << "the second is due at its deadline";
    const auto text = std::get<rejected>(harness.lastReply().result).text;
    EXPECT_NE(text.find("retry after 1000 ms"), std::string::npos) << text;
    harness.advance(520ms);
    EXPECT_EQ(harness.sentCount(), 1U);
}

/** Opens a transaction that has written, on a primary that then becomes cold. */
connection_id openColdTransaction(access_harness &harness, double rate)
{
    const auto connection = harness.openTransaction("WRITE x 1");
    warmUp(harness, 1, rate);
    return connection;
}

TEST(WarmUp, ACommitThatWasNeverSentIsRolledBackWhenItsConnectionIsLost)
{
    access_harness harness(consistency::latest);
    const auto connection = openColdTransaction(harness, 4); // the first is due after 500 ms
    const auto sent = harness.sentCount();
    harness.request(1, "COMMIT");
    EXPECT_EQ(harness.sentCount(), sent);
    harness.collect(harness.subject.closed(connection, std::nullopt, harness.now));
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.lastReply().state, session_state::idle);
}

TEST(WarmUp, ACommitIsRolledBackAtOnceIfTheMemberCannotTakeItInItsTime)
{
    access_harness harness(consistency::latest);
    const auto connection = openColdTransaction(harness, 1); // the first is due after 2 s
    const auto replies = harness.replyCount();
    harness.request(1, "COMMIT");
    ASSERT_EQ(harness.replyCount(), replies + 1);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.lastSent().connection, connection);
    EXPECT_TRUE(std::holds_alternative<member_statement::rollback>(
            harness.lastSent().statements.back()))
            << "the locks of the transaction are released";
}

TEST(WarmUp, AnotherStatementIsRefusedAtOnceWithoutAShareAndItsTransactionEnds)
{
    access_harness harness(consistency::latest);
    openColdTransaction(harness, 4);
    harness.subject.setRegisteredInstances(instance_id("i1"), {instance_id("i2")}, harness.now);
    const auto replies = harness.replyCount();
    harness.request(1, "WRITE x 2");
    ASSERT_EQ(harness.replyCount(), replies + 1);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_TRUE(std::holds_alternative<member_statement::rollback>(
            harness.lastSent().statements.back()));
}

TEST(WarmUp, AHeldStatementKeepsItsTurn)
{
    access_harness harness(consistency::latest);
    const auto connection = openColdTransaction(harness, 4);
    harness.request(1, "COMMIT");
    const auto sent = harness.sentCount();
    harness.now += 500ms;
    harness.connect(2);
    harness.request(2, "WRITE x 1");
    EXPECT_EQ(harness.sentCount(), sent) << "the turn is that of the held statement";
    harness.advance(20ms);
    ASSERT_EQ(harness.sentCount(), sent + 1);
    EXPECT_EQ(harness.lastSent().connection, connection);
    harness.answer(connection);
    EXPECT_TRUE(harness.lastReply().succeeded());
}

TEST(WarmUp, AHeldStatementWhoseTimePassesIsRolledBack)
{
    access_harness harness(consistency::latest);
    const auto connection = openColdTransaction(harness, 4);
    harness.request(1, "COMMIT");
    harness.now += 2s; // the instance was stopped meanwhile
    harness.collect(harness.subject.tick(harness.now));
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.lastSent().connection, connection);
    EXPECT_TRUE(std::holds_alternative<member_statement::rollback>(
            harness.lastSent().statements.back()));
}

TEST(WarmUp, TheShareIsKnownAsSoonAsAMemberIsCold)
{
    const instance_id self("i1");
    access_harness harness(consistency::latest);
    harness.configure([&](service_directory &directory) {
        directory.databases[harness.database].warmUpRatePerSecond = 4;
    });
    harness.subject.setRegisteredInstances(self, {self}, harness.now);
    harness.servers[0].warmUpLeft = 10s;
    harness.useServers(); // the member becomes cold
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(harness.replyCount(), 0U) << "it waits for its turn";
    harness.advance(520ms);
    EXPECT_EQ(harness.sentCount(), 1U);

    access_harness other(consistency::latest);
    other.servers[0].warmUpLeft = 10s;
    other.useServers();
    other.subject.setRegisteredInstances(self, {self}, other.now);
    other.configure([&](service_directory &directory) {
        directory.databases[other.database].warmUpRatePerSecond = 4; // the rate appears
    });
    other.connect(1);
    other.request(1, "WRITE x 1");
    EXPECT_EQ(other.replyCount(), 0U);
    other.advance(520ms);
    EXPECT_EQ(other.sentCount(), 1U);
}

TEST(WarmUp, WhatPreparesASessionCounts)
{
    access_harness harness(consistency::latest);
    warmUp(harness, 1, 4);
    harness.connect(1);
    harness.request(1, "SET tz utc");
    harness.request(1, "WRITE x 1");
    harness.advance(600ms);
    ASSERT_EQ(harness.sentCount(), 1U);
    ASSERT_EQ(harness.lastSent().statements.size(), 1U);
    harness.answer(harness.lastSent().connection);
    ASSERT_EQ(harness.sentCount(), 2U);
    ASSERT_EQ(harness.lastSent().statements.size(), 1U);
    harness.answer(harness.lastSent().connection);
    harness.connect(2);
    harness.request(2, "WRITE x 1");
    harness.advance(800ms);
    EXPECT_EQ(harness.sentCount(), 2U) << "the two used the turns at 500 ms and 1000 ms";
    harness.advance(120ms);
    EXPECT_EQ(harness.sentCount(), 3U);
}

TEST(WarmUp, ARollbackCounts)
{
    access_harness harness(consistency::latest);
    const auto connection = openColdTransaction(harness, 4);
    harness.request(1, "ROLLBACK");
    harness.answer(connection);
    const auto sent = harness.sentCount();
    harness.advance(100ms);
    harness.connect(2);
    harness.request(2, "WRITE x 1");
    harness.advance(840ms);
    EXPECT_EQ(harness.sentCount(), sent) << "the turn at 500 ms is that of the rollback";
    harness.advance(80ms);
    EXPECT_EQ(harness.sentCount(), sent + 1);
}

TEST(WarmUp, ItsProgressIsNoChangeOfTheServerList)
{
    server_roster roster{roster_policy{}};
    server_entry entry;
    entry.id = server_id("s1");
    entry.warmUpLeft = 10s;
    roster.put(entry);
    EXPECT_TRUE(roster.takeListChanged());
    entry.warmUpLeft = 9s;
    roster.put(entry);
    EXPECT_TRUE(roster.takeEntriesChanged());
    EXPECT_FALSE(roster.takeListChanged());
    entry.state = server_state::draining;
    entry.warmUpLeft = 8s;
    roster.put(entry);
    EXPECT_TRUE(roster.takeListChanged());
    EXPECT_EQ(roster.draining(), "s1");
}

TEST(WarmUp, AnEvacuationDoesNotOverrunAColdMember)
{
    access_harness harness(consistency::boundedStaleness);
    warmUp(harness, 1, 4);
    harness.evacuate(b, true);
    harness.evacuate(c, true);
    harness.advance(timeout / 2 + 1s);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    EXPECT_EQ(harness.read(100)[server_id("s1")], 1) << "the only one that may serve";
}

TEST(WarmUp, AMemberWithoutARateOrWithAnEndedWarmUpIsNotLimited)
{
    access_harness harness(consistency::boundedStaleness);
    warmUp(harness, 1, 0);
    EXPECT_GT(harness.read(100)[server_id("s1")], 1);
    warmUp(harness, 1, 4);
    harness.advance(10s);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    EXPECT_GT(harness.read(100)[server_id("s1")], 1);
}

} // namespace
