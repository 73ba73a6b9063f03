#include "sycamorespan/Quota"

#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::test {
namespace {

constexpr std::int64_t total = 10;
const holder_incarnation self{holder_id("proxy-0"), 2};

/** \brief A lease whose store answers are given by the test. */
class tested_lease
{
public:
    tested_lease()
        : m_lease(
                "quota/slots/a1", total, self, policy, [] { return 0; }, now)
    { }

    void handle(const allotment_input &input)
    {
        for (const auto &action : m_lease.handle(input, now)) {
            if (const auto *read = std::get_if<allotment_action::read_row>(&action))
                lastRead = *read;
            if (const auto *write = std::get_if<allotment_action::write_row>(&action))
                lastWrite = *write;
        }
    }
    void read(std::uint64_t revision, const allotment &row)
    {
        now = std::max(now, m_lease.nextDeadline());
        handle(allotment_event::tick{});
        lastWrite.reset();
        handle(allotment_event::row_read{lastRead->request, revision, row.encode()});
    }
    void succeed(std::uint64_t revision)
    {
        handle(allotment_event::write_answered{lastWrite.value().request, true, revision});
    }
    void passTime(duration length)
    {
        now += length;
        handle(allotment_event::tick{});
    }
    std::int64_t usable() const { return m_lease.usableUnits(now); }

    const allotment_policy policy;
    time_point now{};
    std::optional<allotment_action::read_row> lastRead;
    std::optional<allotment_action::write_row> lastWrite;

private:
    allotment_lease m_lease;
};

TEST(allotment_lease, unitsOfThePreviousIncarnationAreUsableOnlyAfterItsLoansSettled)
{
    tested_lease lease;
    lease.read(7, {total, {{{self.holder, 1}, total, total, {}}}, "before"});
    lease.succeed(8);
    EXPECT_EQ(lease.usable(), 0);
    lease.passTime(lease.policy.settleTime - 1ms);
    EXPECT_EQ(lease.usable(), 0);
    lease.passTime(1ms);
    EXPECT_EQ(lease.usable(), total);
}

TEST(allotment_lease, anUnansweredReductionCountsAsDoneUntilALaterWriteSucceeded)
{
    tested_lease lease;
    const allotment row(total, {{self, total, total, {}}}, "before");
    lease.read(7, row);
    lease.succeed(8);
    ASSERT_EQ(lease.usable(), total);
    const auto unchanged = allotment::decode(lease.lastWrite->value);
    lease.handle(allotment_event::wanted_changed{total / 2});
    ASSERT_EQ(lease.usable(), total / 2);
    lease.handle(allotment_event::request_failed{lease.lastWrite.value().request});
    lease.handle(allotment_event::wanted_changed{total});
    lease.read(8, unchanged);
    EXPECT_EQ(lease.usable(), total / 2);
    lease.succeed(9);
    EXPECT_EQ(lease.usable(), total);
}

TEST(allotment_lease, unitsInUseAreNotGivenBack)
{
    tested_lease lease;
    lease.read(7, {total, {{self, total, total, {}}}, "before"});
    lease.succeed(8);
    lease.handle(allotment_event::committed_changed{total - 1});
    lease.handle(allotment_event::wanted_changed{1});
    EXPECT_EQ(allotment::decode(lease.lastWrite->value).find(self.holder)->units, total);
    lease.succeed(9);
    lease.passTime(lease.policy.settleTime);
    lease.handle(allotment_event::committed_changed{1});
    EXPECT_EQ(allotment::decode(lease.lastWrite->value).find(self.holder)->units, 1);
}

TEST(quota_holder, aShareIsNotSpentAfterItsValidity)
{
    quota_holder holder(workspace_id("w"), self, {}, time_point{});
    const quota_limit share{token_rate::tokensPerSecond(10), token_amount::tokens(10)};
    holder.handle(quota_event::share_changed{share, time_point(2s)}, time_point{});
    const auto before = holder.handle(quota_event::request_arrived{1}, time_point(2s - 1us));
    const auto after = holder.handle(quota_event::request_arrived{2}, time_point(2s));
    EXPECT_TRUE(std::holds_alternative<quota_action::admit>(before.at(0)));
    EXPECT_TRUE(std::holds_alternative<quota_action::refuse>(after.at(0)));
}

TEST(unit_budget, neverHandsOutMoreThanItsShareAndTakesNothingAway)
{
    unit_budget budget;
    budget.setShare(2, time_point(1s));
    EXPECT_TRUE(budget.tryAcquire(time_point{}));
    EXPECT_TRUE(budget.tryAcquire(time_point{}));
    EXPECT_FALSE(budget.tryAcquire(time_point{}));
    budget.setShare(1, time_point(1s));
    EXPECT_EQ(budget.inUse(), 2);
    budget.release();
    EXPECT_FALSE(budget.tryAcquire(time_point{}));
    budget.release();
    EXPECT_FALSE(budget.tryAcquire(time_point(1s)));
    EXPECT_TRUE(budget.tryAcquire(time_point(1s - 1us)));
}

RC_GTEST_PROP(allotment, fairUnitsAddUpAndNobodyGetsMoreThanItWants, ())
{
    const auto wants = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 12)));
    allotment row(total, {}, {});
    for (std::size_t index = 0; index < wants.size(); ++index)
        row = row.with({{holder_id("h" + std::to_string(index)), 1}, 0, wants[index], {}});
    std::int64_t sum = 0;
    for (const auto &share : row.shares()) {
        const auto fair = row.fairUnits(share.incarnation.holder);
        RC_ASSERT(fair <= share.wanted);
        sum += fair;
    }
    const auto wanted = std::accumulate(wants.begin(), wants.end(), std::int64_t{0});
    RC_ASSERT(sum == std::min(total, wanted));
}

} // namespace
} // namespace sycamorespan::test
