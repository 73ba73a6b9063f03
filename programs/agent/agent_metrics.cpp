#include "programs/agent/agent_metrics.h"

#include "programs/common/metric_families.h"

#include <string>
#include <utility>

namespace sycamorespan::agent {

agent_metrics::agent_metrics(std::function<agent_readings()> read)
    : m_read(std::move(read))
{ }

std::vector<prometheus::MetricFamily> agent_metrics::Collect() const
{
    const auto now = m_read();
    const programs::metric_maker make("sycamorespan_agent_");
    return {
            make.gauge("configuration_version", "Version of the configuration in force",
                       now.configurationVersion),
            make.gauge("proxies", "Connected proxies", now.proxies),
            make.gauge("peers", "Connected agents", now.peers),
            make.counter("invalid_messages_total", "Connections closed for what they sent",
                         now.invalidMessages),
            make.counter("connections_total", "Accepted connections", now.server.connections),
            make.counter("received_messages_total", "Messages on accepted connections",
                         now.server.messagesReceived),
            make.counter("received_bytes_total", "Bytes received on accepted connections",
                         now.server.bytesReceived),
            make.counter("sent_bytes_total", "Bytes sent on accepted connections",
                         now.server.bytesSent),
            make.counter("connection_timeouts_total", "Connections closed for silence",
                         now.server.timeouts),
            make.counter("write_overflows_total", "Connections closed for a slow receiver",
                         now.server.writeOverflows),
            make.counter("configuration_polls_total", "Reads of the configuration row",
                         now.configuration.polls),
            make.counter("configuration_poll_failures_total", "Reads without a usable answer",
                         now.configuration.pollFailures),
            make.counter("configuration_bodies_rejected_total",
                         "Bodies that were no valid document", now.configuration.bodiesRejected),
    };
}

} // namespace sycamorespan::agent
