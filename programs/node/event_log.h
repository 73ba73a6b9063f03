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

/** \brief The node's log lines, bounded in number and length; what matters most is kept. Output
 * that nobody reads drops lines and stops nothing.
 */
class event_log
{
public:
    /** \param output  descriptor that the lines end up at */
    event_log(const line_budget_policy &policy, int output);

    void write(line_importance importance, std::string_view event, const event_fields &fields,
               time_point now);

    std::uint64_t dropped() const { return m_budget.dropped(); }

private:
    bool wouldBlock() const;
    void reportDropped(time_point now);

    logger m_logger;
    line_budget m_budget;
    int m_output;
    std::uint64_t m_reported = 0;
    time_point m_reportedAt;
};

} // namespace sycamorespan::node

#endif
