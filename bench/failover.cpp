#include "sycamorespan/Failover"

#include <queue>
#include <random>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

constexpr std::uint64_t firstOffset = 1;

group_configuration groupOf(const std::string &database)
{
    return {database_id(database),
            {{server_id("s0"), "127.0.0.1:1", data_centre_id("a")},
             {server_id("s1"), "127.0.0.1:2", data_centre_id("b")},
             {server_id("s2"), "127.0.0.1:3", data_centre_id("c")}}};
}

group_view viewOf(const group_configuration &group)
{
    return {group.database, 1,  group.members.front().server,
            group.members,  {}, group_state::served};
}

member_status primaryAt(std::uint64_t offset)
{
    const log_position position{1, offset};
    return {1,
            member_role::primary,
            position,
            {},
            {{server_id("s1"), position}, {server_id("s2"), position}}};
}

/** One commit that waits, its status request and the answer that releases it. */
void commitOfATracker(benchmark::State &state)
{
    std::vector<commit_tracker> trackers;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        trackers.emplace_back(commit_tracker_settings{}, viewOf(groupOf(std::to_string(number))));
    time_point now;
    std::uint64_t offset = firstOffset;
    std::size_t next = 0;
    for (auto _ : state) {
        auto &tracker = trackers[next++ % trackers.size()];
        now += 2ms;
        ++offset;
        const auto asked = tracker.handle(wait_started{offset, {1, offset}, now + 5s}, now);
        const auto request = std::get<request_status>(asked.back());
        benchmark::DoNotOptimize(tracker.handle(
                status_answered{request.request, request.server, primaryAt(offset)}, now));
    }
}
BENCHMARK(commitOfATracker)->Arg(1)->Arg(10)->Arg(100)->Arg(1200);

/** One answer that releases many waits. */
void batchOfATracker(benchmark::State &state)
{
    commit_tracker tracker({}, viewOf(groupOf("stock")));
    time_point now;
    std::uint64_t offset = firstOffset;
    for (auto _ : state) {
        now += 2ms;
        std::uint64_t request = 0;
        for (std::int64_t wait = 0; wait < state.range(0); ++wait) {
            ++offset;
            const auto asked = tracker.handle(wait_started{offset, {1, offset}, now + 5s}, now);
            if (!asked.empty())
                request = std::get<request_status>(asked.back()).request;
        }
        benchmark::DoNotOptimize(
                tracker.handle(status_answered{request, server_id("s0"), primaryAt(offset)}, now));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(batchOfATracker)->Arg(1)->Arg(10)->Arg(100);

/** The supervisors of one agent, all first watchers, with healthy groups that answer at once. */
class watched_groups
{
public:
    explicit watched_groups(std::int64_t count)
    {
        for (std::int64_t number = 0; number < count; ++number) {
            const auto group = groupOf(std::to_string(number));
            m_supervisors.emplace_back(supervisor_settings{}, group, instance_id("i"), "boot",
                                       data_centre_id("a"), [this] { return m_random(); });
            m_armed.emplace_back();
            tell(m_supervisors.size() - 1, view_learned{viewOf(group)});
            tell(m_supervisors.size() - 1, instances_changed{});
        }
    }

    /** Runs one virtual second; counts events and calls. */
    void runOneSecond()
    {
        const auto end = m_now + 1s;
        while (!m_timers.empty() && m_timers.top().first <= end) {
            const auto [time, number] = m_timers.top();
            m_timers.pop();
            if (m_armed[number] != time)
                continue;
            m_armed[number].reset();
            m_now = std::max(m_now, time);
            tell(number, time_passed{});
        }
        m_now = end;
    }

    std::uint64_t events = 0;
    std::uint64_t calls = 0;

private:
    using timer = std::pair<time_point, std::size_t>;

    void tell(std::size_t number, const supervisor_event &event)
    {
        ++events;
        for (const auto &action : m_supervisors[number].handle(event, m_now)) {
            if (const auto *call = std::get_if<call_member>(&action))
                answer(number, *call);
        }
        const auto deadline = m_supervisors[number].nextDeadline();
        if (deadline == m_armed[number])
            return;
        m_armed[number] = deadline;
        if (deadline)
            m_timers.emplace(*deadline, number);
    }
    void answer(std::size_t number, const call_member &call)
    {
        ++calls;
        auto status = primaryAt(firstOffset);
        if (call.server != server_id("s0"))
            status.role = member_role::replica;
        tell(number, call_returned{call.id, call.server, status});
    }

    std::mt19937_64 m_random;
    time_point m_now;
    std::vector<supervisor> m_supervisors;
    std::vector<std::optional<time_point>> m_armed;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
};

/** One second of watching, with the number of databases that this agent watches. */
void secondOfWatching(benchmark::State &state)
{
    watched_groups groups(state.range(0));
    groups.events = 0;
    groups.calls = 0;
    for (auto _ : state)
        groups.runOneSecond();
    const auto seconds = static_cast<double>(state.iterations());
    state.counters["events_per_second"] = static_cast<double>(groups.events) / seconds;
    state.counters["calls_per_second"] = static_cast<double>(groups.calls) / seconds;
}
BENCHMARK(secondOfWatching)->Arg(1)->Arg(4)->Arg(40)->Arg(400)->Unit(benchmark::kMicrosecond);

/** Every agent keeps a supervisor for each database; a change of membership reaches all. */
void membershipChange(benchmark::State &state)
{
    std::vector<agent_instance> agents;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        agents.push_back({instance_id("instance-" + std::to_string(number)),
                          data_centre_id("dc" + std::to_string(number % 11))});
    for (auto _ : state)
        benchmark::DoNotOptimize(watchersOf(database_id("stock"), agents, 3));
}
BENCHMARK(membershipChange)->Arg(6)->Arg(90)->Arg(900)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace sycamorespan
