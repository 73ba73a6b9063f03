#include "standins/relay/relayed_connection.h"

#include <algorithm>
#include <utility>

namespace sycamorespan::standin {

relayed_connection::direction::direction(ev::loop_ref loop, byte_stream &receiver)
    : to(receiver)
    , timer(loop, [this] { deliver(); })
{ }

void relayed_connection::direction::add(std::string_view bytes, duration delay)
{
    if (delay == duration::zero() && pieces.empty()) {
        to.write(bytes);
        return;
    }
    pieces.push_back({monotonicNow() + delay, std::string(bytes)});
    schedule();
}

void relayed_connection::direction::deliver()
{
    while (!pieces.empty() && pieces.front().due <= monotonicNow()) {
        to.write(pieces.front().bytes);
        pieces.pop_front();
    }
    schedule();
}

void relayed_connection::direction::schedule()
{
    if (!pieces.empty())
        timer.startOnce(std::max(pieces.front().due - monotonicNow(), duration::zero()));
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
    , m_closed(loop, [this] { m_onClosed(); })
{ }

byte_stream::handlers relayed_connection::handlers(direction relayed_connection::*way)
{
    return {[this, way](std::string_view bytes) { (this->*way).add(bytes, m_delay()); },
            [this] { cut(); }};
}

void relayed_connection::hold(bool held)
{
    const bool isPaused = held || m_isSilent;
    m_caller.pauseReading(isPaused);
    m_target.pauseReading(isPaused);
}

void relayed_connection::silence()
{
    m_isSilent = true;
    m_toTarget.pieces.clear();
    m_toCaller.pieces.clear();
    hold(true);
}

void relayed_connection::cut()
{
    if (m_closed.isActive())
        return;
    m_closed.startOnce(duration::zero());
    m_caller.closeAfterWrite();
    m_target.closeAfterWrite();
}

} // namespace sycamorespan::standin
