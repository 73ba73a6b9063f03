// Tests of what a connection to a member holds for the sessions that it serves.

#include "sycamorespan/Dispatch"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;

prepared_statement numbered(std::size_t number)
{
    return {statement_access::read, "q" + std::to_string(number)};
}

template<typename Statement>
std::size_t countOf(const std::vector<setup_statement> &statements)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            statements, [](const auto &each) { return std::holds_alternative<Statement>(each); }));
}

std::size_t applyAll(connection_setup &to, const session_values &values,
                     const prepared_statement *executed)
{
    const auto statements = to.statementsFor(values, executed);
    EXPECT_EQ(to.costFor(values, executed), statements.size());
    std::ranges::for_each(statements, [&](const auto &each) { to.acknowledge(each); });
    return statements.size();
}

TEST(DispatchConnectionSetup, WhatIsHeldIsNotSentAgain)
{
    connection_setup setup;
    const auto statement = numbered(1);
    EXPECT_EQ(applyAll(setup, {{"v", "1"}, {"w", "2"}}, &statement), 3U);
    EXPECT_EQ(applyAll(setup, {{"v", "1"}, {"w", "2"}}, &statement), 0U);
    EXPECT_EQ(applyAll(setup, {{"v", "1"}, {"w", "3"}}, &statement), 1U);
}

TEST(DispatchConnectionSetup, AValueThatTheSessionLacksIsDiscarded)
{
    connection_setup setup;
    const auto statement = numbered(1);
    applyAll(setup, {{"v", "1"}, {"w", "2"}}, &statement);
    const auto statements = setup.statementsFor({{"v", "1"}}, &statement);
    ASSERT_EQ(statements.size(), 3U);
    EXPECT_TRUE(std::holds_alternative<member_statement::discard>(statements.front()));
}

TEST(DispatchConnectionSetup, ReadsAndWritesOfOneShapeHaveTwoNames)
{
    connection_setup setup;
    const prepared_statement read{statement_access::read, "q 1"};
    const prepared_statement write{statement_access::write, "q 1"};
    applyAll(setup, {}, &read);
    applyAll(setup, {}, &write);
    EXPECT_NE(setup.use(read), setup.use(write));
}

TEST(DispatchConnectionSetup, ThousandsOfStatementsShareABoundedNumberOfNames)
{
    connection_setup setup;
    std::set<std::string> names;
    for (std::size_t number = 0; number < 3000; ++number) {
        const auto statement = numbered(number);
        applyAll(setup, {}, &statement);
        names.insert(setup.use(statement));
        ASSERT_EQ(names.rbegin()->size(), 1U);
    }
    EXPECT_EQ(names.size(), connection_setup::maximumPrepared);
}

TEST(DispatchConnectionSetup, TheStatementThatWasNotUsedForLongestGivesWay)
{
    connection_setup setup;
    for (std::size_t number = 0; number < connection_setup::maximumPrepared; ++number) {
        const auto statement = numbered(number);
        applyAll(setup, {}, &statement);
    }
    setup.use(numbered(0));
    const auto added = numbered(connection_setup::maximumPrepared);
    const auto statements = setup.statementsFor({}, &added);
    EXPECT_EQ(countOf<member_statement::deallocate>(statements), 1U);
    applyAll(setup, {}, &added);
    EXPECT_NO_THROW(setup.use(numbered(0)));
    EXPECT_THROW(setup.use(numbered(1)), std::out_of_range);
}

TEST(DispatchConnectionSetup, ShapesAreBoundedInBytes)
{
    connection_setup setup;
    for (char first = 'a'; first < 'k'; ++first) {
        const prepared_statement large{statement_access::read, std::string(20'000, first)};
        applyAll(setup, {}, &large);
    }
    const prepared_statement dropped{statement_access::read, std::string(20'000, 'a')};
    EXPECT_THROW(setup.use(dropped), std::out_of_range);
}

TEST(DispatchConnectionSetup, AStatementLongerThanTheLimitIsForgottenWithItsOperation)
{
    connection_setup setup;
    const prepared_statement large{statement_access::read, std::string(900'000, 'a')};
    applyAll(setup, {}, &large);
    EXPECT_NO_THROW(setup.use(large));
    setup.limitSize();
    EXPECT_THROW(setup.use(large), std::out_of_range);
    const auto statements = setup.statementsFor({}, nullptr);
    ASSERT_EQ(statements.size(), 1U) << "the member still holds it";
    EXPECT_TRUE(std::holds_alternative<member_statement::discard>(statements.front()));
}

/** A member may refuse DEALLOC and run the PREPARE behind it. */
TEST(DispatchConnectionSetup, ANameThatIsPreparedAgainBelongsToTheNewStatement)
{
    connection_setup setup;
    const auto statement = numbered(1);
    applyAll(setup, {}, &statement);
    setup.acknowledge(
            member_statement::prepare{setup.use(statement), statement_access::write, "q2"});
    EXPECT_THROW(setup.use(statement), std::out_of_range);
}

} // namespace
