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

/** \brief Counts of configuration reads since the start of the process. */
struct configuration_counters
{
    std::uint64_t polls = 0;
    std::uint64_t pollFailures = 0;
    std::uint64_t bodiesRejected = 0;

    auto operator<=>(const configuration_counters &) const = default;
};

/** \brief Connects the configuration_reader to the platform and to other processes.
 *
 * It performs the reads and sends the messages that the reader requests.
 */
class configuration_task
{
public:
    /** \brief Handlers of what the task reports and sends. */
    struct output_handlers
    {
        /** Called after a version was put in force. */
        std::function<void(const configuration::configuration_holder &)> onConfigurationChanged;
        /** Called when no accepted version was higher than the one in force at the given time. */
        std::function<void(time_point)> onFreshnessConfirmed;
        /** Sends a message to the agent of an instance. */
        std::function<void(const instance_id &, const messages::message &)> sendToAgent;
    };

    /** \param table     client that reads the row "configuration"; must outlive this object
     * \param objects    client that reads the bodies; must outlive this object
     * \param self       identity of this agent
     * \param timing     intervals of the reader
     * \param outputs    handlers of what the task reports and sends
     * \param random     source of jitter
     */
    configuration_task(ev::loop_ref loop, table_service_client &table, object_store_client &objects,
                       configuration::agent_peer self, const configuration::reader_timing &timing,
                       output_handlers outputs, random_source random);

    /** \brief Sets the other live agents. */
    void setAgents(const std::vector<configuration::agent_peer> &live);

    /** \brief Adds data centres that have agents, live or not; none is ever removed. */
    void addDataCentres(const std::set<data_centre_id> &dataCentres);

    /** \brief Handles a message of another process; the answer is sent over \a from.
     * \tparam Message  message type that configuration_reader accepts
     */
    template<typename Message>
    void handleMessage(const process_link &from, const Message &message)
    {
        perform(m_reader.received(monotonicNow(), from.remote().instance, message), &from);
    }

    /** \returns the holder of the version in force. */
    const configuration::configuration_holder &holder() const { return m_reader.holder(); }

    /** \returns whether the configuration is fresh enough to run requests with a key. */
    bool isFresh() const { return m_reader.isFresh(monotonicNow()); }

    configuration_counters counters() const;

private:
    void tick();
    void reportFreshness();
    void perform(const configuration::configuration_actions &actions, const process_link *from);
    void perform(const configuration::read_row &read);
    void perform(const configuration::read_body &read);
    void send(const configuration::send_message &message, const process_link *from);
    void handleRow(std::uint64_t request, const table_service_client::outcome &outcome);
    std::optional<configuration::configuration_row>
    decodeRow(const table_service_client::outcome &outcome);
    void setPlatformReachable(bool reachable);

    table_service_client &m_table;
    object_store_client &m_objects;
    output_handlers m_outputs;
    logger m_log;
    configuration_counters m_counters;
    configuration::configuration_reader m_reader;
    std::optional<time_point> m_confirmedAsOf;
    bool m_isPlatformReachable = true;
    loop_timer m_timer;
};

} // namespace sycamorespan::agent

#endif
