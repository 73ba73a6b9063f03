// Where reads run: floors, replicas, the primary's view, and what is refused at once.

#include "dispatch_harness.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;
using namespace sycamorespan::dispatch_action;

std::optional<log_position> floorOf(const send_to_member &sent)
{
    return std::get<member_statement::forward>(sent.statements.back()).after;
}

TEST(DispatchReads, WithoutAFloorThePrimaryAnswers)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.connect(1);
    bench.request(1, "READ x");
    EXPECT_EQ(bench.serverOf(bench.lastSent().connection), bench.primary);
}

TEST(DispatchReads, AFloorInsideTheBoundIsAskedOfAReplica)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.connect(1);
    bench.statements.addFloor(bench.database, {{1, 7}, bench.now - 1s}, bench.now);
    bench.request(1, "READ x");
    EXPECT_NE(bench.serverOf(bench.lastSent().connection), bench.primary);
    EXPECT_EQ(floorOf(bench.lastSent()), (log_position{1, 7}));
}

TEST(DispatchReads, TheOldestFloorInsideTheBoundIsUsed)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.connect(1);
    bench.statements.addFloor(bench.database, {{1, 3}, bench.now - 1600ms}, bench.now);
    bench.statements.addFloor(bench.database, {{1, 5}, bench.now - 1400ms}, bench.now);
    bench.statements.addFloor(bench.database, {{1, 9}, bench.now - 100ms}, bench.now);
    bench.request(1, "READ x");
    EXPECT_EQ(floorOf(bench.lastSent()), (log_position{1, 5}));
}

TEST(DispatchReads, ASessionSeesItsOwnCommit)
{
    dispatch_harness bench(consistency::readYourWrites);
    bench.connect(1);
    bench.request(1, "WRITE x 1");
    bench.answer(bench.lastSent().connection, session_state::idle, {1, 50});
    bench.statements.addFloor(bench.database, {{1, 7}, bench.now - 1s}, bench.now);
    bench.request(1, "READ x");
    EXPECT_EQ(floorOf(bench.lastSent()), (log_position{1, 50}));
}

TEST(DispatchReads, ALaggingReplicaSendsTheReadToAnotherMember)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.connect(1);
    bench.statements.addFloor(bench.database, {{1, 7}, bench.now - 1s}, bench.now);
    bench.request(1, "READ x");
    const auto first = bench.serverOf(bench.lastSent().connection);
    bench.refuse(bench.lastSent().connection, statement_error::lagging);
    bench.pass(20ms);
    EXPECT_NE(bench.serverOf(bench.lastSent().connection), first);
}

TEST(DispatchReads, FloorsOfAFormerTermAreForgotten)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.connect(1);
    bench.statements.addFloor(bench.database, {{1, 7}, bench.now - 1s}, bench.now);
    bench.keep(bench.statements.setPrimary(
            bench.database, usable_primary{server_id("s2"), 2, bench.now + 1h}, bench.now));
    bench.request(1, "READ x");
    EXPECT_EQ(bench.serverOf(bench.lastSent().connection), server_id("s2"));
}

TEST(DispatchReads, ALapsedViewServesNoWriteAndNoReadOfTheLatest)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.keep(bench.statements.setPrimary(
            bench.database, usable_primary{bench.primary, 1, bench.now + 10ms}, bench.now));
    bench.now += 11ms;
    bench.request(1, "READ x");
    EXPECT_EQ(bench.sentCount(), 0U);
}

TEST(DispatchReads, AFloorIsNotLearntUnderALapsedView)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.connect(1);
    bench.request(1, "READ x");
    const auto connection = bench.lastSent().connection;
    bench.keep(bench.statements.setPrimary(bench.database, std::nullopt, bench.now));
    bench.answer(connection, session_state::idle, {1, 30});
    EXPECT_FALSE(bench.statements.newestFloor(bench.database));
}

/** The load of a change of primary: all reads of a database while nothing can be written. */
TEST(DispatchReads, AFloorStatedDuringAChangeLetsReplicasServe)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.connect(1);
    bench.keep(bench.statements.setPrimary(bench.database, std::nullopt, bench.now));
    bench.now += 2s;
    bench.statements.addFloor(bench.database, {{1, 9}, bench.now - 700ms}, bench.now);
    bench.request(1, "READ x");
    ASSERT_EQ(bench.sentCount(), 1U);
    EXPECT_NE(bench.serverOf(bench.lastSent().connection), bench.primary);
    EXPECT_EQ(floorOf(bench.lastSent()), (log_position{1, 9}));
}

TEST(DispatchReads, AStatementWhosePrimaryIsUnknownIsRefusedLongBeforeItsDeadline)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.keep(bench.statements.setPrimary(bench.database, std::nullopt, bench.now));
    bench.request(1, "WRITE x 1");
    bench.pass(300ms);
    ASSERT_EQ(bench.replyCount(), 1U);
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::busy);
}

TEST(DispatchReads, AStatementWaitsForAPrimaryThatIsExpectedInTime)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.keep(bench.statements.setPrimary(bench.database, std::nullopt, bench.now));
    bench.statements.expectPrimary(bench.database, bench.now + 500ms);
    bench.request(1, "WRITE x 1");
    bench.pass(480ms);
    EXPECT_EQ(bench.replyCount(), 0U);
    bench.keep(bench.statements.setPrimary(
            bench.database, usable_primary{server_id("s2"), 2, bench.now + 1h}, bench.now));
    EXPECT_EQ(bench.serverOf(bench.lastSent().connection), server_id("s2"));
}

TEST(DispatchReads, AStatementThatCannotWaitForTheNextPrimaryIsRefusedAtOnce)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.keep(bench.statements.setPrimary(bench.database, std::nullopt, bench.now));
    bench.statements.expectPrimary(bench.database, bench.now + 1500ms);
    bench.request(1, "WRITE x 1");
    ASSERT_EQ(bench.replyCount(), 1U);
    const auto reply = std::get<rejected>(bench.lastReply().result);
    EXPECT_EQ(reply.code, statement_error::busy);
    EXPECT_NE(reply.text.find("retry after 1500 ms"), std::string::npos) << reply.text;
}

TEST(DispatchReads, AReadWithoutAnAnswerInTheUsualTimeIsAskedElsewhere)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.request(1, "READ x");
    const auto first = bench.lastSent().connection;
    bench.pass(320ms);
    EXPECT_NE(bench.lastSent().connection, first);
    bench.answer(first);
    EXPECT_EQ(bench.replyCount(), 0U) << "the first connection is closed";
    bench.answer(bench.lastSent().connection);
    EXPECT_EQ(bench.replyCount(), 1U);
}

TEST(DispatchReads, WorkAtTheOldPrimaryIsBrokenOffTruly)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.connect(2);
    bench.request(1, "WRITE x 1");
    bench.request(2, "READ x");
    EXPECT_TRUE(bench.statements.hasPrimaryWork(bench.database));
    bench.statements.closePrimary(bench.database, bench.now);
    bench.keep(bench.statements.abandonPrimaryWork(bench.database, bench.now));
    EXPECT_FALSE(bench.statements.hasPrimaryWork(bench.database));
    ASSERT_EQ(bench.replyCount(), 1U) << "the read goes on waiting";
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::inDoubt);
}

TEST(DispatchReads, AClosingPrimaryGetsNothingNew)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.statements.closePrimary(bench.database, bench.now);
    bench.request(1, "WRITE x 1");
    EXPECT_EQ(bench.sentCount(), 0U);
}

TEST(DispatchReads, AnotherRunOfAMemberIsReachedByANewConnection)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.request(1, "READ x");
    const auto first = bench.lastSent().connection;
    bench.servers.front().startedAtMs = 99;
    bench.keep(bench.statements.setServers(bench.servers, bench.now));
    EXPECT_NE(bench.lastSent().connection, first);
}

TEST(DispatchReads, AMemberThatLeftTheListGetsNothing)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.statements.addFloor(bench.database, {{1, 7}, bench.now - 1s}, bench.now);
    bench.keep(bench.statements.setServers({bench.servers[0], bench.servers[1]}, bench.now));
    for (session_number session = 1; session <= 20; ++session) {
        bench.connect(session);
        bench.request(session, "READ x");
        EXPECT_NE(bench.serverOf(bench.lastSent().connection), server_id("s3"));
    }
}

TEST(DispatchReads, ADrainingReplicaGetsNoRead)
{
    dispatch_harness bench(consistency::boundedStaleness);
    bench.statements.addFloor(bench.database, {{1, 7}, bench.now - 1s}, bench.now);
    bench.servers[2].state = server_state::draining;
    bench.keep(bench.statements.setServers(bench.servers, bench.now));
    for (session_number session = 1; session <= 20; ++session) {
        bench.connect(session);
        bench.request(session, "READ x");
        EXPECT_NE(bench.serverOf(bench.lastSent().connection), server_id("s3"));
    }
}

TEST(DispatchReads, AWithdrawnKeyAndADroppedRouteBindTheNextOperation)
{
    dispatch_harness bench;
    bench.connect(1);
    auto changed = std::make_shared<service_directory>();
    changed->version = 2;
    service_route route;
    route.database = bench.database;
    route.statementTimeout = 1s;
    changed->routes.emplace("sales", route);
    bench.keep(bench.statements.setDirectory(changed, bench.now));
    bench.request(1, "READ x");
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::unknownKey);
    EXPECT_EQ(bench.found<close_caller>().size(), 1U);
    EXPECT_EQ(bench.sentCount(), 0U);
}

TEST(DispatchReads, AnOperationOverItsRateIsRefusedWithoutHavingRun)
{
    dispatch_harness bench;
    bench.admitsAll = false;
    bench.connect(1);
    bench.request(1, "READ x");
    bench.keep(bench.statements.throttled(1, 300ms, bench.now));
    const auto reply = std::get<rejected>(bench.lastReply().result);
    EXPECT_EQ(reply.code, statement_error::busy);
    EXPECT_NE(reply.text.find("retry after 300 ms"), std::string::npos);
    EXPECT_EQ(bench.sentCount(), 0U);
}

} // namespace
