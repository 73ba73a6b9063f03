// Tests that legal statements of callers reach members as legal lines with the same content,
// whatever blanks, bytes and names they hold.

#include "isolation_schedule.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan::test;

TEST(DispatchLegalTexts, StatementsRunInTheShapeThatTheirCallerPrepared)
{
    EXPECT_TRUE(holdsOnEverySchedule({}, runsAsSent));
}

TEST(DispatchLegalTexts, MembersRefuseNoLineAsMalformed)
{
    EXPECT_TRUE(holdsOnEverySchedule({}, [](isolation_schedule &played) {
        RC_ASSERT(played.malformedCount == 0U);
        RC_ASSERT(played.outcomes["malformed"] == 0U);
        RC_ASSERT(played.outcomes["in_doubt"] == 0U);
    }));
}

} // namespace
