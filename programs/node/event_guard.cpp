#include "programs/node/event_guard.h"

#include "sycamorespan/src/Net/clock.h"

namespace sycamorespan::node {

void event_guard::report(std::string_view subject, std::string_view cause)
{
    ++m_errors;
    m_metrics.countUnexpectedError();
    m_log.write(line_importance::state, "unexpected error in an event handler",
                {{"subject", std::string(subject)}, {"error", std::string(cause)}},
                suspendAwareNow());
}

} // namespace sycamorespan::node
