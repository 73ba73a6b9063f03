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

/** \brief Log of the node, which limits the rate and the length of lines. At the rate limit less
 * important lines are dropped first. A line is also dropped when writing it would block, so that an
 * output that nobody reads does not stop the process.
 */
class event_log
{
public:
    /** \param output  file descriptor that the log lines are written to */
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
    std::uint64_t m_reportedDrops = 0;
    time_point m_reportedAt;
};

} // namespace sycamorespan::node

#endif
