#ifndef SYCAMORESPAN_NET_LOOP_TIMER_H
#define SYCAMORESPAN_NET_LOOP_TIMER_H

#include "sycamorespan/src/Core/time_types.h"

#include <ev++.h>

#include <functional>
#include <utility>

namespace sycamorespan {

/** \brief Timer that calls a function from the loop, once or repeatedly. */
class loop_timer
{
public:
    loop_timer(ev::loop_ref loop, std::function<void()> onTimeout)
        : m_onTimeout(std::move(onTimeout))
        , m_watcher(loop)
    {
        m_watcher.set<loop_timer, &loop_timer::handleTimeout>(this);
    }
    loop_timer(const loop_timer &) = delete;
    loop_timer &operator=(const loop_timer &) = delete;

    /** \brief Calls the function once, after \a delay. Replaces an earlier start. */
    void startOnce(duration delay) { start(delay, duration::zero()); }

    /** \brief Calls the function every \a interval. Replaces an earlier start. */
    void startRepeating(duration interval) { start(interval, interval); }

    void stop() { m_watcher.stop(); }

    bool isActive() const { return m_watcher.is_active(); }

private:
    void start(duration delay, duration interval)
    {
        m_watcher.stop();
        m_watcher.start(toSeconds(delay), toSeconds(interval));
    }

    void handleTimeout(ev::timer &, int)
    {
        // Copied because the function may destroy this timer.
        const auto onTimeout = m_onTimeout;
        onTimeout();
    }

    std::function<void()> m_onTimeout;
    ev::timer m_watcher;
};

} // namespace sycamorespan

#endif
