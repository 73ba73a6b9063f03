// Tests of view_ledger: no instance uses a primary that another instance may be replacing.

#include "sycamorespan/src/Failover/view_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace sycamorespan;

const database_id database("db");
const instance_id self("i0");
const instance_id other("i1");
constexpr view_policy policy;

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
    view_ledger ledger(policy);
    ledger.applySnapshot({steady(1)}, 10s);
    EXPECT_EQ(ledger.usableUntil(database), 10s + policy.validity);
}

TEST(FailoverViews, AnUnconfirmedViewIsNotUsable)
{
    view_ledger ledger(policy);
    ledger.apply(steady(1));
    EXPECT_FALSE(ledger.usableUntil(database));
}

TEST(FailoverViews, AWithdrawnViewIsNotUsable)
{
    view_ledger ledger(policy);
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.apply(withdrawn(2));
    EXPECT_FALSE(ledger.usableUntil(database));
}

TEST(FailoverViews, AnOlderSnapshotDoesNotRestoreAWithdrawnView)
{
    view_ledger ledger(policy);
    ledger.apply(withdrawn(2));
    ledger.applySnapshot({steady(1)}, 20s);
    EXPECT_FALSE(ledger.usableUntil(database));
    EXPECT_EQ(ledger.find(database)->revision, 2U);
}

TEST(FailoverViews, OneWrittenRowConfirmsNoOtherView)
{
    const database_id second("db2");
    view_ledger ledger(policy);
    auto elsewhere = steady(2);
    elsewhere.database = second;
    ledger.applySnapshot({steady(1), elsewhere}, 10s);
    ledger.applyWritten(steady(3), 20s);
    EXPECT_EQ(ledger.usableUntil(database), 20s + policy.validity);
    EXPECT_EQ(ledger.usableUntil(second), 10s + policy.validity);
    EXPECT_EQ(ledger.confirmed(), reference_time(10s));
}

TEST(FailoverViews, ASnapshotWithoutAViewDoesNotConfirmIt)
{
    view_ledger ledger(policy);
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.applySnapshot({}, 20s);
    EXPECT_EQ(ledger.confirmed(), reference_time(10s));
}

TEST(FailoverViews, AttestationsOfAllInstancesExtendAViewDuringAStoreOutage)
{
    view_ledger ledger(policy);
    ledger.setRegistered({self, other}, self);
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.attest(other, {}, 14s);
    EXPECT_EQ(ledger.usableUntil(database), 14s + policy.validity);
}

TEST(FailoverViews, AViewExpiresIfOneAttestationIsMissing)
{
    view_ledger ledger(policy);
    ledger.setRegistered({self, other, instance_id("i2")}, self);
    ledger.applySnapshot({steady(1)}, 10s);
    ledger.attest(other, {}, 14s);
    EXPECT_EQ(ledger.usableUntil(database), 10s + policy.validity);
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
