#include "programs/agent/agent.h"

#include "programs/common/boot_number.h"

#include "sycamorespan/Core"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace sycamorespan::agent {

namespace {

constexpr duration instanceListInterval = 2s;
constexpr duration drainCheckInterval = 20ms;
constexpr duration drainTimeout = 2s;

std::set<endpoint> parseEndpoints(const std::vector<std::string> &addresses)
{
    std::set<endpoint> result;
    std::ranges::transform(addresses, std::inserter(result, result.end()),
                           [](const std::string &address) { return parseEndpoint(address); });
    return result;
}

supervisor_settings supervisorSettings(const settings::agent_timing &timing)
{
    supervisor_settings result;
    result.detector.probeInterval = timing.probeInterval;
    result.detector.probeTimeout = timing.probeTimeout;
    return result;
}

configuration::reader_timing readerTiming(const settings::agent_timing &timing)
{
    configuration::reader_timing result;
    result.pollInterval = timing.configurationPoll;
    result.requestTimeout = timing.requestTimeout;
    result.freshnessBound = timing.freshnessBound;
    return result;
}

web_limits agentLinkLimits(const settings::agent_timing &timing)
{
    return linkLimits(timing.heartbeatInterval, timing.peerTimeout);
}

nlohmann::json describeProcess(const messages::hello &process)
{
    return {{"instance", process.instance.str()},
            {"data_centre", process.dataCentre.str()},
            {"boot", process.boot},
            {"address", process.address}};
}

} // namespace

agent::agent(ev::loop_ref loop, const settings::agent_settings &agentSettings,
             const random_source &random)
    : m_loop(loop)
    , m_settings(agentSettings)
    , m_incarnation(std::to_string(programs::newBootNumber()))
    , m_seedPeers(parseEndpoints(agentSettings.peers))
    , m_log("agent")
    , m_platform(loop, agentSettings.platform, agentSettings.timing.requestTimeout)
    , m_table(m_platform)
    , m_objects(m_platform)
    , m_instanceList(m_platform)
    , m_quota(m_table, m_proxies,
              [this](const messages::message &message) { m_peers.broadcast(message); })
    , m_peers(loop, agentLinkLimits(agentSettings.timing), agentSettings.timing.heartbeatInterval,
              {[this] { return hello(); }, [this] { return heartbeat(); }}, outboundHandlers(),
              random)
    , m_server(
              loop, parseEndpoint(agentSettings.listen), agentLinkLimits(agentSettings.timing),
              [this] { return hello(); }, inboundHandlers())
    , m_supervisors(loop, supervisorSettings(agentSettings.timing),
                    {agentSettings.instance, agentSettings.dataCentre, m_incarnation},
                    agentSettings.backendPassword, m_table,
                    {[this](const messages::group_view_update &view) { handleGroupView(view); },
                     [this](const messages::suspicion_query &query) { queryObservers(query); }},
                    random)
    , m_configuration(loop, m_table, m_objects, {agentSettings.instance, agentSettings.dataCentre},
                      readerTiming(agentSettings.timing),
                      {[this](const configuration::configuration_holder &holder) {
                           handleConfiguration(holder);
                       },
                       [this](time_point asOf) { handleFreshnessConfirmed(asOf); },
                       [this](const instance_id &to, const messages::message &message) {
                           m_peers.send(to, message);
                       }},
                      random)
    , m_instances(
              loop, m_instanceList, instanceListInterval,
              [this](const instance_list &list) { handleInstances(list); }, random)
    , m_admin(loop, parseEndpoint(agentSettings.admin),
              {std::make_shared<agent_metrics>([this] { return metricsSnapshot(); }),
               [this] { return state(); },
               [this] { return m_state == messages::process_state::live; }, [this] { drain(); }})
    , m_drainTimer(loop, [this] { checkDrainFinished(); })
{
    m_peers.setPeers(m_seedPeers);
    m_log.write(log_level::info, "started",
                {{"instance", m_settings.instance.str()}, {"listen", m_settings.listen}});
}

void agent::drain()
{
    if (m_state == messages::process_state::draining)
        return;
    m_state = messages::process_state::draining;
    m_log.write(log_level::info, "draining");
    m_peers.broadcast(heartbeat());
    m_server.stop();
    m_drainStart = monotonicNow();
    m_drainTimer.startRepeating(drainCheckInterval);
}

void agent::logState()
{
    m_log.write(log_level::info, "state", {{"state", state().dump()}});
}

messages::hello agent::hello() const
{
    return {m_settings.instance, m_settings.dataCentre,         m_incarnation,
            m_settings.listen,   messages::process_role::agent, m_configuration.holder().version()};
}

messages::heartbeat agent::heartbeat()
{
    return {m_settings.instance,
            m_settings.dataCentre,
            m_incarnation,
            ++m_heartbeatSequence,
            m_state,
            m_configuration.holder().version()};
}

link_handlers agent::outboundHandlers()
{
    return {[this](const process_link &link) { handleAgentConnected(link); },
            [this](const process_link &link, const messages::message &message) {
                handleReceived(link, message);
            },
            [this](const process_link &) { updateAgents(); }};
}

link_handlers agent::inboundHandlers()
{
    return {[this](const process_link &link) { handleConnected(link); },
            [this](const process_link &link, const messages::message &message) {
                handleReceived(link, message);
            },
            [this](const process_link &link) { handleDisconnected(link); }};
}

void agent::handleAgentConnected(const process_link &link)
{
    std::ranges::for_each(m_supervisors.views(), [&](const auto &view) { link.send(view); });
    updateAgents();
}

void agent::handleConnected(const process_link &link)
{
    if (link.remote().role == messages::process_role::proxy)
        m_proxies.handleConnected(link);
    if (link.remote().role == messages::process_role::agent) {
        m_peers.addInbound(link);
        handleAgentConnected(link);
    }
}

void agent::handleReceived(const process_link &link, const messages::message &message)
{
    std::visit(overloaded{
                       [&](const messages::freshness_query &query) {
                           m_configuration.handleMessage(link, query);
                       },
                       [&](const messages::freshness_answer &answer) {
                           m_configuration.handleMessage(link, answer);
                       },
                       [&](const messages::configuration_announce &announce) {
                           m_configuration.handleMessage(link, announce);
                       },
                       [&](const messages::configuration_request &request) {
                           m_configuration.handleMessage(link, request);
                       },
                       [&](const messages::configuration_body &body) {
                           m_configuration.handleMessage(link, body);
                       },
                       [&](const messages::group_view_update &view) {
                           m_supervisors.handleMessage(view);
                       },
                       [&](const messages::suspicion_report &report) {
                           m_supervisors.handleMessage(report);
                       },
                       [&](const messages::suspicion_query &query) {
                           m_supervisors.handleMessage(link, query);
                       },
                       [&](const messages::suspicion_answer &answer) {
                           m_supervisors.handleMessage(link, answer);
                       },
                       [&](const messages::share_read &request) {
                           m_quota.handleMessage(link, request);
                       },
                       [&](const messages::share_write &request) {
                           m_quota.handleMessage(link, request);
                       },
                       [&](const messages::loan_transfer &transfer) {
                           m_quota.handleMessage(link, transfer);
                       },
                       [&](const messages::state_request &) {
                           link.send(messages::state_reply{state().dump()});
                       },
                       [&](const messages::drain_request &) { drain(); },
                       [](const auto &) {},
               },
               message);
}

void agent::handleDisconnected(const process_link &link)
{
    if (link.remote().role == messages::process_role::proxy)
        m_proxies.handleDisconnected(link);
    if (link.remote().role == messages::process_role::agent) {
        m_peers.removeInbound(link);
        updateAgents();
    }
}

void agent::handleConfiguration(const configuration::configuration_holder &holder)
{
    m_proxies.setConfiguration({holder.version(), holder.body()});
    m_supervisors.setGroups(holder.document()->lists.groups);
}

void agent::handleGroupView(const messages::group_view_update &view)
{
    m_proxies.setGroupView(view);
    m_peers.broadcast(view);
}

void agent::queryObservers(const messages::suspicion_query &query)
{
    std::set<data_centre_id> queriedDataCentres{m_settings.dataCentre};
    std::ranges::for_each(m_peers.connectedPeers(), [&](const auto &entry) {
        if (queriedDataCentres.insert(entry.second.remote().dataCentre).second)
            entry.second.send(query);
    });
}

void agent::updateAgents()
{
    std::vector<agent_instance> live;
    std::vector<configuration::agent_peer> peers;
    std::ranges::for_each(m_peers.connectedPeers(), [&](const auto &entry) {
        const auto &dataCentre = entry.second.remote().dataCentre;
        live.push_back({entry.first, dataCentre});
        peers.push_back({entry.first, dataCentre});
    });
    m_supervisors.setAgents(live);
    m_configuration.setAgents(peers);
}

void agent::handleFreshnessConfirmed(time_point asOf)
{
    const auto freshUntil = asOf + m_settings.timing.freshnessBound;
    const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(freshUntil - monotonicNow());
    if (remaining.count() > 0)
        m_proxies.broadcast(
                messages::freshness_update{true, static_cast<std::uint64_t>(remaining.count())});
}

void agent::handleInstances(const instance_list &list)
{
    auto peers = m_seedPeers;
    std::ranges::for_each(list.instances, [&](const listed_instance &entry) {
        if (entry.instance != m_settings.instance)
            peers.insert(entry.address);
    });
    m_peers.setPeers(peers);
    std::set<data_centre_id> dataCentres;
    std::ranges::transform(list.instances, std::inserter(dataCentres, dataCentres.end()),
                           &listed_instance::dataCentre);
    m_configuration.addDataCentres(dataCentres);
}

void agent::checkDrainFinished()
{
    const bool isTimedOut = monotonicNow() - m_drainStart >= drainTimeout;
    if (m_server.connectionCount() > 0 && !isTimedOut)
        return;
    m_log.write(log_level::info, "stopped");
    m_loop.break_loop(ev::ALL);
}

nlohmann::json agent::state() const
{
    auto proxies = nlohmann::json::array();
    std::ranges::transform(m_proxies.proxies(), std::back_inserter(proxies), describeProcess);
    auto peers = nlohmann::json::array();
    std::ranges::transform(
            m_peers.connectedPeers(), std::back_inserter(peers),
            [](const auto &entry) { return describeProcess(entry.second.remote()); });
    return {{"self", describeProcess(hello())},
            {"draining", m_state == messages::process_state::draining},
            {"configuration_version", hello().configurationVersion},
            {"fresh", m_configuration.isFresh()},
            {"groups", m_supervisors.state()},
            {"proxies", proxies},
            {"peers", peers}};
}

agent_metrics_snapshot agent::metricsSnapshot() const
{
    return {hello().configurationVersion,    m_proxies.proxies().size(),
            m_peers.connectedPeers().size(), m_server.invalidMessages() + m_peers.invalidMessages(),
            m_instances.rejectedEntries(),   m_server.counters(),
            m_configuration.counters()};
}

} // namespace sycamorespan::agent
