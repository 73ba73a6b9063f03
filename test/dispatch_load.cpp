// Replays load patterns in virtual time against the dispatcher and a small model of the members,
// and compares the results with round-robin dispatch.

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
constexpr std::size_t memberQueueLimit = 40;
constexpr std::uint32_t seed = 20261204;

/** What is unusual of the last replica. */
struct member_behaviour
{
    double slowness = 1; ///< factor by which statements take longer
    double slownessAboveHalfLoad = 1; ///< the same while it runs more than half of its slots
    double failureShare = 0; ///< share of statements that it fails at once
    duration from{}; ///< after the start of the load
    duration until = duration::max();
};

struct load_pattern
{
    double readsPerSecond = 200;
    member_behaviour lastReplica = {};
    duration length = 6s;
};

struct load_result
{
    std::size_t arrived = 0;
    std::size_t inObjective = 0;
    std::size_t rejected = 0;
    duration longestTimeToRejection{}; ///< measured from the arrival of the read
    std::size_t atLastReplica = 0; ///< reads sent to it while it was unusual
    std::size_t atLastReplicaAfter = 0; ///< in the last two seconds of the load
};

/** A member that runs a limited number of statements at a time, queues a limited number and refuses
 * the rest.
 */
struct member_model
{
    std::size_t running = 0;
    std::deque<connection_id> waiting;
    bool isLastReplica = false;
};

/** Replays reads, each a session of one operation, with one dispatcher and three members. */
class load_replay
{
public:
    load_replay(const load_pattern &pattern, const dispatch_policy &policy)
        : m_pattern(pattern)
        , m_dispatcher(policy, data_centre_id("a"))
    {
        m_events.runUntil(1h); // the epoch represents unknown times
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
        m_members[server_id("s3")].isLastReplica = true;
        m_start = now();
        apply(m_dispatcher.setDirectory(directory, now()));
        apply(m_dispatcher.setServers(servers, now()));
        apply(m_dispatcher.setPrimary(m_database, usable_primary{server_id("s1"), 1, now() + 1h},
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
            schedule(at, [this] { apply(m_dispatcher.tick(now())); });
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
        ++m_result.arrived;
        apply(m_dispatcher.callerConnected(session, "browse", "key", now()));
        caller_request request;
        request.id = std::to_string(session);
        request.text = "READ x";
        request.parsed = caller_statement::direct{statement_access::read};
        apply(m_dispatcher.requestArrived(session, request, now()));
    }

    void apply(const dispatch_outputs &outputs)
    {
        for (const auto &output : outputs)
            std::visit(overloaded{
                               [this](const reply_to_caller &each) { recordReply(each); },
                               [this](const open_member &each) {
                                   m_servers[each.connection] = each.server;
                                   schedule(now() + 13ms, [this, each] {
                                       apply(m_dispatcher.opened(each.connection,
                                                                 log_position{1, 1}, now()));
                                   });
                               },
                               [this](const send_to_member &each) {
                                   schedule(now() + 1ms,
                                            [this, each] { deliver(each.connection); });
                               },
                               [this](const request_admission &each) {
                                   apply(m_dispatcher.admitted(each.session, now()));
                               },
                               [](const auto &) {},
                       },
                       output);
    }

    void recordReply(const reply_to_caller &each)
    {
        const auto took = now() - m_arrived.at(each.session);
        if (each.answer.succeeded()) {
            m_result.inObjective += took <= 400ms ? 1 : 0;
        } else {
            ++m_result.rejected;
            m_result.longestTimeToRejection = std::max(m_result.longestTimeToRejection, took);
        }
        apply(m_dispatcher.callerDisconnected(each.session, now()));
    }

    bool isUnusual(const member_model &member) const
    {
        const auto &behaviour = m_pattern.lastReplica;
        return member.isLastReplica && now() - m_start >= behaviour.from
               && now() - m_start < behaviour.until;
    }

    double slownessOf(const member_model &member) const
    {
        const auto &behaviour = m_pattern.lastReplica;
        if (!isUnusual(member))
            return 1;
        return behaviour.slowness
               * (2 * member.running > slots ? behaviour.slownessAboveHalfLoad : 1);
    }

    void deliver(connection_id connection)
    {
        auto &member = m_members[m_servers.at(connection)];
        m_result.atLastReplica += isUnusual(member) ? 1 : 0;
        const bool isAtEnd = now() - m_start >= m_pattern.length - 2s;
        m_result.atLastReplicaAfter += member.isLastReplica && isAtEnd ? 1 : 0;
        std::bernoulli_distribution fails(m_pattern.lastReplica.failureShare);
        if (isUnusual(member) && fails(m_random))
            return apply(m_dispatcher.answered(connection,
                                               {{},
                                                rejected{statement_error::failed, ""},
                                                session_state::idle,
                                                log_position{1, 1}},
                                               now()));
        if (member.running < slots)
            return start(member, connection);
        if (member.waiting.size() < memberQueueLimit) {
            member.waiting.push_back(connection);
            return;
        }
        apply(m_dispatcher.answered(
                connection,
                {{}, rejected{statement_error::busy, ""}, session_state::idle, log_position{1, 1}},
                now()));
    }

    void start(member_model &member, connection_id connection)
    {
        ++member.running;
        std::lognormal_distribution<double> work(-3.6, 0.6); // mean 33 ms
        schedule(now() + fromSeconds(work(m_random) * slownessOf(member)), [this, &member,
                                                                            connection] {
            --member.running;
            apply(m_dispatcher.answered(
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
    time_point m_start;
    std::mt19937 m_random{seed};
    test::event_queue m_events;
    session_number m_lastSession = 0;
    std::map<session_number, time_point> m_arrived;
    std::map<connection_id, server_id> m_servers;
    std::map<server_id, member_model> m_members;
    load_result m_result;
};

double shareInObjective(const load_result &result)
{
    return static_cast<double>(result.inObjective) / static_cast<double>(result.arrived);
}

load_result replay(const load_pattern &pattern, const dispatch_policy &policy = {})
{
    return load_replay(pattern, policy).run();
}

/** \returns the share of reads within the objective with round-robin dispatch, first in, first out
 * and without rejections.
 */
double roundRobinShare(const load_pattern &pattern)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(pattern.readsPerSecond);
    std::lognormal_distribution<double> work(-3.6, 0.6);
    using free_times = std::priority_queue<double, std::vector<double>, std::greater<>>;
    std::array<free_times, 3> members;
    for (auto &each : members)
        for (std::size_t slot = 0; slot < slots; ++slot)
            each.push(0);
    std::size_t arrived = 0;
    std::size_t inObjective = 0;
    for (double at = 0; at < toSeconds(pattern.length); at += gap(random)) {
        const auto index = arrived++ % members.size();
        auto &member = members.at(index);
        const double begins = std::max(at, member.top());
        const double ends = begins + work(random) * (index == 2 ? pattern.lastReplica.slowness : 1);
        member.pop();
        member.push(ends);
        inObjective += ends - at <= 0.4 ? 1 : 0;
    }
    return static_cast<double>(inObjective) / static_cast<double>(arrived);
}

/** At two thirds of the members' capacity, nearly all reads are served within the objective. */
TEST(DispatchLoad, AModerateLoadIsServedWithinItsObjective)
{
    EXPECT_GT(shareInObjective(replay({.readsPerSecond = 250})), 0.98);
}

/** A member that is five times slower gets fewer reads, so that the capacity of the other members
 * determines the result.
 */
TEST(DispatchLoad, ASlowMemberGetsFewerReadsThanWithRoundRobin)
{
    const load_pattern slow{.readsPerSecond = 230, .lastReplica = {.slowness = 5}};
    const auto chosen = shareInObjective(replay(slow));
    EXPECT_GT(chosen, 0.95);
    EXPECT_GT(chosen, roundRobinShare(slow) + 0.05);
}

/** The last replica takes six times longer for more than half of its slots. */
TEST(DispatchLoad, AMemberThatSlowsAtHalfLoadIsKeptBelowIt)
{
    const load_pattern slowing{
            .readsPerSecond = 340, .lastReplica = {.slownessAboveHalfLoad = 6}, .length = 12s};
    EXPECT_GT(shareInObjective(replay(slowing)), 0.97);
}

/** A third of the load's time the last replica is eight times slower. */
TEST(DispatchLoad, AMemberThatTurnsSlowGetsLittleWorkAndItsShareAfterwards)
{
    const load_pattern turning{.readsPerSecond = 220,
                               .lastReplica = {.slowness = 8, .from = 2s, .until = 6s},
                               .length = 12s};
    const auto result = replay(turning);
    EXPECT_GT(shareInObjective(result), 0.97);
    EXPECT_LT(result.atLastReplica, 0.06 * 4 * 220);
    EXPECT_GT(result.atLastReplica, 0U);
    EXPECT_GT(result.atLastReplicaAfter, 0.2 * 2 * 220);
}

/** The last replica fails half of its work at once, so that its slots are always free. */
TEST(DispatchLoad, AMemberThatFailsFastGetsLittleWorkAndItsShareAfterwards)
{
    const load_pattern failing{.readsPerSecond = 220,
                               .lastReplica = {.failureShare = 0.5, .from = 2s, .until = 6s},
                               .length = 12s};
    const auto result = replay(failing);
    EXPECT_GT(shareInObjective(result), 0.97);
    EXPECT_LT(result.atLastReplica, 0.2 * 4 * 220);
    EXPECT_GT(result.atLastReplica, 0U);
    EXPECT_GT(result.atLastReplicaAfter, 0.2 * 2 * 220);
}

/** At twice the members' capacity, reads that cannot be served are rejected early and the rest is
 * served in time. A queue without rejections would serve nearly all reads late.
 */
TEST(DispatchLoad, AnOverloadIsRejectedEarlyAndTheRestServedInTime)
{
    const load_pattern overload{.readsPerSecond = 900};
    const auto result = replay(overload);
    EXPECT_GT(result.rejected, 0U);
    EXPECT_LT(result.longestTimeToRejection, 1s);
    const double capacityShare = 3 * slots / 0.0333 / 900;
    EXPECT_GT(shareInObjective(result), capacityShare * 0.6);
    EXPECT_GT(shareInObjective(result), roundRobinShare(overload) + 0.1);
}

} // namespace
