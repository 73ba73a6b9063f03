// The order of a database's queue, and the parts that decide its refusals.

#include "sycamorespan/Dispatch"
#include "sycamorespan/Overload"

#include "test/event_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace {

using namespace sycamorespan;

const time_point start{1h};

waiting_statement waiting(std::uint64_t session, const std::string &workspace, int priority = 0)
{
    return {session,    workspace_id(workspace), priority, start, start + 400ms,
            start + 1s, duration(4ms),           1,        false};
}

std::vector<std::uint64_t> orderOf(statement_queue &queue, time_point now = start)
{
    queue.advance(now);
    return queue.order();
}

using sessions = std::vector<std::uint64_t>;

TEST(DispatchQueue, AWorkspaceWithManyStatementsWaitsBehindOneWithFew)
{
    statement_queue queue;
    for (std::uint64_t session = 1; session <= 3; ++session)
        queue.insert(waiting(session, "hot"), start);
    queue.insert(waiting(4, "steady"), start);
    EXPECT_EQ(orderOf(queue), (sessions{1, 4, 2, 3}));
}

TEST(DispatchQueue, AWorkspaceWithALargerShareIsServedMoreOften)
{
    statement_queue queue;
    for (std::uint64_t session = 1; session <= 4; ++session) {
        auto statement = waiting(session, "large");
        statement.share = 2;
        queue.insert(statement, start);
    }
    for (std::uint64_t session = 5; session <= 6; ++session)
        queue.insert(waiting(session, "small"), start);
    EXPECT_EQ(orderOf(queue), (sessions{1, 5, 2, 3, 6, 4}));
}

TEST(DispatchQueue, WhatCanNoLongerMeetItsObjectiveIsBehindWhatCan)
{
    statement_queue queue;
    queue.insert(waiting(1, "a"), start);
    auto later = waiting(2, "b", 3);
    later.latencyDeadline = start + 800ms;
    queue.insert(later, start);
    EXPECT_EQ(orderOf(queue), (sessions{1, 2}));
    EXPECT_EQ(orderOf(queue, start + 397ms), (sessions{2, 1}));
}

TEST(DispatchQueue, ALessUrgentStatementIsNotPassedOverForEver)
{
    statement_queue queue;
    queue.insert(waiting(1, "a", 2), start);
    std::uint64_t session = 1;
    std::size_t served = 0;
    for (; served < 100; ++served) {
        queue.insert(waiting(++session, "b"), start);
        const auto next = orderOf(queue).front();
        queue.take(next);
        if (next == 1)
            break;
    }
    EXPECT_EQ(served, statement_queue::urgentServices);
}

TEST(DispatchQueue, AStatementThatIsNotServedCostsItsWorkspaceNothing)
{
    statement_queue queue;
    queue.insert(waiting(1, "a"), start);
    EXPECT_TRUE(queue.erase(1));
    EXPECT_FALSE(queue.erase(1));
    queue.insert(waiting(3, "b"), start);
    queue.insert(waiting(2, "a"), start);
    EXPECT_EQ(orderOf(queue), (sessions{2, 3}));
}

/** \returns the p99 in seconds of each of four workspaces with the same rate, the first of which
 * sends \a excess times it. One member of 5 slots is half used without the excess.
 */
std::vector<double> servedBySlots(double excess)
{
    test::event_queue events;
    statement_queue queue;
    struct request
    {
        std::size_t workspace = 0;
        time_point arrivedAt;
        double service = 0;
    };
    std::map<std::uint64_t, request> requests;
    std::vector<std::vector<double>> latencies(4);
    std::size_t freeSlots = 5;
    const auto now = [&] { return time_point(events.now()); };
    std::function<void()> serve = [&] {
        queue.advance(now());
        for (const auto session : queue.order()) {
            if (freeSlots == 0)
                return;
            queue.take(session);
            --freeSlots;
            events.after(fromSeconds(requests.at(session).service), [&, session] {
                const auto &done = requests.at(session);
                latencies[done.workspace].push_back(toSeconds(now() - done.arrivedAt));
                ++freeSlots;
                serve();
            });
        }
    };
    std::uint64_t last = 0;
    for (std::size_t workspace = 0; workspace < 4; ++workspace) {
        std::mt19937_64 random(workspace + 1);
        std::exponential_distribution<double> gap(workspace == 0 ? 156 * excess : 156);
        std::exponential_distribution<double> service(1 / 0.004);
        for (duration at = 1h + fromSeconds(gap(random)); at < 1h + 60s;
             at += fromSeconds(gap(random))) {
            const auto session = ++last;
            requests[session] = {workspace, time_point(at), service(random)};
            events.at(at, [&, session] {
                auto statement = waiting(session, std::to_string(requests[session].workspace));
                statement.arrivedAt = now();
                statement.latencyDeadline = now() + 400ms;
                statement.deadline = now() + 1s;
                queue.insert(statement, now());
                while (queue.size() > 400)
                    queue.erase(*queue.last());
                serve();
            });
        }
    }
    events.runUntil(1h + 65s);
    std::vector<double> result;
    for (auto &each : latencies) {
        const auto position = each.begin() + static_cast<std::ptrdiff_t>(each.size() * 99 / 100);
        std::ranges::nth_element(each, position);
        result.push_back(*position);
    }
    return result;
}

/** The bound of pooling_fairness, at the queue of a database. */
TEST(DispatchQueue, AWorkspaceAtTenTimesItsRateDoesNotSlowTheOthers)
{
    constexpr double largestRatio = 1.1; // the users' target
    const auto calm = servedBySlots(1);
    const auto excess = servedBySlots(10);
    for (std::size_t workspace = 1; workspace < calm.size(); ++workspace)
        EXPECT_LE(excess[workspace] / calm[workspace], largestRatio)
                << "workspace " << workspace << ": p99 " << calm[workspace] << " s and "
                << excess[workspace] << " s";
}

TEST(DispatchQueue, TheServiceRateIsMeasuredOnlyWhileStatementsWait)
{
    service_rate rate;
    rate.countService();
    rate.setWaiting(4, start);
    rate.setWaiting(10, start + 1s);
    EXPECT_FALSE(rate.perSecond(start + 1s));
    for (int service = 0; service < 20; ++service)
        rate.countService();
    rate.setWaiting(10, start + 1200ms);
    EXPECT_NEAR(rate.perSecond(start + 1200ms).value_or(0), 100, 1);
    EXPECT_FALSE(rate.perSecond(start + 5s)) << "an old rate is not known to hold";
}

TEST(DispatchQueue, RefusedCallersReturnOneAfterTheOther)
{
    return_schedule returns(500ms);
    EXPECT_EQ(returns.next(100ms, 10ms, start), 100ms);
    EXPECT_EQ(returns.next(100ms, 10ms, start), 110ms);
    EXPECT_EQ(returns.next(100ms, 10ms, start + 50ms), 100ms);
    for (int caller = 0; caller < 200; ++caller) {
        const auto wait = returns.next(100ms, 10ms, start + 50ms);
        EXPECT_GE(wait, 100ms);
        EXPECT_LE(wait, 600ms);
    }
}

} // namespace
