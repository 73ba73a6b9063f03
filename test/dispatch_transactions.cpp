// A transaction stays on one connection, and what is said of it is true.

#include "dispatch_harness.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;
using namespace sycamorespan::dispatch_action;

/** Brings a session into a transaction whose first read was answered; returns its connection. */
connection_id openTransaction(dispatch_harness &bench, const std::string &first = "READ x")
{
    bench.connect(1);
    bench.request(1, "BEGIN");
    bench.request(1, first);
    const auto connection = bench.lastSent().connection;
    bench.answer(connection, session_state::inTransaction);
    bench.answer(connection, session_state::inTransaction);
    return connection;
}

TEST(DispatchTransactions, BeginIsSentAloneBeforeTheFirstStatement)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.request(1, "BEGIN");
    EXPECT_EQ(bench.sentCount(), 0U);
    bench.request(1, "READ x");
    ASSERT_EQ(bench.lastSent().statements.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<member_statement::begin>(bench.lastSent().statements[0]));
    bench.answer(bench.lastSent().connection, session_state::inTransaction);
    EXPECT_TRUE(std::holds_alternative<member_statement::forward>(bench.lastSent().statements[0]));
}

TEST(DispatchTransactions, ARefusedBeginIsRepeatedWithoutItsStatement)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.request(1, "BEGIN");
    bench.request(1, "READ x");
    bench.refuse(bench.lastSent().connection, statement_error::busy);
    bench.pass(40ms);
    ASSERT_EQ(bench.sentCount(), 2U);
    EXPECT_TRUE(std::holds_alternative<member_statement::begin>(bench.lastSent().statements[0]));
}

TEST(DispatchTransactions, AReadInsideATransactionIsNotRepeatedOutsideOfIt)
{
    dispatch_harness bench;
    const auto connection = openTransaction(bench);
    bench.request(1, "READ y");
    const auto sent = bench.sentCount();
    bench.keep(bench.statements.closed(connection, std::nullopt, bench.now));
    bench.pass(200ms);
    EXPECT_EQ(bench.sentCount(), sent);
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::aborted);
    EXPECT_EQ(bench.lastReply().state, session_state::failedTransaction);
}

TEST(DispatchTransactions, AFirstStatementIsRepeatedWithItsBegin)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.request(1, "BEGIN");
    bench.request(1, "WRITE x 1");
    const auto first = bench.lastSent().connection;
    bench.answer(first, session_state::inTransaction);
    bench.keep(bench.statements.closed(first, std::nullopt, bench.now));
    bench.pass(20ms);
    EXPECT_NE(bench.lastSent().connection, first);
    EXPECT_TRUE(std::holds_alternative<member_statement::begin>(bench.lastSent().statements[0]));
    EXPECT_EQ(bench.replyCount(), 1U) << "only BEGIN was answered";
}

TEST(DispatchTransactions, ALostCommitOfAWriteIsInDoubt)
{
    dispatch_harness bench;
    const auto connection = openTransaction(bench, "WRITE x 1");
    bench.request(1, "COMMIT");
    bench.keep(bench.statements.closed(connection, std::nullopt, bench.now));
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::inDoubt);
    EXPECT_EQ(bench.lastReply().state, session_state::idle);
}

TEST(DispatchTransactions, ALostCommitOfReadsKeepsNothing)
{
    dispatch_harness bench;
    const auto connection = openTransaction(bench);
    bench.request(1, "COMMIT");
    bench.keep(bench.statements.closed(connection, std::nullopt, bench.now));
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::aborted);
}

TEST(DispatchTransactions, AConnectionThatBreaksBetweenStatementsAbortsTheNext)
{
    dispatch_harness bench;
    const auto connection = openTransaction(bench, "WRITE x 1");
    const auto replies = bench.replyCount();
    bench.keep(bench.statements.closed(connection, std::nullopt, bench.now));
    EXPECT_EQ(bench.replyCount(), replies) << "nothing was asked";
    bench.request(1, "COMMIT");
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::aborted);
    EXPECT_EQ(bench.lastReply().state, session_state::idle);
}

TEST(DispatchTransactions, ACallerThatLeavesIsRolledBackAndItsConnectionReused)
{
    dispatch_harness bench;
    const auto connection = openTransaction(bench, "WRITE x 1");
    bench.keep(bench.statements.callerLeft(1, bench.now));
    EXPECT_TRUE(std::holds_alternative<member_statement::rollback>(bench.lastSent().statements[0]));
    bench.answer(connection);
    bench.connect(2);
    bench.request(2, "READ x");
    EXPECT_EQ(bench.lastSent().connection, connection);
}

TEST(DispatchTransactions, AnIdleTransactionEndsAtItsTimeout)
{
    dispatch_harness bench;
    openTransaction(bench);
    bench.pass(3100ms);
    EXPECT_TRUE(std::holds_alternative<member_statement::rollback>(bench.lastSent().statements[0]));
    bench.request(1, "READ y");
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::aborted);
}

TEST(DispatchTransactions, AWriteIsSentOnce)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.request(1, "WRITE x 1");
    const auto connection = bench.lastSent().connection;
    bench.keep(bench.statements.closed(connection, std::nullopt, bench.now));
    bench.pass(500ms);
    EXPECT_EQ(bench.sentCount(), 1U);
    EXPECT_EQ(dispatch_harness::codeOf(bench.lastReply()), statement_error::inDoubt);
}

TEST(DispatchTransactions, AWriteThatCertainlyDidNotRunIsRepeated)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.request(1, "WRITE x 1");
    bench.refuse(bench.lastSent().connection, statement_error::busy);
    bench.pass(40ms);
    EXPECT_EQ(bench.sentCount(), 2U);
}

TEST(DispatchTransactions, ValuesOfAnotherSessionAreDroppedBeforeTheConnectionIsReused)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.connect(2);
    bench.request(1, "SET v0 one");
    bench.request(1, "READ x");
    const auto connection = bench.lastSent().connection;
    ASSERT_EQ(bench.lastSent().statements.size(), 2U);
    bench.answer(connection);
    bench.answer(connection);
    bench.request(2, "READ x");
    ASSERT_EQ(bench.lastSent().connection, connection);
    EXPECT_TRUE(std::holds_alternative<member_statement::discard>(bench.lastSent().statements[0]));
}

TEST(DispatchTransactions, PreparedStatementsOfOneShapeAreShared)
{
    dispatch_harness bench;
    bench.connect(1);
    bench.connect(2);
    bench.request(1, "PREPARE s0 READ q1");
    bench.request(1, "EXECUTE s0 x");
    const auto connection = bench.lastSent().connection;
    ASSERT_EQ(bench.lastSent().statements.size(), 2U);
    bench.answer(connection);
    bench.answer(connection);
    bench.request(2, "PREPARE other READ q1");
    bench.request(2, "EXECUTE other y");
    EXPECT_EQ(bench.lastSent().statements.size(), 1U);
}

} // namespace
