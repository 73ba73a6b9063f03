#include "programs/node/event_log.h"

#include <algorithm>
#include <climits>
#include <iterator>
#include <numeric>
#include <string_view>
#include <utility>

#include <poll.h>

namespace sycamorespan::node {

namespace {

/** Minimum time between two log lines that report the number of dropped lines. */
constexpr duration dropReportInterval = 1s;

/** Greatest length of a line. A pipe that polls as writable takes that much without blocking. */
constexpr std::size_t maxLineBytes = PIPE_BUF;

/** Bytes of a line beside its event and its fields: time, level, component and the line break. */
constexpr std::size_t fixedBytes = 160;

/** Bytes of a field beside its name and value: separators, quotes and the truncation mark. */
constexpr std::size_t fieldBytes = 9;

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

/** \returns the number of bytes that a byte of a value takes in a line at most. */
std::size_t writtenBytes(unsigned char byte)
{
    constexpr std::size_t unicodeEscape = std::string_view("\\u0000").size();
    if (byte < ' ' || byte >= 0x7f)
        return unicodeEscape;
    return byte == '"' || byte == '\\' ? 2 : 1;
}

/** \returns the longest front of \a value that takes at most \a remaining bytes, with a mark if it
 * is not all of it. Reduces \a remaining by what it takes.
 */
std::string truncated(const std::string &value, std::size_t &remaining)
{
    const auto end = std::ranges::find_if(value, [&remaining](unsigned char byte) {
        const auto written = writtenBytes(byte);
        if (written > remaining)
            return true;
        remaining -= written;
        return false;
    });
    if (end == value.end())
        return value;
    remaining = 0;
    return std::string(value.begin(), end).append(truncationMark);
}

/** \returns the fields, with the last values truncated if the line would become too long. */
std::vector<log_field> truncatedFields(std::string_view event, const event_fields &fields)
{
    const auto reserved = std::accumulate(fields.begin(), fields.end(), fixedBytes + event.size(),
                                          [](std::size_t sum, const auto &field) {
                                              return sum + field.first.size() + fieldBytes;
                                          });
    auto remaining = maxLineBytes - std::min(maxLineBytes, reserved);
    std::vector<log_field> result;
    std::ranges::transform(fields, std::back_inserter(result), [&remaining](const auto &field) {
        return log_field{field.first, truncated(field.second, remaining)};
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
    m_logger.write(levelOf(importance), event, truncatedFields(event, fields));
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
