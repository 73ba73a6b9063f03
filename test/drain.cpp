#include "sycamorespan/Membership"
#include "test/event_queue.h"

#include <deque>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::test {
namespace {

/** \brief Simulates proxies behind a load balancer that is unaware of drains, under constant load.
 */
class rolling_restart
{
public:
    rolling_restart(std::size_t proxies, std::size_t callers, std::uint64_t seed)
        : m_random(seed)
        , m_proxies(proxies)
        , m_callers(callers)
    {
        for (std::size_t caller = 0; caller < callers; ++caller)
            connect(caller);
    }

    event_queue events;
    std::size_t interrupted = 0; ///< requests or transactions that a drain interrupted
    std::size_t answered = 0;
    std::size_t restarts = 0;

    void restart(std::size_t proxy) { handle(proxy, drain_event::stop_requested{}); }
    void tick(std::size_t proxy) { handle(proxy, drain_event::tick{}); }

private:
    struct caller_state
    {
        std::size_t proxy = 0;
        bool connected = false;
        bool running = false;
        std::uint64_t connection = 0;
        int statementsLeft = 0;
    };
    struct proxy_state
    {
        drain state{drain_policy{}};
    };

    duration upTo(int milliseconds)
    {
        return std::chrono::milliseconds(1 + m_random() % static_cast<unsigned>(milliseconds));
    }
    session_id sessionOf(std::size_t caller) const
    {
        return session_id(std::to_string(caller) + '/'
                          + std::to_string(m_callers[caller].connection));
    }
    std::size_t callerOf(const session_id &session) const { return std::stoul(session.str()); }

    void connect(std::size_t caller)
    {
        auto &state = m_callers[caller];
        state.proxy = m_random() % m_proxies.size();
        ++state.connection;
        handle(state.proxy, drain_event::session_requested{sessionOf(caller)});
        if (!state.connected)
            events.after(upTo(20), [this, caller] { connect(caller); });
    }
    void request(std::size_t caller, std::uint64_t connection)
    {
        auto &state = m_callers[caller];
        if (!state.connected || state.connection != connection)
            return;
        state.running = true;
        if (state.statementsLeft == 0)
            state.statementsLeft = 1 + static_cast<int>(m_random() % 3);
        handle(state.proxy, drain_event::request_started{sessionOf(caller)});
        events.after(upTo(300), [this, caller, connection] { finish(caller, connection); });
    }
    void finish(std::size_t caller, std::uint64_t connection)
    {
        auto &state = m_callers[caller];
        if (!state.connected || state.connection != connection)
            return;
        state.running = false;
        ++answered;
        --state.statementsLeft;
        events.after(upTo(200), [this, caller, connection] { request(caller, connection); });
        handle(state.proxy,
               drain_event::request_finished{sessionOf(caller), state.statementsLeft > 0});
    }

    void handle(std::size_t proxy, const drain_input &event)
    {
        for (const auto &action : m_proxies[proxy].state.handle(event, time_point(events.now())))
            std::visit([&](const auto &what) { act(proxy, what); }, action);
    }
    void act(std::size_t, const drain_action::admit_session &admitted)
    {
        const auto caller = callerOf(admitted.session);
        auto &state = m_callers[caller];
        state.connected = true;
        events.after(upTo(200), [this, caller, connection = state.connection] {
            request(caller, connection);
        });
    }
    void act(std::size_t, const drain_action::reject_session &) { }
    void act(std::size_t, const drain_action::announce_shutdown &) { }
    void act(std::size_t proxy, const drain_action::close_session &closed)
    {
        const auto caller = callerOf(closed.session);
        auto &state = m_callers[caller];
        if (state.running || state.statementsLeft > 0)
            ++interrupted;
        state.connected = false;
        state.running = false;
        state.statementsLeft = 0;
        events.after(1ms, [this, proxy, session = closed.session] {
            handle(proxy, drain_event::session_ended{session});
        });
        events.after(upTo(20), [this, caller] { connect(caller); });
    }
    void act(std::size_t proxy, const drain_action::finished &)
    {
        ++restarts;
        events.after(upTo(500), [this, proxy] { m_proxies[proxy] = {}; });
    }

    std::mt19937_64 m_random;
    std::vector<proxy_state> m_proxies;
    std::vector<caller_state> m_callers;
};

RC_GTEST_PROP(drain, aRollingRestartOfAllProxiesInterruptsNoRequest, ())
{
    constexpr std::size_t proxies = 6;
    constexpr std::size_t callers = 60;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto atOnce = *rc::gen::inRange<std::size_t>(1, 4);
    rolling_restart fleet(proxies, callers, seed);
    for (std::size_t proxy = 0; proxy < proxies; ++proxy)
        fleet.events.at(1s + 5s * (proxy / atOnce), [&fleet, proxy] { fleet.restart(proxy); });
    for (duration when = 1s; when < 40s; when += 100ms) {
        for (std::size_t proxy = 0; proxy < proxies; ++proxy)
            fleet.events.at(when, [&fleet, proxy] { fleet.tick(proxy); });
    }
    fleet.events.runUntil(40s);
    RC_ASSERT(fleet.restarts == proxies);
    RC_ASSERT(fleet.answered > 1'000U);
    RC_ASSERT(fleet.interrupted == 0U);
}

} // namespace
} // namespace sycamorespan::test
