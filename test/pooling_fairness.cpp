#include "sycamorespan/Pooling"

#include <map>
#include <queue>
#include <random>

#include <gtest/gtest.h>

namespace sycamorespan {
namespace {

// The deployments of both users: 3 databases with 3 members of 5 slots each; 8 workspaces, of which
// 3 are large.
constexpr std::size_t memberCount = 9;
constexpr slot_budget memberBudget{.slots = 5, .connections = 10};
constexpr duration connectionCost = 12ms;
constexpr std::array<double, 8> requestsPerSecond = {1350, 1350, 1350, 315, 315, 315, 315, 315};
constexpr double meanServiceSeconds = 0.004; // uses 50% of the slots
constexpr std::size_t overloadingWorkspace = 0;
constexpr duration loadTime = 60s;
constexpr duration requestTimeout = 1s;
constexpr double percentile = 0.99;

struct workspace_result
{
    std::vector<duration> latencies;
    int refused = 0;

    duration p99()
    {
        const auto position =
                static_cast<std::ptrdiff_t>(percentile * static_cast<double>(latencies.size()));
        std::ranges::nth_element(latencies, latencies.begin() + position);
        return latencies[static_cast<std::size_t>(position)];
    }
};

struct simulated_request
{
    std::size_t workspace = 0;
    time_point arrivedAt;
    duration service;
};

/** Simulates the scheduler of one member in virtual time under open-loop load. */
class member_simulation
{
public:
    member_simulation(queue_discipline discipline, double excess, std::uint64_t seed,
                      std::array<workspace_result, 8> &results)
        : m_random(seed)
        , m_scheduler(policyOf(discipline), memberBudget, [this] { return m_random(); })
        , m_results(results)
    {
        for (std::size_t workspace = 0; workspace < requestsPerSecond.size(); ++workspace)
            addArrivals(workspace, excess, seed);
    }

    void run()
    {
        while (!m_events.empty()) {
            const auto [at, number] = m_events.top();
            m_events.pop();
            const auto handler = std::move(m_handlers[number]);
            m_now = at;
            handler();
        }
    }

private:
    static slot_policy policyOf(queue_discipline discipline)
    {
        slot_policy policy;
        policy.queue.discipline = discipline;
        if (discipline == queue_discipline::firstComeFirstServed)
            policy.reservedSlots = 0;
        return policy;
    }

    void addArrivals(std::size_t workspace, double excess, std::uint64_t seed)
    {
        // Each workspace has its own random stream, so that a change of the load of one workspace
        // leaves that of the others unchanged.
        std::mt19937_64 random(seed * requestsPerSecond.size() + workspace);
        const double factor = workspace == overloadingWorkspace ? excess : 1;
        std::exponential_distribution<double> gap(requestsPerSecond[workspace] / memberCount
                                                  * factor);
        std::exponential_distribution<double> service(1 / meanServiceSeconds);
        for (time_point at = m_start + fromSeconds(gap(random)); at < m_start + loadTime;
             at += fromSeconds(gap(random))) {
            const simulated_request request{workspace, at, fromSeconds(service(random))};
            schedule(at, [this, request] { arrive(request); });
        }
    }

    void schedule(time_point at, std::function<void()> handler)
    {
        m_events.emplace(at, m_handlers.size());
        m_handlers.push_back(std::move(handler));
    }

    void arrive(const simulated_request &request)
    {
        const request_id id = ++m_lastRequest;
        m_requests[id] = request;
        perform(m_scheduler.submit({id, workspace_id(std::to_string(request.workspace)),
                                    fromSeconds(meanServiceSeconds), m_now + requestTimeout},
                                   m_now));
    }

    void perform(const std::vector<slot_action> &actions)
    {
        for (const auto &action : actions)
            std::visit(overloaded{[this](const open_connection &open) {
                                      schedule(m_now + connectionCost, [this, open] {
                                          perform(m_scheduler.onOpened(open.connection, m_now));
                                      });
                                  },
                                  [this](const run_on_connection &run) {
                                      schedule(m_now + m_requests[run.request].service,
                                               [this, run] { finish(run); });
                                  },
                                  [this](const refuse_request &refuse) {
                                      ++m_results[m_requests[refuse.request].workspace].refused;
                                  },
                                  [](const auto &) {}},
                       action);
    }

    void finish(const run_on_connection &run)
    {
        const auto &request = m_requests[run.request];
        m_results[request.workspace].latencies.push_back(m_now - request.arrivedAt);
        perform(m_scheduler.onReleased(run.connection, run.request, released_state::clean, m_now));
    }

    using event = std::pair<time_point, std::size_t>;

    const time_point m_start{1h};
    time_point m_now = m_start;
    std::mt19937_64 m_random;
    slot_scheduler m_scheduler;
    std::array<workspace_result, 8> &m_results;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<std::function<void()>> m_handlers;
    std::unordered_map<request_id, simulated_request> m_requests;
    request_id m_lastRequest = 0;
};

std::array<workspace_result, 8> simulate(queue_discipline discipline, double excess)
{
    std::array<workspace_result, 8> results;
    for (std::uint64_t member = 0; member < memberCount; ++member)
        member_simulation(discipline, excess, member + 1, results).run();
    return results;
}

struct comparison
{
    double worstRatio = 0; // greatest ratio of another workspace's p99 with to without excess
    int othersRefused = 0;
};

comparison compare(const char *name, queue_discipline discipline)
{
    auto calm = simulate(discipline, 1);
    auto excess = simulate(discipline, 10);
    comparison result;
    for (std::size_t workspace = 0; workspace < calm.size(); ++workspace) {
        const double before = toSeconds(calm[workspace].p99()) * 1000;
        const double after = toSeconds(excess[workspace].p99()) * 1000;
        std::printf("%s workspace %zu: p99 %.1f ms, with excess %.1f ms, refused %d of %zu\n", name,
                    workspace, before, after, excess[workspace].refused,
                    excess[workspace].latencies.size()
                            + static_cast<std::size_t>(excess[workspace].refused));
        if (workspace == overloadingWorkspace)
            continue;
        result.worstRatio = std::max(result.worstRatio, after / before);
        result.othersRefused += excess[workspace].refused;
    }
    std::printf("%s worst ratio %.3f\n", name, result.worstRatio);
    return result;
}

TEST(pooling_fairness, aWorkspaceAtTenTimesItsRateDoesNotSlowTheOthers)
{
    constexpr double largestRatio = 1.1; // the users' target
    const auto fair = compare("fair", queue_discipline::startTimeFair);
    const auto baseline =
            compare("first-come-first-served", queue_discipline::firstComeFirstServed);
    EXPECT_LE(fair.worstRatio, largestRatio);
    EXPECT_EQ(fair.othersRefused, 0);
    EXPECT_GT(baseline.worstRatio, largestRatio);
}

} // namespace
} // namespace sycamorespan
