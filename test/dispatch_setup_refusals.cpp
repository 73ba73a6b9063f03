// Tests that no statement runs without the setup of its session, whatever members refuse or lose.

#include "isolation_schedule.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan::test;

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

/** A write whose setup was refused has not been sent, so that its outcome is known. */
TEST(DispatchSetupRefusals, ARefusedSetupLeavesNoWriteInDoubt)
{
    EXPECT_TRUE(holdsOnEverySchedule({.busySetup = 0.3}, [](isolation_schedule &played) {
        RC_ASSERT(played.outcomes["in_doubt"] == 0U);
    }));
}

} // namespace
