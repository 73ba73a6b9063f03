#include "programs/node/event_log.h"

#include <algorithm>
#include <climits>
#include <iterator>
#include <string_view>
#include <utility>

#include <poll.h>

namespace sycamorespan::node {

namespace {

/** Minimum time between two log lines that report the number of dropped lines. */
constexpr duration dropReportInterval = 1s;

/** Maximum total size of the values in a line. A pipe that polls as writable takes PIPE_BUF bytes
 * without blocking. 512 of them are reserved for names and time, and quoting can double the size of
 * the values.
 */
constexpr std::size_t maxFieldBytes = (PIPE_BUF - 512) / 2;
constexpr std::string_view truncationMark = "...";

log_level levelOf(line_importance importance)
{
    switch (importance) {
    case line_importance::state:
    case line_importance::routine:
        return log_level::info;
    case line_importance::failure:
        return log_level::warning;
    }
    return log_level::info;
}

/** \returns the fields, with the last values truncated if the line would become too long. */
std::vector<log_field> truncatedFields(const event_fields &fields)
{
    auto remaining = maxFieldBytes;
    std::vector<log_field> result;
    std::ranges::transform(fields, std::back_inserter(result), [&remaining](const auto &field) {
        auto value = field.second;
        if (value.size() > remaining)
            value = value.substr(0, remaining).append(truncationMark);
        remaining -= std::min(remaining, value.size());
        return log_field{field.first, std::move(value)};
    });
    return result;
}

} // namespace

event_log::event_log(const line_budget_policy &policy, int output)
    : m_logger("node")
    , m_budget(policy)
    , m_output(output)
{ }

bool event_log::wouldBlock() const
{
    pollfd descriptor{m_output, POLLOUT, 0};
    return poll(&descriptor, 1, 0) == 0;
}

void event_log::write(line_importance importance, std::string_view event,
                      const event_fields &fields, time_point now)
{
    if (!m_budget.take(importance, now))
        return;
    if (wouldBlock()) {
        m_budget.countDropped();
        return;
    }
    reportDropped(now);
    m_logger.write(levelOf(importance), event, truncatedFields(fields));
}

void event_log::reportDropped(time_point now)
{
    const auto dropped = m_budget.dropped();
    if (dropped == m_reportedDrops || now - m_reportedAt < dropReportInterval)
        return;
    m_logger.write(log_level::warning, "log lines dropped",
                   {{"count", std::to_string(dropped - m_reportedDrops)}});
    m_reportedDrops = dropped;
    m_reportedAt = now;
}

} // namespace sycamorespan::node
