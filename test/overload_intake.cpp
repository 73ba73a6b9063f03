// Tests of the budget for what a process holds for its clients, each named after a crowd.

#include "sycamorespan/Overload"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace {

using namespace sycamorespan;

constexpr std::size_t mebibyte = std::size_t{1} << 20;

intake_policy smallPolicy()
{
    intake_policy policy;
    policy.budgetBytes = 10 * mebibyte;
    policy.maxSessions = 100;
    policy.maxUnidentified = 20;
    return policy;
}

intake_load unfinishedMessage(std::size_t bytes, time_point begunAt)
{
    intake_load load;
    load.unfinished = bytes;
    load.messageBegunAt = begunAt;
    return load;
}

intake_load unreadAnswers(std::size_t bytes, std::size_t sent)
{
    intake_load load;
    load.unsent = bytes;
    load.sent = sent;
    return load;
}

class intake_test : public testing::Test
{
protected:
    /** Opens sessions with consecutive numbers whose clients have identified themselves. */
    void openIdentified(std::uint64_t first, std::uint64_t count)
    {
        for (auto session = first; session < first + count; ++session) {
            EXPECT_TRUE(budget.opened(session, now).empty());
            budget.identified(session);
        }
    }

    intake_budget budget{smallPolicy()};
    time_point now{};
};

TEST_F(intake_test, unfinishedMessagesOfACrowdCloseItsLargestSessionsAndNoSmallOne)
{
    openIdentified(1, 61);
    budget.changed(1, unfinishedMessage(100, now), now);
    std::size_t closed = 0;
    for (std::size_t bytes = mebibyte / 4; bytes <= mebibyte; bytes += mebibyte / 4) {
        for (std::uint64_t session = 2; session <= 61; ++session) {
            for (const auto &end : budget.changed(session, unfinishedMessage(bytes, now), now)) {
                EXPECT_NE(end.session, 1U);
                EXPECT_EQ(end.cause, intake_cause::budgetExceeded);
                ++closed;
            }
            EXPECT_LE(budget.heldBytes(), 10 * mebibyte);
        }
    }
    EXPECT_GE(closed, 50U);
    EXPECT_FALSE(budget.mustPause(1));
}

TEST_F(intake_test, aCallerThatDoesNotReadIsPausedAndThenClosed)
{
    openIdentified(1, 2);
    EXPECT_TRUE(budget.changed(1, unreadAnswers(6 * mebibyte, 1), now).empty());
    EXPECT_TRUE(budget.mustPause(1));
    EXPECT_FALSE(budget.mustPause(2));
    EXPECT_TRUE(budget.expired(now + 30s).empty());
    const auto ends = budget.expired(now + 31s);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends.front().cause, intake_cause::answersUnread);
    EXPECT_EQ(budget.heldBytes(), 0U);
}

TEST_F(intake_test, aCallerThatReadsSlowlyStaysOpenAndIsResumed)
{
    openIdentified(1, 1);
    for (std::size_t step = 0; step < 10; ++step) {
        now += 20s;
        budget.changed(1, unreadAnswers((10 - step) * mebibyte, step), now);
        EXPECT_TRUE(budget.expired(now).empty());
        EXPECT_EQ(budget.mustPause(1), 10 - step > 5);
    }
}

TEST_F(intake_test, aMessageSentAByteAtATimeIsGivenUpAfterItsTimeLimit)
{
    openIdentified(1, 1);
    const auto begun = now;
    for (std::size_t bytes = 1; bytes <= 30; ++bytes) {
        budget.changed(1, unfinishedMessage(bytes, begun), now);
        now += 1s;
        EXPECT_TRUE(budget.expired(now).empty());
    }
    const auto ends = budget.expired(now + 1s);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends.front().cause, intake_cause::messageUnfinished);
}

TEST_F(intake_test, idleSessionsOfIdentifiedCallersStayOpen)
{
    openIdentified(1, 50);
    EXPECT_TRUE(budget.expired(now + 24h).empty());
    EXPECT_EQ(budget.sessionCount(), 50U);
}

TEST_F(intake_test, connectionsWithoutAMessageGiveWayToNewOnes)
{
    for (std::uint64_t session = 1; session <= 20; ++session)
        EXPECT_TRUE(budget.opened(session, now).empty());
    const auto ends = budget.opened(21, now);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends.front().session, 1U);
    EXPECT_EQ(ends.front().cause, intake_cause::tooManyUnidentified);
    budget.identified(21);
    EXPECT_EQ(budget.expired(now + 31s).size(), 19U);
    EXPECT_EQ(budget.sessionCount(), 1U);
}

TEST_F(intake_test, theNewestSessionBeyondTheLimitIsRefused)
{
    openIdentified(1, 100);
    const auto ends = budget.opened(101, now);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends.front().session, 101U);
    EXPECT_EQ(ends.front().cause, intake_cause::tooManySessions);
    budget.closed(1);
    EXPECT_TRUE(budget.opened(102, now).empty());
}

TEST_F(intake_test, messagesHeldBackByAPauseDoNotKeepTheSessionPaused)
{
    openIdentified(1, 1);
    intake_load load;
    load.untaken = 8 * mebibyte;
    budget.changed(1, load, now);
    EXPECT_FALSE(budget.mustPause(1));
}

TEST(receive_test, largeAnswersAtOnceAreReceivedInTurns)
{
    constexpr std::size_t small = 100;
    receive_turns turns(2, small);
    for (std::uint64_t connection = 1; connection <= 4; ++connection)
        turns.changed(connection, small + 1);
    turns.changed(5, small);
    EXPECT_TRUE(turns.mayReceive(1));
    EXPECT_TRUE(turns.mayReceive(2));
    EXPECT_FALSE(turns.mayReceive(3));
    EXPECT_TRUE(turns.mayReceive(5)) << "its answer is small";
    EXPECT_TRUE(turns.mayReceive(6)) << "it holds nothing";
    turns.changed(2, 0);
    EXPECT_TRUE(turns.mayReceive(3));
    EXPECT_FALSE(turns.mayReceive(4));
    turns.closed(1);
    EXPECT_TRUE(turns.mayReceive(4));
}

RC_GTEST_PROP(intake_property, theSumStaysInTheBudgetAndOnlyLargestHoldersAreClosed, ())
{
    constexpr std::uint64_t sessions = 12;
    intake_budget budget(smallPolicy());
    std::map<std::uint64_t, std::size_t> held;
    for (std::uint64_t session = 1; session <= sessions; ++session) {
        budget.opened(session, time_point{});
        budget.identified(session);
        held[session] = 0;
    }
    const auto steps = *rc::gen::container<std::vector<std::pair<std::uint64_t, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint64_t>(1, sessions + 1),
                          rc::gen::inRange<std::size_t>(0, 3 * mebibyte)));
    for (const auto &[session, bytes] : steps) {
        if (!held.contains(session))
            continue;
        held[session] = bytes;
        for (const auto &end : budget.changed(session, unreadAnswers(bytes, 0), time_point{})) {
            const auto largest = std::ranges::max_element(
                    held, {}, [](const auto &each) { return each.second; });
            RC_ASSERT(held.at(end.session) == largest->second);
            held.erase(end.session);
        }
        std::size_t sum = 0;
        for (const auto &each : held)
            sum += each.second;
        RC_ASSERT(sum == budget.heldBytes());
        RC_ASSERT(sum <= smallPolicy().budgetBytes);
        RC_ASSERT(held.size() == budget.sessionCount());
    }
}

} // namespace
