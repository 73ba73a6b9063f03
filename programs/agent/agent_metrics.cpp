#include "programs/agent/agent_metrics.h"

#include "programs/common/metric_families.h"

#include <string>
#include <utility>

namespace sycamorespan::agent {

agent_metrics::agent_metrics(std::function<agent_metrics_snapshot()> takeSnapshot)
    : m_takeSnapshot(std::move(takeSnapshot))
{ }

std::vector<prometheus::MetricFamily> agent_metrics::Collect() const
{
    const auto snapshot = m_takeSnapshot();
    const programs::metric_maker make("sycamorespan_agent_");
    return {
            make.gauge("configuration_version", "Version of the configuration in force",
                       snapshot.configurationVersion),
            make.gauge("proxies", "Connected proxies", snapshot.proxies),
            make.gauge("peers", "Connected agents", snapshot.peers),
            make.counter("invalid_messages_total", "Connections closed for what they sent",
                         snapshot.invalidMessages),
            make.counter("rejected_instances_total",
                         "Entries of the instance list that could not be decoded",
                         snapshot.rejectedInstances),
            make.counter("connections_total", "Accepted connections", snapshot.server.connections),
            make.counter("received_messages_total", "Messages on accepted connections",
                         snapshot.server.messagesReceived),
            make.counter("received_bytes_total", "Bytes received on accepted connections",
                         snapshot.server.bytesReceived),
            make.counter("sent_bytes_total", "Bytes sent on accepted connections",
                         snapshot.server.bytesSent),
            make.counter("connection_timeouts_total", "Connections closed for silence",
                         snapshot.server.timeouts),
            make.counter("write_overflows_total", "Connections closed for a slow receiver",
                         snapshot.server.writeOverflows),
            make.counter("configuration_polls_total", "Reads of the configuration row",
                         snapshot.configuration.polls),
            make.counter("configuration_poll_failures_total", "Reads without a usable answer",
                         snapshot.configuration.pollFailures),
            make.counter("configuration_bodies_rejected_total",
                         "Bodies that were no valid document",
                         snapshot.configuration.bodiesRejected),
    };
}

} // namespace sycamorespan::agent
