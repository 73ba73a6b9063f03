#include "programs/agent/agent_metrics.h"

#include <string>
#include <utility>

namespace sycamorespan::agent {

namespace {

using prometheus::MetricFamily;

MetricFamily family(const std::string &name, const std::string &help, prometheus::MetricType type,
                    double value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = value;
    metric.gauge.value = value;
    return {"sycamorespan_agent_" + name, help, type, {metric}};
}

MetricFamily counter(const std::string &name, const std::string &help, std::uint64_t value)
{
    return family(name, help, prometheus::MetricType::Counter, static_cast<double>(value));
}

MetricFamily gauge(const std::string &name, const std::string &help, std::uint64_t value)
{
    return family(name, help, prometheus::MetricType::Gauge, static_cast<double>(value));
}

} // namespace

agent_metrics::agent_metrics(std::function<agent_readings()> read)
    : m_read(std::move(read))
{ }

std::vector<MetricFamily> agent_metrics::Collect() const
{
    const auto now = m_read();
    return {
            gauge("configuration_version", "Version of the configuration in force",
                  now.configurationVersion),
            gauge("proxies", "Connected proxies", now.proxies),
            gauge("peers", "Connected agents", now.peers),
            counter("invalid_messages_total", "Connections closed for what they sent",
                    now.invalidMessages),
            counter("connections_total", "Accepted connections", now.server.connections),
            counter("received_messages_total", "Messages on accepted connections",
                    now.server.messagesReceived),
            counter("received_bytes_total", "Bytes received on accepted connections",
                    now.server.bytesReceived),
            counter("sent_bytes_total", "Bytes sent on accepted connections", now.server.bytesSent),
            counter("connection_timeouts_total", "Connections closed for silence",
                    now.server.timeouts),
            counter("write_overflows_total", "Connections closed for a slow receiver",
                    now.server.writeOverflows),
            counter("configuration_polls_total", "Reads of the configuration row",
                    now.configuration.polls),
            counter("configuration_poll_failures_total", "Reads without a usable answer",
                    now.configuration.pollFailures),
            counter("configuration_bodies_rejected_total", "Bodies that were no valid document",
                    now.configuration.bodiesRejected),
    };
}

} // namespace sycamorespan::agent
