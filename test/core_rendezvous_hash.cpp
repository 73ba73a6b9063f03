#include "sycamorespan/Core"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

std::vector<instance_id> instances(int count)
{
    std::vector<instance_id> result;
    for (int number = 0; number < count; ++number)
        result.emplace_back("instance-" + std::to_string(number));
    return result;
}

RC_GTEST_PROP(rendezvous_hash, removingACandidateKeepsTheOrderOfTheOthers, ())
{
    const auto all = instances(*rc::gen::inRange(2, 12));
    const auto key = *rc::gen::arbitrary<std::string>();
    auto order = rendezvousOrder(key, all);
    const auto removed = order[*rc::gen::inRange<std::size_t>(0, order.size())];

    auto remaining = all;
    std::erase(remaining, removed);
    std::erase(order, removed);
    RC_ASSERT(rendezvousOrder(key, remaining) == order);
}

TEST(rendezvous_hash, spreadsKeysOverAllCandidates)
{
    constexpr int candidateCount = 6;
    constexpr int keyCount = 6000;
    constexpr int keysPerCandidate = keyCount / candidateCount;
    constexpr int tolerance = keysPerCandidate / 4;
    std::map<instance_id, int> chosen;
    for (int key = 0; key < keyCount; ++key)
        ++chosen[rendezvousOrder("database-" + std::to_string(key), instances(candidateCount))
                         .front()];
    ASSERT_EQ(chosen.size(), candidateCount);
    for (const auto &[instance, count] : chosen)
        EXPECT_NEAR(count, keysPerCandidate, tolerance) << instance;
}

} // namespace
} // namespace sycamorespan
