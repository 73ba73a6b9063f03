#include "programs/proxy/proxy_metrics.h"

#include <string>
#include <utility>

namespace sycamorespan::proxy {
namespace {

using prometheus::MetricFamily;

MetricFamily family(const std::string &name, const std::string &help, prometheus::MetricType type,
                    std::uint64_t value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    metric.gauge.value = static_cast<double>(value);
    return {"sycamorespan_proxy_" + name, help, type, {metric}};
}

MetricFamily counter(const std::string &name, const std::string &help, std::uint64_t value)
{
    return family(name, help, prometheus::MetricType::Counter, value);
}

MetricFamily gauge(const std::string &name, const std::string &help, std::uint64_t value)
{
    return family(name, help, prometheus::MetricType::Gauge, value);
}

} // namespace

proxy_metrics::proxy_metrics(std::function<proxy_readings()> read)
    : m_read(std::move(read))
{ }

std::vector<MetricFamily> proxy_metrics::Collect() const
{
    const auto now = m_read();
    const auto &statements = now.statements;
    return {
            gauge("sessions", "Connected callers", now.sessions),
            gauge("configuration_version", "Version of the configuration in force",
                  now.configurationVersion),
            counter("connections_total", "Accepted connections", now.callers.connections),
            counter("refused_connections_total", "Connections refused as too many are open",
                    now.callers.refusedConnections),
            counter("withdrawn_sessions_total", "Sessions ended as their key was withdrawn",
                    now.callers.refusedKeys),
            counter("statements_total", "Statements received", statements.statements),
            counter("replica_reads_total", "Reads answered by a replica", statements.replicaReads),
            counter("primary_reads_total", "Reads answered by the primary",
                    statements.primaryReads),
            counter("writes_total", "Writes and commits that ran", statements.writes),
            counter("stale_proofs_total", "Answers of replicas thrown away as not new enough",
                    statements.staleProofs),
            counter("retries_total", "Reads sent again after a lost connection",
                    statements.retries),
            counter("refused_not_run_total", "Statements refused that did not run",
                    statements.refusedNotRun),
            counter("outcome_unknown_total", "Writes whose outcome could not be told",
                    statements.outcomeUnknown),
            counter("rate_admitted_total", "Statements admitted by their workspace's rate",
                    now.quota.admitted),
            counter("rate_refused_total", "Statements refused by their workspace's rate",
                    now.quota.refused),
            counter("loan_messages_total", "Messages sent to borrow and lend tokens",
                    now.quota.loanMessages),
            counter("share_requests_total", "Reads and writes of the rows of shares",
                    now.quota.shareRequests),
            counter("classified_cached_total", "Statements classified from the cache",
                    now.classifier.hits),
            counter("classified_parsed_total", "Statements classified by the parser",
                    now.classifier.misses),
    };
}

} // namespace sycamorespan::proxy
