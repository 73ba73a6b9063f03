// Tests that a graceful shutdown answers every request that was received, also of busy sessions.

#include "dispatch_harness.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;
using namespace sycamorespan::dispatch_action;

constexpr duration shutdownTimeout = 6s;

/** \returns whether the dispatcher closed \a session. */
bool isClosed(const dispatch_harness &harness, session_number session)
{
    return std::ranges::any_of(harness.outputsOf<close_caller>(),
                               [&](const close_caller &each) { return each.session == session; });
}

// A caller that sends its next request as soon as the last one is answered is idle at no tick. Its
// session was never closed, and cut off at the end of the shutdown.
TEST(DispatchShutdown, ASessionThatIsNeverIdleIsRefusedBeforeTheEnd)
{
    dispatch_harness harness(consistency::boundedStaleness);
    const graceful_shutdown course(shutdown_policy{}, shutdownTimeout);
    harness.connect(1);
    const auto start = harness.now;
    std::size_t sent = 0;
    while (!isClosed(harness, 1) && harness.now - start < shutdownTimeout) {
        harness.request(1, "READ x");
        ++sent;
        const auto runs = harness.sentCount();
        for (int tick = 0; tick < 2; ++tick) {
            const auto elapsed = harness.now - start;
            harness.subject.setAcceptedWork(course.acceptedWork(elapsed));
            harness.advance(20ms);
            if (course.closesIdleSessions(elapsed))
                harness.collect(harness.subject.closeIdleSessions(
                        course.sessionsToClose(1, elapsed), harness.now));
        }
        if (harness.replyCount() < sent && runs > 0)
            harness.answer(harness.lastSent().connection);
        EXPECT_EQ(harness.replyCount(), sent);
    }
    EXPECT_TRUE(isClosed(harness, 1));
    EXPECT_LT(harness.now - start, shutdownTimeout - 1s) << "time to run the last statement";
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::busy);
    EXPECT_EQ(harness.lastReply().state, session_state::idle);
}

TEST(DispatchShutdown, ARefusedOperationRunsNowhere)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.subject.setAcceptedWork(accepted_work::none);
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::busy);
    EXPECT_EQ(harness.sentCount(), 0U);
    EXPECT_TRUE(harness.outputsOf<request_admission>().empty()) << "it uses up none of the rate";
    harness.connect(2);
    EXPECT_EQ(harness.outputsOf<reject_caller>().back().error.code, statement_error::busy);
}

TEST(DispatchShutdown, AStatementSentInAdvanceIsAnsweredBeforeTheSessionIsClosed)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.subject.setAcceptedWork(accepted_work::singleStatements);
    harness.request(1, "READ x");
    harness.request(1, "BEGIN");
    harness.request(1, "READ y");
    harness.answer(harness.lastSent().connection);
    EXPECT_EQ(harness.replyCount(), 2U) << "the read and the refused transaction";
    EXPECT_FALSE(isClosed(harness, 1));
    harness.answer(harness.lastSent().connection);
    EXPECT_EQ(harness.replyCount(), 3U);
}

// A transaction whose statements follow each other at once is seen without one at no tick.
TEST(DispatchShutdown, ABusyTransactionEndsWithItsNextStatement)
{
    dispatch_harness harness;
    harness.openTransaction("WRITE x 1");
    harness.subject.setAcceptedWork(accepted_work::singleStatements);
    const auto sent = harness.sentCount();
    harness.request(1, "WRITE y 2");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    ASSERT_EQ(harness.sentCount(), sent + 1);
    EXPECT_TRUE(std::holds_alternative<member_statement::rollback>(
            harness.lastSent().statements.front()));
}

TEST(DispatchShutdown, AnOpenTransactionMayStillCommit)
{
    dispatch_harness harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.subject.setAcceptedWork(accepted_work::singleStatements);
    harness.request(1, "COMMIT");
    harness.answer(connection);
    EXPECT_TRUE(harness.lastReply().succeeded());
}

// Messages that callers send in advance are held back at their connections while answers wait.
TEST(DispatchShutdown, ASessionWithMessagesThatAreHeldBackIsNotIdle)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.connect(2);
    const auto isFirst = [](session_number session) { return session == 1; };
    harness.collect(harness.subject.closeIdleSessions(10, harness.now, isFirst));
    EXPECT_FALSE(isClosed(harness, 1));
    EXPECT_TRUE(isClosed(harness, 2));
    EXPECT_TRUE(harness.subject.hasSession(1));
    harness.collect(harness.subject.closeIdleSessions(10, harness.now));
    EXPECT_TRUE(isClosed(harness, 1));
}

TEST(DispatchShutdown, AtTheEndEveryStatementIsAnsweredWithWhatIsKnownOfItsOutcome)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.connect(2);
    harness.connect(3);
    harness.request(1, "READ x");
    harness.request(2, "WRITE x 1");
    harness.admitsAutomatically = false;
    harness.request(3, "WRITE y 1");
    harness.request(3, "READ y");
    harness.collect(harness.subject.closeAllSessions(harness.now));
    const auto replies = harness.outputsOf<reply_to_caller>();
    const auto codesOf = [&](session_number session) {
        std::vector<statement_error> codes;
        for (const auto &each : replies)
            if (each.session == session)
                codes.push_back(dispatch_harness::codeOf(each.answer));
        return codes;
    };
    EXPECT_EQ(codesOf(1), std::vector{statement_error::aborted});
    EXPECT_EQ(codesOf(2), std::vector{statement_error::timeout}) << "it may have run";
    EXPECT_EQ(codesOf(3), (std::vector{statement_error::busy, statement_error::busy}));
    for (const session_number session : {1, 2, 3})
        EXPECT_TRUE(isClosed(harness, session));
}

TEST(GracefulShutdown, ClosesAllIdleSessionsBeforeNewOperationsAreRefused)
{
    const graceful_shutdown course(shutdown_policy{}, shutdownTimeout);
    for (const std::size_t sessions : {1U, 100U, 5000U}) {
        auto left = sessions;
        duration elapsed{};
        while (course.acceptedWork(elapsed) != accepted_work::none) {
            elapsed += 20ms;
            if (course.closesIdleSessions(elapsed))
                left -= std::min(left, course.sessionsToClose(left, elapsed));
            EXPECT_TRUE(elapsed > 2s || left == sessions) << "callers would come back";
        }
        EXPECT_EQ(left, 0U);
        EXPECT_FALSE(course.endsStatements(elapsed));
    }
}

TEST(GracefulShutdown, LeavesTimeToDeliverAnswersAlsoWithAShortTimeout)
{
    for (const duration timeout : {600ms, 2000ms, 6000ms, 60000ms}) {
        const graceful_shutdown course(shutdown_policy{}, timeout);
        EXPECT_TRUE(course.endsTransactions(timeout / 2 + 1ms));
        EXPECT_FALSE(course.endsStatements(timeout * 3 / 4));
        EXPECT_TRUE(course.endsStatements(timeout - 50ms));
        EXPECT_FALSE(course.mustExit(timeout - 50ms));
        EXPECT_TRUE(course.mustExit(timeout));
    }
}

} // namespace
