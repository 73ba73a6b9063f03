// Load patterns: an instance hands all statements of a database over to a broker, which is lost,
// silent, cut off from the primary or stopping while it runs them. Nothing is told to have run or
// not to have run that isn't so, and each operation is charged once.

#include "dispatch_harness.h"

#include "programs/node/broker_link.h"

#include "sycamorespan/Brokerage"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;

const instance_id own("front-a-1");
const instance_id other("front-a-2");

/** \brief An instance whose database has another instance as its broker. */
struct caller_side : dispatch_harness
{
    explicit caller_side(consistency reads = consistency::latest)
        : dispatch_harness(reads)
    {
        subject.setBrokers({{database, other}}, own, 3);
    }

    brokered_statement lastHandedOver() const
    {
        return outputsOf<dispatch_action::hand_over>().back().statement;
    }

    std::size_t handedOverCount() const { return outputsOf<dispatch_action::hand_over>().size(); }

    void brokerAnswers(bool wasSent, std::variant<completed, rejected> result,
                       session_state state = session_state::idle, bool isDeclined = false)
    {
        const auto statement = lastHandedOver();
        collect(subject.brokerAnswered(other,
                                       {statement.operation,
                                        statement.number,
                                        isDeclined,
                                        wasSent,
                                        {{}, std::move(result), state, log_position{1, 50}}},
                                       now));
    }

    void brokerDeclines()
    {
        brokerAnswers(false, rejected{statement_error::busy, "declined"}, session_state::idle,
                      true);
    }

    /** \returns how often the operation was settled as sent, and as not sent. */
    std::pair<int, int> settlements() const
    {
        std::pair<int, int> result;
        for (const auto &each : outputsOf<dispatch_action::settle_admission>())
            ++(each.wasSent ? result.first : result.second);
        return result;
    }
};

using settled = std::pair<int, int>;

TEST(dispatch_brokers, a_statement_is_handed_over_and_charged_when_it_was_sent)
{
    caller_side instance;
    instance.connect(1);
    instance.request(1, "SET v 1");
    instance.request(1, "WRITE x 1");
    const auto statement = instance.lastHandedOver();
    EXPECT_EQ(instance.sentCount(), 0U);
    EXPECT_EQ(statement.values, (session_values{{"v", "1"}}));
    EXPECT_EQ(statement.configurationVersion, 1U);
    EXPECT_LT(statement.timeLeft, 1s);
    instance.brokerAnswers(true, completed{"receipt"});
    EXPECT_TRUE(instance.lastReply().succeeded());
    EXPECT_EQ(instance.settlements(), settled(1, 0));
    instance.request(1, "READ x");
    EXPECT_EQ(instance.lastHandedOver().lastCommitPosition, (log_position{1, 50}));
}

TEST(dispatch_brokers, a_refusal_before_a_member_got_the_statement_is_not_charged)
{
    caller_side instance;
    instance.connect(1);
    instance.request(1, "WRITE x 1");
    instance.brokerAnswers(false, rejected{statement_error::busy, "queue"});
    EXPECT_EQ(dispatch_harness::codeOf(instance.lastReply()), statement_error::busy);
    EXPECT_EQ(instance.settlements(), settled(0, 1));
}

TEST(dispatch_brokers, a_refused_operation_is_over_at_the_broker)
{
    caller_side instance;
    instance.connect(1);
    instance.request(1, "WRITE x 1");
    const auto refused = instance.lastHandedOver().operation;
    instance.brokerAnswers(false, rejected{statement_error::busy, "queue"});
    instance.request(1, "WRITE x 1");
    EXPECT_NE(instance.lastHandedOver().operation, refused);
    EXPECT_TRUE(instance.outputsOf<dispatch_action::end_hand_over>().empty());
}

TEST(dispatch_brokers, what_the_broker_declines_runs_on_connections_of_the_instance)
{
    caller_side instance;
    instance.connect(1);
    instance.request(1, "WRITE x 1");
    instance.brokerDeclines();
    ASSERT_EQ(instance.sentCount(), 1U);
    instance.answer(instance.lastSent().connection);
    EXPECT_TRUE(instance.lastReply().succeeded());
    EXPECT_EQ(instance.settlements(), settled(1, 0));
    // The next one is not handed over in vain either, until the broker is tried again.
    instance.request(1, "WRITE x 2");
    EXPECT_EQ(instance.handedOverCount(), 1U);
    instance.answer(instance.lastSent().connection);
    instance.advance(400ms);
    instance.request(1, "WRITE x 3");
    EXPECT_EQ(instance.handedOverCount(), 2U);
}

TEST(dispatch_brokers, a_declined_first_statement_takes_its_transaction_along)
{
    caller_side instance;
    instance.connect(1);
    instance.request(1, "BEGIN");
    instance.request(1, "WRITE x 1");
    EXPECT_FALSE(instance.lastHandedOver().transaction->isBegun);
    instance.brokerDeclines();
    ASSERT_EQ(instance.sentCount(), 1U); // BEGIN
    instance.answer(instance.lastSent().connection, session_state::inTransaction);
    instance.answer(instance.lastSent().connection, session_state::inTransaction);
    EXPECT_TRUE(instance.lastReply().succeeded());
}

TEST(dispatch_brokers, a_lost_link_repeats_reads_and_leaves_writes_unknown)
{
    caller_side instance;
    instance.connect(1);
    instance.connect(2);
    instance.request(1, "WRITE x 1");
    instance.collect(instance.subject.brokerLost(other, instance.now));
    EXPECT_EQ(dispatch_harness::codeOf(instance.lastReply()), statement_error::inDoubt);
    EXPECT_EQ(instance.settlements(), settled(1, 0));
    EXPECT_EQ(instance.sentCount(), 0U);
    instance.subject.setBrokers({{instance.database, other}}, own, 3);
    instance.request(2, "READ x");
    instance.collect(instance.subject.brokerLost(other, instance.now));
    ASSERT_EQ(instance.sentCount(), 1U);
    instance.answer(instance.lastSent().connection);
    EXPECT_TRUE(instance.lastReply().succeeded());
    EXPECT_EQ(instance.settlements(), settled(2, 0));
}

TEST(dispatch_brokers, a_lost_link_ends_transactions_truly)
{
    for (const bool commits : {false, true}) {
        caller_side instance;
        instance.connect(1);
        instance.request(1, "BEGIN");
        instance.request(1, "WRITE x 1");
        instance.brokerAnswers(true, completed{"receipt"}, session_state::inTransaction);
        instance.request(1, commits ? "COMMIT" : "READ x");
        EXPECT_TRUE(instance.lastHandedOver().transaction->isBegun);
        instance.collect(instance.subject.brokerLost(other, instance.now));
        EXPECT_EQ(dispatch_harness::codeOf(instance.lastReply()),
                  commits ? statement_error::inDoubt : statement_error::aborted);
        EXPECT_EQ(instance.sentCount(), 0U);
    }
}

TEST(dispatch_brokers, an_unanswered_operation_is_ended_charged_and_not_answered_twice)
{
    caller_side instance;
    instance.connect(1);
    instance.request(1, "WRITE x 1");
    instance.advance(1100ms);
    EXPECT_EQ(dispatch_harness::codeOf(instance.lastReply()), statement_error::timeout);
    EXPECT_EQ(instance.outputsOf<dispatch_action::end_hand_over>().size(), 1U);
    EXPECT_EQ(instance.settlements(), settled(1, 0));
    const auto replies = instance.replyCount();
    instance.brokerAnswers(true, completed{"receipt"});
    EXPECT_EQ(instance.replyCount(), replies);
}

TEST(dispatch_brokers, a_transaction_stays_with_its_broker_and_ends_there_with_its_caller)
{
    caller_side instance;
    instance.connect(1);
    instance.request(1, "BEGIN");
    instance.request(1, "READ x");
    instance.brokerAnswers(true, completed{"receipt"}, session_state::inTransaction);
    instance.subject.setBrokers({{instance.database, instance_id("front-a-3")}}, own, 3);
    instance.request(1, "READ y");
    EXPECT_EQ(instance.outputsOf<dispatch_action::hand_over>().back().broker, other);
    instance.brokerAnswers(true, completed{"receipt"}, session_state::inTransaction);
    instance.collect(instance.subject.callerDisconnected(1, instance.now));
    EXPECT_EQ(instance.outputsOf<dispatch_action::end_hand_over>().size(), 1U);
}

TEST(dispatch_brokers, nothing_is_handed_over_once_the_database_needs_no_broker)
{
    caller_side instance;
    instance.connect(1);
    instance.request(1, "READ x");
    instance.subject.setBrokers({}, own, 3);
    instance.brokerAnswers(true, completed{"receipt"});
    EXPECT_TRUE(instance.lastReply().succeeded());
    instance.request(1, "READ x");
    EXPECT_EQ(instance.handedOverCount(), 1U);
    EXPECT_EQ(instance.sentCount(), 1U);
}

/** \returns the bytes that the smallest instance holds for links. */
std::size_t leastLinkBytes()
{
    platform::node_settings smallest;
    smallest.memoryBytes = 1;
    return node::linkIntakePolicy(smallest).budgetBytes;
}

// Guards against a message for which a broker closes the link, and against one session that keeps
// all statements of its database from their broker.
TEST(dispatch_brokers, a_session_that_does_not_fit_a_message_runs_here_and_keeps_nobody_off)
{
    const std::size_t valueBytes = (std::size_t{1} << 20) - 64;
    std::set<std::size_t> handedOver;
    for (const std::size_t total : {std::size_t{2}, valueBytes / 2, valueBytes * 3 / 2,
                                    valueBytes * 5 / 2, valueBytes * 7 / 2, valueBytes * 5}) {
        caller_side instance;
        instance.connect(1);
        instance.connect(2);
        std::size_t left = total;
        for (int number = 0; left > 0; ++number) {
            const auto size = std::min(left, valueBytes);
            instance.request(1, "SET v" + std::to_string(number) + " " + std::string(size, 'x'));
            left -= size;
        }
        instance.request(1, "READ x");
        if (instance.handedOverCount() > 0) {
            handedOver.insert(total);
            EXPECT_LE(encodeFrame(instance.lastHandedOver()).size(), leastLinkBytes() / 4) << total;
        }
        const auto before = instance.handedOverCount();
        instance.request(2, "READ x");
        EXPECT_EQ(instance.handedOverCount(), before + 1);
    }
    EXPECT_EQ(handedOver, (std::set<std::size_t>{2, valueBytes / 2}));
}

// Guards against a read whose rows never fit a message of its broker.
TEST(dispatch_brokers, a_read_whose_answer_the_broker_lost_runs_here)
{
    caller_side instance;
    instance.connect(1);
    instance.connect(2);
    instance.request(1, "READ x");
    instance.brokerAnswers(true, rejected{statement_error::inDoubt, "too long"});
    ASSERT_EQ(instance.sentCount(), 1U);
    instance.answer(instance.lastSent().connection);
    EXPECT_TRUE(instance.lastReply().succeeded());
    EXPECT_EQ(instance.settlements(), settled(1, 0));
    instance.request(2, "READ x"); // the broker serves the others
    EXPECT_EQ(instance.handedOverCount(), 2U);
}

TEST(dispatch_brokers, a_write_or_a_transaction_in_doubt_at_its_broker_does_not_run_again)
{
    caller_side instance;
    instance.connect(1);
    instance.connect(2);
    instance.request(1, "WRITE x 1");
    instance.brokerAnswers(true, rejected{statement_error::inDoubt, "lost"});
    EXPECT_EQ(dispatch_harness::codeOf(instance.lastReply()), statement_error::inDoubt);
    instance.request(2, "BEGIN");
    instance.request(2, "READ x");
    instance.brokerAnswers(true, rejected{statement_error::inDoubt, "lost"},
                           session_state::inTransaction);
    EXPECT_EQ(dispatch_harness::codeOf(instance.lastReply()), statement_error::inDoubt);
    EXPECT_EQ(instance.lastReply().state, session_state::failedTransaction);
    EXPECT_EQ(instance.sentCount(), 0U);
}

/** \brief The broker of the database. */
struct broker_side : dispatch_harness
{
    explicit broker_side(consistency reads = consistency::latest)
        : dispatch_harness(reads)
    {
        subject.setBrokers({{database, own}}, own, 3);
    }

    void handOver(session_number session, brokered_work work,
                  std::optional<brokered_transaction> transaction = {},
                  const workspace_id &from = workspace_id("shop"))
    {
        brokered_statement statement;
        statement.operation = session;
        statement.number = ++m_lastNumber;
        statement.requestId = "r";
        statement.text = "READ x";
        statement.work = std::move(work);
        statement.databaseName = "sales";
        statement.workspace = from;
        statement.transaction = transaction;
        statement.configurationVersion = version;
        statement.timeLeft = 500ms;
        statement.objectiveLeft = 200ms;
        collect(subject.handedOver(session, other, statement, now));
    }

    brokered_answer lastAnswer() const
    {
        const auto answers = outputsOf<dispatch_action::answer_hand_over>();
        return answers.empty() ? brokered_answer{} : answers.back().answer;
    }

    std::size_t answerCount() const
    {
        return outputsOf<dispatch_action::answer_hand_over>().size();
    }

    std::uint64_t version = 1;

private:
    std::uint64_t m_lastNumber = 0;
};

const caller_statement::direct aRead{statement_access::read};
const caller_statement::direct aWrite{statement_access::write};
constexpr brokered_transaction begins{false, false, 0ms};
constexpr brokered_transaction continues{false, true, 0ms};

TEST(dispatch_brokers, a_broker_answers_without_admission_and_forgets_the_operation)
{
    broker_side broker;
    broker.handOver(1, aWrite);
    ASSERT_EQ(broker.sentCount(), 1U);
    EXPECT_EQ(broker.subject.servedCount(), 1U);
    EXPECT_EQ(broker.subject.sessionCount(), 0U);
    broker.answer(broker.lastSent().connection, session_state::idle, {1, 70});
    EXPECT_TRUE(broker.lastAnswer().wasSent);
    EXPECT_EQ(broker.lastAnswer().answer.position, (log_position{1, 70}));
    broker.advance(20ms);
    EXPECT_EQ(broker.subject.servedCount(), 0U);
    EXPECT_TRUE(broker.outputsOf<dispatch_action::request_admission>().empty());
    EXPECT_TRUE(broker.outputsOf<dispatch_action::settle_admission>().empty());
    EXPECT_TRUE(broker.outputsOf<dispatch_action::reply_to_caller>().empty());
}

TEST(dispatch_brokers, a_broker_tells_whether_a_refused_statement_was_sent)
{
    broker_side broker;
    broker.opensAutomatically = false;
    broker.handOver(1, aWrite);
    broker.advance(600ms); // no member took it
    EXPECT_FALSE(broker.lastAnswer().wasSent);
    EXPECT_EQ(dispatch_harness::codeOf(broker.lastAnswer().answer), statement_error::busy);
    broker.opensAutomatically = true;
    broker.handOver(2, aWrite);
    broker.advance(20ms);
    broker.refuse(broker.lastSent().connection, statement_error::busy);
    broker.advance(600ms);
    EXPECT_TRUE(broker.lastAnswer().wasSent);
}

TEST(dispatch_brokers, a_broker_keeps_a_transaction_until_its_instance_leaves)
{
    broker_side broker;
    broker.handOver(1, aWrite, begins);
    const auto connection = broker.lastSent().connection;
    broker.answer(connection, session_state::inTransaction);
    broker.answer(connection, session_state::inTransaction);
    EXPECT_EQ(broker.lastAnswer().answer.state, session_state::inTransaction);
    broker.advance(100ms);
    broker.handOver(1, aRead, continues);
    EXPECT_EQ(broker.lastSent().connection, connection);
    broker.answer(connection, session_state::inTransaction);
    broker.collect(broker.subject.callerDisconnected(1, broker.now));
    const auto last = broker.lastSent().statements.back();
    EXPECT_TRUE(std::holds_alternative<member_statement::rollback>(last));
    EXPECT_EQ(broker.subject.servedCount(), 0U);
}

TEST(dispatch_brokers, a_broker_declines_what_it_does_not_know)
{
    broker_side broker;
    broker.handOver(1, aRead, continues); // a transaction of its former incarnation
    EXPECT_TRUE(broker.lastAnswer().isDeclined);
    broker.version = 2; // the caller's instance has a newer configuration
    broker.handOver(2, aRead);
    EXPECT_TRUE(broker.lastAnswer().isDeclined);
    EXPECT_EQ(broker.sentCount(), 0U);
    EXPECT_EQ(broker.subject.servedCount(), 0U);
}

TEST(dispatch_brokers, a_stopping_broker_declines_new_operations_and_ends_running_ones)
{
    broker_side broker;
    broker.handOver(1, aWrite);
    broker.subject.setAcceptedWork(accepted_work::singleStatements);
    broker.handOver(2, aWrite);
    EXPECT_TRUE(broker.lastAnswer().isDeclined);
    broker.collect(broker.subject.closeIdleSessions(10, broker.now));
    broker.answer(broker.lastSent().connection);
    EXPECT_FALSE(broker.lastAnswer().isDeclined);
    EXPECT_TRUE(broker.lastAnswer().answer.succeeded());
    EXPECT_TRUE(broker.outputsOf<dispatch_action::close_caller>().empty());
}

TEST(dispatch_brokers, a_broker_that_must_exit_answers_everything)
{
    broker_side broker;
    broker.handOver(1, aWrite);
    broker.opensAutomatically = false;
    broker.handOver(2, aWrite);
    broker.collect(broker.subject.closeAllSessions(broker.now));
    const auto answers = broker.outputsOf<dispatch_action::answer_hand_over>();
    ASSERT_EQ(answers.size(), 2U);
    for (const auto &each : answers)
        EXPECT_EQ(each.answer.isDeclined, each.answer.operation == 2);
    EXPECT_TRUE(broker.outputsOf<dispatch_action::close_caller>().empty());
}

TEST(dispatch_brokers, a_broker_that_is_cut_off_from_the_primary_declines_waiting_writes)
{
    broker_side broker;
    broker.opensAutomatically = false;
    broker.handOver(1, aWrite);
    const auto opening = broker.outputsOf<dispatch_action::open_member>().back().connection;
    broker.collect(broker.subject.closed(opening, std::nullopt, broker.now));
    broker.advance(20ms);
    EXPECT_TRUE(broker.lastAnswer().isDeclined);
    EXPECT_FALSE(broker.lastAnswer().wasSent);
}

TEST(dispatch_brokers, queued_work_goes_to_the_new_primary)
{
    broker_side broker;
    broker.collect(broker.subject.setPrimary(broker.database, std::nullopt, broker.now));
    broker.subject.setExpectedPrimaryTime(broker.database, broker.now + 100ms);
    broker.handOver(1, aWrite);
    EXPECT_EQ(broker.sentCount(), 0U);
    broker.collect(broker.subject.setPrimary(
            broker.database, usable_primary{server_id("s2"), 2, broker.now + 1h}, broker.now));
    ASSERT_EQ(broker.sentCount(), 1U);
    EXPECT_EQ(broker.serverOf(broker.lastSent().connection), server_id("s2"));
}

TEST(dispatch_brokers, a_workspace_that_is_never_idle_does_not_keep_others_out)
{
    broker_side broker; // holds 9 connections to each member, all of them used by one workspace
    for (session_number session = 1; session <= 9; ++session) {
        broker.handOver(session, aWrite);
        broker.advance(20ms);
    }
    ASSERT_EQ(broker.outputsOf<dispatch_action::open_member>().size(), 9U);
    const workspace_id another("another");
    broker.handOver(100, aWrite, {}, another);
    session_number session = 100;
    bool isServed = false;
    for (const auto end = broker.now + 300ms; broker.now < end && !isServed; broker.advance(10ms)) {
        for (const auto &each : broker.outputsOf<dispatch_action::open_member>())
            isServed = isServed || each.workspace == another;
        broker.answer(broker.lastSent().connection);
        broker.handOver(++session, aWrite);
    }
    EXPECT_TRUE(isServed);
}

TEST(dispatch_brokers, statements_of_one_workspace_share_its_connection)
{
    broker_side broker;
    broker.handOver(1, aWrite);
    broker.handOver(2, aWrite);
    EXPECT_EQ(broker.outputsOf<dispatch_action::open_member>().size(), 1U);
    broker.answer(broker.lastSent().connection);
    EXPECT_EQ(broker.sentCount(), 2U);
    EXPECT_EQ(broker.outputsOf<dispatch_action::open_member>().size(), 1U);
    // One that would wait for long opens a second one.
    broker.handOver(3, aWrite);
    broker.advance(40ms);
    EXPECT_EQ(broker.outputsOf<dispatch_action::open_member>().size(), 2U);
}

} // namespace
