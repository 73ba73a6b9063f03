#include "sycamorespan/Messages"
#include "sycamorespan/Configuration"
#include "sycamorespan/Protocol"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

namespace sycamorespan::messages {
namespace {

using configuration::configuration_document;

random_source seeded()
{
    return [generator = std::make_shared<std::mt19937_64>(1)] { return (*generator)(); };
}

heartbeat heartbeatOf(std::int64_t instance)
{
    return {instance_id("instance-" + std::to_string(instance)),
            data_centre_id("data-centre-7"),
            "1796370000000000",
            123456,
            process_state::live,
            12345};
}

/** One group of three members for each database, one workspace and key for each database. */
configuration_document documentOf(std::int64_t databases)
{
    const auto random = seeded();
    configuration_document document;
    document.version = 1;
    document.positionSecret = std::string(64, '0');
    document.recentEdits = {{1, "edit"}};
    for (std::int64_t number = 0; number < databases; ++number) {
        constexpr std::int64_t groupsPerSubnet = 250;
        const auto name = std::to_string(number);
        const auto host = std::to_string(number / groupsPerSubnet) + "."
                          + std::to_string(number % groupsPerSubnet) + ":5432";
        const database_id database("database-" + name);
        for (const auto *const member : {"1", "2", "3"}) {
            document.lists.groups[database].members.push_back(
                    {server_id("server-" + name + member), std::string("10.") + member + "." + host,
                     data_centre_id(std::string("data-centre-") + member), 5, 50});
        }
        document.lists.plans["plan-" + name] = {{database}, 5s, 100, 100};
        const workspace_id workspace("workspace-" + name);
        document.lists.workspaces[workspace] = {"plan-" + name};
        document.keys[workspace] = {configuration::generateKey(random).entry};
    }
    return document;
}

void encodeAndCount(benchmark::State &state, const message &value)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto encoded = encodeMessage(value);
        bytes = encoded.size();
        benchmark::DoNotOptimize(decodeMessage(encoded));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

/** One interval of the heartbeats of an agent: one encoded for each peer, one decoded from each. */
void heartbeatsOfAnAgent(benchmark::State &state)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = 0;
        for (std::int64_t peer = 0; peer < state.range(0); ++peer) {
            const auto encoded = encodeMessage(heartbeatOf(peer));
            bytes += encoded.size();
            benchmark::DoNotOptimize(decodeMessage(encoded));
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(heartbeatsOfAnAgent)->Arg(3)->Arg(6)->Arg(90)->Arg(899)->Unit(benchmark::kMicrosecond);

/** A configuration body, encoded and decoded; the argument is the number of databases. */
void configurationBody(benchmark::State &state)
{
    encodeAndCount(state, configuration_body{1, serializeDocument(documentOf(state.range(0)))});
}
BENCHMARK(configurationBody)->Arg(12)->Arg(120)->Arg(1200)->Unit(benchmark::kMicrosecond);

/** The text of a body, parsed and checked; the argument is the number of databases. */
void parseBody(benchmark::State &state)
{
    const auto body = serializeDocument(documentOf(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(configuration::parseDocument(body));
    state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(parseBody)->Arg(12)->Arg(120)->Arg(1200)->Unit(benchmark::kMicrosecond);

/** The difference that one granted key makes, as a JSON patch; it isn't sent by any program yet. */
void bodyDifference(benchmark::State &state)
{
    const auto document = documentOf(state.range(0));
    const auto added = configuration::generateKey(seeded()).entry;
    const auto changed =
            configuration::withKeyGranted(document, workspace_id("workspace-0"), added);
    const auto before = nlohmann::json::parse(serializeDocument(document));
    const auto after = nlohmann::json::parse(serializeDocument(changed));
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = nlohmann::json::to_cbor(nlohmann::json::diff(before, after)).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(bodyDifference)->Arg(12)->Arg(120)->Arg(1200)->Unit(benchmark::kMicrosecond);

/** A view of a group; the argument is the number of members. */
void groupView(benchmark::State &state)
{
    group_view_update update{database_id("database-1199"), 17, server_id("server-1199a"), {}, {}};
    for (std::int64_t number = 0; number < state.range(0); ++number)
        update.members.push_back({server_id("server-1199" + std::to_string(number)),
                                  "10.20.30.40:5432", data_centre_id("data-centre-7")});
    update.base = wire_position{16, 1234567890};
    encodeAndCount(state, update);
}
BENCHMARK(groupView)->Arg(3)->Arg(5)->Arg(9);

void freshnessQuery(benchmark::State &state)
{
    encodeAndCount(state, freshness_query{123456});
}
BENCHMARK(freshnessQuery);

/** An answer; the argument is the number of data centres with evidence. */
void freshnessAnswer(benchmark::State &state)
{
    freshness_answer answer{123456, 12345, "configuration-12345-0123456789abcdef", 12345, true, {}};
    for (std::int64_t number = 0; number < state.range(0); ++number)
        answer.evidence.push_back(
                {data_centre_id("data-centre-" + std::to_string(number)), 1500, 12345});
    encodeAndCount(state, answer);
}
BENCHMARK(freshnessAnswer)->Arg(1)->Arg(4)->Arg(11);

void suspicionQuery(benchmark::State &state)
{
    encodeAndCount(state, suspicion_query{database_id("database-1199"), 17,
                                          server_id("server-1199a"), 3, 700});
}
BENCHMARK(suspicionQuery);

/** The answer to group_status() as a backend server sends it; the argument counts followers. */
void groupStatusAnswer(benchmark::State &state)
{
    auto followers = nlohmann::json::array();
    for (std::int64_t number = 0; number < state.range(0); ++number)
        followers.push_back({{"server", "server-1199" + std::to_string(number)},
                             {"term", 17},
                             {"offset", 1234567890}});
    const auto text = followers.dump();
    const std::vector<column_description> columns{
            {"term"},         {"role"},      {"position_term"}, {"position_offset"},
            {"staleness_ms"}, {"followers"}, {"sessions"},      {"slots"}};
    std::size_t bytes = 0;
    for (auto _ : state) {
        backend_writer writer;
        writer.parseComplete();
        writer.bindComplete();
        writer.rowDescription(columns);
        writer.dataRow({"17", "primary", "17", "1234567890", "0", text, "30", "5"});
        writer.commandComplete("SELECT 1");
        writer.readyForQuery(transaction_status::idle);
        bytes = writer.bytes().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(groupStatusAnswer)->Arg(2)->Arg(4)->Arg(8);

} // namespace
} // namespace sycamorespan::messages
