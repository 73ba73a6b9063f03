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
    if (m_viewToWrite && !supersedes(view, *m_viewToWrite))
        return {};
    m_viewToWrite = view;
    return m_pendingRequest ? std::vector<view_publisher_action>{} : read(now);
}

std::vector<view_publisher_action> view_publisher::handle(const row_read &event, time_point now)
{
    if (m_pendingRequest != event.request)
        return {};
    m_pendingRequest.reset();
    m_deadline.reset();
    m_consecutiveFailures = 0;
    if (!m_viewToWrite)
        return {};
    const bool isBehind = !event.view || supersedes(*m_viewToWrite, *event.view);
    if (isBehind) {
        m_pendingRequest = ++m_lastRequest;
        m_deadline = now + m_settings.requestTimeout;
        return {write_group_row{m_lastRequest, *m_viewToWrite, event.revision}};
    }
    const bool isAhead = supersedes(*event.view, *m_viewToWrite);
    m_viewToWrite.reset();
    if (!isAhead)
        return {};
    return {view_learned{*event.view}};
}

std::vector<view_publisher_action> view_publisher::handle(const row_failed &event, time_point now)
{
    if (m_pendingRequest == event.request)
        backOff(now);
    return {};
}

std::vector<view_publisher_action> view_publisher::handle(const time_passed & /*event*/,
                                                          time_point now)
{
    if (!m_deadline || *m_deadline > now)
        return {};
    if (!m_pendingRequest)
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
    m_pendingRequest = ++m_lastRequest;
    m_deadline = now + m_settings.requestTimeout;
    return {read_group_row{m_lastRequest}};
}

void view_publisher::backOff(time_point now)
{
    m_pendingRequest.reset();
    const auto doublings = std::min(m_consecutiveFailures++, maximumBackoffDoublings);
    const auto longest =
            std::min(m_settings.minimumBackoff * (1U << doublings), m_settings.maximumBackoff);
    m_deadline = now + longest / 2 + fromSeconds(toSeconds(longest) / 2 * uniformUnit(m_random));
}

} // namespace sycamorespan
