// Load patterns: instances restart one after the other, all start at once, the link to one is lost
// while it is reported as live, or a broker is silent without a reset.

#include "sycamorespan/Brokerage"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace sycamorespan;

instance_incarnation instance(int number, std::uint32_t capacity = 100,
                              std::uint64_t incarnation = 1)
{
    return {instance_id("front-a-" + std::to_string(number)), incarnation, "127.0.0.1:1",
            data_centre_id("a"), capacity};
}

std::vector<instance_incarnation> instances(int count)
{
    std::vector<instance_incarnation> result;
    for (int number = 1; number <= count; ++number)
        result.push_back(instance(number));
    return result;
}

service_directory directory(int databases, std::size_t connections, int workspaces)
{
    service_directory result;
    for (int number = 0; number < databases; ++number)
        result.databases[database_id("db" + std::to_string(number))] = {connections, 1};
    for (int number = 0; number < workspaces; ++number)
        result.workspaces[workspace_id("w" + std::to_string(number))] = {};
    return result;
}

TEST(brokerage_choice, only_databases_with_fewer_connections_than_workspaces_have_brokers)
{
    const database_id database("db0");
    EXPECT_TRUE(needsBroker(directory(1, 56, 76), database));
    EXPECT_FALSE(needsBroker(directory(1, 76, 76), database));
    EXPECT_FALSE(needsBroker(directory(1, 0, 76), database));
    EXPECT_TRUE(chooseBrokers(directory(1, 80, 76), instances(3)).empty());
    EXPECT_TRUE(chooseBrokers(directory(1, 56, 76), {}).empty());
}

TEST(brokerage_choice, databases_are_divided_by_processor_share)
{
    const auto lists = directory(30, 10, 20);
    std::map<instance_id, int> databases;
    for (const auto &[database, broker] :
         chooseBrokers(lists, {instance(1, 100), instance(2, 100), instance(3, 400)}))
        ++databases[broker.instance];
    EXPECT_LE(databases[instance(1).instance], 5);
    EXPECT_LE(databases[instance(2).instance], 5);
    EXPECT_EQ(databases[instance(3).instance], 20);
}

TEST(brokerage_choice, the_loss_of_an_instance_moves_few_other_databases)
{
    const auto lists = directory(8, 10, 20);
    const auto all = instances(22);
    const auto before = chooseBrokers(lists, all);
    int moved = 0;
    for (const auto &lost : all) {
        auto rest = all;
        std::erase(rest, lost);
        for (const auto &[database, broker] : chooseBrokers(lists, rest))
            moved += before.at(database) != lost && before.at(database) != broker ? 1 : 0;
    }
    EXPECT_LE(moved, 8); // of 8 databases, over 22 losses
}

TEST(brokerage_choice, a_restarted_instance_is_chosen_after_it_has_settled)
{
    broker_candidates candidates{candidate_policy{}};
    time_point now{1h};
    candidates.setLive(instances(3), now); // all have just been discovered
    EXPECT_EQ(candidates.usable(now).size(), 3U);
    now += 5s;
    candidates.setLive({instance(1), instance(2)}, now);
    EXPECT_EQ(candidates.usable(now).size(), 2U);
    const std::vector restarted{instance(1), instance(2), instance(3, 100, 2)};
    candidates.setLive(restarted, now);
    EXPECT_EQ(candidates.usable(now).size(), 2U);
    now += candidate_policy{}.settlingTime;
    candidates.setLive(restarted, now);
    EXPECT_EQ(candidates.usable(now), restarted);
}

TEST(brokerage_choice, an_instance_that_cannot_be_reached_is_avoided_for_longer_each_time)
{
    broker_candidates candidates{candidate_policy{}};
    time_point now{1h};
    const auto isUsable = [&] { return candidates.usable(now).size() == 2; };
    candidates.setLive(instances(2), now);
    candidates.onLost(instance(1).instance, now);
    EXPECT_FALSE(isUsable());
    now += 1s;
    EXPECT_TRUE(isUsable());
    candidates.onLost(instance(1).instance, now);
    now += 1s;
    EXPECT_FALSE(isUsable());
    now += 1s;
    EXPECT_TRUE(isUsable());
    // A new incarnation is not blamed for the former one.
    candidates.onLost(instance(1).instance, now);
    candidates.setLive({instance(1, 100, 2), instance(2)}, now);
    now += 2s;
    EXPECT_TRUE(isUsable());
}

TEST(brokerage_choice, without_a_settled_instance_all_are_used)
{
    broker_candidates candidates{candidate_policy{}};
    time_point now{1h};
    candidates.setLive({instance(1)}, now);
    now += 5s;
    candidates.setLive({instance(2)}, now);
    EXPECT_EQ(candidates.usable(now).size(), 1U);
    candidates.setLive({}, now);
    EXPECT_TRUE(candidates.usable(now).empty());
}

TEST(brokerage_choice, a_silent_link_is_probed_suspected_and_lost)
{
    using step = link_monitor::step;
    time_point now{1h};
    link_monitor link(link_policy{}, now);
    link.onSent(false, now);
    const auto silentSince = now;
    std::set<step> steps;
    for (; now - silentSince < 2s; now += 20ms) {
        steps.insert(link.next(true, true, now));
        EXPECT_EQ(link.isSuspected(true, now), now - silentSince > link_policy{}.suspicionTimeout);
        if (steps.contains(step::lose))
            break;
    }
    EXPECT_TRUE(steps.contains(step::probe));
    EXPECT_LE(now - silentSince, link_policy{}.lossTimeout + 20ms);
}

TEST(brokerage_choice, a_slow_statement_does_not_lose_a_link_that_answers_probes)
{
    using step = link_monitor::step;
    time_point now{1h};
    link_monitor link(link_policy{}, now);
    link.onSent(false, now);
    for (const auto end = now + 5s; now < end; now += 20ms) {
        const auto next = link.next(true, true, now);
        ASSERT_NE(next, step::lose);
        ASSERT_FALSE(link.isSuspected(true, now));
        if (next == step::probe)
            link.onReceived(now);
    }
    EXPECT_EQ(link.next(false, true, now + 1h), step::none); // a transaction is open
    EXPECT_EQ(link.next(false, false, now + 1h), step::close);
}

} // namespace
