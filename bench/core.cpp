#include "sycamorespan/Core"

#include <string>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

void rendezvousOrderOfInstances(benchmark::State &state)
{
    std::vector<instance_id> instances;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        instances.emplace_back("instance-" + std::to_string(number));
    for (auto _ : state)
        benchmark::DoNotOptimize(rendezvousOrder("database", instances));
}
BENCHMARK(rendezvousOrderOfInstances)->Arg(6)->Arg(90)->Arg(900);

} // namespace
} // namespace sycamorespan
