// The warm-up rate of a member holds over the whole fleet. Load pattern: every instance sends to a
// member that has just started as much as it may, while instances come, go and are cut off.

#include "sycamorespan/src/Quota/warm_up_rate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

namespace {

using namespace sycamorespan;

constexpr double overage = 1.5; // of the rate, as the users allow
constexpr double slack = 5; // statements
constexpr duration step = 20ms;

/** \brief An instance with its own, possibly old, list of the registered instances. */
struct sender
{
    std::vector<instance_id> known;
    bool isCutOff = false;
    warm_up_rate rate;
};

RC_GTEST_PROP(WarmUpRate, HoldsOverAllInstancesThatComeGoAndAreCutOff, ())
{
    const auto ratePerSecond = static_cast<double>(*rc::gen::inRange(1, 200));
    const auto initial = *rc::gen::inRange(1, 60);
    const auto schedule = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    time_point now{1h};
    int created = 0;
    std::map<instance_id, sender> fleet;
    const auto create = [&] { fleet[instance_id("i" + std::to_string(created++))]; };
    const auto share = [&] {
        std::vector<instance_id> registered;
        for (const auto &[id, each] : fleet)
            registered.push_back(id);
        for (auto &[id, each] : fleet) {
            if (!each.isCutOff)
                each.known = registered;
            each.rate.setInterval(
                    warm_up_shares::intervalFor("member", ratePerSecond, id, each.known), now);
        }
    };
    for (int index = 0; index < initial; ++index)
        create();
    share();
    int cutOff = 0;
    std::deque<time_point> sent;
    const auto run = [&](duration time) {
        for (const auto end = now + time; now < end; now += step) {
            for (auto &[id, each] : fleet)
                while (each.rate.maySend(now)) {
                    each.rate.onSent(2, now); // the first of a transaction sends two
                    sent.insert(sent.end(), 2, now);
                }
            while (!sent.empty() && now - sent.front() >= 1s)
                sent.pop_front();
            RC_ASSERT(static_cast<double>(sent.size()) <= overage * ratePerSecond + slack);
        }
    };
    run(1s);
    for (const int event : schedule) {
        const auto chosen = std::next(fleet.begin(), event / 4 % static_cast<int>(fleet.size()));
        if (event % 4 == 0)
            create();
        else if (event % 4 == 1 && fleet.size() > 1 && !chosen->second.isCutOff)
            fleet.erase(chosen);
        else if (event % 4 == 2)
            chosen->second.rate = {}; // restarted
        else if (!std::exchange(chosen->second.isCutOff, cutOff < initial / 4))
            ++cutOff;
        share();
        run(100ms);
    }
}

TEST(WarmUpRate, ASmallFleetSharesTheRateAndALargeOneGivesItToFew)
{
    const auto sendersOf = [](int size) {
        std::vector<instance_id> instances;
        for (int index = 0; index < size; ++index)
            instances.emplace_back("i" + std::to_string(index));
        return std::ranges::count_if(instances, [&](const instance_id &id) {
            return warm_up_shares::intervalFor("m", 80, id, instances).has_value();
        });
    };
    EXPECT_EQ(sendersOf(3), 3);
    EXPECT_EQ(sendersOf(70), 10);
}

TEST(WarmUpRate, AnInstanceThatDoesNotKnowTheOthersSendsNothing)
{
    EXPECT_FALSE(warm_up_shares::intervalFor("m", 80, instance_id("i"), {}));
}

} // namespace
