// Tests that a transaction runs on one connection, and that its reported outcome is correct.

#include "dispatch_harness.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;
using namespace sycamorespan::dispatch_action;

TEST(DispatchTransactions, BeginIsSentAloneBeforeTheFirstStatement)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    EXPECT_EQ(harness.sentCount(), 0U);
    harness.request(1, "READ x");
    ASSERT_EQ(harness.lastSent().statements.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<member_statement::begin>(harness.lastSent().statements[0]));
    harness.answer(harness.lastSent().connection, session_state::inTransaction);
    EXPECT_TRUE(
            std::holds_alternative<member_statement::forward>(harness.lastSent().statements[0]));
}

TEST(DispatchTransactions, ARefusedBeginIsRetriedWithoutItsStatement)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "READ x");
    harness.refuse(harness.lastSent().connection, statement_error::busy);
    harness.advance(40ms);
    ASSERT_EQ(harness.sentCount(), 2U);
    EXPECT_TRUE(std::holds_alternative<member_statement::begin>(harness.lastSent().statements[0]));
}

TEST(DispatchTransactions, AReadInsideATransactionIsNotRetriedOutsideOfIt)
{
    dispatch_harness harness;
    const auto connection = harness.openTransaction();
    harness.request(1, "READ y");
    const auto sent = harness.sentCount();
    harness.collect(harness.subject.closed(connection, std::nullopt, harness.now));
    harness.advance(200ms);
    EXPECT_EQ(harness.sentCount(), sent);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.lastReply().state, session_state::failedTransaction);
}

TEST(DispatchTransactions, AFirstStatementIsRetriedWithItsBegin)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    const auto first = harness.lastSent().connection;
    harness.answer(first, session_state::inTransaction);
    harness.collect(harness.subject.closed(first, std::nullopt, harness.now));
    harness.advance(20ms);
    EXPECT_NE(harness.lastSent().connection, first);
    EXPECT_TRUE(std::holds_alternative<member_statement::begin>(harness.lastSent().statements[0]));
    EXPECT_EQ(harness.replyCount(), 1U) << "only BEGIN was answered";
}

TEST(DispatchTransactions, ALostCommitOfAWriteIsInDoubt)
{
    dispatch_harness harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.request(1, "COMMIT");
    harness.collect(harness.subject.closed(connection, std::nullopt, harness.now));
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::inDoubt);
    EXPECT_EQ(harness.lastReply().state, session_state::idle);
}

TEST(DispatchTransactions, ALostCommitOfReadsIsAborted)
{
    dispatch_harness harness;
    const auto connection = harness.openTransaction();
    harness.request(1, "COMMIT");
    harness.collect(harness.subject.closed(connection, std::nullopt, harness.now));
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
}

TEST(DispatchTransactions, AConnectionThatBreaksBetweenStatementsAbortsTheNext)
{
    dispatch_harness harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    const auto replies = harness.replyCount();
    harness.collect(harness.subject.closed(connection, std::nullopt, harness.now));
    EXPECT_EQ(harness.replyCount(), replies) << "no statement was pending";
    harness.request(1, "COMMIT");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.lastReply().state, session_state::idle);
}

TEST(DispatchTransactions, TheTransactionOfADisconnectedCallerIsRolledBackAndItsConnectionReused)
{
    dispatch_harness harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.collect(harness.subject.callerDisconnected(1, harness.now));
    EXPECT_TRUE(
            std::holds_alternative<member_statement::rollback>(harness.lastSent().statements[0]));
    harness.answer(connection);
    harness.connect(2);
    harness.request(2, "READ x");
    EXPECT_EQ(harness.lastSent().connection, connection);
}

TEST(DispatchTransactions, AnIdleTransactionIsRolledBackAfterItsTimeout)
{
    dispatch_harness harness;
    harness.openTransaction();
    harness.advance(3100ms);
    EXPECT_TRUE(
            std::holds_alternative<member_statement::rollback>(harness.lastSent().statements[0]));
    harness.request(1, "READ y");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
}

TEST(DispatchTransactions, AWriteIsSentOnce)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    harness.collect(harness.subject.closed(connection, std::nullopt, harness.now));
    harness.advance(500ms);
    EXPECT_EQ(harness.sentCount(), 1U);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::inDoubt);
}

TEST(DispatchTransactions, AWriteThatDidNotRunIsRetried)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    harness.refuse(harness.lastSent().connection, statement_error::busy);
    harness.advance(40ms);
    EXPECT_EQ(harness.sentCount(), 2U);
}

TEST(DispatchTransactions, ValuesOfAnotherSessionAreDiscardedBeforeTheConnectionIsReused)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.connect(2);
    harness.request(1, "SET v0 one");
    harness.request(1, "READ x");
    const auto connection = harness.lastSent().connection;
    ASSERT_EQ(harness.lastSent().statements.size(), 1U);
    harness.answer(connection);
    ASSERT_EQ(harness.sentCount(), 2U);
    EXPECT_EQ(harness.lastSent().statements.size(), 1U);
    harness.answer(connection);
    harness.request(2, "READ x");
    ASSERT_EQ(harness.lastSent().connection, connection);
    EXPECT_EQ(harness.lastSent().statements.size(), 1U);
    EXPECT_TRUE(
            std::holds_alternative<member_statement::discard>(harness.lastSent().statements[0]));
}

TEST(DispatchTransactions, PreparedStatementsOfOneShapeAreShared)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.connect(2);
    harness.request(1, "PREPARE s0 READ q1");
    harness.request(1, "EXECUTE s0 x");
    const auto connection = harness.lastSent().connection;
    ASSERT_EQ(harness.lastSent().statements.size(), 1U);
    harness.answer(connection);
    ASSERT_EQ(harness.sentCount(), 2U);
    harness.answer(connection);
    harness.request(2, "PREPARE other READ q1");
    harness.request(2, "EXECUTE other y");
    EXPECT_EQ(harness.sentCount(), 3U);
    EXPECT_EQ(harness.lastSent().connection, connection);
    EXPECT_EQ(harness.lastSent().statements.size(), 1U);
    EXPECT_TRUE(
            std::holds_alternative<member_statement::execute>(harness.lastSent().statements[0]));
}

/** Load pattern: a primary is overloaded and refuses statements of open transactions for a while.
 */
TEST(DispatchTransactions, AStatementThatABusyPrimaryRefusesIsSentAgainAfterADelay)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    harness.answer(connection, session_state::inTransaction);
    harness.answer(connection, session_state::inTransaction);
    const auto answersBefore = harness.replyCount();
    harness.request(1, "WRITE y 1");
    const auto sentBefore = harness.sentCount();
    constexpr int refusals = 10;
    for (int count = 0; count < refusals; ++count) {
        const auto sent = harness.sentCount();
        harness.refuse(connection, statement_error::busy, session_state::inTransaction);
        EXPECT_EQ(harness.sentCount(), sent) << "not at once";
        harness.advance(80ms);
        EXPECT_EQ(harness.sentCount(), sent + 1);
    }
    EXPECT_EQ(harness.sentCount(), sentBefore + refusals);
    EXPECT_EQ(harness.replyCount(), answersBefore);
    harness.answer(connection, session_state::inTransaction);
    EXPECT_EQ(harness.replyCount(), answersBefore + 1);
    EXPECT_TRUE(harness.lastReply().succeeded());
}

TEST(DispatchTransactions, TheTransactionOfACallerThatLeavesBeforeAResendIsRolledBack)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    harness.answer(connection, session_state::inTransaction);
    harness.answer(connection, session_state::inTransaction);
    harness.request(1, "WRITE y 1");
    harness.refuse(connection, statement_error::busy, session_state::inTransaction);
    harness.collect(harness.subject.callerDisconnected(1, harness.now));
    harness.advance(80ms);
    const auto last = harness.lastSent();
    ASSERT_EQ(last.statements.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<member_statement::rollback>(last.statements.front()));
    EXPECT_EQ(harness.subject.sessionCount(), 0U);
}

} // namespace
