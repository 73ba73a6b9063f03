#include "sycamorespan/Dispatch"

#include <string>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

/** One statement taken from the queue and one added; the argument is the number of workspaces, each
 * with one waiting statement. */
void queueStatement(benchmark::State &state)
{
    const time_point now{1h};
    statement_queue queue;
    std::uint64_t session = 0;
    const auto add = [&] {
        waiting_statement statement;
        statement.session = ++session;
        statement.workspace = workspace_id(
                "workspace-"
                + std::to_string(session % static_cast<std::uint64_t>(state.range(0))));
        statement.expectedTime = 4ms;
        statement.latencyDeadline = now + 400ms;
        statement.deadline = now + 1s;
        queue.insert(statement, now);
    };
    for (std::int64_t count = 0; count < state.range(0); ++count)
        add();
    std::uint64_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(queue.take(++next));
        add();
    }
}
BENCHMARK(queueStatement)->Arg(10)->Arg(100)->Arg(1000);

/** The order of all waiting statements, as at each event of a database. */
void orderStatements(benchmark::State &state)
{
    const time_point now{1h};
    statement_queue queue;
    for (std::int64_t count = 0; count < state.range(0); ++count) {
        waiting_statement statement;
        statement.session = static_cast<std::uint64_t>(count);
        statement.workspace = workspace_id("workspace-" + std::to_string(count));
        statement.latencyDeadline = now + 400ms;
        queue.insert(statement, now);
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(queue.order());
}
BENCHMARK(orderStatements)->Arg(10)->Arg(100)->Arg(1000);

} // namespace
} // namespace sycamorespan
