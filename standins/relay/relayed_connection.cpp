#include "standins/relay/relayed_connection.h"

#include <algorithm>
#include <utility>

namespace sycamorespan::standin {

relayed_connection::direction::direction(ev::loop_ref loop, byte_stream &stream)
    : receiver(stream)
    , timer(loop, [this] { deliver(); })
{ }

void relayed_connection::direction::add(std::string_view bytes, duration delay)
{
    if (delay == duration::zero() && delayedBytes.empty()) {
        receiver.write(bytes);
        return;
    }
    delayedBytes.push_back({monotonicNow() + delay, std::string(bytes)});
    schedule();
}

void relayed_connection::direction::deliver()
{
    while (!delayedBytes.empty() && delayedBytes.front().due <= monotonicNow()) {
        receiver.write(delayedBytes.front().bytes);
        delayedBytes.pop_front();
    }
    schedule();
}

void relayed_connection::direction::schedule()
{
    if (!delayedBytes.empty())
        timer.startOnce(std::max(delayedBytes.front().due - monotonicNow(), duration::zero()));
}

relayed_connection::relayed_connection(ev::loop_ref loop, file_descriptor caller,
                                       file_descriptor target, std::function<duration()> delay,
                                       std::function<void()> onClosed)
    : m_delay(std::move(delay))
    , m_onClosed(std::move(onClosed))
    , m_caller(loop, std::move(caller), handlers(&relayed_connection::m_toTarget))
    , m_target(loop, std::move(target), handlers(&relayed_connection::m_toCaller))
    , m_toTarget(loop, m_target)
    , m_toCaller(loop, m_caller)
    , m_closedTimer(loop, [this] { m_onClosed(); })
{ }

byte_stream::handlers relayed_connection::handlers(direction relayed_connection::*path)
{
    return {[this, path](std::string_view bytes) { (this->*path).add(bytes, m_delay()); },
            [this] { close(); }};
}

void relayed_connection::setPaused(bool paused)
{
    const bool pauseReading = paused || m_isStopped;
    m_caller.pauseReading(pauseReading);
    m_target.pauseReading(pauseReading);
}

void relayed_connection::stopForwarding()
{
    m_isStopped = true;
    m_toTarget.delayedBytes.clear();
    m_toCaller.delayedBytes.clear();
    setPaused(true);
}

void relayed_connection::close()
{
    if (m_closedTimer.isActive())
        return;
    m_closedTimer.startOnce(duration::zero());
    m_caller.closeAfterWrite();
    m_target.closeAfterWrite();
}

} // namespace sycamorespan::standin
