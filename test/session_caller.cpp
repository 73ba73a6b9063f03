#include "sycamorespan/Session"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

std::string bigEndian(std::uint32_t value)
{
    return {static_cast<char>(value >> 24U), static_cast<char>(value >> 16U),
            static_cast<char>(value >> 8U), static_cast<char>(value)};
}

std::string encode(char type, const std::string &payload)
{
    return type + bigEndian(static_cast<std::uint32_t>(payload.size() + 4)) + payload;
}

std::string text(const std::string &value)
{
    return value + '\0';
}

std::string query(const std::string &sql)
{
    return encode('Q', text(sql));
}

/** \returns the messages Parse, Bind and Execute of the unnamed statement, without Sync. */
std::string execute(const std::string &sql)
{
    return encode('P', text("") + text(sql) + std::string(2, '\0'))
           + encode('B', text("") + text("") + std::string(6, '\0'))
           + encode('E', text("") + bigEndian(0));
}

/** Drives a session that has completed its startup, and records its output and the statement that
 * it requested.
 */
class session_driver
{
public:
    session_driver()
        : m_session({}, m_classifier)
    {
        const auto parameters = text("user") + text("shop") + text("database") + text("cribs");
        const auto startup = bigEndian(196608) + parameters + '\0';
        feed(bigEndian(static_cast<std::uint32_t>(startup.size() + 4)) + startup);
        feed(encode('p', text("key")));
        handle(caller_accepted{log_position{}, "token", std::nullopt, false, 1, 2});
        m_sent.clear();
    }

    void feed(const std::string &bytes) { handle(caller_bytes{bytes}); }

    void finish(const std::string &tag)
    {
        statement_finished event;
        event.result.tag = tag;
        handle(event);
    }

    void fail(const std::string &code, bool transactionEnded = false)
    {
        statement_finished event;
        event.result.error = error_report{"ERROR", code, "failed", {}, {}};
        event.result.transactionEnded = transactionEnded;
        handle(event);
    }

    void end(end_session_mode mode)
    {
        handle(end_session_request{{"FATAL", "57P01", "shutdown", {}, {}}, mode});
    }

    /** \returns the types of the messages sent since the last call. */
    std::string takeSentTypes()
    {
        frame_decoder decoder(1U << 20U);
        decoder.startupFinished();
        decoder.feed(std::exchange(m_sent, {}));
        std::string types;
        while (const auto next = decoder.next())
            types.push_back(next->type);
        return types;
    }

    /** The statement that the last event started, if any. */
    std::optional<statement_request> running;
    bool closed = false;

private:
    void handle(const session_event &event)
    {
        running.reset();
        for (const auto &action : m_session.handle(event)) {
            if (const auto *bytes = std::get_if<send_bytes>(&action))
                m_sent += bytes->bytes;
            if (const auto *start = std::get_if<start_statement>(&action))
                running = start->request;
            if (std::holds_alternative<close_session>(action))
                closed = true;
        }
    }

    statement_classifier m_classifier;
    caller_session m_session;
    std::string m_sent;
};

TEST(caller_session, reportsItsInitialPosition)
{
    constexpr std::string_view positionParameter = "sycamorespan.position";
    caller_accepted accepted;
    accepted.positionToken = "cribs:1:2:signature";
    statement_classifier classifier;
    caller_session session({}, classifier);
    std::string sent;
    for (const auto &action : session.handle(accepted)) {
        if (const auto *bytes = std::get_if<send_bytes>(&action))
            sent += bytes->bytes;
    }
    const auto expected = std::string(positionParameter) + '\0' + accepted.positionToken + '\0';
    EXPECT_NE(sent.find(expected), std::string::npos);
}

TEST(caller_session, delaysBeginUntilTheFirstStatement)
{
    session_driver driver;
    driver.feed(query("BEGIN"));
    EXPECT_FALSE(driver.running);
    EXPECT_EQ(driver.takeSentTypes(), "CZ");
    driver.feed(query("INSERT INTO t VALUES (1)"));
    ASSERT_TRUE(driver.running);
    EXPECT_EQ(driver.running->step, transaction_step::start);
    EXPECT_EQ(driver.running->beginText, "BEGIN");
    driver.finish("INSERT 0 1");
    driver.feed(query("COMMIT"));
    ASSERT_TRUE(driver.running);
    EXPECT_EQ(driver.running->step, transaction_step::commit);
    driver.finish("COMMIT");
    EXPECT_EQ(driver.takeSentTypes(), "CZCZ");
}

TEST(caller_session, answersSeveralStatementsOnlyAfterTheirCommit)
{
    session_driver driver;
    driver.feed(query("INSERT INTO t VALUES (1); INSERT INTO t VALUES (2)"));
    EXPECT_EQ(driver.running->step, transaction_step::start);
    driver.finish("INSERT 0 1");
    EXPECT_EQ(driver.running->step, transaction_step::inside);
    driver.finish("INSERT 0 1");
    EXPECT_EQ(driver.running->step, transaction_step::commit);
    EXPECT_EQ(driver.takeSentTypes(), "") << "nothing is acknowledged before the commit";
    driver.fail("08007", true);
    EXPECT_EQ(driver.takeSentTypes(), "EZ") << "a commit of unknown outcome acknowledges nothing";
}

TEST(caller_session, statementsBeforeOneSyncAreOneTransaction)
{
    session_driver driver;
    driver.feed(execute("INSERT INTO t VALUES (1)") + execute("INSERT INTO t VALUES (2)")
                + encode('S', ""));
    EXPECT_EQ(driver.running->step, transaction_step::start);
    driver.finish("INSERT 0 1");
    driver.fail("23505");
    ASSERT_TRUE(driver.running);
    EXPECT_EQ(driver.running->step, transaction_step::rollback);
    driver.finish("ROLLBACK");
    EXPECT_EQ(driver.takeSentTypes(), "EZ");
}

TEST(caller_session, aPortalBoundWhileTheLastBatchStillRunsIsKept)
{
    session_driver driver;
    driver.feed(execute("INSERT INTO t VALUES (1)") + encode('S', ""));
    const auto next = execute("INSERT INTO t VALUES (2)");
    const auto executeBytes = encode('E', text("") + bigEndian(0));
    driver.feed(next.substr(0, next.size() - executeBytes.size()));
    driver.finish("INSERT 0 1");
    driver.takeSentTypes();
    driver.feed(executeBytes + encode('S', ""));
    ASSERT_TRUE(driver.running);
    EXPECT_EQ(driver.running->sql.text, "INSERT INTO t VALUES (2)");
}

std::string parse(const std::string &name, const std::string &sql)
{
    return encode('P', text(name) + text(sql) + std::string(2, '\0'));
}

std::string closeStatement(const std::string &name)
{
    return encode('C', "S" + text(name));
}

/** \returns Bind and Execute of a prepared statement, without Sync. */
std::string executePrepared(const std::string &name)
{
    return encode('B', text("") + text(name) + std::string(6, '\0'))
           + encode('E', text("") + bigEndian(0));
}

const std::string sync = encode('S', "");
const std::string first = "INSERT INTO t VALUES (1)";
const std::string second = "INSERT INTO t VALUES (2)";

/** Guards against a name that runs another statement than the one acknowledged for it. */
TEST(caller_session, aBatchThatFailsChangesNoPreparedStatementBehindItsError)
{
    session_driver driver;
    driver.feed(parse("s", first) + sync);
    driver.feed(execute("SELECT 1") + closeStatement("s") + parse("s", second) + sync);
    ASSERT_TRUE(driver.running);
    driver.fail("23505");
    EXPECT_EQ(driver.takeSentTypes(), "1Z12EZ") << "Close and Parse are not acknowledged";
    driver.feed(executePrepared("s") + sync);
    ASSERT_TRUE(driver.running);
    EXPECT_EQ(driver.running->sql.text, first);
}

/** The caller may send the next batch before the one that changes the name has been answered. */
TEST(caller_session, aNameRunsTheStatementAcknowledgedForItInBatchesSentAhead)
{
    session_driver driver;
    driver.feed(parse("s", first) + sync);
    driver.feed(execute("SELECT 1") + closeStatement("s") + parse("s", second) + sync
                + executePrepared("s") + sync);
    driver.fail("23505");
    ASSERT_TRUE(driver.running);
    EXPECT_EQ(driver.running->sql.text, first);
}

TEST(caller_session, aBatchWhoseAnswersAreDiscardedChangesNoPreparedStatement)
{
    session_driver driver;
    driver.feed(parse("s", first) + sync);
    driver.takeSentTypes();
    driver.feed(closeStatement("s") + parse("s", second) + executePrepared("s")
                + executePrepared("s") + sync);
    driver.finish("INSERT 0 1");
    driver.fail("23505");
    driver.finish("ROLLBACK");
    EXPECT_EQ(driver.takeSentTypes(), "EZ");
    driver.feed(executePrepared("s") + sync);
    ASSERT_TRUE(driver.running);
    EXPECT_EQ(driver.running->sql.text, first);
}

TEST(caller_session, aStatementPreparedBehindDiscardIsKept)
{
    session_driver driver;
    driver.feed(execute("SELECT 1") + sync + query("DISCARD ALL") + parse("s", first) + sync);
    driver.finish("SELECT 1");
    EXPECT_EQ(driver.takeSentTypes(), "12CZCZ1Z");
    driver.feed(executePrepared("s") + sync);
    ASSERT_TRUE(driver.running);
    EXPECT_EQ(driver.running->sql.text, first);
}

TEST(caller_session, onlyDiscardAllDropsPreparedStatements)
{
    for (const std::string discarded : {"ALL", "PLANS", "SEQUENCES", "TEMP"}) {
        session_driver driver;
        driver.feed(parse("s", first) + sync + query("DISCARD " + discarded));
        EXPECT_EQ(driver.takeSentTypes(), "1ZCZ");
        driver.feed(executePrepared("s") + sync);
        EXPECT_EQ(driver.running.has_value(), discarded != "ALL") << discarded;
    }
}

/** Guards against a text that libpq would cut at the NUL, and write in part. */
TEST(caller_session, aTextParameterWithANulIsRefused)
{
    const auto bind = [](std::uint16_t format) {
        const auto bigEndian16 = [](std::uint16_t value) {
            return std::string{static_cast<char>(value >> 8U), static_cast<char>(value)};
        };
        const std::string value("a\0b", 3);
        return encode('B', text("") + text("") + bigEndian16(1) + bigEndian16(format)
                                   + bigEndian16(1) + bigEndian(3) + value + bigEndian16(0));
    };
    for (const std::uint16_t format : {0, 1}) {
        session_driver driver;
        driver.feed(parse("", "INSERT INTO t VALUES ($1)") + bind(format)
                    + encode('E', text("") + bigEndian(0)) + sync);
        EXPECT_EQ(driver.running.has_value(), format == 1) << "binary values may hold any byte";
        EXPECT_EQ(driver.takeSentTypes(), format == 1 ? "12" : "1EZ");
    }
}

TEST(caller_session, rejectsUnsupportedStatements)
{
    for (const std::string sql :
         {"COPY t FROM STDIN", "LISTEN c", "SET search_path = x", "BEGIN; SELECT 1; COMMIT",
          "PREPARE TRANSACTION 'x'", "CREATE TEMP TABLE t (a int)"}) {
        session_driver driver;
        driver.feed(query(sql));
        EXPECT_FALSE(driver.running) << sql;
        EXPECT_EQ(driver.takeSentTypes(), "EZ") << sql;
    }
}

TEST(caller_session, aFailedTransactionRunsNoStatementsUntilItsEnd)
{
    session_driver driver;
    driver.feed(query("BEGIN"));
    driver.feed(query("INSERT INTO t VALUES (1)"));
    driver.fail("08006", true);
    driver.takeSentTypes();
    driver.feed(query("INSERT INTO t VALUES (2)"));
    EXPECT_FALSE(driver.running);
    EXPECT_EQ(driver.takeSentTypes(), "EZ");
    driver.feed(query("COMMIT"));
    EXPECT_FALSE(driver.running) << "the transaction has already ended at the server";
    EXPECT_EQ(driver.takeSentTypes(), "CZ");
}

TEST(caller_session, anEndWhenIdleWaitsForTheTransaction)
{
    session_driver driver;
    driver.feed(query("BEGIN"));
    driver.feed(query("INSERT INTO t VALUES (1)"));
    driver.finish("INSERT 0 1");
    driver.end(end_session_mode::whenIdle);
    EXPECT_FALSE(driver.closed);
    driver.feed(query("COMMIT"));
    driver.takeSentTypes();
    driver.finish("COMMIT");
    EXPECT_TRUE(driver.closed);
    EXPECT_EQ(driver.takeSentTypes(), "CZE");
}

TEST(caller_session, aWithdrawnKeyEndsTheSessionAfterTheRunningStatement)
{
    session_driver driver;
    driver.feed(query("BEGIN"));
    driver.feed(query("INSERT INTO t VALUES (1)"));
    driver.end(end_session_mode::afterStatement);
    EXPECT_FALSE(driver.closed);
    driver.finish("INSERT 0 1");
    EXPECT_TRUE(driver.closed);
}

/** For any sequence of statements and outcomes, each query gets exactly one ReadyForQuery. */
RC_GTEST_PROP(caller_session, everyQueryGetsOneReadyForQuery, ())
{
    const std::vector<std::string> statements{"SELECT 1",
                                              "INSERT INTO t VALUES (1)",
                                              "BEGIN",
                                              "COMMIT",
                                              "ROLLBACK",
                                              "SAVEPOINT s",
                                              "ROLLBACK TO s",
                                              "SELECT 1; INSERT INTO t VALUES (1)",
                                              "",
                                              "SET x = 1",
                                              "nonsense(",
                                              "SET sycamorespan.max_staleness = '1s'",
                                              "DISCARD ALL",
                                              "COPY t TO STDOUT"};
    session_driver driver;
    const auto count = *rc::gen::inRange<std::size_t>(1, 20);
    std::string bytes;
    for (std::size_t number = 0; number < count; ++number)
        bytes += query(*rc::gen::elementOf(statements));
    driver.feed(bytes);
    std::string sent = driver.takeSentTypes();
    while (driver.running) {
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            driver.finish("TAG");
            break;
        case 1:
            driver.fail("23505");
            break;
        default:
            driver.fail("08006", true);
        }
        sent += driver.takeSentTypes();
    }
    RC_ASSERT(std::ranges::count(sent, 'Z') == static_cast<std::ptrdiff_t>(count));
    RC_ASSERT(sent.back() == 'Z');
}

RC_GTEST_PROP(caller_session, arbitraryBytesDoNotCrashTheSession, ())
{
    session_driver driver;
    driver.feed(*rc::gen::arbitrary<std::string>());
    driver.feed(encode('X', ""));
    SUCCEED();
}

TEST(session_options, parsesIntervalsAndOptions)
{
    EXPECT_EQ(parseInterval("250ms"), 250ms);
    EXPECT_EQ(parseInterval("5 s"), 5s);
    EXPECT_EQ(parseInterval("1500"), 1500ms);
    EXPECT_EQ(parseInterval("-1s"), std::nullopt);
    EXPECT_EQ(parseInterval("99999999999h"), std::nullopt);
    const auto options = parseSessionOptions("-c a.b=c\\ d --e=f");
    EXPECT_EQ(options, (std::map<std::string, std::string>{{"a.b", "c d"}, {"e", "f"}}));
    EXPECT_THROW(parseSessionOptions("-x"), decode_error);
}

} // namespace
} // namespace sycamorespan
