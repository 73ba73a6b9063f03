#include "sycamorespan/src/Failover/view_publisher.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

namespace {

constexpr unsigned maximumBackoffDoublings = 10;

} // namespace

view_publisher::view_publisher(const view_publisher_settings &settings, random_source random)
    : m_settings(settings)
    , m_random(std::move(random))
{ }

std::vector<view_publisher_action> view_publisher::publish(const group_view &view, time_point now)
{
    if (m_wanted && !supersedes(view, *m_wanted))
        return {};
    m_wanted = view;
    return m_pending ? std::vector<view_publisher_action>{} : read(now);
}

std::vector<view_publisher_action> view_publisher::handle(const row_read &event, time_point now)
{
    if (m_pending != event.request)
        return {};
    m_pending.reset();
    m_deadline.reset();
    m_failuresInARow = 0;
    if (!m_wanted)
        return {};
    const bool isBehind = !event.view || supersedes(*m_wanted, *event.view);
    if (isBehind) {
        m_pending = ++m_lastRequest;
        m_deadline = now + m_settings.requestTimeout;
        return {write_group_row{m_lastRequest, *m_wanted, event.revision}};
    }
    const bool isAhead = supersedes(*event.view, *m_wanted);
    m_wanted.reset();
    if (!isAhead)
        return {};
    return {view_learned{*event.view}};
}

std::vector<view_publisher_action> view_publisher::handle(const row_failed &event, time_point now)
{
    if (m_pending == event.request)
        backOff(now);
    return {};
}

std::vector<view_publisher_action> view_publisher::handle(const time_passed & /*event*/,
                                                          time_point now)
{
    if (!m_deadline || *m_deadline > now)
        return {};
    if (!m_pending)
        return read(now);
    backOff(now);
    return {};
}

std::optional<time_point> view_publisher::nextDeadline() const
{
    return m_deadline;
}

std::vector<view_publisher_action> view_publisher::read(time_point now)
{
    m_pending = ++m_lastRequest;
    m_deadline = now + m_settings.requestTimeout;
    return {read_group_row{m_lastRequest}};
}

void view_publisher::backOff(time_point now)
{
    m_pending.reset();
    const auto doublings = std::min(m_failuresInARow++, maximumBackoffDoublings);
    const auto longest =
            std::min(m_settings.minimumBackoff * (1U << doublings), m_settings.maximumBackoff);
    m_deadline = now + longest / 2 + fromSeconds(toSeconds(longest) / 2 * uniformUnit(m_random));
}

} // namespace sycamorespan
