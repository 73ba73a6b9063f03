#include "sycamorespan/Membership"

#include <random>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

constexpr std::int64_t dataCentreCount = 11;

std::vector<member> liveInstances(std::int64_t count)
{
    std::vector<member> result;
    for (std::int64_t number = 0; number < count; ++number) {
        result.push_back({member_id("instance-" + std::to_string(number)), member_kind::instance,
                          data_centre_id("centre-" + std::to_string(number % dataCentreCount)),
                          "10.0.0." + std::to_string(number) + ":7101", 1, 0, member_state::live});
    }
    return result;
}

membership membershipOf(const std::vector<member> &members, std::mt19937_64 &random)
{
    // No member answers in this benchmark, so that no timeout may expire.
    constexpr duration neverExpires = 24h * 365;
    membership_policy policy;
    policy.suspectAfter = neverExpires;
    policy.dataCentreTimeout = neverExpires;
    membership localMembership(
            members.front(), policy, [&random] { return random(); }, time_point{});
    membership_message page;
    page.sender = members.back().id;
    page.isPage = true;
    page.updates = members;
    localMembership.handle(membership_event::message_received{page}, time_point{});
    return localMembership;
}

/** \brief One second without updates: a tick and the encoding of its messages; the
 * argument is the number of instances. */
void heartbeatRound(benchmark::State &state)
{
    std::mt19937_64 random(1);
    auto localMembership = membershipOf(liveInstances(state.range(0)), random);
    time_point now{};
    std::size_t bytes = 0;
    for (auto _ : state) {
        now += 1s;
        bytes = 0;
        for (const auto &action : localMembership.handle(membership_event::tick{}, now)) {
            if (const auto *sent = std::get_if<membership_action::send_message>(&action))
                bytes += encodeMembershipMessage(sent->message).size();
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(heartbeatRound)->Arg(6)->Arg(90)->Arg(300)->Arg(900);

/** \brief Decoding and handling of one heartbeat without updates; the argument is the number of
 * instances. */
void heartbeatReceived(benchmark::State &state)
{
    std::mt19937_64 random(1);
    const auto members = liveInstances(state.range(0));
    auto localMembership = membershipOf(members, random);
    membership_message message;
    message.sender = members.back().id;
    message.incarnation = 1;
    const auto encoded = encodeMembershipMessage(message);
    time_point now{};
    for (auto _ : state) {
        now += 1ms;
        benchmark::DoNotOptimize(localMembership.handle(
                membership_event::message_received{decodeMembershipMessage(encoded)}, now));
    }
}
BENCHMARK(heartbeatReceived)->Arg(6)->Arg(90)->Arg(300)->Arg(900);

/** \brief Handling of one message with an update that changes a member's state; the argument is the
 * number of instances. */
void newsReceived(benchmark::State &state)
{
    std::mt19937_64 random(1);
    const auto members = liveInstances(state.range(0));
    auto localMembership = membershipOf(members, random);
    membership_message message;
    message.sender = members.back().id;
    message.incarnation = 1;
    message.updates = {members.back()};
    time_point now{};
    for (auto _ : state) {
        now += 200ms;
        ++message.updates.front().incarnation;
        message.updates.front().state = message.updates.front().incarnation % 2 == 0
                                                ? member_state::draining
                                                : member_state::live;
        benchmark::DoNotOptimize(
                localMembership.handle(membership_event::message_received{message}, now));
    }
}
BENCHMARK(newsReceived)->Arg(6)->Arg(90)->Arg(300)->Arg(900);

} // namespace
} // namespace sycamorespan
