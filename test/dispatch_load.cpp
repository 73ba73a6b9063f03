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

/** Statements of one kind that a workspace sends, each as a session of one operation. */
struct load_stream
{
    std::string workspace = "shop";
    bool isWrite = false;
    double perSecond = 0;
    duration from{}; ///< since the start of the load
    duration until = 6s;
};

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
    std::vector<load_stream> streams = {}; ///< if empty, reads of one workspace
    duration primaryKnownAfter{}; ///< since the start of the load
    duration meanWork = 33ms; ///< of a read; a write takes a quarter
    int maximumTries = 1; ///< of a caller that is told when to return
    std::size_t connections = 62; ///< that each member accepts
};

struct load_result
{
    std::size_t arrived = 0;
    std::size_t inObjective = 0;
    std::size_t served = 0;
    std::size_t rejected = 0;
    std::size_t triesRejected = 0;
    duration longestTimeToRejection{}; ///< measured from the arrival of the read
    std::size_t atLastReplica = 0; ///< reads sent to it while it was unusual
    std::size_t atLastReplicaAfter = 0; ///< in the last two seconds of the load
    std::vector<duration> latencies = {}; ///< of served statements
    std::vector<time_point> returns = {}; ///< times at which callers were told to return

    duration p99()
    {
        const auto position = static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
        std::ranges::nth_element(latencies, latencies.begin() + position);
        return latencies[static_cast<std::size_t>(position)];
    }

    /** \returns the largest number of callers that were told to return within \a period. */
    std::size_t mostReturnsWithin(duration period) const
    {
        auto sorted = returns;
        std::ranges::sort(sorted);
        std::size_t most = 0;
        for (auto first = sorted.begin(); first != sorted.end(); ++first) {
            const auto end = std::lower_bound(first, sorted.end(), *first + period);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
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
        route.priority = 2;
        directory->routes.emplace("browse", route);
        route.reads = consistency::latest;
        route.statementTimeout = 600ms;
        route.latencyObjective = 100ms;
        route.priority = 0;
        directory->routes.emplace("order", route);
        if (m_pattern.streams.empty())
            m_pattern.streams.push_back(
                    {.perSecond = pattern.readsPerSecond, .until = pattern.length});
        for (const auto &each : m_pattern.streams) {
            directory->keyOwners.emplace(each.workspace, workspace_id(each.workspace));
            directory->workspaces[workspace_id(each.workspace)] = {100, 100};
        }
        directory->databases[m_database] = {m_pattern.connections, 1};
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
        schedule(now() + m_pattern.primaryKnownAfter, [this] {
            apply(m_dispatcher.setPrimary(m_database,
                                          usable_primary{server_id("s1"), 1, now() + 1h}, now()));
            m_dispatcher.addFloor(m_database, {{1, 1}, now()}, now());
        });
    }

    /** \returns the results of each stream. */
    std::vector<load_result> run()
    {
        m_results.resize(m_pattern.streams.size());
        for (std::size_t index = 0; index < m_pattern.streams.size(); ++index) {
            const auto &stream = m_pattern.streams[index];
            std::mt19937 random(seed + index); // the same arrivals whatever the other streams are
            std::exponential_distribution<double> gap(stream.perSecond);
            const auto until = now() + std::min(stream.until, m_pattern.length);
            for (auto at = now() + stream.from; at < until; at += fromSeconds(gap(random)))
                schedule(at, [this, index] {
                    ++m_results[index].arrived;
                    arrive({index, now(), now(), 1});
                });
        }
        const auto end = now() + m_pattern.length + 2s;
        for (auto at = now(); at < end; at += 20ms)
            schedule(at, [this] { apply(m_dispatcher.tick(now())); });
        m_events.runUntil(duration::max());
        return m_results;
    }

private:
    time_point now() const { return time_point(m_events.now()); }

    void schedule(time_point at, std::function<void()> action)
    {
        m_events.at(at.time_since_epoch(), std::move(action));
    }

    /** One try of a caller. */
    struct caller_try
    {
        std::size_t stream = 0;
        time_point firstArrival;
        time_point arrival;
        int number = 1;
    };

    void arrive(const caller_try &attempt)
    {
        const auto session = ++m_lastSession;
        const auto &stream = m_pattern.streams[attempt.stream];
        m_tries[session] = attempt;
        apply(m_dispatcher.callerConnected(session, stream.isWrite ? "order" : "browse",
                                           stream.workspace, now()));
        caller_request request;
        request.id = std::to_string(session);
        request.text = "READ x";
        request.parsed = caller_statement::direct{stream.isWrite ? statement_access::write
                                                                 : statement_access::read};
        apply(m_dispatcher.requestArrived(session, request, now()));
    }

    void apply(const dispatch_outputs &outputs)
    {
        for (const auto &output : outputs)
            std::visit(
                    overloaded{
                            [this](const reply_to_caller &each) { recordReply(each); },
                            [this](const open_member &each) {
                                m_servers[each.connection] = each.server;
                                schedule(now() + 13ms, [this, each] {
                                    apply(m_dispatcher.opened(each.connection, log_position{1, 1},
                                                              now()));
                                });
                            },
                            [this](const send_to_member &each) {
                                for (const auto &statement : each.statements)
                                    if (const auto *forward =
                                                std::get_if<member_statement::forward>(&statement))
                                        m_boundSession[each.connection] = std::stoull(forward->id);
                                schedule(now() + 1ms, [this, each] { deliver(each.connection); });
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
        const auto attempt = m_tries.at(each.session);
        auto &result = m_results[attempt.stream];
        const auto took = now() - attempt.firstArrival;
        if (const auto *why = std::get_if<rejected>(&each.answer.result)) {
            ++result.triesRejected;
            result.longestTimeToRejection =
                    std::max(result.longestTimeToRejection, now() - attempt.arrival);
            repeat(attempt, why->text);
        } else {
            ++result.served;
            result.latencies.push_back(took);
            const auto objective = m_pattern.streams[attempt.stream].isWrite ? 100ms : 400ms;
            result.inObjective += took <= objective ? 1 : 0;
        }
        apply(m_dispatcher.callerDisconnected(each.session, now()));
    }

    /** Returns at the time that the refusal names, or gives up. */
    void repeat(const caller_try &refused, const std::string &reason)
    {
        static const std::string phrase = "retry after ";
        const auto found = reason.find(phrase);
        if (found != std::string::npos) {
            const auto wait =
                    std::chrono::milliseconds(std::stoll(reason.substr(found + phrase.size())));
            m_results[refused.stream].returns.push_back(now() + wait);
            if (refused.number < m_pattern.maximumTries) {
                const auto at = now() + wait;
                schedule(at, [this, refused, at] {
                    arrive({refused.stream, refused.firstArrival, at, refused.number + 1});
                });
                return;
            }
        }
        ++m_results[refused.stream].rejected;
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
        auto &result = m_results[m_tries.at(m_boundSession.at(connection)).stream];
        result.atLastReplica += isUnusual(member) ? 1 : 0;
        const bool isAtEnd = now() - m_start >= m_pattern.length - 2s;
        result.atLastReplicaAfter += member.isLastReplica && isAtEnd ? 1 : 0;
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
        const auto session = m_boundSession[connection];
        const bool isWrite = m_pattern.streams[m_tries.at(session).stream].isWrite;
        const double factor = toSeconds(m_pattern.meanWork) / 0.033 * (isWrite ? 0.25 : 1);
        std::lognormal_distribution<double> work(-3.6, 0.6); // mean 33 ms
        schedule(now() + fromSeconds(work(m_random) * slownessOf(member) * factor), [this, &member,
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
    std::map<session_number, caller_try> m_tries;
    std::map<connection_id, session_number> m_boundSession;
    std::map<connection_id, server_id> m_servers;
    std::map<server_id, member_model> m_members;
    std::vector<load_result> m_results;
};

double shareInObjective(const load_result &result)
{
    return static_cast<double>(result.inObjective) / static_cast<double>(result.arrived);
}

load_result replay(const load_pattern &pattern, const dispatch_policy &policy = {})
{
    return load_replay(pattern, policy).run().front();
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

/** \returns the results of each stream. */
std::vector<load_result> replayStreams(load_pattern pattern, std::vector<load_stream> streams)
{
    pattern.streams = std::move(streams);
    return load_replay(pattern, {}).run();
}

constexpr std::size_t scarceConnections = 10;
const load_stream usualReads{.perSecond = 250};
const load_stream increasedReads{.perSecond = 625};
const load_stream increasedWrites{.isWrite = true, .perSecond = 180};

/** \returns reads of a workspace that sends what it always does, beside three at \a factor times.
 */
std::vector<load_stream> threeWorkspacesAt(double factor)
{
    std::vector<load_stream> streams{{.workspace = "steady", .perSecond = 60}};
    for (const auto *name : {"a", "b", "c"})
        streams.push_back({.workspace = name, .perSecond = 60 * factor});
    return streams;
}

/** Writes need little and are urgent; no read may turn one away. */
TEST(DispatchLoad, ReadsTimes2_5DoNotTurnWritesTimes1_8Away)
{
    const auto results = replayStreams({.maximumTries = 3, .connections = scarceConnections},
                                       {increasedReads, increasedWrites});
    EXPECT_GT(shareInObjective(results.at(1)), 0.99);
    EXPECT_EQ(results.at(1).triesRejected, 0U);
    // In 50 ms, the members serve 23 reads.
    EXPECT_LT(results.at(0).mostReturnsWithin(50ms), 100U);
}

/** The steady workspace stays below its part of the capacity. */
TEST(DispatchLoad, ThreeWorkspacesTimes6DoNotTurnASteadyOneAway)
{
    const load_pattern scarce{.connections = scarceConnections};
    EXPECT_GT(shareInObjective(replayStreams(scarce, threeWorkspacesAt(6)).front()), 0.9);
    EXPECT_EQ(shareInObjective(replayStreams(scarce, threeWorkspacesAt(1)).front()), 1);
}

TEST(DispatchLoad, ReadsWritesAndThreeWorkspacesAtOnceLeaveTheSteadyOneAndWritesServed)
{
    auto streams = threeWorkspacesAt(6);
    streams.push_back(increasedWrites);
    streams.push_back(increasedReads);
    const auto results =
            replayStreams({.maximumTries = 3, .connections = scarceConnections}, streams);
    EXPECT_GT(shareInObjective(results.at(0)), 0.8);
    EXPECT_GT(shareInObjective(results.at(4)), 0.95);
}

/** Instances that start without a primary tell each caller when to return, and serve them then. */
TEST(DispatchLoad, CallersThatReturnAfterAPowerLossAreServed)
{
    const auto results = replayStreams(
            {.length = 10s,
             .primaryKnownAfter = 4s,
             .maximumTries = 8,
             .connections = scarceConnections},
            {{.perSecond = 250, .until = 10s}, {.isWrite = true, .perSecond = 100, .until = 10s}});
    for (const auto &each : results)
        EXPECT_GT(static_cast<double>(each.served) / static_cast<double>(each.arrived), 0.9);
}

/** In a data centre without a primary nothing waits in vain. */
TEST(DispatchLoad, CallersOfASeparatedDataCentreAreToldAtOnceWhenToReturn)
{
    const auto results = replayStreams({.primaryKnownAfter = 20s, .maximumTries = 3},
                                       {usualReads, {.isWrite = true, .perSecond = 100}});
    for (const auto &each : results) {
        EXPECT_EQ(each.longestTimeToRejection, duration::zero());
        EXPECT_EQ(each.returns.size(), each.triesRejected);
    }
}

} // namespace
