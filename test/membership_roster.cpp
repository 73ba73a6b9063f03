// Tests of the list of backend servers, the reference clock and the choice of share owners.

#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Membership/server_roster.h"
#include "sycamorespan/src/Quota/share_homes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace sycamorespan;

constexpr time_point start(1h);

server_entry server(const std::string &id)
{
    server_entry entry;
    entry.id = server_id(id);
    entry.database = database_id("db");
    return entry;
}

TEST(MembershipRoster, AnEntryRemovedWhileTheStoreIsAvailableIsRemovedAtOnce)
{
    server_roster roster({});
    roster.replace({server("s1"), server("s2")}, start);
    roster.remove(server_id("s2"), start + 1s);
    EXPECT_EQ(roster.entries().size(), 1U);
}

TEST(MembershipRoster, AnEntryThatExpiredDuringAStoreOutageIsKeptForTwoSecondsAfterIt)
{
    server_roster roster({});
    roster.replace({server("s1"), server("s2")}, start);
    roster.onStoreUnavailable(start + 1s);
    roster.onStoreAnswered(start + 5s);
    roster.replace({server("s1")}, start + 5s);
    roster.tick(start + 6900ms);
    EXPECT_EQ(roster.entries().size(), 2U);
    roster.tick(start + 7300ms);
    EXPECT_EQ(roster.entries().size(), 1U);
}

TEST(MembershipRoster, AnEntryThatIsRegisteredAgainStays)
{
    server_roster roster({});
    roster.replace({server("s1")}, start);
    roster.onStoreUnavailable(start + 1s);
    roster.onStoreAnswered(start + 5s);
    roster.remove(server_id("s1"), start + 5s);
    roster.put(server("s1"));
    roster.tick(start + 9s);
    EXPECT_EQ(roster.entries().size(), 1U);
}

/** Guards against a list that is taken for complete although entries expired before it was read. */
TEST(MembershipRoster, AListIsIncompleteUntilEveryServerCouldRegisterAfterAnUnnoticedOutage)
{
    server_roster roster({});
    roster.onStoreUnobserved(start);
    roster.onStoreAnswered(start + 1s);
    roster.replace({server("s1"), server("s2")}, start + 1s);
    roster.remove(server_id("s2"), start + 2s);
    roster.tick(start + 3s);
    EXPECT_FALSE(roster.isComplete());
    EXPECT_EQ(roster.entries().size(), 2U) << "its entry may have expired in the outage";
    roster.tick(start + 3200ms);
    EXPECT_TRUE(roster.isComplete());
    roster.onStoreUnavailable(start + 4s);
    EXPECT_TRUE(roster.isComplete()) << "the entries that are known are kept";
    roster.onStoreUnobserved(start + 5s);
    EXPECT_FALSE(roster.isComplete());
}

TEST(MembershipRoster, NothingIsRemovedDuringAStoreOutage)
{
    server_roster roster({});
    roster.replace({server("s1")}, start);
    roster.onStoreUnavailable(start + 1s);
    roster.remove(server_id("s1"), start + 1s);
    roster.tick(start + 60s);
    EXPECT_EQ(roster.entries().size(), 1U);
}

/** The true reading lies between the bounds for all delays of requests and answers. */
RC_GTEST_PROP(ReferenceClock, TheTrueReadingLiesBetweenTheBounds, ())
{
    reference_clock clock;
    const auto offset = std::chrono::seconds(*rc::gen::inRange(-1000, 1000));
    auto now = start;
    const auto count = *rc::gen::inRange(1, 20);
    for (int index = 0; index < count; ++index) {
        const auto requestDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        const auto answerDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        clock.observe(now, now + requestDelay + answerDelay,
                      (now + requestDelay).time_since_epoch() + offset);
        now += requestDelay + answerDelay + 1s;
        const auto trueReading = now.time_since_epoch() + offset;
        RC_ASSERT(*clock.earliest(now) <= trueReading);
        RC_ASSERT(trueReading <= *clock.latest(now));
    }
}

RC_GTEST_PROP(ShareHomes, EveryDataCentreHasOneShareOwnerBeforeAnyHasTwo, ())
{
    const auto holders = *rc::gen::inRange(1, 60);
    const auto dataCentres = *rc::gen::inRange(1, 6);
    const auto count = *rc::gen::inRange(1, 8);
    std::vector<holder_location> placed;
    std::set<data_centre_id> used;
    for (int index = 0; index < holders; ++index) {
        placed.push_back({holder_id("h" + std::to_string(index)),
                          data_centre_id(std::to_string(index % dataCentres))});
        used.insert(placed.back().dataCentre);
    }
    const auto owners =
            chooseShareOwners(workspace_id("w"), placed, static_cast<std::size_t>(count));
    RC_ASSERT(owners.size() == static_cast<std::size_t>(std::min(count, holders)));
    std::set<data_centre_id> covered;
    for (const auto &owner : owners)
        covered.insert(std::ranges::find(placed, owner, &holder_location::holder)->dataCentre);
    RC_ASSERT(covered.size() == std::min(used.size(), owners.size()));
    std::ranges::reverse(placed);
    RC_ASSERT(chooseShareOwners(workspace_id("w"), placed, static_cast<std::size_t>(count))
              == owners);
}

} // namespace
