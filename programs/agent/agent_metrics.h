#ifndef SYCAMORESPAN_PROGRAMS_AGENT_AGENT_METRICS_H
#define SYCAMORESPAN_PROGRAMS_AGENT_AGENT_METRICS_H

#include "programs/agent/configuration_task.h"

#include "sycamorespan/Net"

#include <prometheus/collectable.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace sycamorespan::agent {

/** \brief Values that the tasks count, at one moment. */
struct agent_readings
{
    std::uint64_t configurationVersion = 0;
    std::size_t proxies = 0;
    std::size_t peers = 0;
    std::uint64_t invalidMessages = 0;
    web_counters server;
    configuration_counters configuration;
};

/** \brief Shows the readings as Prometheus metrics. */
class agent_metrics : public prometheus::Collectable
{
public:
    /** \param read  takes the readings at each collection */
    explicit agent_metrics(std::function<agent_readings()> read);

    std::vector<prometheus::MetricFamily> Collect() const override; // NOLINT: the library's name

private:
    std::function<agent_readings()> m_read;
};

} // namespace sycamorespan::agent

#endif
