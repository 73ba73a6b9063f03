#include "programs/node/event_log.h"

#include <algorithm>
#include <iterator>

namespace sycamorespan::node {

namespace {

constexpr duration dropReportInterval = 1s;

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

} // namespace

event_log::event_log(const line_budget_policy &policy)
    : m_logger("node")
    , m_budget(policy)
{ }

void event_log::write(line_importance importance, std::string_view event,
                      const event_fields &fields, time_point now)
{
    if (!m_budget.take(importance, now))
        return;
    reportDropped(now);
    std::vector<log_field> all;
    std::ranges::transform(fields, std::back_inserter(all), [](const auto &field) {
        return log_field{field.first, field.second};
    });
    m_logger.write(levelOf(importance), event, all);
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
