#include "programs/agent/configuration_task.h"

#include <utility>

namespace sycamorespan::agent {

namespace {

constexpr const char *rowKey = "configuration";
/** The reader must be ticked at least every tenth of its query interval. */
constexpr int ticksPerQueryInterval = 10;

} // namespace

configuration_task::configuration_task(ev::loop_ref loop, table_service_client &table,
                                       object_store_client &objects, configuration::agent_peer self,
                                       const configuration::reader_timing &timing,
                                       output_handlers outputs, random_source random)
    : m_table(table)
    , m_objects(objects)
    , m_outputs(std::move(outputs))
    , m_log("configuration")
    , m_reader(std::move(self), timing, std::move(random), monotonicNow())
    , m_timer(loop, [this] { tick(); })
{
    m_timer.startRepeating(timing.queryInterval / ticksPerQueryInterval);
}

void configuration_task::setAgents(const std::vector<configuration::agent_peer> &live)
{
    m_reader.membersChanged(live);
}

void configuration_task::addDataCentres(const std::set<data_centre_id> &dataCentres)
{
    m_reader.dataCentresKnown(dataCentres);
}

configuration_counters configuration_task::counters() const
{
    auto result = m_counters;
    result.bodiesRejected = m_reader.holder().rejectedBodies();
    return result;
}

void configuration_task::tick()
{
    perform(m_reader.tick(monotonicNow()), nullptr);
    reportFreshness();
}

void configuration_task::reportFreshness()
{
    const auto newest = m_reader.tracker().newest();
    if (!newest || !isFresh() || m_confirmedAsOf == newest->asOf)
        return;
    m_confirmedAsOf = newest->asOf;
    m_outputs.onFreshnessConfirmed(newest->asOf);
}

void configuration_task::perform(const configuration::configuration_actions &actions,
                                 const process_link *from)
{
    const overloaded visitor{
            [&](const configuration::read_row &read) { perform(read); },
            [&](const configuration::read_body &read) { perform(read); },
            [&](const configuration::send_message &message) { send(message, from); },
            [&](const configuration::put_in_force &put) {
                m_log.write(log_level::info, "configuration in force",
                            {{"version", std::to_string(put.document->version)}});
                m_outputs.onConfigurationChanged(m_reader.holder());
            },
    };
    for (const auto &action : actions)
        std::visit(visitor, action);
}

void configuration_task::perform(const configuration::read_row &read)
{
    ++m_counters.polls;
    m_table.run({{}, {table_get{rowKey}}, {}}, [this, request = read.request](const auto &outcome) {
        handleRow(request, outcome);
    });
}

void configuration_task::perform(const configuration::read_body &read)
{
    m_objects.get(read.object, [this, version = read.version](const auto &outcome) {
        const auto *object = std::get_if<stored_object>(&outcome);
        const auto body = object == nullptr ? std::nullopt : object->bytes;
        perform(m_reader.bodyRead(monotonicNow(), version, body), nullptr);
    });
}

void configuration_task::send(const configuration::send_message &message, const process_link *from)
{
    // A proxy and the agent of the same instance share the instance's name. An answer therefore
    // goes over the link that the message came from.
    if (from != nullptr && from->remote().instance == message.to)
        from->send(message.content);
    else
        m_outputs.sendToAgent(message.to, message.content);
}

void configuration_task::handleRow(std::uint64_t request,
                                   const table_service_client::outcome &outcome)
{
    perform(m_reader.rowRead(monotonicNow(), request, decodeRow(outcome)), nullptr);
}

std::optional<configuration::configuration_row>
configuration_task::decodeRow(const table_service_client::outcome &outcome)
{
    const auto *result = std::get_if<table_result>(&outcome);
    const bool isUsable = result != nullptr && result->results.size() == 1;
    setPlatformReachable(isUsable);
    if (!isUsable || result->results.front().rows.empty())
        return std::nullopt;
    try {
        return configuration::parseRow(result->results.front().rows.front().value);
    } catch (const decode_error &failure) {
        ++m_counters.pollFailures;
        m_log.write(log_level::error, "configuration row could not be decoded",
                    {{"reason", failure.what()}});
        return std::nullopt;
    }
}

void configuration_task::setPlatformReachable(bool reachable)
{
    if (!reachable)
        ++m_counters.pollFailures;
    if (std::exchange(m_isPlatformReachable, reachable) != reachable)
        m_log.write(reachable ? log_level::info : log_level::warning,
                    reachable ? "platform reachable" : "platform unreachable");
}

} // namespace sycamorespan::agent
