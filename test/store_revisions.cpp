// Tests that the revision of a row and that of the whole store can't be taken for each other.

#include "platform/store_protocol.h"

#include <gtest/gtest.h>

#include <compare>
#include <type_traits>

namespace {

using namespace sycamorespan;

/** Guards against rows that are expected to have the newest revision of the store. */
TEST(StoreRevisions, TheRevisionOfTheStoreIsNoneOfARow)
{
    EXPECT_FALSE((std::is_constructible_v<row_revision, store_revision>));
    EXPECT_FALSE((std::is_constructible_v<store_revision, row_revision>));
    EXPECT_FALSE((std::is_assignable_v<row_revision &, store_revision>));
    EXPECT_FALSE((std::three_way_comparable_with<row_revision, store_revision>));
    EXPECT_TRUE((std::is_same_v<decltype(platform::store_row::revision), row_revision>));
    EXPECT_TRUE((std::is_same_v<decltype(platform::store_rows::revision), store_revision>));
    EXPECT_TRUE((std::is_same_v<decltype(platform::row_write::expectedRevision), row_revision>));
    EXPECT_TRUE(
            (std::is_same_v<decltype(platform::row_condition::expectedRevision), row_revision>));
}

TEST(StoreRevisions, AnAnswerToATransactionTellsOnlyTheRevisionOfTheStore)
{
    const auto answer = platform::decodeRows(R"({"ver":16,"now_ms":5})", 2);
    EXPECT_EQ(answer.revision, store_revision(2, 16));
    EXPECT_TRUE(answer.rows.empty());
}

TEST(StoreRevisions, AConflictTellsTheRevisionOfTheRow)
{
    const auto answer = platform::decodeRows(
            R"({"rows":[{"table":"t","part":"","key":"k","value":"","ver":15}],"ver":16,"now_ms":5})",
            2);
    ASSERT_EQ(answer.rows.size(), 1U);
    EXPECT_EQ(answer.rows.front().revision, row_revision(2, 15));
    EXPECT_LT(storeAfter(answer.rows.front().revision), answer.revision);
}

TEST(StoreRevisions, TheRequestForARowHasNoOther)
{
    const auto request = platform::readRow("t", "primary/a");
    EXPECT_EQ(request.path, "/api/rows-get?table=t&part=&from=primary%2Fa&target=primary%2Fa%01");
}

} // namespace
