#ifndef SYCAMORESPAN_PROGRAMS_AGENT_CONFIGURATION_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_CONFIGURATION_TASK_H

#include "programs/agent/process_link.h"

#include "sycamorespan/Configuration"
#include "sycamorespan/Core"
#include "sycamorespan/Logging"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sycamorespan::agent {

/** \brief An accepted version of the configuration. */
struct configuration_snapshot
{
    configuration::configuration_version version = 0;
    std::string object;
    std::string body;

    bool operator==(const configuration_snapshot &) const = default;
};

/** \brief Totals since the start. */
struct configuration_counters
{
    std::uint64_t polls = 0;
    std::uint64_t pollFailures = 0;
    std::uint64_t bodiesFromPlatform = 0;
    std::uint64_t bodiesFromPeers = 0;
    std::uint64_t bodiesRejected = 0;

    auto operator<=>(const configuration_counters &) const = default;
};

/** \brief Learns each version of the configuration from the platform or from another agent, and
 * hands it on. Versions only rise.
 */
class configuration_task
{
public:
    using changed_handler = std::function<void(const configuration_snapshot &)>;
    /** Gets the time before the row was asked for. */
    using confirmed_handler = std::function<void(time_point)>;

    /** \param table     reads the row "configuration"; outlives this object
     * \param objects    reads the bodies; outlives this object
     * \param poll       between two reads of the row
     * \param onChanged  called for each version that is taken
     * \param onConfirmed  called when the version in force was read to be the newest
     * \param random     source of the polls' jitter
     */
    configuration_task(ev::loop_ref loop, table_service_client &table, object_store_client &objects,
                       duration poll, changed_handler onChanged, confirmed_handler onConfirmed,
                       random_source random);

    /** \brief A connected process holds \a version. */
    void learnVersion(const process_link &from, configuration::configuration_version version);

    void received(const process_link &from, const messages::configuration_request &request);
    void received(const process_link &from, const messages::configuration_body &body);

    /** \returns the version in force; nothing before the first. */
    const std::optional<configuration_snapshot> &current() const { return m_current; }

    const configuration_counters &counters() const { return m_counters; }

private:
    configuration::configuration_version version() const;
    void poll();
    void schedulePoll();
    void handleRow(const table_service_client::outcome &outcome);
    void fetch(const configuration::configuration_row &row);
    void handleObject(const configuration::configuration_row &row,
                      const object_store_client::get_outcome &outcome);
    bool take(configuration::configuration_version version, const std::string &body);
    void countFailure(const std::string &reason);

    table_service_client &m_table;
    object_store_client &m_objects;
    duration m_interval;
    changed_handler m_onChanged;
    confirmed_handler m_onConfirmed;
    time_point m_askedAt;
    random_source m_random;
    logger m_log;
    configuration_counters m_counters;
    std::optional<configuration_snapshot> m_current;
    bool m_isReachable = true;
    loop_timer m_timer;
};

} // namespace sycamorespan::agent

#endif
