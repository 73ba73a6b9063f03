// Who supervises: claims by compare-and-set, with a fencing token that rises with each holder.

#include "sycamorespan/src/Failover/supervisor_election.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;

const instance_id self("i1");
constexpr time_point start(1h);

election_view around()
{
    election_view view;
    view.storeReachable = true;
    view.candidates = {self, instance_id("i2")};
    return view;
}

supervisor_election following(const supervisor_claim &claim)
{
    supervisor_election election(self, 7, {}, start);
    election.learn(claim, start);
    return election;
}

const supervisor_claim held{5, instance_id("i9"), 1, 3};

TEST(FailoverElection, TheRowIsReadBeforeAClaim)
{
    supervisor_election election(self, 7, {}, start);
    EXPECT_FALSE(election.propose(around(), start + 5s));
    election.learn({}, start);
    const auto claim = election.propose(around(), start + 5s);
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->fence, 1U);
    EXPECT_FALSE(election.isHolder()) << "only the written row counts";
    election.onWritten(9, start + 5s);
    EXPECT_TRUE(election.isHolder());
}

TEST(FailoverElection, AHeardHolderIsLeftInItsPlace)
{
    auto election = following(held);
    auto view = around();
    view.holderSilence = 200ms;
    EXPECT_FALSE(election.propose(view, start + 10s));
}

TEST(FailoverElection, ASilentHolderIsReplacedWithAHigherToken)
{
    auto election = following(held);
    auto view = around();
    view.holderSilence = 2s;
    const auto claim = election.propose(view, start + 10s);
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->fence, 4U);
    EXPECT_EQ(claim->revision, 5U);
}

TEST(FailoverElection, AHolderThatOthersHearIsNotReplacedByTheOneThatIsCutOff)
{
    auto election = following(held);
    auto view = around();
    view.holderSilence = 10s;
    view.heardByOthers = true;
    EXPECT_FALSE(election.propose(view, start + 10s));
}

/** It was cut off from everybody, and the store answers before the others are heard again. */
TEST(FailoverElection, AnInstanceThatIsBackGivesTheHolderTimeToBeHeard)
{
    auto election = following(held);
    auto view = around();
    view.holderSilence = 5s;
    view.storeReachableFor = 100ms;
    EXPECT_FALSE(election.propose(view, start + 10s));
    view.holderSilence = 7s;
    view.storeReachableFor = 2s;
    EXPECT_TRUE(election.propose(view, start + 12s));
}

TEST(FailoverElection, AHolderWithoutTheStoreHandsOn)
{
    auto election = following(held);
    auto view = around();
    view.holderSilence = 100ms;
    view.holderReachesStore = false;
    EXPECT_TRUE(election.propose(view, start + 10s));
}

TEST(FailoverElection, AfterAConflictTheRowIsReadAgain)
{
    auto election = following(held);
    auto view = around();
    view.holderSilence = 2s;
    ASSERT_TRUE(election.propose(view, start + 10s));
    election.onConflict(start + 10s);
    EXPECT_FALSE(election.propose(view, start + 11s));
    EXPECT_TRUE(election.needsRead());
    election.learn({6, instance_id("i2"), 2, 4}, start + 11s);
    EXPECT_FALSE(election.isHolder());
}

TEST(FailoverElection, AnUnansweredClaimThatWasWrittenIsRecognised)
{
    auto election = following(held);
    auto view = around();
    view.holderSilence = 2s;
    const auto claim = election.propose(view, start + 10s);
    election.onUnknown(start + 11s);
    EXPECT_FALSE(election.isHolder());
    auto written = *claim;
    written.revision = 8;
    election.learn(written, start + 12s);
    EXPECT_TRUE(election.isHolder());
}

TEST(FailoverElection, AHigherTokenEndsTheDuty)
{
    auto election = following({5, self, 7, 3});
    EXPECT_TRUE(election.isHolder());
    election.learnHolder(instance_id("i2"), 4);
    EXPECT_FALSE(election.isHolder());
}

TEST(FailoverElection, AnotherRunOfTheHolderClaimsAnew)
{
    auto election = following({5, self, 6, 3});
    EXPECT_FALSE(election.isHolder());
    const auto claim = election.propose(around(), start + 1s);
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->fence, 4U);
}

} // namespace
