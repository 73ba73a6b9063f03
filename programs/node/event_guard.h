#ifndef SYCAMORESPAN_PROGRAMS_NODE_EVENT_GUARD_H
#define SYCAMORESPAN_PROGRAMS_NODE_EVENT_GUARD_H

#include "programs/node/event_log.h"
#include "programs/node/node_metrics.h"

#include <cstdint>
#include <exception>
#include <string_view>

namespace sycamorespan::node {

/** \brief Runs handlers of events. An exception that a handler does not expect is logged and
 * counted, and ends only that event, so that one message can't end the process.
 */
class event_guard
{
public:
    event_guard(event_log &log, node_metrics &metrics)
        : m_log(log)
        , m_metrics(metrics)
    { }

    /** \param subject  what is handled, for the log
     *  \returns whether the handler ended without an exception
     */
    template<typename Handler>
    bool run(std::string_view subject, Handler &&handler)
    {
        try {
            handler();
            return true;
        } catch (const std::exception &failure) {
            report(subject, failure.what());
            return false;
        }
    }

    /** \returns the number of exceptions so far. */
    std::uint64_t errors() const { return m_errors; }

private:
    void report(std::string_view subject, std::string_view cause);

    event_log &m_log;
    node_metrics &m_metrics;
    std::uint64_t m_errors = 0;
};

} // namespace sycamorespan::node

#endif
