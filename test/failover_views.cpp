// Tests of view_ledger: no instance uses a primary that another instance may be replacing.

#include "sycamorespan/src/Failover/view_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace {

using namespace sycamorespan;

const database_id database("db");
constexpr view_policy policy;

/** \returns the ledger of an instance that has been registered for long. */
view_ledger registeredLedger()
{
    view_ledger ledger(policy);
    ledger.setRegisteredAt(reference_time::zero());
    return ledger;
}

primary_view steady(std::uint64_t revision, const std::string &server = "s1")
{
    return {database, revision, server_id(server), 1, view_phase::steady, false, 1};
}

primary_view withdrawn(std::uint64_t revision)
{
    return {database, revision, server_id("s1"), 1, view_phase::withdrawn, false, 1};
}

TEST(FailoverViews, AViewIsUsableForItsValidityFromItsConfirmation)
{
    auto ledger = registeredLedger();
    ledger.applySnapshot({steady(1)}, 10s);
    EXPECT_EQ(ledger.usableUntil(database), 10s + policy.validity);
}

TEST(FailoverViews, AnUnconfirmedViewIsNotUsable)
{
    auto ledger = registeredLedger();
    ledger.apply(steady(1));
    EXPECT_FALSE(ledger.usableUntil(database));
}

TEST(FailoverViews, AWithdrawnViewIsNotUsable)
{
    auto ledger = registeredLedger();
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.apply(withdrawn(2));
    EXPECT_FALSE(ledger.usableUntil(database));
}

TEST(FailoverViews, AnOlderSnapshotDoesNotRestoreAWithdrawnView)
{
    auto ledger = registeredLedger();
    ledger.apply(withdrawn(2));
    ledger.applySnapshot({steady(1)}, 20s);
    EXPECT_FALSE(ledger.usableUntil(database));
    EXPECT_EQ(ledger.find(database)->revision, 2U);
}

/** Guards against an instance that never learns of a change: it was told a later revision of the
 * store in place of that of the row, so that it took the row itself for an older one.
 */
TEST(FailoverViews, AReadReplacesARevisionThatTheRowNeverHad)
{
    auto ledger = registeredLedger();
    ledger.apply(steady(5));
    ledger.applyRead(withdrawn(3), 20s, 4);
    EXPECT_EQ(ledger.find(database)->revision, 5U) << "the read may precede the revision 5";
    ledger.applyRead(withdrawn(3), 21s, 7);
    EXPECT_EQ(ledger.find(database)->revision, 3U);
    EXPECT_EQ(ledger.confirmed(), reference_time(21s));
    ledger.apply(steady(5));
    ledger.applySnapshot({steady(6)}, 22s);
    EXPECT_EQ(ledger.find(database)->revision, 3U) << "others still tell of it";
    ledger.apply(steady(8));
    EXPECT_EQ(ledger.find(database)->revision, 8U);
}

TEST(FailoverViews, ARowThatIsNewerThanTheFirstPageIsLeftToTheNextRead)
{
    auto ledger = registeredLedger();
    ledger.apply(steady(2));
    ledger.applyRead(withdrawn(5), 20s, 3);
    EXPECT_EQ(ledger.find(database)->revision, 2U);
    ledger.applyRead(withdrawn(5), 21s, 5);
    EXPECT_EQ(ledger.find(database)->revision, 5U);
}

/** Guards against a promotion before all instances have released the former primary: an instance
 * that knows a view reports that it has released all older ones, also of other databases.
 */
TEST(FailoverViews, ALedgerKnowsAllViewsUpToItsNewestOne)
{
    constexpr std::size_t databases = 4;
    constexpr std::size_t instances = 3;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&](std::size_t count) {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
        };
        struct read
        {
            std::vector<primary_view> rows;
            std::uint64_t revision = 0;
        };
        std::vector<primary_view> rows;
        std::vector<std::vector<primary_view>> history{rows}; ///< by revision of the store
        std::vector<read> reads;
        std::vector<view_ledger> ledgers(instances, registeredLedger());
        for (int step = 0; step < 200; ++step) {
            switch (draw(4)) {
            case 0: { // a view is written
                const database_id written("db" + std::to_string(draw(databases)));
                std::erase_if(rows, [&](const auto &each) { return each.database == written; });
                rows.push_back({written, history.size(), server_id("s1"), 1, view_phase::withdrawn,
                                false, 1});
                history.push_back(rows);
                break;
            }
            case 1:
                reads.push_back({rows, history.size() - 1});
                break;
            case 2: // an answer arrives, in any order
                if (!reads.empty()) {
                    const auto &each = reads[draw(reads.size())];
                    auto &ledger = ledgers[draw(instances)];
                    std::ranges::for_each(each.rows, [&](const primary_view &view) {
                        ledger.applyRead(view, 10s, each.revision);
                    });
                }
                break;
            default: // a report
                ledgers[draw(instances)].applySnapshot(ledgers[draw(instances)].views(), 10s);
            }
            for (const auto &ledger : ledgers) {
                auto known = ledger.views();
                row_revision newest;
                std::ranges::for_each(known, [&](const primary_view &view) {
                    newest = std::max(newest, view.revision);
                });
                auto written = history[newest.number()];
                std::ranges::sort(written);
                std::ranges::sort(known);
                ASSERT_EQ(known, written) << "seed " << seed << ", step " << step;
            }
        }
    }
}

TEST(FailoverViews, ALateReadDoesNotUndoANewerOne)
{
    auto ledger = registeredLedger();
    ledger.applyRead(withdrawn(4), 20s, 9);
    ledger.applyRead(steady(3), 21s, 3);
    EXPECT_EQ(ledger.find(database)->revision, 4U);
    EXPECT_EQ(ledger.confirmed(), reference_time(20s));
}

/** Guards against a former primary that is used again after the store returned from a copy. */
TEST(FailoverViews, ARowOfAFormerEraIsNoView)
{
    auto ledger = registeredLedger();
    auto known = steady(9, "s2");
    known.revision = {1, 9};
    known.fencingToken = nextToken(0, 1);
    ledger.applySnapshot({known}, 10s);
    auto restored = known;
    restored.revision = {2, 5};
    restored.primary = server_id("s1");
    ledger.applySnapshot({restored}, 11s);
    EXPECT_EQ(ledger.find(database)->primary, server_id("s2"));
    EXPECT_EQ(ledger.confirmed(), reference_time(10s));
    auto published = restored;
    published.fencingToken = nextToken(known.fencingToken, 2);
    ledger.applySnapshot({published}, 12s);
    EXPECT_EQ(ledger.find(database)->primary, server_id("s1"));
}

/** Guards against stale reads by an instance whose registration the store has lost: no change of
 * primary waits for it, so that it must not go on with its view beyond the lease that it has.
 */
TEST(FailoverViews, ALeaseIsNotExtendedWhileTheRegistrationMayBeLost)
{
    view_ledger ledger(policy);
    ledger.setRegisteredAt(1s, 1);
    auto view = steady(9);
    view.revision = {1, 9};
    view.fencingToken = nextToken(0, 1);
    ledger.applySnapshot({view}, 10s);
    view.revision = {2, 12};
    view.fencingToken = nextToken(0, 2);
    ledger.applySnapshot({view}, 12s);
    EXPECT_EQ(ledger.usableUntil(database), 10s + policy.validity) << "the lease runs on";
    ledger.setRegisteredAt(13s, 2);
    EXPECT_EQ(ledger.usableUntil(database), 10s + policy.validity);
    ledger.applySnapshot({view}, 14s);
    EXPECT_EQ(ledger.usableUntil(database), 14s + policy.validity);
    ledger.setRegisteredAt(std::nullopt);
    EXPECT_FALSE(ledger.usableUntil(database));
}

TEST(FailoverViews, OneWrittenRowConfirmsNoOtherView)
{
    const database_id second("db2");
    auto ledger = registeredLedger();
    auto elsewhere = steady(2);
    elsewhere.database = second;
    ledger.applySnapshot({steady(1), elsewhere}, 10s);
    ledger.applyRead(steady(3), 20s, 3);
    EXPECT_EQ(ledger.usableUntil(database), 20s + policy.validity);
    EXPECT_EQ(ledger.usableUntil(second), 10s + policy.validity);
    EXPECT_EQ(ledger.confirmed(), reference_time(10s));
}

TEST(FailoverViews, ASnapshotWithoutAViewDoesNotConfirmIt)
{
    auto ledger = registeredLedger();
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.applySnapshot({}, 20s);
    EXPECT_EQ(ledger.confirmed(), reference_time(10s));
}

TEST(FailoverViews, AttestationsOfAllInstancesExtendAViewDuringAStoreOutage)
{
    auto ledger = registeredLedger();
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.attest(ledger.digest(), 14s);
    EXPECT_EQ(ledger.usableUntil(database), 14s + policy.validity);
}

/** \sa MembershipFleet.AttestationsOfAllInstancesCount for a missing attestation */
TEST(FailoverViews, AnAttestationToOtherViewsExtendsNothing)
{
    auto ledger = registeredLedger();
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.attest(digestOf({steady(2)}), 14s);
    EXPECT_EQ(ledger.usableUntil(database), 10s + policy.validity);
}

TEST(FailoverViews, AQuorumExtendsAViewForALimitedTime)
{
    auto ledger = registeredLedger();
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.attestByQuorum(ledger.digest(), 14s);
    EXPECT_EQ(ledger.usableUntil(database), 14s + policy.validity);
    ledger.attestByQuorum(ledger.digest(), 50s);
    EXPECT_EQ(ledger.usableUntil(database), 10s + policy.quorumExtension + policy.validity);
}

/** A change does not wait for an instance that was registered after its intent. */
TEST(FailoverViews, OnlyViewsConfirmedSinceTheRegistrationAreUsable)
{
    view_ledger ledger(policy);
    ledger.applySnapshot({steady(1)}, 10s);
    EXPECT_FALSE(ledger.usableUntil(database)) << "the instance is not registered";
    ledger.setRegisteredAt(11s);
    EXPECT_FALSE(ledger.usableUntil(database));
    ledger.applySnapshot({steady(1)}, 12s);
    EXPECT_EQ(ledger.usableUntil(database), 12s + policy.validity);
}

/** In whatever order updates arrive, a view is never usable beyond the time of the intent plus the
 * validity, even if the instance doesn't know the intent. Once the instance knows it, the view is
 * not usable beyond the validity from the last confirmation that was read before the intent.
 */
RC_GTEST_PROP(FailoverViews, NoViewIsUsableLongerThanItsValidityAfterAnIntent, ())
{
    view_ledger ledger(policy);
    const auto intentAt =
            reference_time(std::chrono::milliseconds(*rc::gen::inRange(1'000, 20'000)));
    const auto readings = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40'000));
    for (const auto milliseconds : readings) {
        const auto at = reference_time(std::chrono::milliseconds(milliseconds));
        const bool delivered = *rc::gen::arbitrary<bool>();
        if (!delivered)
            continue;
        ledger.applySnapshot({at >= intentAt ? withdrawn(2) : steady(1)}, at);
        if (const auto until = ledger.usableUntil(database))
            RC_ASSERT(*until < intentAt + policy.validity);
    }
}

} // namespace
