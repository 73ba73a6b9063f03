#include "programs/proxy/proxy_metrics.h"

#include "programs/common/metric_families.h"

#include <string>
#include <utility>

namespace sycamorespan::proxy {
proxy_metrics::proxy_metrics(std::function<proxy_readings()> read)
    : m_read(std::move(read))
{ }

std::vector<prometheus::MetricFamily> proxy_metrics::Collect() const
{
    const auto readings = m_read();
    const programs::metric_maker make("sycamorespan_proxy_");
    const auto &statements = readings.statements;
    return {
            make.gauge("sessions", "Connected callers", readings.sessions),
            make.gauge("configuration_version", "Version of the configuration in force",
                       readings.configurationVersion),
            make.counter("connections_total", "Accepted connections", readings.callers.connections),
            make.counter("refused_connections_total", "Connections refused as too many are open",
                         readings.callers.refusedConnections),
            make.counter("withdrawn_sessions_total", "Sessions ended as their key was withdrawn",
                         readings.callers.withdrawnSessions),
            make.counter("rejected_members_total",
                         "Entries of members whose address could not be decoded",
                         readings.rejectedMembers),
            make.counter("statements_total", "Statements received", statements.statements),
            make.counter("replica_reads_total", "Reads answered by a replica",
                         statements.replicaReads),
            make.counter("primary_reads_total", "Reads answered by the primary",
                         statements.primaryReads),
            make.counter("writes_total", "Writes and commits that ran", statements.writes),
            make.counter("stale_proofs_total", "Answers of replicas thrown away as not new enough",
                         statements.staleReplicaAnswers),
            make.counter("retries_total", "Reads sent again after a lost connection",
                         statements.retries),
            make.counter("refused_not_run_total", "Statements refused that did not run",
                         statements.refusedNotRun),
            make.counter("outcome_unknown_total", "Writes whose outcome could not be told",
                         statements.outcomeUnknown),
            make.counter("rate_admitted_total", "Statements admitted by their workspace's rate",
                         readings.quota.admitted),
            make.counter("rate_refused_total", "Statements refused by their workspace's rate",
                         readings.quota.refused),
            make.counter("loan_messages_total", "Messages sent to borrow and lend tokens",
                         readings.quota.loanMessages),
            make.counter("share_requests_total", "Reads and writes of the rows of shares",
                         readings.quota.shareRequests),
            make.counter("classified_cached_total", "Statements classified from the cache",
                         readings.classifier.hits),
            make.counter("classified_parsed_total", "Statements classified by the parser",
                         readings.classifier.misses),
    };
}

} // namespace sycamorespan::proxy
