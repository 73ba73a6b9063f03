#include "sycamorespan/Pooling"

#include <string>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

/** One request taken from the queue and added again; the argument is the number of waiting
 * workspaces. */
void queueRequest(benchmark::State &state)
{
    fair_queue queue({.perWorkspace = 8, .total = 1UL << 20U});
    std::vector<workspace_id> workspaces;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        workspaces.emplace_back("workspace-" + std::to_string(number));
    request_id id = 0;
    for (const auto &workspace : workspaces)
        queue.push({++id, workspace, 4ms, time_point::max()});
    for (auto _ : state) {
        auto next = queue.pop([](const workspace_id &) { return true; });
        next->id = ++id;
        benchmark::DoNotOptimize(queue.push(std::move(*next)));
    }
}
BENCHMARK(queueRequest)->Arg(8)->Arg(100)->Arg(1000)->Arg(10000);

/** One request from submit() to the release of its slot; the argument is the number of slots. */
void scheduleRequest(benchmark::State &state)
{
    const auto slots = static_cast<std::size_t>(state.range(0));
    slot_scheduler scheduler({}, {slots, slots}, [] { return 0; });
    const time_point now{1h};
    const time_point deadline = now + 1h;
    std::vector<workspace_id> workspaces;
    for (std::size_t number = 0; number < slots; ++number)
        workspaces.emplace_back("workspace-" + std::to_string(number));
    request_id id = 0;
    for (const auto &workspace : workspaces) {
        const auto opened = scheduler.submit({++id, workspace, 4ms, deadline}, now);
        scheduler.onOpened(std::get<open_connection>(opened.front()).connection, now);
    }
    connection_id connection = 0;
    for (auto _ : state) {
        connection = connection % slots + 1;
        scheduler.onReleased(connection, connection, released_state::clean, now);
        const auto granted =
                scheduler.submit({connection, workspaces[connection - 1], 4ms, deadline}, now);
        benchmark::DoNotOptimize(granted);
    }
    state.counters["working"] = static_cast<double>(scheduler.slotsInUse());
}
BENCHMARK(scheduleRequest)->Arg(1)->Arg(5)->Arg(50);

} // namespace
} // namespace sycamorespan
