// Tests that nothing runs any more for a workspace that a caller's key has left, and that all other
// work goes on.

#include "dispatch_harness.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;
using namespace sycamorespan::dispatch_action;

const workspace_id office("office");

/** \brief A dispatcher whose caller's key is withdrawn. */
struct withdrawal : dispatch_harness
{
    using dispatch_harness::dispatch_harness;

    void withdrawKey()
    {
        directory.keyOwners.erase(callerKey);
        applyDirectory();
    }

    void moveKey()
    {
        directory.workspaces[office] = {100, 100};
        directory.keyOwners.insert_or_assign(callerKey, office);
        applyDirectory();
    }

    bool lastSentIsRollback() const
    {
        return std::holds_alternative<member_statement::rollback>(lastSent().statements.front());
    }

    /** \brief Expects that the caller is told that nothing is kept, and then that its key is gone.
     */
    void expectEndOfTransaction()
    {
        request(1, "READ y");
        EXPECT_EQ(codeOf(lastReply()), statement_error::aborted);
        EXPECT_EQ(lastReply().state, session_state::failedTransaction);
        request(1, "ROLLBACK");
        EXPECT_TRUE(lastReply().succeeded());
        request(1, "BEGIN");
        EXPECT_EQ(codeOf(lastReply()), statement_error::unknownKey);
        EXPECT_EQ(outputsOf<close_caller>().size(), 1U);
    }
};

/** Guards against statements and a COMMIT that run for seconds after their key was withdrawn. */
TEST(DispatchWithdrawnKeys, AnOpenTransactionIsRolledBackAtOnce)
{
    withdrawal harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.withdrawKey();
    EXPECT_TRUE(harness.lastSentIsRollback()) << "its slot and locks are free without a statement";
    harness.answer(connection);
    const auto sent = harness.sentCount();
    harness.expectEndOfTransaction();
    EXPECT_EQ(harness.sentCount(), sent);
}

TEST(DispatchWithdrawnKeys, ACommitAfterTheWithdrawalIsAborted)
{
    withdrawal harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.withdrawKey();
    harness.answer(connection);
    harness.request(1, "COMMIT");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.lastReply().state, session_state::idle);
    EXPECT_TRUE(harness.lastSentIsRollback());
}

TEST(DispatchWithdrawnKeys, ATransactionThatNoMemberHasSeenEndsToo)
{
    withdrawal harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "SET step 1");
    harness.withdrawKey();
    harness.request(1, "SET step 2");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.lastReply().state, session_state::failedTransaction);
    harness.request(1, "COMMIT");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.sentCount(), 0U);
}

TEST(DispatchWithdrawnKeys, AReadOnlyTransactionEndsToo)
{
    withdrawal harness(consistency::readYourWrites);
    harness.connect(1);
    harness.request(1, "BEGIN READ");
    harness.request(1, "READ x");
    const auto connection = harness.lastSent().connection;
    harness.answer(connection, session_state::inTransaction);
    harness.answer(connection, session_state::inTransaction);
    harness.withdrawKey();
    EXPECT_TRUE(harness.lastSentIsRollback());
    harness.answer(connection);
    harness.expectEndOfTransaction();
}

TEST(DispatchWithdrawnKeys, ATransactionDoesNotGoOnForTheFormerWorkspaceOfAKey)
{
    withdrawal harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.moveKey();
    EXPECT_TRUE(harness.lastSentIsRollback());
    harness.answer(connection);
    harness.request(1, "COMMIT");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    harness.request(1, "READ x");
    EXPECT_EQ(harness.outputsOf<open_member>().back().workspace, office);
}

TEST(DispatchWithdrawnKeys, AStatementThatRunsIsAnsweredBeforeItsTransactionEnds)
{
    withdrawal harness;
    const auto connection = harness.openTransaction();
    harness.request(1, "WRITE x 1");
    harness.withdrawKey();
    EXPECT_FALSE(harness.lastSentIsRollback());
    harness.answer(connection, session_state::inTransaction);
    EXPECT_TRUE(harness.lastReply().succeeded());
    EXPECT_TRUE(harness.lastSentIsRollback());
    harness.answer(connection);
    harness.expectEndOfTransaction();
}

TEST(DispatchWithdrawnKeys, ACommitThatRunsIsAnsweredWithItsOutcome)
{
    withdrawal harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.request(1, "COMMIT");
    harness.withdrawKey();
    harness.answer(connection);
    EXPECT_TRUE(harness.lastReply().succeeded());
    harness.request(1, "READ x");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::unknownKey);
}

TEST(DispatchWithdrawnKeys, AStatementThatABusyMemberRefusedIsNotRepeated)
{
    withdrawal harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.request(1, "COMMIT");
    harness.refuse(connection, statement_error::busy, session_state::inTransaction);
    harness.withdrawKey();
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_TRUE(harness.lastSentIsRollback());
    const auto sent = harness.sentCount();
    harness.advance(100ms);
    EXPECT_EQ(harness.sentCount(), sent);
}

TEST(DispatchWithdrawnKeys, ARefusalAfterTheWithdrawalIsNotRepeated)
{
    withdrawal harness;
    harness.connect(1);
    harness.request(1, "READ x");
    harness.withdrawKey();
    const auto sent = harness.sentCount();
    harness.refuse(harness.lastSent().connection, statement_error::busy);
    harness.advance(100ms);
    EXPECT_EQ(harness.sentCount(), sent);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::unknownKey);
    EXPECT_EQ(harness.outputsOf<close_caller>().size(), 1U);
}

TEST(DispatchWithdrawnKeys, AStatementIsNotSentOnceItsSetupIsAnswered)
{
    withdrawal harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    harness.withdrawKey();
    harness.answer(connection, session_state::inTransaction);
    EXPECT_TRUE(harness.lastSentIsRollback());
    harness.answer(connection);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_EQ(harness.lastReply().state, session_state::failedTransaction);
}

TEST(DispatchWithdrawnKeys, AQueuedStatementIsRejectedAtOnce)
{
    withdrawal harness;
    harness.opensAutomatically = false;
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    harness.withdrawKey();
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::unknownKey);
    EXPECT_EQ(harness.subject.queuedCount(), 0U);
    EXPECT_EQ(harness.outputsOf<close_caller>().size(), 1U);
    const auto ended = harness.outputsOf<record_withdrawal>();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front(), (record_withdrawal{harness.workspace, 0, 1}));
}

TEST(DispatchWithdrawnKeys, AStatementThatWaitsForItsRateIsRejectedAtOnce)
{
    withdrawal harness;
    harness.admitsAutomatically = false;
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    harness.directory.workspaces.clear();
    harness.withdrawKey();
    EXPECT_EQ(harness.outputsOf<cancel_admission>().size(), 1U);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::unknownKey);
}

TEST(DispatchWithdrawnKeys, AQueuedStatementOfAMovedKeyMayBeRepeatedForItsNewWorkspace)
{
    withdrawal harness;
    harness.opensAutomatically = false;
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    harness.moveKey();
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    EXPECT_TRUE(harness.outputsOf<close_caller>().empty());
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(harness.outputsOf<request_admission>().back().workspace, office);
}

TEST(DispatchWithdrawnKeys, AnIdleSessionEndsWithItsNextStatement)
{
    withdrawal harness;
    harness.connect(1);
    harness.withdrawKey();
    EXPECT_TRUE(harness.outputsOf<close_caller>().empty());
    harness.request(1, "SET step 1");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::unknownKey);
    EXPECT_EQ(harness.outputsOf<close_caller>().size(), 1U);
}

TEST(DispatchWithdrawnKeys, ATransactionWithAnotherKeyOfTheWorkspaceGoesOn)
{
    withdrawal harness;
    harness.directory.keyOwners.emplace("second key", harness.workspace);
    harness.applyDirectory();
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.directory.keyOwners.erase("second key");
    harness.directory.routes.clear(); // applies to the next transaction
    harness.applyDirectory();
    harness.request(1, "COMMIT");
    harness.answer(connection);
    EXPECT_TRUE(harness.lastReply().succeeded());
    EXPECT_TRUE(harness.outputsOf<record_withdrawal>().empty());
}

TEST(DispatchWithdrawnKeys, ATransactionWithoutAWorkspaceRestsOnNoKey)
{
    withdrawal harness;
    harness.directory.keyOwners.clear();
    harness.directory.routes.at("sales").allowsAnonymous = true;
    harness.applyDirectory();
    const auto connection = harness.openTransaction();
    harness.moveKey();
    harness.request(1, "COMMIT");
    harness.answer(connection);
    EXPECT_TRUE(harness.lastReply().succeeded());
}

TEST(DispatchWithdrawnKeys, ATransactionOnAnOpenRouteEndsWithTheKeyOfItsWorkspace)
{
    withdrawal harness;
    harness.directory.routes.at("sales").allowsAnonymous = true;
    harness.applyDirectory();
    const auto connection = harness.openTransaction();
    harness.withdrawKey();
    EXPECT_TRUE(harness.lastSentIsRollback());
    harness.answer(connection);
    harness.request(1, "COMMIT");
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    harness.request(1, "READ x");
    EXPECT_NE(harness.outputsOf<open_member>().back().workspace, harness.workspace);
}

/** \brief A withdrawal at an instance that hands its operations over to a broker. */
struct brokered_withdrawal : withdrawal
{
    brokered_withdrawal() { subject.setBrokers({{database, broker}}, instance_id("own"), 3); }

    void brokerAnswers()
    {
        const auto statement = outputsOf<hand_over>().back().statement;
        const statement_answer answer{
                {"row"}, completed{"receipt"}, session_state::inTransaction, log_position{1, 10}};
        collect(subject.brokerAnswered(
                broker, {statement.operation, statement.number, false, true, answer}, now));
    }

    const instance_id broker{"broker"};
};

TEST(DispatchWithdrawnKeys, ATransactionAtABrokerEnds)
{
    brokered_withdrawal harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    harness.brokerAnswers();
    harness.withdrawKey();
    EXPECT_EQ(harness.outputsOf<end_hand_over>().size(), 1U);
    harness.expectEndOfTransaction();
    EXPECT_EQ(harness.outputsOf<hand_over>().size(), 1U);
}

TEST(DispatchWithdrawnKeys, AStatementAtABrokerIsAnsweredBeforeItsTransactionEnds)
{
    brokered_withdrawal harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    harness.withdrawKey();
    EXPECT_TRUE(harness.outputsOf<end_hand_over>().empty());
    harness.brokerAnswers();
    EXPECT_TRUE(harness.lastReply().succeeded());
    EXPECT_EQ(harness.outputsOf<end_hand_over>().size(), 1U);
    harness.expectEndOfTransaction();
}

TEST(DispatchWithdrawnKeys, AStatementThatABrokerDeclinedDoesNotRunHere)
{
    brokered_withdrawal harness;
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    harness.withdrawKey();
    const auto statement = harness.outputsOf<hand_over>().back().statement;
    const statement_answer answer{
            {}, rejected{statement_error::busy, "declined"}, session_state::idle, std::nullopt};
    harness.collect(harness.subject.brokerAnswered(
            harness.broker, {statement.operation, statement.number, true, false, answer},
            harness.now));
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::unknownKey);
    EXPECT_EQ(harness.sentCount(), 0U);
    EXPECT_EQ(harness.outputsOf<close_caller>().size(), 1U);
}

} // namespace
