// Tests of supervisor_election: claims by compare-and-set with a fencing token that rises each
// time.

#include "sycamorespan/src/Failover/supervisor_election.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;

const instance_id self("i1");
constexpr time_point start(1h);

election_context electionContext()
{
    election_context context;
    context.storeReachable = true;
    context.candidates = {self, instance_id("i2")};
    return context;
}

supervisor_election electionThatKnows(const supervisor_claim &claim)
{
    supervisor_election election(self, 7, {}, start);
    election.onClaim(claim, start);
    return election;
}

const supervisor_claim claimOfOther{5, instance_id("i9"), 1, 3};

TEST(FailoverElection, TheRowIsReadBeforeAClaim)
{
    supervisor_election election(self, 7, {}, start);
    EXPECT_FALSE(election.propose(electionContext(), start + 5s));
    election.onClaim({}, start);
    const auto claim = election.propose(electionContext(), start + 5s);
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->fencingToken, 1U);
    EXPECT_FALSE(election.isSupervisor()) << "a claim counts only once the row is written";
    election.onWritten(start + 5s);
    EXPECT_TRUE(election.isSupervisor());
}

/** Guards against a claim whose later writes all conflict: the answer to a transaction tells the
 * newest revision of the store, which another writer may have raised since.
 */
TEST(FailoverElection, TheRevisionOfAWrittenClaimIsThatOfTheRowThatWasRead)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 2s;
    auto claim = election.propose(context, start + 10s);
    ASSERT_TRUE(claim);
    election.onWritten(start + 10s);
    EXPECT_TRUE(election.isSupervisor());
    EXPECT_TRUE(election.needsRead());
    claim->revision = 8;
    election.onClaim(*claim, start + 11s);
    EXPECT_FALSE(election.needsRead());
    EXPECT_EQ(election.newestClaim().revision, 8U);
}

TEST(FailoverElection, ALiveSupervisorIsNotReplaced)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 200ms;
    EXPECT_FALSE(election.propose(context, start + 10s));
}

TEST(FailoverElection, AnUnresponsiveSupervisorIsReplacedWithAHigherToken)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 2s;
    const auto claim = election.propose(context, start + 10s);
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->fencingToken, 4U);
    EXPECT_EQ(claim->revision, 5U);
}

TEST(FailoverElection, ASupervisorThatOthersHearIsNotReplacedByAnIsolatedInstance)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 10s;
    context.heardByOthers = true;
    EXPECT_FALSE(election.propose(context, start + 10s));
}

/** The instance was isolated, and the store answers before peer reports arrive again. */
TEST(FailoverElection, AnInstanceWaitsForReportsOfTheSupervisorAfterItsIsolation)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 5s;
    context.storeReachableFor = 100ms;
    EXPECT_FALSE(election.propose(context, start + 10s));
    context.timeSinceHolderHeard = 7s;
    context.storeReachableFor = 2s;
    EXPECT_TRUE(election.propose(context, start + 12s));
}

TEST(FailoverElection, ASupervisorWithoutTheStoreIsReplaced)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 100ms;
    context.holderStoreReachable = false;
    EXPECT_TRUE(election.propose(context, start + 10s));
}

/** Load pattern: the store answers all instances again after an outage. The reports of the others
 * still say that they don't reach it, so that each instance takes itself for the only candidate.
 */
TEST(FailoverElection, ASupervisorIsNotReplacedRightAfterAnOutageOfTheStore)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 100ms;
    context.holderStoreReachable = false;
    context.storeReachableFor = 300ms;
    EXPECT_FALSE(election.propose(context, start + 10s));
    context.storeReachableFor = 2s;
    EXPECT_TRUE(election.propose(context, start + 12s));
}

/** Load pattern: a partition has healed, and the new supervisor has not been heard by others yet.
 */
TEST(FailoverElection, ASupervisorThatHasJustClaimedIsGivenTimeToBeHeard)
{
    auto election = electionThatKnows({});
    auto context = electionContext();
    context.timeSinceHolderHeard = 10s; // when it was no supervisor
    election.onHigherFencingToken(instance_id("i9"), 4, start + 10s);
    election.onClaim({8, instance_id("i9"), 1, 4}, start + 10s);
    EXPECT_FALSE(election.propose(context, start + 10s + 300ms));
    EXPECT_TRUE(election.propose(context, start + 12s));
}

/** Load pattern: half of the instances is cut off from the other half, and both reach the store. A
 * change of a primary takes up to 3.8 s, and each replacement of the supervisor starts it anew.
 */
TEST(FailoverElection, ASupervisorInAnUnheardHalfCanCompleteAChange)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 10s;
    election.onClaim({8, instance_id("i9"), 1, claimOfOther.fencingToken + 1}, start + 10s);
    EXPECT_FALSE(election.propose(context, start + 13800ms));
    EXPECT_TRUE(election.propose(context, start + 15s));
}

TEST(FailoverElection, ASupervisorThatWasHeardAndFellSilentIsReplacedSoon)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    election.onClaim({8, instance_id("i9"), 1, claimOfOther.fencingToken + 1}, start + 10s);
    context.timeSinceHolderHeard = 900ms; // last heard 1.1 s after its claim
    EXPECT_TRUE(election.propose(context, start + 12s));
}

TEST(FailoverElection, AfterAConflictTheRowIsReadAgain)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 2s;
    ASSERT_TRUE(election.propose(context, start + 10s));
    election.onConflict(start + 10s);
    EXPECT_FALSE(election.propose(context, start + 11s));
    EXPECT_TRUE(election.needsRead());
    election.onClaim({6, instance_id("i2"), 2, 4}, start + 11s);
    EXPECT_FALSE(election.isSupervisor());
}

TEST(FailoverElection, AnUnansweredClaimThatWasWrittenIsRecognised)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 2s;
    const auto claim = election.propose(context, start + 10s);
    election.onUnknown(start + 11s);
    EXPECT_FALSE(election.isSupervisor());
    auto written = *claim;
    written.revision = 8;
    election.onClaim(written, start + 12s);
    EXPECT_TRUE(election.isSupervisor());
}

TEST(FailoverElection, AHigherTokenEndsTheRoleOfSupervisor)
{
    auto election = electionThatKnows({5, self, 7, 3});
    EXPECT_TRUE(election.isSupervisor());
    election.onHigherFencingToken(instance_id("i2"), 4, start);
    EXPECT_FALSE(election.isSupervisor());
}

TEST(FailoverElection, AnotherIncarnationOfTheSupervisorClaimsAgain)
{
    auto election = electionThatKnows({5, self, 6, 3});
    EXPECT_FALSE(election.isSupervisor());
    const auto claim = election.propose(electionContext(), start + 1s);
    ASSERT_TRUE(claim);
    EXPECT_EQ(claim->fencingToken, 4U);
}

/** The claim was overwritten by another instance before its own answer arrived. */
/** Guards against two instances that promote with one fencing token: the store has lost the claim
 * of the second one, and the first one starts again.
 */
TEST(FailoverElection, AClaimAfterTheStoreReturnedExceedsTheLostOnes)
{
    const instance_id other("i2");
    const supervisor_claim former{{1, 20}, self, 6, nextToken(0, 1)};
    const supervisor_claim lost{{1, 25}, other, 9, nextToken(former.fencingToken, 1)};
    const supervisor_claim restored{{2, 20}, self, 6, former.fencingToken};
    supervisor_election restarted(self, 7, {}, start);
    restarted.onStoreEra(2);
    restarted.onClaim(restored, start);
    supervisor_election supervisor(other, 9, {}, start);
    supervisor.onStoreEra(1);
    supervisor.onClaim(lost, start);
    EXPECT_TRUE(supervisor.isSupervisor());
    supervisor.onStoreEra(2);
    EXPECT_FALSE(supervisor.isSupervisor()) << "its claim may be lost";
    supervisor.onClaim(restored, start);
    for (auto *each : {&restarted, &supervisor}) {
        const auto claim = each->propose(electionContext(), start + 1s);
        ASSERT_TRUE(claim);
        EXPECT_GT(claim->fencingToken, lost.fencingToken);
        EXPECT_EQ(claim->revision, restored.revision) << "so that one of the two claims fails";
    }
}

TEST(FailoverElection, TheAnswerToAClaimDoesNotHideANewerClaim)
{
    auto election = electionThatKnows(claimOfOther);
    auto context = electionContext();
    context.timeSinceHolderHeard = 2s;
    const auto claim = election.propose(context, start + 10s);
    ASSERT_TRUE(claim);
    election.onHigherFencingToken(instance_id("i2"), claim->fencingToken + 1, start + 10s);
    election.onWritten(start + 10s);
    EXPECT_FALSE(election.isSupervisor());
    EXPECT_EQ(election.newestClaim().holder, instance_id("i2"));
}

/** The rows were read before the newer claim was written, and their answer was late. */
TEST(FailoverElection, ALateReadDoesNotHideANewerClaim)
{
    supervisor_election election(self, 7, {}, start);
    const supervisor_claim own{8, self, 7, 5};
    election.onClaim(own, start);
    ASSERT_TRUE(election.isSupervisor());
    election.onHigherFencingToken(instance_id("i2"), 6, start);
    election.onClaim({10, self, 7, 5}, start);
    EXPECT_FALSE(election.isSupervisor());
    EXPECT_TRUE(election.needsRead());
    EXPECT_FALSE(election.propose(electionContext(), start + 10s));
}

} // namespace
