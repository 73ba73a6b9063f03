#include "sycamorespan/Failover"

#include <queue>
#include <random>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

constexpr std::uint64_t firstOffset = 1;

group_configuration groupWithDatabase(const std::string &database)
{
    return {database_id(database),
            {{server_id("s0"), "127.0.0.1:1", data_centre_id("a")},
             {server_id("s1"), "127.0.0.1:2", data_centre_id("b")},
             {server_id("s2"), "127.0.0.1:3", data_centre_id("c")}}};
}

group_view initialView(const group_configuration &group)
{
    return {group.database, 1,  group.members.front().server,
            group.members,  {}, group_state::served};
}

member_status primaryStatus(std::uint64_t offset)
{
    const log_position position{1, offset};
    return {1,
            member_role::primary,
            position,
            {},
            {{server_id("s1"), position}, {server_id("s2"), position}}};
}

/** One commit that waits for replication, its status request and the answer that releases it; the
 * argument is the number of trackers. */
void commitOfATracker(benchmark::State &state)
{
    std::vector<commit_tracker> trackers;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        trackers.emplace_back(commit_tracker_settings{},
                              initialView(groupWithDatabase(std::to_string(number))));
    time_point now;
    std::uint64_t offset = firstOffset;
    std::size_t next = 0;
    for (auto _ : state) {
        auto &tracker = trackers[next++ % trackers.size()];
        now += 2ms;
        ++offset;
        const auto actions = tracker.handle(wait_started{offset, {1, offset}, now + 5s}, now);
        const auto request = std::get<request_status>(actions.back());
        benchmark::DoNotOptimize(tracker.handle(
                status_answered{request.request, request.server, primaryStatus(offset)}, now));
    }
}
BENCHMARK(commitOfATracker)->Arg(1)->Arg(10)->Arg(100)->Arg(1200);

/** One status answer that releases several waiting commits; the argument is their number. */
void batchOfATracker(benchmark::State &state)
{
    commit_tracker tracker({}, initialView(groupWithDatabase("stock")));
    time_point now;
    std::uint64_t offset = firstOffset;
    for (auto _ : state) {
        now += 2ms;
        std::uint64_t request = 0;
        for (std::int64_t wait = 0; wait < state.range(0); ++wait) {
            ++offset;
            const auto actions = tracker.handle(wait_started{offset, {1, offset}, now + 5s}, now);
            if (!actions.empty())
                request = std::get<request_status>(actions.back()).request;
        }
        benchmark::DoNotOptimize(tracker.handle(
                status_answered{request, server_id("s0"), primaryStatus(offset)}, now));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(batchOfATracker)->Arg(1)->Arg(10)->Arg(100);

/** The supervisors of one agent, which is the first watcher of every group. All groups are healthy
 * and answer immediately. */
class watched_groups
{
public:
    explicit watched_groups(std::int64_t count)
    {
        for (std::int64_t number = 0; number < count; ++number) {
            const auto group = groupWithDatabase(std::to_string(number));
            m_supervisors.emplace_back(supervisor_settings{}, group, instance_id("i"), "boot",
                                       data_centre_id("a"), [this] { return m_random(); });
            m_armedDeadlines.emplace_back();
            dispatch(m_supervisors.size() - 1, view_learned{initialView(group)});
            dispatch(m_supervisors.size() - 1, instances_changed{});
        }
    }

    /** Advances the virtual time by one second and counts the events and member calls. */
    void runOneSecond()
    {
        const auto end = m_now + 1s;
        while (!m_timers.empty() && m_timers.top().first <= end) {
            const auto [time, number] = m_timers.top();
            m_timers.pop();
            if (m_armedDeadlines[number] != time)
                continue;
            m_armedDeadlines[number].reset();
            m_now = std::max(m_now, time);
            dispatch(number, time_passed{});
        }
        m_now = end;
    }

    std::uint64_t events = 0;
    std::uint64_t calls = 0;

private:
    using timer = std::pair<time_point, std::size_t>;

    void dispatch(std::size_t number, const supervisor_event &event)
    {
        ++events;
        for (const auto &action : m_supervisors[number].handle(event, m_now)) {
            if (const auto *call = std::get_if<call_member>(&action))
                answerCall(number, *call);
        }
        const auto deadline = m_supervisors[number].nextDeadline();
        if (deadline == m_armedDeadlines[number])
            return;
        m_armedDeadlines[number] = deadline;
        if (deadline)
            m_timers.emplace(*deadline, number);
    }
    void answerCall(std::size_t number, const call_member &call)
    {
        ++calls;
        auto status = primaryStatus(firstOffset);
        if (call.server != server_id("s0"))
            status.role = member_role::replica;
        dispatch(number, call_returned{call.id, call.server, status});
    }

    std::mt19937_64 m_random;
    time_point m_now;
    std::vector<supervisor> m_supervisors;
    std::vector<std::optional<time_point>> m_armedDeadlines;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
};

/** One virtual second of watching; the argument is the number of databases that the agent watches.
 */
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

/** The watchers of one database, computed after a membership change; the argument is the number of
 * agents. Every agent has a supervisor for each database, and the change reaches all of them. */
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
