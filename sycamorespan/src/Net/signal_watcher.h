#ifndef SYCAMORESPAN_NET_SIGNAL_WATCHER_H
#define SYCAMORESPAN_NET_SIGNAL_WATCHER_H

#include <ev++.h>

#include <functional>
#include <utility>

namespace sycamorespan {

/** \brief Calls a function from the loop whenever the process receives a given signal. The loop
 * must be the default loop.
 */
class signal_watcher
{
public:
    signal_watcher(ev::loop_ref loop, int signal, std::function<void()> onSignal)
        : m_onSignal(std::move(onSignal))
        , m_watcher(loop)
    {
        m_watcher.set<signal_watcher, &signal_watcher::handleSignal>(this);
        m_watcher.start(signal);
    }
    signal_watcher(const signal_watcher &) = delete;
    signal_watcher &operator=(const signal_watcher &) = delete;

private:
    void handleSignal(ev::sig &, int) { m_onSignal(); }

    std::function<void()> m_onSignal;
    ev::sig m_watcher;
};

} // namespace sycamorespan

#endif
