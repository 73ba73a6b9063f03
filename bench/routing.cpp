#include "sycamorespan/Routing"

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

/** The argument is the number of texts that are in the cache. */
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

/** One read from the decision to the delivery; the argument is the number of members. */
void decideRead(benchmark::State &state)
{
    const replica_selector selector{selection_policy{}};
    const time_point now{1h};
    group_view view{database_id("sales"), 1, server_id("member-0"), {}};
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        const server_id server("member-" + std::to_string(number));
        const auto role = number == 0 ? member_role::primary : member_role::replica;
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

} // namespace
} // namespace sycamorespan
