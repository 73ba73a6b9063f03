// Tests on which member a read runs, by floor, replica state and primary view, and which statements
// are rejected without running.

#include "dispatch_harness.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;
using namespace sycamorespan::dispatch_action;

std::optional<log_position> floorOf(const send_to_member &sent)
{
    return std::get<member_statement::forward>(sent.statements.back()).requiredPosition;
}

TEST(DispatchReads, WithoutAFloorThePrimaryAnswers)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.request(1, "READ x");
    EXPECT_EQ(harness.serverOf(harness.lastSent().connection), harness.primary);
}

TEST(DispatchReads, AFloorWithinTheStalenessBoundIsRequiredOfAReplica)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    harness.request(1, "READ x");
    EXPECT_NE(harness.serverOf(harness.lastSent().connection), harness.primary);
    EXPECT_EQ(floorOf(harness.lastSent()), (log_position{1, 7}));
}

TEST(DispatchReads, TheOldestFloorWithinTheStalenessBoundIsUsed)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.subject.addFloor(harness.database, {{1, 3}, harness.now - 1600ms}, harness.now);
    harness.subject.addFloor(harness.database, {{1, 5}, harness.now - 1400ms}, harness.now);
    harness.subject.addFloor(harness.database, {{1, 9}, harness.now - 100ms}, harness.now);
    harness.request(1, "READ x");
    EXPECT_EQ(floorOf(harness.lastSent()), (log_position{1, 5}));
}

TEST(DispatchReads, ASessionSeesItsOwnCommit)
{
    dispatch_harness harness(consistency::readYourWrites);
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    harness.answer(harness.lastSent().connection, session_state::idle, {1, 50});
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    harness.request(1, "READ x");
    EXPECT_EQ(floorOf(harness.lastSent()), (log_position{1, 50}));
}

TEST(DispatchReads, ALaggingReplicaSendsTheReadToAnotherMember)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    harness.request(1, "READ x");
    const auto first = harness.serverOf(harness.lastSent().connection);
    harness.refuse(harness.lastSent().connection, statement_error::lagging);
    harness.advance(20ms);
    EXPECT_NE(harness.serverOf(harness.lastSent().connection), first);
}

TEST(DispatchReads, FloorsOfAnEarlierTermAreRemoved)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    harness.collect(harness.subject.setPrimary(
            harness.database, usable_primary{server_id("s2"), 2, harness.now + 1h}, harness.now));
    harness.request(1, "READ x");
    EXPECT_EQ(harness.serverOf(harness.lastSent().connection), server_id("s2"));
}

TEST(DispatchReads, AnExpiredViewServesNoWriteAndNoReadOfTheLatest)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.collect(harness.subject.setPrimary(
            harness.database, usable_primary{harness.primary, 1, harness.now + 10ms}, harness.now));
    harness.now += 11ms;
    harness.request(1, "READ x");
    EXPECT_EQ(harness.sentCount(), 0U);
}

TEST(DispatchReads, AFloorIsNotRecordedUnderAnExpiredView)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.request(1, "READ x");
    const auto connection = harness.lastSent().connection;
    harness.collect(harness.subject.setPrimary(harness.database, std::nullopt, harness.now));
    harness.answer(connection, session_state::idle, {1, 30});
    EXPECT_FALSE(harness.subject.newestFloor(harness.database));
}

/** During a change of primary no write can run. Without a floor, no read of the database could run
 * either.
 */
TEST(DispatchReads, AFloorAddedDuringAChangeOfPrimaryLetsReplicasServe)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.collect(harness.subject.setPrimary(harness.database, std::nullopt, harness.now));
    harness.now += 2s;
    harness.subject.addFloor(harness.database, {{1, 9}, harness.now - 700ms}, harness.now);
    harness.request(1, "READ x");
    ASSERT_EQ(harness.sentCount(), 1U);
    EXPECT_NE(harness.serverOf(harness.lastSent().connection), harness.primary);
    EXPECT_EQ(floorOf(harness.lastSent()), (log_position{1, 9}));
}

TEST(DispatchReads, AStatementWithoutAKnownPrimaryIsRejectedBeforeItsDeadline)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.collect(harness.subject.setPrimary(harness.database, std::nullopt, harness.now));
    harness.request(1, "WRITE x 1");
    harness.advance(300ms);
    ASSERT_EQ(harness.replyCount(), 1U);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::busy);
}

TEST(DispatchReads, AStatementWaitsForAPrimaryThatIsExpectedInTime)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.collect(harness.subject.setPrimary(harness.database, std::nullopt, harness.now));
    harness.subject.setExpectedPrimaryTime(harness.database, harness.now + 500ms);
    harness.request(1, "WRITE x 1");
    harness.advance(480ms);
    EXPECT_EQ(harness.replyCount(), 0U);
    harness.collect(harness.subject.setPrimary(
            harness.database, usable_primary{server_id("s2"), 2, harness.now + 1h}, harness.now));
    EXPECT_EQ(harness.serverOf(harness.lastSent().connection), server_id("s2"));
}

TEST(DispatchReads, AStatementThatCannotWaitForTheNextPrimaryIsRejectedAtOnce)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.collect(harness.subject.setPrimary(harness.database, std::nullopt, harness.now));
    harness.subject.setExpectedPrimaryTime(harness.database, harness.now + 1500ms);
    harness.request(1, "WRITE x 1");
    ASSERT_EQ(harness.replyCount(), 1U);
    const auto reply = std::get<rejected>(harness.lastReply().result);
    EXPECT_EQ(reply.code, statement_error::busy);
    EXPECT_NE(reply.text.find("retry after 1500 ms"), std::string::npos) << reply.text;
}

TEST(DispatchReads, AReadWithoutAnAnswerWithinItsTimeoutIsSentToAnotherMember)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "READ x");
    const auto first = harness.lastSent().connection;
    harness.advance(320ms);
    EXPECT_NE(harness.lastSent().connection, first);
    harness.answer(first);
    EXPECT_EQ(harness.replyCount(), 0U) << "the first connection is closed";
    harness.answer(harness.lastSent().connection);
    EXPECT_EQ(harness.replyCount(), 1U);
}

TEST(DispatchReads, WorkOnTheOldPrimaryIsAbortedWithTheCorrectError)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.connect(2);
    harness.request(1, "WRITE x 1");
    harness.request(2, "READ x");
    EXPECT_TRUE(harness.subject.hasPrimaryWork(harness.database));
    harness.subject.stopNewPrimaryWork(harness.database, harness.now);
    harness.collect(harness.subject.abortPrimaryWork(harness.database, harness.now));
    EXPECT_FALSE(harness.subject.hasPrimaryWork(harness.database));
    ASSERT_EQ(harness.replyCount(), 1U) << "the read remains queued";
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::inDoubt);
}

TEST(DispatchReads, AClosingPrimaryGetsNoNewStatements)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.subject.stopNewPrimaryWork(harness.database, harness.now);
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(harness.sentCount(), 0U);
}

TEST(DispatchReads, ANewIncarnationOfAMemberGetsANewConnection)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "READ x");
    const auto first = harness.lastSent().connection;
    harness.servers.front().startedAtMs = 99;
    harness.collect(harness.subject.setServers(harness.servers, harness.now));
    EXPECT_NE(harness.lastSent().connection, first);
}

TEST(DispatchReads, ARemovedMemberGetsNoStatements)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    harness.collect(
            harness.subject.setServers({harness.servers[0], harness.servers[1]}, harness.now));
    for (session_number session = 1; session <= 20; ++session) {
        harness.connect(session);
        harness.request(session, "READ x");
        EXPECT_NE(harness.serverOf(harness.lastSent().connection), server_id("s3"));
    }
}

TEST(DispatchReads, ADrainingReplicaGetsNoRead)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now - 1s}, harness.now);
    harness.servers[2].state = server_state::draining;
    harness.collect(harness.subject.setServers(harness.servers, harness.now));
    for (session_number session = 1; session <= 20; ++session) {
        harness.connect(session);
        harness.request(session, "READ x");
        EXPECT_NE(harness.serverOf(harness.lastSent().connection), server_id("s3"));
    }
}

TEST(DispatchReads, AWithdrawnKeyAppliesToTheNextOperation)
{
    dispatch_harness harness;
    harness.connect(1);
    auto changed = std::make_shared<service_directory>();
    changed->version = 2;
    service_route route;
    route.database = harness.database;
    route.statementTimeout = 1s;
    changed->routes.emplace("sales", route);
    harness.collect(harness.subject.setDirectory(changed, harness.now));
    harness.request(1, "READ x");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::unknownKey);
    EXPECT_EQ(harness.outputsOf<close_caller>().size(), 1U);
    EXPECT_EQ(harness.sentCount(), 0U);
}

/** Load pattern: a database without a primary, whose callers retry at once. Each retry would use up
 * the rate that the workspace needs for its other databases.
 */
TEST(DispatchReads, AnOperationThatCannotBeServedUsesNothingOfTheRate)
{
    dispatch_harness harness;
    harness.admitsAutomatically = false;
    harness.connect(1);
    harness.collect(harness.subject.setPrimary(harness.database, std::nullopt, harness.now));
    harness.advance(1s);
    harness.request(1, "READ item");
    EXPECT_EQ(harness.codeOf(harness.lastReply()), statement_error::busy);
    EXPECT_TRUE(harness.outputsOf<dispatch_action::request_admission>().empty());
}

TEST(DispatchReads, AnAdmittedOperationThatIsNeverSentIsNotCharged)
{
    dispatch_harness harness;
    harness.opensAutomatically = false;
    harness.connect(1);
    harness.request(1, "READ item");
    harness.advance(3s);
    EXPECT_EQ(harness.codeOf(harness.lastReply()), statement_error::busy);
    const auto settled = harness.outputsOf<dispatch_action::settle_admission>();
    ASSERT_EQ(settled.size(), 1U);
    EXPECT_FALSE(settled.front().wasSent);
}

TEST(DispatchReads, AnOperationIsChargedOnceWhenItIsSent)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "READ item");
    const auto settled = harness.outputsOf<dispatch_action::settle_admission>();
    ASSERT_EQ(settled.size(), 1U);
    EXPECT_TRUE(settled.front().wasSent);
    harness.answer(harness.lastSent().connection);
    EXPECT_EQ(harness.outputsOf<dispatch_action::settle_admission>().size(), 1U);
}

TEST(DispatchReads, AThrottledOperationIsRejectedWithoutRunning)
{
    dispatch_harness harness;
    harness.admitsAutomatically = false;
    harness.connect(1);
    harness.request(1, "READ x");
    harness.collect(harness.subject.throttled(1, 300ms, harness.now));
    const auto reply = std::get<rejected>(harness.lastReply().result);
    EXPECT_EQ(reply.code, statement_error::busy);
    EXPECT_NE(reply.text.find("retry after 300 ms"), std::string::npos);
    EXPECT_EQ(harness.sentCount(), 0U);
}

/** Load pattern: the whole fleet restarts under full load. No instance knows a primary yet, and
 * each rejection would use up one of the caller's retries.
 */
TEST(DispatchReads, AStatementThatArrivesDuringTheStartWaitsForTheFirstView)
{
    dispatch_harness harness(consistency::latest, {}, dispatch_harness::start_state::starting);
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    harness.advance(600ms);
    EXPECT_EQ(harness.replyCount(), 0U);
    harness.collect(harness.subject.setPrimary(
            harness.database, usable_primary{harness.primary, 1, harness.now + 1h}, harness.now));
    EXPECT_EQ(harness.sentCount(), 1U);
}

TEST(DispatchReads, AStatementIsRejectedAtOnceIfNoViewComesAfterTheStart)
{
    dispatch_harness harness(consistency::latest, {}, dispatch_harness::start_state::starting);
    harness.connect(1);
    harness.advance(dispatch_policy{}.startupTimeout + 20ms);
    harness.request(1, "WRITE x 1");
    ASSERT_EQ(harness.replyCount(), 1U);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::busy);
}

/** Load pattern: all replicas of a database are behind, and its primary has no free slot. Replicas
 * that lack the required position use up no attempts and are not asked again at once.
 */
TEST(DispatchReads, AReadThatAllReplicasLackWaitsForTheBusyPrimary)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.request(1, "READ x");
    const auto served = harness.lastSent().connection;
    harness.subject.addFloor(harness.database, {{1, 50}, harness.now}, harness.now);
    harness.answer(served);
    harness.now += 3s; // only the floor at position 50 is still within the staleness bound
    harness.subject.addFloor(harness.database, {{1, 60}, harness.now}, harness.now);
    harness.request(1, "READ x");
    int lagRefusals = 0;
    int busyRefusals = 0;
    for (int step = 0; step < 40 && harness.replyCount() < 2; ++step) {
        const auto sent = harness.lastSent().connection;
        const auto count = harness.sentCount();
        const bool isPrimary = harness.serverOf(sent) == harness.primary;
        (isPrimary ? busyRefusals : lagRefusals) += 1;
        if (isPrimary && busyRefusals == 6)
            harness.answer(sent);
        else
            harness.refuse(sent, isPrimary ? statement_error::busy : statement_error::lagging);
        while (harness.replyCount() < 2 && harness.sentCount() == count)
            harness.advance(20ms);
    }
    ASSERT_EQ(harness.replyCount(), 2U);
    EXPECT_TRUE(harness.lastReply().succeeded());
    EXPECT_LE(lagRefusals, 2) << "one for each replica";
}

/** Load pattern: some reads need many times the mean. With the same timeout for each attempt, all
 * of them would be cut off and use up the slots of every member.
 */
TEST(DispatchReads, AReadThatNeedsLongIsNotCutOffAgainAndAgain)
{
    constexpr duration readTime = 400ms;
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.request(1, "READ x");
    harness.answer(harness.lastSent().connection);
    harness.request(1, "READ x");
    const auto sentBefore = harness.sentCount();
    auto sent = sentBefore;
    auto sentAt = harness.now;
    while (harness.replyCount() < 2 && harness.sentCount() < sentBefore + 5) {
        harness.advance(20ms);
        if (harness.sentCount() > sent) {
            sent = harness.sentCount();
            sentAt = harness.now;
        } else if (harness.now - sentAt >= readTime) {
            harness.answer(harness.lastSent().connection);
        }
    }
    ASSERT_EQ(harness.replyCount(), 2U);
    EXPECT_TRUE(harness.lastReply().succeeded());
    EXPECT_LE(sent, sentBefore + 1) << "one more attempt";
}

// Guards against a second connect message that moved a session to another database while its
// statement waited in the queue of the first one.
TEST(DispatchReads, ASecondConnectMessageIsRejectedAndTheQueueStaysConsistent)
{
    dispatch_harness harness;
    harness.opensAutomatically = false;
    harness.connect(1);
    harness.request(1, "READ x");
    harness.connect(1);
    const auto rejections = harness.outputsOf<reject_caller>();
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections[0].error.code, statement_error::malformed);
    EXPECT_EQ(harness.subject.queuedCount(), 1U);
    harness.collect(harness.subject.callerDisconnected(1, harness.now));
    EXPECT_EQ(harness.subject.queuedCount(), 0U);
    EXPECT_NO_THROW(harness.advance(2s));
}

TEST(DispatchReads, AStatementOfASessionThatIsNotConnectedIsRejected)
{
    dispatch_harness harness;
    harness.request(1, "READ x");
    const auto rejections = harness.outputsOf<reject_caller>();
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections[0].error.code, statement_error::malformed);
    EXPECT_EQ(harness.subject.sessionCount(), 0U);
}

/** Guards against repeats that follow each other without a pause at members which have refused the
 * statement before.
 */
TEST(DispatchReads, AMemberThatRefusesAgainGetsAPauseBeforeTheNextRepeat)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.subject.addFloor(harness.database, {{1, 7}, harness.now}, harness.now);
    harness.request(1, "READ x");
    std::size_t refused = 0;
    while (refused < harness.sentCount() && refused < 100) {
        ++refused;
        harness.refuse(harness.lastSent().connection, statement_error::readOnly);
    }
    EXPECT_LE(refused, harness.servers.size() + 1);
    EXPECT_EQ(harness.replyCount(), 0U);
    harness.advance(40ms);
    EXPECT_GT(harness.sentCount(), refused);
}

TEST(DispatchReads, AStatementThatAMemberFindsMalformedIsNotRepeated)
{
    dispatch_harness harness(consistency::boundedStaleness);
    harness.connect(1);
    harness.request(1, "READ x");
    harness.refuse(harness.lastSent().connection, statement_error::malformed);
    ASSERT_EQ(harness.replyCount(), 1U);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::malformed);
    harness.advance(200ms);
    EXPECT_EQ(harness.sentCount(), 1U);
}

} // namespace
