#ifndef SYCAMORESPAN_PROGRAMS_NODE_NODE_METRICS_H
#define SYCAMORESPAN_PROGRAMS_NODE_NODE_METRICS_H

#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Pooling/member_sample.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace sycamorespan::node {

/** \brief Values of the gauges, which are set in every tick. */
struct node_gauges
{
    std::size_t sessions = 0;
    std::size_t queuedStatements = 0;
    std::size_t memberConnections = 0;
    std::size_t liveInstances = 0;
    std::uint64_t configurationVersion = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t storeFailures = 0;
    std::uint64_t logLinesDropped = 0;
    std::size_t heldBytes = 0; ///< for callers
    std::size_t evacuatedDataCentres = 0;
    std::size_t evacuatedConnections = 0; ///< open connections to members there
    bool isReady = false;
    bool isSupervisor = false;

    auto operator<=>(const node_gauges &) const = default;
};

/** \brief Prometheus metrics of a node. */
class node_metrics
{
public:
    node_metrics();

    /** \brief Counts a finished statement and, if it succeeded, records its latency. */
    void count(const dispatch_action::record_outcome &outcome);
    /** \brief Counts a repetition of a statement. */
    void count(const dispatch_action::record_step &step);
    /** \param result  what became of a statement that is handed over, or of a link */
    void countHandOver(const std::string &result)
    {
        m_handOvers.Add({{"result", result}}).Increment();
    }
    void countOpening() { m_openings.Increment(); }
    /** \param links   links from and to this instance
     *  \param served  operations of other instances that run here
     */
    void setBrokerage(std::size_t links, std::size_t served);
    void countMalformedMessage() { m_malformed.Increment(); }
    /** \param list  name of the list that the entry belongs to */
    void countStoreReturn() { m_storeReturns.Increment(); }
    void countRejectedEntry(const std::string &list)
    {
        m_rejectedEntries.Add({{"list", list}}).Increment();
    }
    /** \brief Counts reports to other instances that were made at one time, and their bytes. */
    void countReports(std::string_view cause, std::size_t bytes)
    {
        m_reports.Add({{"cause", std::string(cause)}}).Increment();
        m_reportBytes.Increment(static_cast<double>(bytes));
    }
    /** \param cause  name of the limit that closed the session */
    void countClosedSession(const std::string &cause)
    {
        m_closedSessions.Add({{"cause", cause}}).Increment();
    }
    void countUnexpectedError() { m_unexpectedErrors.Increment(); }
    void set(const node_gauges &gauges);
    /** \brief Sets the limit and slowness of each member; others are removed. */
    void setMembers(const std::map<server_id, member_capacity> &capacities);

    std::shared_ptr<prometheus::Registry> registry() const { return m_registry; }

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_statements;
    prometheus::Family<prometheus::Counter> &m_steps;
    prometheus::Family<prometheus::Histogram> &m_latency;
    prometheus::Family<prometheus::Histogram> &m_queueTime;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Gauge> &m_state;
    prometheus::Family<prometheus::Counter> &m_handOvers;
    prometheus::Counter &m_openings;
    prometheus::Family<prometheus::Gauge> &m_memberState;
    prometheus::Counter &m_malformed;
    prometheus::Counter &m_storeReturns;
    prometheus::Family<prometheus::Counter> &m_rejectedEntries;
    prometheus::Family<prometheus::Counter> &m_reports;
    prometheus::Counter &m_reportBytes;
    prometheus::Family<prometheus::Counter> &m_closedSessions;
    prometheus::Counter &m_unexpectedErrors;
    std::map<std::pair<std::string, std::string>, prometheus::Counter *> m_outcomes;
    std::map<std::string, prometheus::Histogram *> m_latencies;
    std::map<int, prometheus::Histogram *> m_queueTimes; ///< by priority

    /** \brief Gauges of one member. */
    struct member_gauges
    {
        prometheus::Gauge *limit = nullptr;
        prometheus::Gauge *slowness = nullptr;
    };
    std::map<server_id, member_gauges> m_members;
};

} // namespace sycamorespan::node

#endif
