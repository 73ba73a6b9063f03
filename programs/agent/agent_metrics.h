#ifndef SYCAMORESPAN_PROGRAMS_AGENT_AGENT_METRICS_H
#define SYCAMORESPAN_PROGRAMS_AGENT_AGENT_METRICS_H

#include "programs/agent/configuration_task.h"

#include "sycamorespan/Net"

#include <prometheus/collectable.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace sycamorespan::agent {

/** \brief The values of the metrics at one moment, as collected from the tasks. */
struct agent_metrics_snapshot
{
    std::uint64_t configurationVersion = 0;
    std::size_t proxies = 0;
    std::size_t peers = 0;
    std::uint64_t invalidMessages = 0;
    std::uint64_t rejectedInstances = 0;
    web_counters server;
    configuration_counters configuration;
};

/** \brief Exports the snapshot of an agent as Prometheus metrics. */
class agent_metrics : public prometheus::Collectable
{
public:
    /** \param takeSnapshot  takes a snapshot; called at each collection */
    explicit agent_metrics(std::function<agent_metrics_snapshot()> takeSnapshot);

    std::vector<prometheus::MetricFamily>
    Collect() const override; // NOLINT: name set by the library

private:
    std::function<agent_metrics_snapshot()> m_takeSnapshot;
};

} // namespace sycamorespan::agent

#endif
