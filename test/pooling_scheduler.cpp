#include "sycamorespan/Pooling"

#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

enum class session_state { opening, clean, busy, dirty, pinging, closed };
enum class request_state { waiting, running, ended, refused, cancelled };

/** Model of the backend sessions and requests, which carries out the scheduler's actions and checks
 * them.
 */
class backend_model
{
public:
    backend_model()
        : m_random(7)
        , m_scheduler(policy(), m_budget, [this] { return m_random(); })
    { }

    void step(int kind, std::size_t a, std::size_t b)
    {
        m_now += std::chrono::microseconds(1 + b * 50);
        constexpr int kinds = 24;
        kind %= kinds;
        if (kind <= 6)
            submit(a);
        else if (kind <= 9)
            finishOpening(a, b);
        else if (kind <= 15)
            release(a, b);
        else if (kind <= 17)
            finishReset(a);
        else if (kind == 18)
            changeBudget(a, b);
        else if (kind == 19)
            cancel(a);
        else if (kind == 20)
            breakConnection(a);
        else if (kind == 21)
            sendLateEvents(a, b);
        else
            tick(b % 4 == 0 ? 700ms : 10ms);
    }

    void drain()
    {
        perform(m_scheduler.close(m_now));
        for (int round = 0; round < 100; ++round)
            tick(100ms);
        RC_ASSERT(m_scheduler.isDrained());
        for (const auto &[id, state] : m_requests)
            RC_ASSERT(state != request_state::waiting && state != request_state::running);
    }

    int ended() const { return m_ended; }

private:
    static slot_policy policy()
    {
        return {.queue = {.perWorkspace = 4, .total = 8}, .pingInterval = 100ms};
    }

    void submit(std::size_t a)
    {
        const request_id id = m_requests.size() + 1;
        m_requests[id] = request_state::waiting;
        const workspace_id workspace(std::to_string(a % 3));
        m_workspaces[id] = workspace;
        perform(m_scheduler.submit({id, workspace, 2ms, m_now + std::chrono::milliseconds(a)},
                                   m_now));
    }

    std::optional<connection_id> pick(session_state state, std::size_t a) const
    {
        std::vector<connection_id> found;
        for (const auto &[id, each] : m_sessions)
            if (each == state)
                found.push_back(id);
        return found.empty() ? std::nullopt : std::optional(found[a % found.size()]);
    }

    void finishOpening(std::size_t a, std::size_t b)
    {
        const auto id = pick(session_state::opening, a);
        if (!id)
            return;
        m_sessions[*id] = b % 8 == 0 ? session_state::closed : session_state::clean;
        perform(b % 8 == 0 ? m_scheduler.onOpenFailed(*id, m_now)
                           : m_scheduler.onOpened(*id, m_now));
    }

    void release(std::size_t a, std::size_t b)
    {
        const auto id = pick(session_state::busy, a);
        if (!id)
            return;
        const std::array<released_state, 3> states = {
                released_state::clean, released_state::needsReset, released_state::unknown};
        const auto state = states[b % states.size()];
        m_sessions[*id] =
                state == released_state::clean ? session_state::clean : session_state::dirty;
        const request_id request = m_running[*id];
        markEnded(request);
        perform(m_scheduler.onReleased(*id, request, state, m_now));
    }

    void markEnded(request_id request)
    {
        RC_ASSERT(m_requests[request] == request_state::running);
        m_requests[request] = request_state::ended;
        ++m_ended;
    }

    void finishReset(std::size_t a)
    {
        if (const auto id = pick(session_state::dirty, a)) {
            m_sessions[*id] = session_state::clean;
            perform(m_scheduler.onReset(*id, m_now));
        } else if (const auto pinged = pick(session_state::pinging, a)) {
            m_sessions[*pinged] = session_state::clean;
            perform(m_scheduler.onPong(*pinged, m_now));
        }
    }

    void changeBudget(std::size_t a, std::size_t b)
    {
        m_budget = {a % 6, b % 7};
        perform(m_scheduler.setBudget(m_budget, m_now));
    }

    void cancel(std::size_t a)
    {
        if (m_requests.empty())
            return;
        const request_id id = a % m_requests.size() + 1;
        if (m_requests[id] == request_state::waiting)
            m_requests[id] = request_state::cancelled;
        perform(m_scheduler.cancel(m_workspaces[id], id, m_now));
    }

    void breakConnection(std::size_t a)
    {
        if (const auto id = pick(session_state::busy, a)) {
            m_sessions[*id] = session_state::closed;
            perform(m_scheduler.onClosed(*id, m_now));
        }
    }

    /** Sends events that are late, repeated, or of an earlier request of the connection. */
    void sendLateEvents(std::size_t a, std::size_t b)
    {
        const connection_id connection = a % (m_sessions.size() + 2);
        const request_id request = b % (m_requests.size() + 2);
        const auto running = m_running.find(connection);
        const bool isCurrent = running != m_running.end() && running->second == request;
        if (!isCurrent)
            perform(m_scheduler.onReleased(connection, request, released_state::clean, m_now));
        if (!m_sessions.contains(connection) || m_sessions[connection] == session_state::closed)
            perform(m_scheduler.onReset(connection, m_now));
        if (m_sessions.contains(connection) && m_sessions[connection] == session_state::busy)
            perform(m_scheduler.onPong(connection, m_now));
    }

    void tick(duration step)
    {
        m_now += step;
        perform(m_scheduler.onTimer(m_now));
    }

    void perform(const std::vector<slot_action> &actions)
    {
        for (const auto &action : actions)
            std::visit([this](const auto &each) { apply(each); }, action);
    }

    void apply(const open_connection &action)
    {
        RC_ASSERT(!m_sessions.contains(action.connection));
        m_sessions[action.connection] = session_state::opening;
        RC_ASSERT(liveSessions() <= m_budget.connections);
    }

    void apply(const run_on_connection &action)
    {
        RC_ASSERT(m_sessions.at(action.connection) == session_state::clean);
        RC_ASSERT(m_requests.at(action.request) == request_state::waiting);
        m_sessions[action.connection] = session_state::busy;
        m_requests[action.request] = request_state::running;
        m_running[action.connection] = action.request;
        const auto busy = std::ranges::count_if(m_sessions, [](const auto &item) {
            return item.second == session_state::busy || item.second == session_state::dirty;
        });
        RC_ASSERT(static_cast<std::size_t>(busy) <= m_budget.slots);
    }

    void apply(const reset_connection &action)
    {
        RC_ASSERT(m_sessions.at(action.connection) == session_state::dirty);
    }

    void apply(const ping_connection &action)
    {
        RC_ASSERT(m_sessions.at(action.connection) == session_state::clean);
        m_sessions[action.connection] = session_state::pinging;
    }

    void apply(const close_connection &action)
    {
        m_sessions[action.connection] = session_state::closed;
    }

    void apply(const refuse_request &action)
    {
        RC_ASSERT(m_requests.at(action.request) == request_state::waiting);
        m_requests[action.request] = request_state::refused;
    }

    void apply(const abandon_request &action) { markEnded(action.request); }

    std::size_t liveSessions() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                m_sessions, [](const auto &item) { return item.second != session_state::closed; }));
    }

    std::mt19937_64 m_random;
    slot_budget m_budget{5, 6};
    slot_scheduler m_scheduler;
    time_point m_now{1h};
    std::map<connection_id, session_state> m_sessions;
    std::map<connection_id, request_id> m_running;
    std::map<request_id, request_state> m_requests;
    std::map<request_id, workspace_id> m_workspaces;
    int m_ended = 0;
};

TEST(slot_scheduler, neverMixesRequestsAndEndsEachOnce)
{
    constexpr std::size_t stepCount = 4000;
    constexpr int atLeastEnded = 10000; // a hundred in each test case of the property
    int ended = 0;
    const bool holds = rc::check([&ended] {
        const auto steps = *rc::gen::noShrink(
                rc::gen::resize(rc::kNominalSize,
                                rc::gen::container<std::vector<std::array<std::uint8_t, 3>>>(
                                        stepCount, rc::gen::container<std::array<std::uint8_t, 3>>(
                                                           rc::gen::arbitrary<std::uint8_t>()))));
        backend_model model;
        for (const auto &[kind, a, b] : steps)
            model.step(kind, a, b);
        model.drain();
        ended += model.ended();
    });
    EXPECT_TRUE(holds);
    EXPECT_GT(ended, atLeastEnded);
}

TEST(slot_scheduler, closesTimedOutConnectionsAndPingsTheOthers)
{
    slot_scheduler scheduler({}, {2, 2}, [] { return 0; });
    const time_point start{1h};
    const workspace_id workspace("a");
    scheduler.submit({1, workspace, 1ms, start + 1s}, start);
    scheduler.submit({2, workspace_id("b"), 1ms, start + 1s}, start);
    scheduler.onOpened(1, start);
    scheduler.onOpened(2, start);
    scheduler.onReleased(2, 2, released_state::clean, start);
    EXPECT_EQ(scheduler.onTimer(start + 2s),
              (std::vector<slot_action>{abandon_request{1}, close_connection{1},
                                        ping_connection{2}}));
    EXPECT_EQ(scheduler.onTimer(start + 5s), (std::vector<slot_action>{close_connection{2}}));
}

TEST(slot_scheduler, refusesWhatMissesItsDeadline)
{
    slot_scheduler scheduler({}, {1, 1}, [] { return 0; });
    const time_point start{1h};
    const workspace_id workspace("a");
    const auto late = [](request_id id) {
        return slot_action(refuse_request{id, slot_refusal::deadline});
    };
    EXPECT_EQ(scheduler.submit({1, workspace, 50ms, start + 40ms}, start).front(), late(1));
    scheduler.submit({2, workspace, 50ms, start + 60ms}, start);
    scheduler.submit({3, workspace, 10ms, start + 90ms}, start);
    EXPECT_EQ(scheduler.onOpened(1, start + 30ms).front(), late(2));
    EXPECT_EQ(scheduler.submit({4, workspace, 10ms, start + 90ms}, start + 30ms).size(), 0U);
    EXPECT_EQ(scheduler.onTimer(start + 91ms).front(), late(4));
}

TEST(retry_policy, repeatsOnlyWhatIsSafe)
{
    const time_point now{1h};
    const auto decide = [now](failed_request request) {
        retry_policy policy({.retriesPerRequest = 0, .maxBalance = 1}, {}, [] { return 0; });
        request.deadline = now + 1s;
        return policy.onFailure(request, 1, now);
    };
    const auto unknown = retry_decision(fail_request{request_outcome::unknown});
    using enum request_progress;
    EXPECT_EQ(decide({.progress = sent}), unknown);
    EXPECT_EQ(decide({.progress = partlyAnswered}), unknown);
    EXPECT_EQ(decide({.progress = notSent}), retry_decision(retry_request{now + 25ms}));
    EXPECT_EQ(decide({.progress = refusedByServer}), retry_decision(retry_request{now + 25ms}));
    EXPECT_EQ(decide({.progress = sent, .readOnly = true}),
              retry_decision(retry_request{now + 25ms}));
    EXPECT_EQ(decide({.progress = sent, .readOnly = true, .answerForwarded = true}), unknown);
    EXPECT_EQ(decide({.progress = notSent, .inTransaction = true}),
              retry_decision(fail_request{request_outcome::notRun}));
}

} // namespace
} // namespace sycamorespan
