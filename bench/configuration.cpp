#include "sycamorespan/Configuration"
#include "sycamorespan/Core"
#include "sycamorespan/Messages"

#include <memory>
#include <random>
#include <string>

#include <benchmark/benchmark.h>

namespace sycamorespan::configuration {
namespace {

random_source seededRandom()
{
    return [generator = std::make_shared<std::mt19937_64>(1)] { return (*generator)(); };
}

/** \returns a document with one plan and one group for every ten workspaces and one key for each
 * workspace. */
configuration_document documentWithWorkspaces(std::int64_t workspaces)
{
    constexpr std::int64_t workspacesPerPlan = 10;
    const auto random = seededRandom();
    configuration_document document;
    document.version = 1;
    document.positionSecret = std::string(64, '0');
    document.recentEdits = {{1, "edit"}};
    for (std::int64_t number = 0; number < workspaces; ++number) {
        const auto plan = std::to_string(number / workspacesPerPlan);
        const database_id database("database-" + plan);
        const server_id server("server-" + plan);
        const auto port = std::to_string(1 + number / workspacesPerPlan);
        document.lists.groups[database].members = {
                {server, "127.0.0.1:" + port, data_centre_id("regina"), 5, 30}};
        document.lists.plans["plan-" + plan] = {{database}, 5s, 100, 100};
        const workspace_id workspace("workspace-" + std::to_string(number));
        document.lists.workspaces[workspace] = {"plan-" + plan};
        document.keys[workspace] = {generateKey(random).entry};
    }
    return document;
}

void decodeDocument(benchmark::State &state)
{
    const auto body = serializeDocument(documentWithWorkspaces(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(parseDocument(body));
    state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(decodeDocument)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

void verifyKey(benchmark::State &state)
{
    const workspace_id workspace("workspace-0");
    const auto key = generateKey(seededRandom());
    const auto document =
            withKeyGranted(documentWithWorkspaces(state.range(0)), workspace, key.entry);
    const key_ring keys(std::make_shared<const configuration_document>(document));
    for (auto _ : state)
        benchmark::DoNotOptimize(keys.verify(workspace, key.text));
}
BENCHMARK(verifyKey)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

void checkThatKeyIsGranted(benchmark::State &state)
{
    const auto document =
            std::make_shared<const configuration_document>(documentWithWorkspaces(state.range(0)));
    const workspace_id workspace("workspace-0");
    const auto key = document->keys.at(workspace).front().key;
    const key_ring keys(document);
    for (auto _ : state)
        benchmark::DoNotOptimize(keys.isGranted(workspace, key));
}
BENCHMARK(checkThatKeyIsGranted)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

/** One second of an agent's control work: its ticks and its answers to the freshness queries of its
 * child agents and proxies; the argument is the number of agents. */
void agentSecond(benchmark::State &state)
{
    constexpr int ticksPerSecond = 20;
    constexpr int queriesPerSecond = 18; // eight child agents and one proxy, two queries each
    std::vector<agent_peer> members;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        members.push_back({instance_id("agent-" + std::to_string(number)),
                           data_centre_id("dc-" + std::to_string(number % 11))});
    configuration_reader reader(members.front(), {}, seededRandom(), time_point());
    reader.membersChanged(members);
    time_point now;
    for (auto _ : state) {
        for (int tick = 0; tick < ticksPerSecond; ++tick) {
            now += 50ms;
            benchmark::DoNotOptimize(reader.tick(now));
        }
        for (std::uint64_t query = 0; query < queriesPerSecond; ++query) {
            const auto answers =
                    reader.received(now, members[1].instance, messages::freshness_query{query});
            const auto &answer = std::get<send_message>(answers.front()).content;
            benchmark::DoNotOptimize(messages::encodeMessage(answer));
        }
    }
}
BENCHMARK(agentSecond)->Arg(6)->Arg(90)->Arg(900)->Unit(benchmark::kMicrosecond);

void answerBytes(benchmark::State &state)
{
    messages::freshness_answer answer{1,    1000, objectName(1000, std::string(16, 'a')),
                                      1000, true, {}};
    for (std::int64_t number = 0; number < state.range(0); ++number)
        answer.evidence.push_back({data_centre_id("dc-" + std::to_string(number)), 1500, 1000});
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = messages::encodeMessage(answer).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(answerBytes)->Arg(1)->Arg(4)->Arg(11);

} // namespace
} // namespace sycamorespan::configuration
