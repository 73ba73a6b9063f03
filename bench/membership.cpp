#include "sycamorespan/Membership"

#include <random>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

constexpr std::int64_t centres = 11;

std::vector<member> fleet(std::int64_t count)
{
    std::vector<member> result;
    for (std::int64_t number = 0; number < count; ++number) {
        result.push_back({member_id("instance-" + std::to_string(number)), member_kind::instance,
                          data_centre_id("centre-" + std::to_string(number % centres)),
                          "10.0.0." + std::to_string(number) + ":7101", 1, 0, member_state::live});
    }
    return result;
}

membership knowledgeOf(const std::vector<member> &members, std::mt19937_64 &random)
{
    // Nobody answers here: no silence is to be noticed.
    constexpr duration endless = 24h * 365;
    membership_policy policy;
    policy.suspectAfter = endless;
    policy.dataCentreTimeout = endless;
    membership knowledge(
            members.front(), policy, [&random] { return random(); }, time_point{});
    membership_message page;
    page.sender = members.back().id;
    page.isPage = true;
    page.updates = members;
    knowledge.handle(membership_event::message_received{page}, time_point{});
    return knowledge;
}

/** \brief One second without news: a tick with its messages encoded, by the number of instances. */
void heartbeatRound(benchmark::State &state)
{
    std::mt19937_64 random(1);
    auto knowledge = knowledgeOf(fleet(state.range(0)), random);
    time_point now{};
    std::size_t bytes = 0;
    for (auto _ : state) {
        now += 1s;
        bytes = 0;
        for (const auto &action : knowledge.handle(membership_event::tick{}, now)) {
            if (const auto *sent = std::get_if<membership_action::send_message>(&action))
                bytes += encodeMembershipMessage(sent->message).size();
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(heartbeatRound)->Arg(6)->Arg(90)->Arg(300)->Arg(900);

/** \brief One heartbeat received without news. */
void heartbeatReceived(benchmark::State &state)
{
    std::mt19937_64 random(1);
    const auto members = fleet(state.range(0));
    auto knowledge = knowledgeOf(members, random);
    membership_message message;
    message.sender = members.back().id;
    message.incarnation = 1;
    const auto encoded = encodeMembershipMessage(message);
    time_point now{};
    for (auto _ : state) {
        now += 1ms;
        benchmark::DoNotOptimize(knowledge.handle(
                membership_event::message_received{decodeMembershipMessage(encoded)}, now));
    }
}
BENCHMARK(heartbeatReceived)->Arg(6)->Arg(90)->Arg(300)->Arg(900);

/** \brief One record of news that changes the view. */
void newsReceived(benchmark::State &state)
{
    std::mt19937_64 random(1);
    const auto members = fleet(state.range(0));
    auto knowledge = knowledgeOf(members, random);
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
                knowledge.handle(membership_event::message_received{message}, now));
    }
}
BENCHMARK(newsReceived)->Arg(6)->Arg(90)->Arg(300)->Arg(900);

} // namespace
} // namespace sycamorespan
