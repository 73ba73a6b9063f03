#include "programs/proxy/proxy.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <nlohmann/json.hpp>

#include "programs/common/boot_number.h"
#include "programs/proxy/proxy_metrics.h"
#include "sycamorespan/src/Core/overloaded.h"

namespace sycamorespan::proxy {
namespace {

constexpr duration drainCheckInterval = 20ms;

error_report shutdownReport()
{
    return {"FATAL",
            std::string(sqlstate::adminShutdown),
            "terminating connection due to administrator command",
            {},
            {}};
}

group_view toView(const messages::group_view_update &update)
{
    group_view view;
    view.database = update.database;
    view.term = update.term;
    view.primary = update.primary;
    std::ranges::transform(
            update.members, std::back_inserter(view.members),
            [](const messages::group_member &member) {
                return group_member{member.server, member.address, member.dataCentre};
            });
    if (update.base)
        view.base = log_position{update.base->term, update.base->offset};
    view.state = update.primary.empty() ? group_state::unserved : group_state::served;
    return view;
}

} // namespace

proxy::proxy(ev::loop_ref loop, const settings::proxy_settings &proxySettings,
             const random_source &random)
    : m_loop(loop)
    , m_settings(proxySettings)
    , m_random(random)
    , m_incarnation(std::to_string(programs::newBootNumber()))
    , m_log("proxy")
    , m_tls(proxySettings.tls ? std::make_unique<tls_context>(proxySettings.tls->certificate,
                                                              proxySettings.tls->privateKey)
                              : nullptr)
    , m_quota(
              loop, {holder_id(proxySettings.instance.str()), std::stoull(m_incarnation)},
              [this](const messages::message &message) { m_agent.send(message); }, random)
    , m_services(services())
    , m_removalTimer(loop, [this] { removeClosed(); })
    , m_drainTimer(loop, [this] { continueDrain(); })
    , m_agent(
              loop, parseEndpoint(proxySettings.agent), [this] { return hello(); },
              [this](const messages::message &message) { onMessage(message); }, random)
    , m_listener(loop, parseEndpoint(proxySettings.listen),
                 [this](file_descriptor socket) { accept(std::move(socket)); })
    , m_admin(loop, parseEndpoint(proxySettings.admin),
              {metrics(), [this] { return state(); },
               [this] { return !m_draining && m_access.version() > 0 && m_quota.isReady(); },
               [this] { drain(); }})
{
    m_log.write(log_level::info, "listening",
                {{"callers", proxySettings.listen}, {"boot", m_incarnation}});
}

void proxy::drain()
{
    if (std::exchange(m_draining, true))
        return;
    m_log.write(log_level::info, "draining", {{"sessions", std::to_string(m_callers.size())}});
    m_drainStart = monotonicNow();
    m_listener.close();
    for (auto &entry : m_callers) {
        if (!entry.closed)
            entry.connection->end(shutdownReport(), end_session_mode::whenIdle);
    }
    m_drainTimer.startRepeating(drainCheckInterval);
}

void proxy::continueDrain()
{
    removeClosed();
    if (m_callers.empty()) {
        m_log.write(log_level::info, "drained");
        return m_loop.break_loop(ev::ALL);
    }
    if (monotonicNow() - m_drainStart < m_settings.limits.drainTimeout)
        return;
    for (auto &entry : m_callers) {
        if (!entry.closed)
            entry.connection->end(shutdownReport(), end_session_mode::afterStatement);
    }
}

void proxy::logState()
{
    m_log.write(log_level::info, "state", {{"state", state().dump()}});
}

caller_services proxy::services()
{
    const auto &limits = m_settings.limits;
    return {m_loop,
            m_classifier,
            m_access,
            m_quota,
            m_statements,
            {limits.messageBytes},
            {limits.queueDeadline, limits.statementTimeout},
            limits.startupTimeout,
            m_tls.get(),
            [this](const database_id &database) { return findDatabase(database); },
            [this](std::int32_t processId, std::int32_t secret) { cancel(processId, secret); }};
}

messages::hello proxy::hello() const
{
    return {m_settings.instance, m_settings.dataCentre,         m_incarnation,
            m_settings.listen,   messages::process_role::proxy, m_access.version()};
}

void proxy::accept(file_descriptor socket)
{
    ++m_callerCounters.connections;
    if (m_callers.size() >= m_settings.limits.sessions) {
        ++m_callerCounters.refusedConnections;
        return;
    }
    auto &entry = m_callers.emplace_back();
    const auto secret = static_cast<std::int32_t>(m_random());
    entry.connection = std::make_unique<caller_connection>(
            m_services, std::move(socket), ++m_lastProcessId, secret, [this, &entry] {
                entry.closed = true;
                m_removalTimer.startOnce(duration::zero());
            });
}

void proxy::removeClosed()
{
    std::erase_if(m_callers, [](const caller &entry) { return entry.closed; });
}

void proxy::onMessage(const messages::message &message)
{
    std::visit(
            overloaded{
                    [this](const messages::configuration_body &body) { apply(body); },
                    [this](const messages::group_view_update &update) { apply(update); },
                    [this](const messages::freshness_update &update) { apply(update); },
                    [this](const messages::share_answer &answer) { m_quota.received(answer); },
                    [this](const messages::loan_transfer &transfer) { m_quota.received(transfer); },
                    [this](const messages::drain_request &) { drain(); },
                    [](const auto &) {},
            },
            message);
}

void proxy::apply(const messages::configuration_body &body)
{
    if (!m_access.offerConfiguration(body.version, body.body))
        return;
    const auto &lists = m_access.document()->lists;
    for (const auto &[database, group] : lists.groups) {
        auto &task = m_databases[database];
        if (!task) {
            task = std::make_unique<database_task>(
                    m_loop, database,
                    database_options{m_settings.backendPassword,
                                     m_settings.instance.str() + '/' + m_incarnation,

                                     m_settings.dataCentre},
                    [this, database = database](const suspect_primary &suspicion) {
                        m_agent.send(messages::suspicion_report{database, suspicion.server,
                                                                suspicion.term});
                    },
                    m_random);
        }
        task->setMembers(group.members);
    }
    m_quota.setPlans(lists);
    endWithdrawnSessions();
    m_agent.send(messages::configuration_in_force{m_settings.instance, body.version});
    m_log.write(log_level::info, "configuration in force",
                {{"version", std::to_string(body.version)}});
}

void proxy::apply(const messages::group_view_update &update)
{
    const auto found = m_databases.find(update.database);
    if (found == m_databases.end())
        return;
    const auto before = found->second->view().term;
    found->second->updateView(toView(update));
    if (found->second->view().term != before) {
        m_log.write(log_level::info, "primary changed",
                    {{"database", update.database.str()},
                     {"term", std::to_string(update.term)},
                     {"primary", update.primary.str()}});
    }
}

void proxy::apply(const messages::freshness_update &update)
{
    const auto validity =
            update.fresh ? std::chrono::milliseconds(update.untilMs) : std::chrono::milliseconds(0);
    m_access.setFreshUntil(monotonicNow() + validity);
}

void proxy::endWithdrawnSessions()
{
    for (auto &entry : m_callers) {
        const auto &grant = entry.connection->grant();
        if (entry.closed || !grant || !m_access.isKeyWithdrawn(*grant))
            continue;
        ++m_callerCounters.withdrawnSessions;
        entry.connection->end({"FATAL",
                               std::string(sqlstate::invalidAuthorization),
                               "the key was withdrawn",
                               {},
                               {}},
                              end_session_mode::afterStatement);
    }
}

void proxy::cancel(std::int32_t processId, std::int32_t secret)
{
    const auto found = std::ranges::find_if(m_callers, [&](const caller &entry) {
        return !entry.closed && entry.connection->processId() == processId
               && entry.connection->secret() == secret;
    });
    if (found != m_callers.end())
        found->connection->cancelRunning();
}

database_task *proxy::findDatabase(const database_id &database)
{
    const auto found = m_databases.find(database);
    return found == m_databases.end() ? nullptr : found->second.get();
}

nlohmann::json proxy::state() const
{
    auto databases = nlohmann::json::object();
    for (const auto &[name, task] : m_databases)
        databases[name.str()] = task->state();
    return {{"instance", m_settings.instance.str()},
            {"data_centre", m_settings.dataCentre.str()},
            {"boot", m_incarnation},
            {"draining", m_draining},
            {"configuration_version", m_access.version()},
            {"fresh", m_access.isFresh(monotonicNow())},
            {"agent_connected", m_agent.isConnected()},
            {"sessions", m_callers.size()},
            {"quota", m_quota.state()},
            {"databases", databases}};
}

std::shared_ptr<prometheus::Collectable> proxy::metrics()
{
    return std::make_shared<proxy_metrics>([this] {
        const auto addRejected = [](std::uint64_t sum, const auto &database) {
            return sum + database.second->counters().rejectedMembers;
        };
        return proxy_readings{m_statements,
                              m_callerCounters,
                              m_callers.size(),
                              m_access.version(),
                              m_classifier.counters(),
                              m_quota.counters(),
                              std::accumulate(m_databases.begin(), m_databases.end(),
                                              std::uint64_t{0}, addRejected)};
    });
}

} // namespace sycamorespan::proxy
