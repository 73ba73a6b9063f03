#include "programs/node/node_metrics.h"

namespace sycamorespan::node {

namespace {

/** Upper bounds of the latency buckets in seconds. They range from a network round trip to the
 * longest statement timeout in use.
 */
const prometheus::Histogram::BucketBoundaries latencyBuckets{0.005, 0.01, 0.025, 0.05, 0.1,
                                                             0.2,   0.4,  0.8,   1.6,  3.2};

} // namespace

node_metrics::node_metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_statements(prometheus::BuildCounter()
                           .Name("sycamorespan_statements_total")
                           .Help("Statements that ended, by database and outcome")
                           .Register(*m_registry))
    , m_steps(prometheus::BuildCounter()
                      .Name("sycamorespan_statement_steps_total")
                      .Help("Statements that were repeated, by step")
                      .Register(*m_registry))
    , m_latency(prometheus::BuildHistogram()
                        .Name("sycamorespan_statement_seconds")
                        .Help("Time from a statement's arrival to its success, by database")
                        .Register(*m_registry))
    , m_queueTime(prometheus::BuildHistogram()
                          .Name("sycamorespan_queue_seconds")
                          .Help("Time that statements waited for a slot, by priority")
                          .Register(*m_registry))
    , m_refusals(prometheus::BuildCounter()
                         .Name("sycamorespan_refusals_total")
                         .Help("Statements that were refused without a member, by cause")
                         .Register(*m_registry))
    , m_state(prometheus::BuildGauge()
                      .Name("sycamorespan_node")
                      .Help("State of the instance, by item")
                      .Register(*m_registry))
    , m_handOvers(prometheus::BuildCounter()
                          .Name("sycamorespan_hand_overs_total")
                          .Help("Statements handed over to brokers or served as a broker, and lost "
                                "links, by result")
                          .Register(*m_registry))
    , m_openings(prometheus::BuildCounter()
                         .Name("sycamorespan_member_openings_total")
                         .Help("Connections to members that were opened")
                         .Register(*m_registry)
                         .Add({}))
    , m_memberState(prometheus::BuildGauge()
                            .Name("sycamorespan_member")
                            .Help("Limit on statements in flight and slowness, by member and item")
                            .Register(*m_registry))
    , m_malformed(prometheus::BuildCounter()
                          .Name("sycamorespan_malformed_messages_total")
                          .Help("Messages of callers and instances that could not be decoded")
                          .Register(*m_registry)
                          .Add({}))
    , m_storeReturns(prometheus::BuildCounter()
                             .Name("sycamorespan_store_returns_total")
                             .Help("Returns of the store from an older copy of its content")
                             .Register(*m_registry)
                             .Add({}))
    , m_rejectedEntries(prometheus::BuildCounter()
                                .Name("sycamorespan_rejected_entries_total")
                                .Help("Entries of lists that could not be decoded, by list")
                                .Register(*m_registry))
    , m_reports(prometheus::BuildCounter()
                        .Name("sycamorespan_reports_total")
                        .Help("Times at which reports were sent to other instances, by cause")
                        .Register(*m_registry))
    , m_reportBytes(prometheus::BuildCounter()
                            .Name("sycamorespan_report_bytes_total")
                            .Help("Bytes of the reports sent to other instances")
                            .Register(*m_registry)
                            .Add({}))
    , m_closedSessions(prometheus::BuildCounter()
                               .Name("sycamorespan_sessions_closed_total")
                               .Help("Sessions of callers that a limit closed or refused, by cause")
                               .Register(*m_registry))
    , m_unexpectedErrors(prometheus::BuildCounter()
                                 .Name("sycamorespan_unexpected_errors_total")
                                 .Help("Events whose handling ended with an unexpected error")
                                 .Register(*m_registry)
                                 .Add({}))
{ }

void node_metrics::count(const dispatch_action::record_outcome &outcome)
{
    if (!outcome.servedFor.empty())
        return; // the caller's instance counts it
    auto *&counter = m_outcomes[{outcome.database.str(), outcome.outcome}];
    if (!counter)
        counter = &m_statements.Add(
                {{"database", outcome.database.str()}, {"outcome", outcome.outcome}});
    counter->Increment();
    auto *&queueTime = m_queueTimes[outcome.priority];
    if (!queueTime)
        queueTime =
                &m_queueTime.Add({{"priority", std::to_string(outcome.priority)}}, latencyBuckets);
    queueTime->Observe(toSeconds(outcome.queued));
    if (outcome.refusal != refusal_cause::none)
        m_refusals.Add({{"cause", std::string(nameOf(outcome.refusal))}}).Increment();
    if (!outcome.cause.empty())
        return;
    auto *&histogram = m_latencies[outcome.database.str()];
    if (!histogram)
        histogram = &m_latency.Add({{"database", outcome.database.str()}}, latencyBuckets);
    histogram->Observe(toSeconds(outcome.latency));
}

void node_metrics::count(const dispatch_action::record_step &step)
{
    m_steps.Add({{"step", step.step}}).Increment();
}

void node_metrics::setBrokerage(std::size_t links, std::size_t served)
{
    m_state.Add({{"item", "broker_links"}}).Set(static_cast<double>(links));
    m_state.Add({{"item", "served_operations"}}).Set(static_cast<double>(served));
}

void node_metrics::setMembers(const std::map<server_id, member_capacity> &capacities)
{
    std::erase_if(m_members, [&](const auto &entry) {
        if (capacities.contains(entry.first))
            return false;
        m_memberState.Remove(entry.second.limit);
        m_memberState.Remove(entry.second.slowness);
        return true;
    });
    for (const auto &[id, capacity] : capacities) {
        auto &gauges = m_members[id];
        if (!gauges.limit) {
            gauges.limit = &m_memberState.Add({{"server", id.str()}, {"item", "limit"}});
            gauges.slowness = &m_memberState.Add({{"server", id.str()}, {"item", "slowness"}});
        }
        gauges.limit->Set(capacity.limit);
        gauges.slowness->Set(capacity.slowness);
    }
}

void node_metrics::set(const node_gauges &gauges)
{
    const auto write = [this](const char *item, double value) {
        m_state.Add({{"item", item}}).Set(value);
    };
    write("sessions", static_cast<double>(gauges.sessions));
    write("queued_statements", static_cast<double>(gauges.queuedStatements));
    write("member_connections", static_cast<double>(gauges.memberConnections));
    write("live_instances", static_cast<double>(gauges.liveInstances));
    write("configuration_version", static_cast<double>(gauges.configurationVersion));
    write("store_calls", static_cast<double>(gauges.storeCalls));
    write("store_failures", static_cast<double>(gauges.storeFailures));
    write("log_lines_dropped", static_cast<double>(gauges.logLinesDropped));
    write("held_bytes", static_cast<double>(gauges.heldBytes));
    write("evacuated_data_centres", static_cast<double>(gauges.evacuatedDataCentres));
    write("evacuated_connections", static_cast<double>(gauges.evacuatedConnections));
    write("ready", gauges.isReady ? 1 : 0);
    write("supervisor", gauges.isSupervisor ? 1 : 0);
}

} // namespace sycamorespan::node
