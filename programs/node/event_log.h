#ifndef SYCAMORESPAN_PROGRAMS_NODE_EVENT_LOG_H
#define SYCAMORESPAN_PROGRAMS_NODE_EVENT_LOG_H

#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Logging/line_budget.h"
#include "sycamorespan/src/Logging/logger.h"

#include <string>
#include <utility>
#include <vector>

namespace sycamorespan::node {

using event_fields = std::vector<std::pair<std::string, std::string>>;

/** \brief The node's log lines, bounded in number; what matters most is kept. */
class event_log
{
public:
    explicit event_log(const line_budget_policy &policy);

    void write(line_importance importance, std::string_view event, const event_fields &fields,
               time_point now);

    std::uint64_t dropped() const { return m_budget.dropped(); }

private:
    void reportDropped(time_point now);

    logger m_logger;
    line_budget m_budget;
    std::uint64_t m_reported = 0;
    time_point m_reportedAt;
};

} // namespace sycamorespan::node

#endif
