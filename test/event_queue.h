#ifndef SYCAMORESPAN_TEST_EVENT_QUEUE_H
#define SYCAMORESPAN_TEST_EVENT_QUEUE_H

#include "sycamorespan/Core"

#include <algorithm>
#include <functional>
#include <map>

namespace sycamorespan::test {

/** \brief Event queue of a simulation; runs callbacks in the order of their virtual time. */
class event_queue
{
public:
    using callback = std::function<void()>;

    duration now() const { return m_now; }
    std::uint64_t steps() const { return m_steps; }

    void at(duration when, callback call)
    {
        m_events.emplace(std::pair(std::max(when, m_now), ++m_lastSequence), std::move(call));
    }
    void after(duration delay, callback call) { at(m_now + delay, std::move(call)); }

    void runUntil(duration end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            const auto next = m_events.extract(m_events.begin());
            m_now = next.key().first;
            ++m_steps;
            next.mapped()();
        }
        m_now = end;
    }

private:
    std::map<std::pair<duration, std::uint64_t>, callback> m_events;
    duration m_now{};
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_steps = 0;
};

} // namespace sycamorespan::test

#endif
