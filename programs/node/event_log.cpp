#include "programs/node/event_log.h"

#include <algorithm>
#include <climits>
#include <iterator>
#include <string_view>
#include <utility>

#include <poll.h>

namespace sycamorespan::node {

namespace {

constexpr duration dropReportInterval = 1s;

/** A writable pipe takes PIPE_BUF bytes at once. Of these 512 are for names and time, and quoting
 * may double the values.
 */
constexpr std::size_t longestFields = (PIPE_BUF - 512) / 2;
constexpr std::string_view cutMark = "...";

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

/** \returns the fields with the last values cut where the line would become too long. */
std::vector<log_field> boundedFields(const event_fields &fields)
{
    auto left = longestFields;
    std::vector<log_field> result;
    std::ranges::transform(fields, std::back_inserter(result), [&left](const auto &field) {
        auto value = field.second;
        if (value.size() > left)
            value = value.substr(0, left).append(cutMark);
        left -= std::min(left, value.size());
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
    pollfd asked{m_output, POLLOUT, 0};
    return poll(&asked, 1, 0) == 0;
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
    m_logger.write(levelOf(importance), event, boundedFields(fields));
}

void event_log::reportDropped(time_point now)
{
    const auto dropped = m_budget.dropped();
    if (dropped == m_reported || now - m_reportedAt < dropReportInterval)
        return;
    m_logger.write(log_level::warning, "log lines dropped",
                   {{"count", std::to_string(dropped - m_reported)}});
    m_reported = dropped;
    m_reportedAt = now;
}

} // namespace sycamorespan::node
