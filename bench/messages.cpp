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

random_source seededRandom()
{
    return [generator = std::make_shared<std::mt19937_64>(1)] { return (*generator)(); };
}

heartbeat heartbeatFrom(std::int64_t instance)
{
    return {instance_id("instance-" + std::to_string(instance)),
            data_centre_id("data-centre-7"),
            "1796370000000000",
            123456,
            process_state::live,
            12345};
}

/** \returns a document with one group of three members, one plan, one workspace and one key for
 * each database. */
configuration_document documentWithDatabases(std::int64_t databases)
{
    const auto random = seededRandom();
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

/** Encodes and decodes \a value and reports its encoded size. */
void measureEncoding(benchmark::State &state, const message &value)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto encoded = encodeMessage(value);
        bytes = encoded.size();
        benchmark::DoNotOptimize(decodeMessage(encoded));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

/** The heartbeats of an agent in one interval: one encoded and one decoded for each peer; the
 * argument is the number of peers. */
void heartbeatsOfAnAgent(benchmark::State &state)
{
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = 0;
        for (std::int64_t peer = 0; peer < state.range(0); ++peer) {
            const auto encoded = encodeMessage(heartbeatFrom(peer));
            bytes += encoded.size();
            benchmark::DoNotOptimize(decodeMessage(encoded));
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(heartbeatsOfAnAgent)->Arg(3)->Arg(6)->Arg(90)->Arg(899)->Unit(benchmark::kMicrosecond);

/** Encoding and decoding of a message with a configuration body; the argument is the number of
 * databases. */
void configurationBody(benchmark::State &state)
{
    measureEncoding(
            state, configuration_body{1, serializeDocument(documentWithDatabases(state.range(0)))});
}
BENCHMARK(configurationBody)->Arg(12)->Arg(120)->Arg(1200)->Unit(benchmark::kMicrosecond);

/** Parsing and validation of a configuration body; the argument is the number of databases. */
void parseBody(benchmark::State &state)
{
    const auto body = serializeDocument(documentWithDatabases(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(configuration::parseDocument(body));
    state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(parseBody)->Arg(12)->Arg(120)->Arg(1200)->Unit(benchmark::kMicrosecond);

/** The JSON patch for one granted key, which no program sends yet; the argument is the number of
 * databases. */
void bodyDifference(benchmark::State &state)
{
    const auto document = documentWithDatabases(state.range(0));
    const auto added = configuration::generateKey(seededRandom()).entry;
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

/** Encoding and decoding of a group's view; the argument is the number of members. */
void groupView(benchmark::State &state)
{
    group_view_update update{database_id("database-1199"), 17, server_id("server-1199a"), {}, {}};
    for (std::int64_t number = 0; number < state.range(0); ++number)
        update.members.push_back({server_id("server-1199" + std::to_string(number)),
                                  "10.20.30.40:5432", data_centre_id("data-centre-7")});
    update.base = wire_position{16, 1234567890};
    measureEncoding(state, update);
}
BENCHMARK(groupView)->Arg(3)->Arg(5)->Arg(9);

void freshnessQuery(benchmark::State &state)
{
    measureEncoding(state, freshness_query{123456});
}
BENCHMARK(freshnessQuery);

/** Encoding and decoding of a freshness answer; the argument is the number of data centres with
 * evidence. */
void freshnessAnswer(benchmark::State &state)
{
    freshness_answer answer{123456, 12345, "configuration-12345-0123456789abcdef", 12345, true, {}};
    for (std::int64_t number = 0; number < state.range(0); ++number)
        answer.evidence.push_back(
                {data_centre_id("data-centre-" + std::to_string(number)), 1500, 12345});
    measureEncoding(state, answer);
}
BENCHMARK(freshnessAnswer)->Arg(1)->Arg(4)->Arg(11);

void suspicionQuery(benchmark::State &state)
{
    measureEncoding(state, suspicion_query{database_id("database-1199"), 17,
                                           server_id("server-1199a"), 3, 700});
}
BENCHMARK(suspicionQuery);

/** The answer to group_status() as a backend server sends it; the argument is the number of
 * followers. */
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
