// Load patterns replayed in virtual time over the dispatcher and a small model of the members, each
// against a naive alternative.

#include "sycamorespan/Dispatch"

#include "test/event_queue.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::dispatch_action;

constexpr std::size_t slots = 5;
constexpr std::size_t memberQueue = 40;
constexpr std::uint32_t seed = 20261204;

struct load_pattern
{
    double readsPerSecond = 200;
    double slowMember = 1; ///< how much longer statements take at the last replica
    duration length = 6s;
};

struct load_result
{
    std::size_t asked = 0;
    std::size_t inObjective = 0;
    std::size_t refused = 0;
    duration longestRefusal{}; ///< from arrival
};

/** A member that runs some statements at a time, queues some more and sheds the rest. */
struct member_model
{
    std::size_t running = 0;
    std::deque<connection_id> waiting;
    double slowness = 1;
};

/** One dispatcher, three members, reads of single operations. */
class load_replay
{
public:
    load_replay(const load_pattern &pattern, const dispatch_policy &policy)
        : m_pattern(pattern)
        , m_dispatcher(policy, data_centre_id("a"))
    {
        m_events.runUntil(1h); // the epoch stands for times that are not known
        auto directory = std::make_shared<service_directory>();
        service_route route;
        route.database = m_database;
        route.reads = consistency::boundedStaleness;
        route.statementTimeout = 1s;
        route.latencyObjective = 400ms;
        route.maxStaleness = 1h;
        directory->routes.emplace("browse", route);
        directory->keyOwners.emplace("key", workspace_id("shop"));
        directory->databases[m_database] = {62, 1};
        std::vector<server_entry> servers;
        for (const auto *id : {"s1", "s2", "s3"}) {
            server_entry entry;
            entry.id = server_id(id);
            entry.database = m_database;
            entry.address = "127.0.0.1:1";
            entry.dataCentre = data_centre_id("a");
            entry.slots = slots;
            servers.push_back(entry);
            m_members[entry.id];
        }
        m_members[server_id("s3")].slowness = pattern.slowMember;
        keep(m_dispatcher.setDirectory(directory, now()));
        keep(m_dispatcher.setServers(servers, now()));
        keep(m_dispatcher.setPrimary(m_database, usable_primary{server_id("s1"), 1, now() + 1h},
                                     now()));
        m_dispatcher.addFloor(m_database, {{1, 1}, now()}, now());
    }

    load_result run()
    {
        std::exponential_distribution<double> gap(m_pattern.readsPerSecond);
        for (auto at = now(); at < now() + m_pattern.length; at += fromSeconds(gap(m_random)))
            schedule(at, [this] { arrive(); });
        const auto end = now() + m_pattern.length + 2s;
        for (auto at = now(); at < end; at += 20ms)
            schedule(at, [this] { keep(m_dispatcher.tick(now())); });
        m_events.runUntil(duration::max());
        return m_result;
    }

private:
    time_point now() const { return time_point(m_events.now()); }

    void schedule(time_point at, std::function<void()> action)
    {
        m_events.at(at.time_since_epoch(), std::move(action));
    }

    void arrive()
    {
        const auto session = ++m_lastSession;
        m_arrived[session] = now();
        ++m_result.asked;
        keep(m_dispatcher.callerConnected(session, "browse", "key", now()));
        caller_request request;
        request.id = std::to_string(session);
        request.text = "READ x";
        request.parsed = caller_statement::direct{statement_access::read};
        keep(m_dispatcher.requestArrived(session, request, now()));
    }

    void keep(const dispatch_outputs &outputs)
    {
        for (const auto &output : outputs)
            std::visit(overloaded{
                               [this](const reply_to_caller &each) { replied(each); },
                               [this](const open_member &each) {
                                   m_servers[each.connection] = each.server;
                                   schedule(now() + 13ms, [this, each] {
                                       keep(m_dispatcher.opened(each.connection, log_position{1, 1},
                                                                now()));
                                   });
                               },
                               [this](const send_to_member &each) {
                                   schedule(now() + 1ms, [this, each] { reach(each.connection); });
                               },
                               [this](const request_admission &each) {
                                   keep(m_dispatcher.admitted(each.session, now()));
                               },
                               [](const auto &) {},
                       },
                       output);
    }

    void replied(const reply_to_caller &each)
    {
        const auto took = now() - m_arrived.at(each.session);
        if (each.answer.succeeded()) {
            m_result.inObjective += took <= 400ms ? 1 : 0;
        } else {
            ++m_result.refused;
            m_result.longestRefusal = std::max(m_result.longestRefusal, took);
        }
        keep(m_dispatcher.callerLeft(each.session, now()));
    }

    void reach(connection_id connection)
    {
        auto &member = m_members[m_servers.at(connection)];
        if (member.running < slots)
            return start(member, connection);
        if (member.waiting.size() < memberQueue) {
            member.waiting.push_back(connection);
            return;
        }
        keep(m_dispatcher.answered(
                connection,
                {{}, rejected{statement_error::busy, ""}, session_state::idle, log_position{1, 1}},
                now()));
    }

    void start(member_model &member, connection_id connection)
    {
        ++member.running;
        std::lognormal_distribution<double> work(-3.6, 0.6); // mean 33 ms
        schedule(now() + fromSeconds(work(m_random) * member.slowness), [this, &member,
                                                                         connection] {
            --member.running;
            keep(m_dispatcher.answered(
                    connection,
                    {{"row"}, completed{"receipt"}, session_state::idle, log_position{1, 1}},
                    now()));
            if (!member.waiting.empty()) {
                const auto next = member.waiting.front();
                member.waiting.pop_front();
                start(member, next);
            }
        });
    }

    load_pattern m_pattern;
    database_id m_database{"db"};
    dispatcher m_dispatcher;
    std::mt19937 m_random{seed};
    test::event_queue m_events;
    session_number m_lastSession = 0;
    std::map<session_number, time_point> m_arrived;
    std::map<connection_id, server_id> m_servers;
    std::map<server_id, member_model> m_members;
    load_result m_result;
};

double share(const load_result &result)
{
    return static_cast<double>(result.inObjective) / static_cast<double>(result.asked);
}

load_result replay(const load_pattern &pattern, const dispatch_policy &policy = {})
{
    return load_replay(pattern, policy).run();
}

/** The naive alternative: members in turn, first come first served, nothing refused. */
double shareByTurns(const load_pattern &pattern)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(pattern.readsPerSecond);
    std::lognormal_distribution<double> work(-3.6, 0.6);
    using free_times = std::priority_queue<double, std::vector<double>, std::greater<>>;
    std::array<free_times, 3> members;
    for (auto &each : members)
        for (std::size_t slot = 0; slot < slots; ++slot)
            each.push(0);
    std::size_t asked = 0;
    std::size_t inObjective = 0;
    for (double at = 0; at < toSeconds(pattern.length); at += gap(random)) {
        const auto index = asked++ % members.size();
        auto &member = members.at(index);
        const double begins = std::max(at, member.top());
        const double ends = begins + work(random) * (index == 2 ? pattern.slowMember : 1);
        member.pop();
        member.push(ends);
        inObjective += ends - at <= 0.4 ? 1 : 0;
    }
    return static_cast<double>(inObjective) / static_cast<double>(asked);
}

/** Two thirds of the members' capacity: everything is served in time. */
TEST(DispatchLoad, AUsualLoadIsServedInItsObjective)
{
    EXPECT_GT(share(replay({.readsPerSecond = 250})), 0.98);
}

/** A member five times slower: it gets less, so that the others' capacity decides. */
TEST(DispatchLoad, ASlowMemberGetsLessThanByTurns)
{
    const load_pattern slow{.readsPerSecond = 230, .slowMember = 5};
    const auto chosen = share(replay(slow));
    EXPECT_GT(chosen, 0.95);
    EXPECT_GT(chosen, shareByTurns(slow) + 0.05);
}

/** Twice what the members can do: what can't be served is refused early, and the rest is served in
 * time, where a queue without refusals serves nearly everything late.
 */
TEST(DispatchLoad, AnOverloadIsRefusedEarlyAndTheRestServedInTime)
{
    const load_pattern overload{.readsPerSecond = 900};
    const auto result = replay(overload);
    EXPECT_GT(result.refused, 0U);
    EXPECT_LT(result.longestRefusal, 1s);
    const double capacityShare = 3 * slots / 0.0333 / 900;
    EXPECT_GT(share(result), capacityShare * 0.6);
    EXPECT_GT(share(result), shareByTurns(overload) + 0.1);
}

} // namespace
