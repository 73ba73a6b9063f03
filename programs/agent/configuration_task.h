#ifndef SYCAMORESPAN_PROGRAMS_AGENT_CONFIGURATION_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_CONFIGURATION_TASK_H

#include "programs/agent/process_link.h"

#include "sycamorespan/Configuration"
#include "sycamorespan/Core"
#include "sycamorespan/Logging"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace sycamorespan::agent {

/** \brief Totals since the start. */
struct configuration_counters
{
    std::uint64_t polls = 0;
    std::uint64_t pollFailures = 0;
    std::uint64_t bodiesRejected = 0;

    auto operator<=>(const configuration_counters &) const = default;
};

/** \brief Runs the configuration_reader: its reads of the platform and its messages. */
class configuration_task
{
public:
    /** \brief Where its messages go. */
    struct receivers
    {
        /** A version was put in force. */
        std::function<void(const configuration::configuration_holder &)> changed;
        /** No accepted version was higher than the one in force at this time. */
        std::function<void(time_point)> confirmed;
        /** For the agent of an instance. */
        std::function<void(const instance_id &, const messages::message &)> send;
    };

    /** \param table     reads the row "configuration"; outlives this object
     * \param objects    reads the bodies; outlives this object
     * \param self       this agent
     * \param timing     intervals of the reader
     * \param random     source of jitter
     */
    configuration_task(ev::loop_ref loop, table_service_client &table, object_store_client &objects,
                       configuration::agent_peer self, const configuration::reader_timing &timing,
                       receivers outputs, random_source random);

    /** \brief Takes the other live agents. */
    void setAgents(const std::vector<configuration::agent_peer> &live);

    /** \brief Takes data centres that have agents, live or not; they only grow. */
    void addDataCentres(const std::set<data_centre_id> &dataCentres);

    /** \brief Takes a message of another process; its answer goes back over \a from.
     * \tparam Message  one that configuration_reader receives
     */
    template<typename Message>
    void received(const process_link &from, const Message &message)
    {
        perform(m_reader.received(monotonicNow(), from.remote().instance, message), &from);
    }

    /** \returns the version in force. */
    const configuration::configuration_holder &holder() const { return m_reader.holder(); }

    /** \returns whether requests with a key may run. */
    bool isFresh() const { return m_reader.isFresh(monotonicNow()); }

    configuration_counters counters() const;

private:
    void tick();
    void confirm();
    void perform(const configuration::configuration_actions &actions, const process_link *from);
    void perform(const configuration::read_row &read);
    void perform(const configuration::read_body &read);
    void send(const configuration::send_message &message, const process_link *from);
    void handleRow(std::uint64_t request, const table_service_client::outcome &outcome);
    std::optional<configuration::configuration_row>
    rowOf(const table_service_client::outcome &outcome);
    void setReachable(bool reachable);

    table_service_client &m_table;
    object_store_client &m_objects;
    receivers m_outputs;
    logger m_log;
    configuration_counters m_counters;
    configuration::configuration_reader m_reader;
    std::optional<time_point> m_confirmed;
    bool m_isReachable = true;
    loop_timer m_timer;
};

} // namespace sycamorespan::agent

#endif
