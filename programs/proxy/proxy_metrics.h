#ifndef SYCAMORESPAN_PROGRAMS_PROXY_PROXY_METRICS_H
#define SYCAMORESPAN_PROGRAMS_PROXY_PROXY_METRICS_H

#include <cstdint>
#include <functional>
#include <vector>

#include <prometheus/collectable.h>

#include "programs/proxy/quota_task.h"
#include "programs/proxy/statement_flow.h"
#include "sycamorespan/Routing"

namespace sycamorespan::proxy {

/** \brief Totals of caller connections since the process started. */
struct caller_counters
{
    std::uint64_t connections = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t withdrawnSessions = 0;
};

/** \brief Snapshot of the values that are exported as metrics. */
struct proxy_readings
{
    statement_counters statements;
    caller_counters callers;
    std::size_t sessions = 0;
    std::uint64_t configurationVersion = 0;
    statement_cache_counters classifier;
    quota_counters quota;
    std::uint64_t rejectedMembers = 0;
};

/** \brief Exports the readings as Prometheus metrics. */
class proxy_metrics : public prometheus::Collectable
{
public:
    /** \param read  returns the current readings; called at each collection */
    explicit proxy_metrics(std::function<proxy_readings()> read);

    std::vector<prometheus::MetricFamily> Collect() const override; // NOLINT: prometheus-cpp name

private:
    std::function<proxy_readings()> m_read;
};

} // namespace sycamorespan::proxy

#endif
