#include "sycamorespan/Routing"

#include <algorithm>
#include <numeric>
#include <random>
#include <string>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

const std::string readText =
        "SELECT id, price FROM cribs WHERE counter = $1 AND state = 'free' ORDER BY id LIMIT 20";

void classifyUncached(benchmark::State &state)
{
    for (auto _ : state)
        benchmark::DoNotOptimize(classifyStatements(readText));
}
BENCHMARK(classifyUncached);

/** Classification of a cached statement; the argument is the number of texts in the cache. */
void classifyCached(benchmark::State &state)
{
    statement_classifier classifier;
    std::vector<std::string> texts;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        texts.push_back(readText + " OFFSET " + std::to_string(number));
    std::size_t next = 0;
    for (const auto &text : texts)
        classifier.classify(text);
    for (auto _ : state) {
        benchmark::DoNotOptimize(classifier.classify(texts[next]));
        next = (next + 1) % texts.size();
    }
}
BENCHMARK(classifyCached)->Arg(1)->Arg(100)->Arg(4000);

void signAndCheckPosition(benchmark::State &state)
{
    const session_position_codec codec({"secret of the installation"});
    const database_id database("sales");
    for (auto _ : state)
        benchmark::DoNotOptimize(codec.decode(codec.encode({database, {3, 17}}), database));
}
BENCHMARK(signAndCheckPosition);

/** One read attempt from the choice of a member to its answer; the argument is the number of
 * members. */
void decideRead(benchmark::State &state)
{
    const replica_selector selector{selection_policy{}};
    const time_point now{1h};
    routing_view view{database_id("sales"), 1, server_id("member-0"), {}};
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        const server_id server("member-" + std::to_string(number));
        const auto role = number == 0 ? reported_role::primary : reported_role::replica;
        const member_report report{server, role, 1, {1, 100}, duration{0}, now};
        view.members.push_back({.server = server, .slots = 5, .report = report});
    }
    const read_request request{session_id("s"), {log_position{1, 90}, now}, 5s, now, now + 1s};
    for (auto _ : state) {
        read_attempt attempt(selector, {}, request);
        const auto actions = attempt.start(view, now);
        const auto &run = std::get<run_read>(actions.front());
        const auto &report = *view.find(run.server)->report;
        benchmark::DoNotOptimize(attempt.onAnswer(run.execution, report, view, now));
    }
}
BENCHMARK(decideRead)->Arg(3)->Arg(5)->Arg(9);

/** Latency of reads shortly after a write of the same session, for several thresholds of the wait
 * for a replica.
 *
 * Two replicas lag by 8 ms on average; the first of them is in the proxy's data centre. Arguments:
 * threshold in ms, round trip between data centres in us, queue at the primary in requests.
 */
void waitForReplica(benchmark::State &state)
{
    constexpr duration service = 4ms;
    const duration threshold = std::chrono::milliseconds(state.range(0));
    const replica_selector selector({.maximumCatchUpWait = threshold, .primaryPenalty = threshold});
    const duration remote = std::chrono::microseconds(state.range(1));
    std::mt19937_64 random(5);
    std::exponential_distribution<double> lagSeconds(1 / 0.008);
    std::exponential_distribution<double> gapSeconds(1 / 0.02);
    const time_point wroteAt{1h};
    double replicaReads = 0;
    std::vector<duration> latencies;
    for (auto _ : state) {
        const time_point now = wroteAt + fromSeconds(gapSeconds(random));
        routing_view view{database_id("sales"), 1, server_id("primary"), {}};
        view.members.push_back({.server = server_id("primary"),
                                .distance = remote,
                                .outstanding = static_cast<std::size_t>(state.range(2)),
                                .slots = 5,
                                .serviceTime = service,
                                .report = {}});
        for (const auto *name : {"near", "far"}) {
            const duration lag = fromSeconds(lagSeconds(random));
            const member_report report{server_id(name),
                                       reported_role::replica,
                                       1,
                                       {1, wroteAt + lag <= now ? 10U : 9U},
                                       lag,
                                       now};
            view.members.push_back({.server = report.server,
                                    .distance = *name == 'n' ? 0ms : remote,
                                    .slots = 5,
                                    .report = report});
        }
        const read_request request{
                session_id("s"), {log_position{1, 10}, wroteAt}, 1s, now, now + 1s};
        const auto best = selector.rank(view, request, now).front();
        const duration penalty = best.primary ? threshold : 0ms;
        latencies.push_back(best.cost - penalty + service);
        replicaReads += best.primary ? 0 : 1;
    }
    const auto count = static_cast<double>(latencies.size());
    const auto percentileIndex = static_cast<std::ptrdiff_t>(count * 0.99);
    const auto total = std::accumulate(latencies.begin(), latencies.end(), duration{0});
    std::ranges::nth_element(latencies, latencies.begin() + percentileIndex);
    state.counters["replicaShare"] = replicaReads / count;
    state.counters["meanMs"] = toSeconds(total) * 1000 / count;
    state.counters["p99Ms"] =
            toSeconds(latencies[static_cast<std::size_t>(percentileIndex)]) * 1000;
}
BENCHMARK(waitForReplica)
        ->ArgsProduct({{0, 1, 2, 5, 10, 20}, {1000, 3000}, {2, 8}})
        ->Iterations(50000);

} // namespace
} // namespace sycamorespan
