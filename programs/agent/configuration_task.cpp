#include "programs/agent/configuration_task.h"

#include <utility>

namespace sycamorespan::agent {

namespace {

constexpr const char *rowKey = "configuration";

} // namespace

configuration_task::configuration_task(ev::loop_ref loop, table_service_client &table,
                                       object_store_client &objects, duration poll,
                                       changed_handler onChanged, confirmed_handler onConfirmed,
                                       random_source random)
    : m_table(table)
    , m_objects(objects)
    , m_interval(poll)
    , m_onChanged(std::move(onChanged))
    , m_onConfirmed(std::move(onConfirmed))
    , m_random(std::move(random))
    , m_log("configuration")
    , m_timer(loop, [this] { this->poll(); })
{
    m_timer.startOnce(duration::zero());
}

configuration::configuration_version configuration_task::version() const
{
    return m_current ? m_current->version : 0;
}

void configuration_task::learnVersion(const process_link &from,
                                      configuration::configuration_version version)
{
    if (version > this->version())
        from.send(messages::configuration_request{version});
}

void configuration_task::received(const process_link &from, const messages::configuration_request &)
{
    if (m_current)
        from.send(messages::configuration_body{m_current->version, m_current->body});
}

void configuration_task::received(const process_link &from,
                                  const messages::configuration_body &body)
{
    if (from.remote().role == messages::process_role::agent && take(body.version, body.body))
        ++m_counters.bodiesFromPeers;
}

void configuration_task::poll()
{
    ++m_counters.polls;
    m_askedAt = monotonicNow();
    m_table.run({{}, {table_get{rowKey}}, {}}, [this](const auto &outcome) { handleRow(outcome); });
}

void configuration_task::schedulePoll()
{
    // Spread over the last quarter, so that agents that began together don't poll together.
    constexpr double spread = 0.25;
    m_timer.startOnce(fromSeconds(toSeconds(m_interval) * (1 - spread * uniformUnit(m_random))));
}

void configuration_task::handleRow(const table_service_client::outcome &outcome)
{
    schedulePoll();
    const auto *result = std::get_if<table_result>(&outcome);
    if (result == nullptr || result->results.size() != 1) {
        countFailure("no answer from the table service");
        return;
    }
    if (!std::exchange(m_isReachable, true))
        m_log.write(log_level::info, "platform reachable");
    const auto &rows = result->results.front().rows;
    if (rows.empty())
        return;
    try {
        fetch(configuration::parseRow(rows.front().value));
    } catch (const decode_error &failure) {
        countFailure(failure.what());
    }
}

void configuration_task::fetch(const configuration::configuration_row &row)
{
    if (row.version <= version()) {
        if (row.version == version())
            m_onConfirmed(m_askedAt);
        return;
    }
    m_objects.get(row.object, [this, row](const auto &outcome) { handleObject(row, outcome); });
}

void configuration_task::handleObject(const configuration::configuration_row &row,
                                      const object_store_client::get_outcome &outcome)
{
    const auto *object = std::get_if<stored_object>(&outcome);
    if (object == nullptr || !object->bytes) {
        countFailure("no object " + row.object);
        return;
    }
    if (configuration::objectName(row.version, row.request) != row.object) {
        ++m_counters.bodiesRejected;
        return;
    }
    if (take(row.version, *object->bytes))
        ++m_counters.bodiesFromPlatform;
}

bool configuration_task::take(configuration::configuration_version newVersion,
                              const std::string &body)
{
    if (newVersion <= version())
        return false;
    std::string object;
    try {
        const auto document = configuration::parseDocument(body);
        if (document.version != newVersion || document.recentEdits.empty())
            throw decode_error("the document is of another version");
        object = configuration::objectName(newVersion, document.recentEdits.back().request);
    } catch (const decode_error &failure) {
        ++m_counters.bodiesRejected;
        m_log.write(log_level::warning, "configuration rejected",
                    {{"version", std::to_string(newVersion)}, {"reason", failure.what()}});
        return false;
    }
    m_current = {newVersion, object, body};
    m_log.write(log_level::info, "configuration in force",
                {{"version", std::to_string(newVersion)}});
    m_onChanged(*m_current);
    return true;
}

void configuration_task::countFailure(const std::string &reason)
{
    ++m_counters.pollFailures;
    if (std::exchange(m_isReachable, false))
        m_log.write(log_level::warning, "platform unreachable", {{"reason", reason}});
}

} // namespace sycamorespan::agent
