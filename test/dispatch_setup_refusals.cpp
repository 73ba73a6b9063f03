// Tests that no statement runs without the setup of its session, whatever members refuse or lose.

#include "isolation_schedule.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;
using namespace sycamorespan::dispatch_action;

template<typename Statement>
bool isOnly(const send_to_member &sent)
{
    return sent.statements.size() == 1
           && std::holds_alternative<Statement>(sent.statements.front());
}

/** Session 1 sets a value and writes.
 * \returns the connection that is set up for it
 */
connection_id requestBehindSetup(dispatch_harness &harness)
{
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.request(1, "WRITE x 1");
    return harness.lastSent().connection;
}

TEST(DispatchSetupRefusals, AStatementIsNotSentBeforeItsSetupIsAcknowledged)
{
    dispatch_harness harness;
    const auto connection = requestBehindSetup(harness);
    EXPECT_TRUE(isOnly<member_statement::set_value>(harness.lastSent()));
    EXPECT_TRUE(harness.outputsOf<settle_admission>().empty()) << "nothing has been sent yet";
    harness.answer(connection);
    EXPECT_TRUE(isOnly<member_statement::forward>(harness.lastSent()));
    EXPECT_EQ(harness.outputsOf<settle_admission>().size(), 1U);
}

TEST(DispatchSetupRefusals, OnlyWhatWasRefusedIsSentAgainOnTheSameConnection)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.request(1, "SET w 2");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    ASSERT_EQ(harness.lastSent().statements.size(), 2U);
    harness.refuse(connection, statement_error::busy);
    harness.answer(connection);
    EXPECT_EQ(harness.sentCount(), 1U) << "a busy member gets a pause";
    harness.advance(40ms);
    ASSERT_EQ(harness.sentCount(), 2U);
    EXPECT_EQ(harness.lastSent().connection, connection);
    ASSERT_TRUE(isOnly<member_statement::set_value>(harness.lastSent()));
    EXPECT_EQ(std::get<member_statement::set_value>(harness.lastSent().statements[0]).name, "v");
}

TEST(DispatchSetupRefusals, ATransactionWhoseSetupWasRefusedIsRolledBackBeforeItsStatement)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    ASSERT_EQ(harness.lastSent().statements.size(), 2U);
    harness.refuse(connection, statement_error::busy);
    harness.answer(connection, session_state::inTransaction);
    EXPECT_TRUE(isOnly<member_statement::rollback>(harness.lastSent()));
}

TEST(DispatchSetupRefusals, ABeginThatShowsAReplicaCountsBehindARefusedSetup)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    harness.refuse(connection, statement_error::busy);
    harness.refuse(connection, statement_error::readOnly);
    EXPECT_TRUE(harness.subject.primaryLastRefusedAt(harness.database).has_value());
}

TEST(DispatchSetupRefusals, AConnectionWithASetupInDoubtServesNobodyElse)
{
    dispatch_harness harness;
    const auto connection = requestBehindSetup(harness);
    harness.refuse(connection, statement_error::failed);
    ASSERT_EQ(harness.outputsOf<close_member>().size(), 1U);
    EXPECT_EQ(harness.outputsOf<close_member>().front().connection, connection);
    harness.advance(40ms);
    EXPECT_NE(harness.lastSent().connection, connection);
    EXPECT_TRUE(isOnly<member_statement::set_value>(harness.lastSent()));
}

/** The member has lost the name, and perhaps the values. */
TEST(DispatchSetupRefusals, AConnectionThatLacksANameIsSetUpFromTheBeginning)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.request(1, "PREPARE s WRITE q");
    harness.request(1, "EXECUTE s x 1");
    const auto connection = harness.lastSent().connection;
    harness.answer(connection);
    harness.answer(connection);
    harness.refuse(connection, statement_error::unknownPrepared);
    harness.advance(40ms);
    ASSERT_EQ(harness.lastSent().connection, connection);
    ASSERT_EQ(harness.lastSent().statements.size(), 3U);
    EXPECT_TRUE(std::holds_alternative<member_statement::discard>(
            harness.lastSent().statements.front()));
}

TEST(DispatchSetupRefusals, AConnectionWithALongStatementIsDiscardedForTheNextOperation)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "PREPARE s WRITE " + std::string(100'000, 'q'));
    harness.request(1, "EXECUTE s x 1");
    const auto connection = harness.lastSent().connection;
    harness.answer(connection);
    harness.answer(connection);
    harness.request(1, "READ x");
    ASSERT_EQ(harness.lastSent().connection, connection);
    EXPECT_TRUE(isOnly<member_statement::discard>(harness.lastSent()));
}

TEST(DispatchSetupRefusals, ANameThatTheMemberLacksAlreadyNeedsNoDealloc)
{
    dispatch_harness harness;
    harness.connect(1);
    for (std::size_t number = 0; number <= connection_setup::maximumPrepared; ++number) {
        harness.request(1, "PREPARE s READ q" + std::to_string(number));
        harness.request(1, "EXECUTE s x");
        if (number < connection_setup::maximumPrepared) {
            harness.answer(harness.lastSent().connection);
            harness.answer(harness.lastSent().connection);
        }
    }
    const auto connection = harness.lastSent().connection;
    ASSERT_EQ(harness.lastSent().statements.size(), 2U);
    ASSERT_TRUE(std::holds_alternative<member_statement::deallocate>(
            harness.lastSent().statements.front()));
    harness.refuse(connection, statement_error::unknownPrepared);
    harness.answer(connection);
    EXPECT_EQ(harness.lastSent().connection, connection);
    EXPECT_TRUE(isOnly<member_statement::execute>(harness.lastSent()));
}

TEST(DispatchSetupRefusals, AStatementIsNotSentIfItsTransactionHasNotBegun)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "BEGIN");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    harness.answer(connection, session_state::idle);
    EXPECT_EQ(harness.outputsOf<close_member>().size(), 1U);
    harness.advance(40ms);
    EXPECT_NE(harness.lastSent().connection, connection);
    EXPECT_TRUE(isOnly<member_statement::begin>(harness.lastSent()));
}

TEST(DispatchSetupRefusals, ASingleStatementIsNotSentIntoAnOpenTransaction)
{
    dispatch_harness harness;
    const auto connection = requestBehindSetup(harness);
    harness.answer(connection, session_state::inTransaction);
    EXPECT_EQ(harness.outputsOf<close_member>().size(), 1U);
    harness.advance(40ms);
    EXPECT_NE(harness.lastSent().connection, connection);
}

TEST(DispatchSetupRefusals, AMalformedSetupIsNotRepeatedAndPromisesThatNothingIsKept)
{
    dispatch_harness harness;
    requestBehindSetup(harness);
    harness.refuse(harness.lastSent().connection, statement_error::malformed);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    harness.advance(200ms);
    EXPECT_EQ(harness.sentCount(), 1U);
}

TEST(DispatchSetupRefusals, AMalformedSetupIsNotRepeatedIfTheNextOneIsRefusedAsBusy)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.request(1, "SET w 2");
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    harness.refuse(connection, statement_error::malformed);
    harness.refuse(connection, statement_error::busy);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
    harness.advance(200ms);
    EXPECT_EQ(harness.sentCount(), 1U);
}

TEST(DispatchSetupRefusals, AWriteWhoseSetupIsUnansweredHasNotRunAtItsDeadline)
{
    dispatch_harness harness;
    requestBehindSetup(harness);
    harness.advance(1200ms);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
}

TEST(DispatchSetupRefusals, ACommitWhoseSetupWasLostIsAborted)
{
    dispatch_harness harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.request(1, "SET v 1");
    harness.request(1, "COMMIT");
    ASSERT_TRUE(isOnly<member_statement::set_value>(harness.lastSent()));
    harness.collect(harness.subject.closed(connection, std::nullopt, harness.now));
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
}

TEST(DispatchSetupRefusals, ACommitThatIsNotSentWithoutAPrimaryIsAborted)
{
    dispatch_harness harness;
    harness.openTransaction("WRITE x 1");
    harness.collect(harness.subject.setPrimary(harness.database, std::nullopt, harness.now));
    const auto sent = harness.sentCount();
    harness.request(1, "COMMIT");
    EXPECT_EQ(harness.sentCount(), sent);
    EXPECT_EQ(dispatch_harness::codeOf(harness.lastReply()), statement_error::aborted);
}

TEST(DispatchSetupRefusals, TheStatementOfACallerThatLeftMeanwhileIsNotSent)
{
    dispatch_harness harness;
    const auto connection = requestBehindSetup(harness);
    harness.collect(harness.subject.callerDisconnected(1, harness.now));
    harness.answer(connection);
    EXPECT_EQ(harness.sentCount(), 1U);
    EXPECT_FALSE(harness.subject.hasSession(1));
    harness.connect(2);
    harness.request(2, "SET v 1");
    harness.request(2, "READ x");
    EXPECT_EQ(harness.lastSent().connection, connection);
    EXPECT_TRUE(isOnly<member_statement::forward>(harness.lastSent()));
}

TEST(DispatchSetupRefusals, AWaitingStatementGetsTheConnectionOfACallerThatLeftAtOnce)
{
    constexpr session_number connections = 4;
    dispatch_policy policy;
    policy.reservedConnections = 31;
    policy.smallShareConnections = connections;
    dispatch_harness harness(consistency::latest, policy);
    for (session_number session = 1; session <= connections + 1; ++session) {
        harness.connect(session);
        harness.request(session, "SET v 1");
        harness.request(session, "WRITE x 1");
    }
    ASSERT_EQ(harness.sentCount(), connections);
    const auto connection = harness.outputsOf<send_to_member>().front().connection;
    harness.collect(harness.subject.callerDisconnected(1, harness.now));
    harness.answer(connection);
    ASSERT_EQ(harness.sentCount(), connections + 1);
    EXPECT_EQ(harness.lastSent().connection, connection);
}

TEST(DispatchSetupRefusals, AStatementWaitsForTheNextPrimaryIfItsPrimaryIsReplacedMeanwhile)
{
    dispatch_harness harness;
    const auto connection = requestBehindSetup(harness);
    harness.collect(harness.subject.setPrimary(
            harness.database, usable_primary{server_id("s2"), 2, harness.now + 1h}, harness.now));
    harness.answer(connection);
    harness.advance(40ms);
    EXPECT_EQ(harness.serverOf(harness.lastSent().connection), server_id("s2"));
    EXPECT_TRUE(isOnly<member_statement::set_value>(harness.lastSent()));
}

TEST(DispatchSetupRefusals, AnOperationWhoseSetupOutlastsTheDrainPeriodOfItsMemberIsNotSentThere)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.servers.front().state = server_state::draining;
    harness.collect(harness.subject.setServers(harness.servers, harness.now));
    harness.advance(dispatch_policy().drainingPrimaryUsePeriod - 200ms);
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    const auto sent = harness.sentCount();
    harness.advance(400ms);
    harness.answer(connection);
    EXPECT_EQ(harness.sentCount(), sent);
}

/** Guards against databases that refuse writes for good: the supervisor counts a primary whose
 * drain was called off as ready, so that the instances must use it too.
 */
TEST(DispatchSetupRefusals, AMemberWhoseDrainIsCalledOffIsUsedAgain)
{
    dispatch_harness harness;
    harness.connect(1);
    const auto setState = [&](server_state state) {
        harness.servers.front().state = state;
        harness.collect(harness.subject.setServers(harness.servers, harness.now));
    };
    setState(server_state::draining);
    harness.advance(1s);
    setState(server_state::ready);
    harness.advance(dispatch_policy().drainingPrimaryUsePeriod);
    const auto sent = harness.sentCount();
    harness.request(1, "WRITE x 1");
    EXPECT_GT(harness.sentCount(), sent);
    harness.answer(harness.lastSent().connection);
    setState(server_state::draining);
    harness.advance(1s);
    harness.request(1, "WRITE x 2");
    EXPECT_GT(harness.sentCount(), sent + 1) << "a new drain has a period of its own";
}

/** Guards against statements at a server that has ended: an older copy of its entry is no reason to
 * use it for longer than its notice.
 */
TEST(DispatchSetupRefusals, AnOlderEntryThatIsSoonCorrectedDoesNotExtendADrain)
{
    dispatch_harness harness;
    harness.connect(1);
    const auto setState = [&](server_state state) {
        harness.servers.front().state = state;
        harness.collect(harness.subject.setServers(harness.servers, harness.now));
    };
    setState(server_state::draining);
    harness.advance(4s);
    setState(server_state::ready);
    harness.advance(1s);
    setState(server_state::draining);
    harness.advance(dispatch_policy().drainingPrimaryUsePeriod - 4s);
    const auto sent = harness.sentCount();
    harness.request(1, "WRITE x 1");
    EXPECT_EQ(harness.sentCount(), sent);
}

TEST(DispatchSetupRefusals, AnOpenTransactionMayEndAtADrainingMember)
{
    dispatch_harness harness;
    const auto connection = harness.openTransaction("WRITE x 1");
    harness.servers.front().state = server_state::draining;
    harness.collect(harness.subject.setServers(harness.servers, harness.now));
    harness.now += dispatch_policy().drainingPrimaryUsePeriod + 100ms;
    harness.request(1, "SET v 1");
    harness.request(1, "COMMIT");
    harness.answer(connection, session_state::inTransaction);
    EXPECT_TRUE(isOnly<member_statement::forward>(harness.lastSent()));
}

TEST(DispatchSetupRefusals, StatementsRunAsSentWhileSetupsAreRefused)
{
    EXPECT_TRUE(holdsOnEverySchedule({.busySetup = 0.3}, runsAsSent));
}

TEST(DispatchSetupRefusals, StatementsRunAsSentWhileSetupsFail)
{
    EXPECT_TRUE(holdsOnEverySchedule({.busySetup = 0.1, .failedSetup = 0.1}, runsAsSent));
}

TEST(DispatchSetupRefusals, StatementsRunAsSentAmongAllFaults)
{
    EXPECT_TRUE(holdsOnEverySchedule({.busySetup = 0.2,
                                      .failedSetup = 0.03,
                                      .busyStatement = 0.1,
                                      .lostAnswer = 0.01,
                                      .closing = 0.01,
                                      .leaving = 0.03},
                                     runsAsSent));
}

TEST(DispatchSetupRefusals, StatementsRunAsSentWhileConnectionsRunOutOfNames)
{
    EXPECT_TRUE(holdsOnEverySchedule(
            {.busySetup = 0.2, .failedSetup = 0.001, .numberedShapes = 1},
            [](const isolation_schedule &played) {
                runsAsSent(played);
                RC_ASSERT(played.deallocated > 0U);
            },
            60'000));
}

/** Reads whose answers are overdue are repeated elsewhere while the first attempt may still run. */
TEST(DispatchSetupRefusals, StatementsRunAsSentWhileMembersAreSlow)
{
    EXPECT_TRUE(holdsOnEverySchedule(
            {.busySetup = 0.2, .lostAnswer = 0.005, .slowness = 0.8, .leaving = 0.02}, runsAsSent,
            40'000));
}

/** A write whose setup was refused has not been sent, so that its outcome is known. */
TEST(DispatchSetupRefusals, ARefusedSetupLeavesNoWriteInDoubt)
{
    EXPECT_TRUE(holdsOnEverySchedule({.busySetup = 0.3}, [](isolation_schedule &played) {
        RC_ASSERT(played.outcomes["in_doubt"] == 0U);
    }));
}

} // namespace
