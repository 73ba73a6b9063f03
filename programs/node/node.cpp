#include "programs/node/node.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Net/clock.h"
#include "sycamorespan/src/Net/http_message.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace sycamorespan::node {

namespace {

using nlohmann::json;

constexpr duration tickInterval = 20ms;

/** The store may hold a question for changes back for two fifths of the time in which a new
 * configuration has to be in force: a connection that went silent is noticed and replaced in it.
 * Its answers also show that the store is in reach, so that the wait stays below that limit.
 */
duration feedWait(const platform::node_settings &settings)
{
    return std::min(settings.configurationBound * 2 / 5, view_keeper::storeSilence * 3 / 5);
}

/** A leaving member gets nothing new after three quarters of its notice. */
dispatch_policy dispatchPolicy(const platform::node_settings &settings)
{
    dispatch_policy policy;
    policy.drainLimit = settings.drainNotice * 3 / 4;
    return policy;
}

/** After its start, until an instance has been heard by the others and has heard them: two
 * intervals of full reports.
 */
constexpr duration introduction = 1s;

/** Between two fetches of a newer state from another instance. */
constexpr duration peerFetchInterval = 300ms;
/** A large fleet spreads its fetches over so long, for the sake of the few that have the news. */
constexpr duration peerFetchSpread = 200ms;
constexpr duration peerTimeout = 500ms;

/** An instance that hears nothing from other data centres for so long is cut off. */
constexpr duration isolationPatience = 300ms;
/** Of the silence of a member in another data centre before it counts as out of reach. */
constexpr duration memberSilence = 500ms;

/** Probes of the platform come once a second and two misses take an instance out: new callers go
 * elsewhere after it.
 */
constexpr duration rotationDelay = 2200ms;
/** Idle sessions closed in one tick while stopping or cut off, so that callers don't reconnect all
 * at once: 500 a second.
 */
constexpr std::size_t closedPerTick = 10;
/** Part of the notice of a stop that open transactions have. */
constexpr int transactionPart = 2;
/** The last moment to leave on time. */
constexpr duration stopReserve = 500ms;

/** Of the work that follows from who is live: below the interval of reports. */
constexpr duration peerUpdateInterval = 100ms;

/** What instances fetch from each other. */
const std::string configurationPath = "/configuration";
const std::string serversPath = "/servers";

constexpr char reportMark = 'R';
constexpr char quotaMark = 'Q';
constexpr duration newsDelay = 2ms;

web_limits readinessLimits()
{
    web_limits limits;
    limits.maxMessageBytes = std::size_t{16} << 10;
    limits.maxConnections = 32;
    limits.requestTimeout = 1s;
    return limits;
}

peer_report briefly(peer_report report)
{
    report.views.clear();
    report.viewsConfirmed.reset();
    report.databases.clear();
    return report;
}

std::string milliseconds(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

node::node(ev::loop_ref loop, platform::node_settings settings, std::string settingsFile,
           random_source random)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_random(std::move(random))
    , m_started(suspendAwareNow())
    , m_self{m_settings.instance, m_random() >> 1U,
             endpoint{m_settings.address, m_settings.firstPeerPort}.str(), m_settings.dataCentre}
    , m_log(line_budget_policy{}, STDOUT_FILENO)
    , m_dispatcher(dispatchPolicy(m_settings), m_settings.dataCentre)
    , m_peers(m_self, peer_policy{})
    , m_roster(roster_policy{})
    , m_store(loop, m_settings.store)
    , m_views(loop, m_self, m_store, m_settings.duties, m_dispatcher, m_peers, m_log, m_random,
              {[this](dispatch_outputs outputs) { apply(std::move(outputs)); },
               [this] { m_newsTimer.startOnce(newsDelay); }})
    , m_quota({holder_id(m_settings.instance.str()), m_self.boot},
              {[this](const quota_verdict &verdict) {
                   const auto now = suspendAwareNow();
                   apply(verdict.isAdmitted ? m_dispatcher.admitted(verdict.request, now)
                                            : m_dispatcher.throttled(verdict.request,
                                                                     verdict.retryAfter, now));
               },
               [this](const holder_id &to, const quota_message &message) {
                   const auto run = m_peers.runOf(instance_id(to.str()));
                   if (!run)
                       return;
                   const auto bytes = encodeQuotaMessage(message);
                   m_reports.send(parseEndpoint(run->address),
                                  quotaMark + std::string(bytes.begin(), bytes.end()));
               }})
    , m_configuration(loop, m_store, platform::table_name::operatorTable, feedWait(m_settings),
                      m_random,
                      {[this](const platform::store_rows &content) { takeConfiguration(content); },
                       [this](const platform::store_rows &content) { takeConfiguration(content); },
                       [this](bool answered) { noteContact(answered); }})
    , m_servers(loop, m_store, platform::table_name::servers, feedWait(m_settings), m_random,
                {[this](const platform::store_rows &content) { takeServers(content, true); },
                 [this](const platform::store_rows &content) { takeServers(content, false); },
                 [this](bool answered) { noteContact(answered); }})
    , m_callerHandlers{[this](session_number session, const platform::caller_message &message) {
                           handleCaller(session, message);
                       },
                       [this](session_number session, std::string_view reason) {
                           closeCaller(session, reason);
                       }}
    , m_reports(loop, parseEndpoint(m_self.address),
                [this](std::string_view bytes) { receiveDatagram(bytes); })
    , m_callerListener(loop, m_settings.callers,
                       [this](file_descriptor socket) { accept(std::move(socket)); })
    , m_readiness(loop, m_settings.readiness, readinessLimits(), readinessHandlers())
    , m_admin(loop, reportAddress(),
              {m_metrics.registry(),
               [this] { return state(); },
               [this] { return m_ready; },
               {},
               {{configurationPath, [this] { return m_configurationText; }},
                {serversPath,
                 [this] {
                     return json{{"revision", m_serversRevision}, {"servers", m_serverTexts}}
                             .dump();
                 }}}})
    , m_tick(loop, [this] { tick(); })
    , m_reportTimer(loop, [this] { sendReports(); })
    , m_newsTimer(loop, [this] { sendReports(); })
    , m_peerFetch(loop, [this] { fetchFromPeer(); })
{
    m_tick.startRepeating(tickInterval);
    m_reportTimer.startOnce(m_peers.fullInterval());
    m_log.write(line_importance::state, "started",
                {{"instance", m_self.instance.str()},
                 {"boot", std::to_string(m_self.boot)},
                 {"data_centre", m_self.dataCentre.str()},
                 {"version", SYCAMORESPAN_VERSION}},
                suspendAwareNow());
}

endpoint node::reportAddress() const
{
    return parseEndpoint(m_self.address);
}

web_handlers node::readinessHandlers()
{
    return {{}, {}, {}, [this](const http_request &request, const http_responder &respond) {
                if (request.path != platform::readinessPath)
                    return respond({404, "text/plain", "not found\n"});
                respond(m_ready ? http_response{200, "application/json", "{\"ready\":true}"}
                                : http_response{503, "application/json", "{\"ready\":false}"});
            }};
}

// Callers.

void node::accept(file_descriptor socket)
{
    const auto session = ++m_lastSession;
    m_callers.emplace(session, std::make_unique<caller_channel>(m_loop, std::move(socket), session,
                                                                m_callerHandlers));
}

void node::handleCaller(session_number session, const platform::caller_message &message)
{
    std::visit(overloaded{
                       [&](const platform::connect_message &each) { connectCaller(session, each); },
                       [&](const caller_request &each) {
                           apply(m_dispatcher.requestArrived(session, each, suspendAwareNow()));
                       },
                       [&](const platform::quit_message &) {
                           closeCaller(session, "the caller quit");
                       },
               },
               message);
}

void node::connectCaller(session_number session, const platform::connect_message &message)
{
    if (!m_directory) {
        m_waitingConnects.emplace(session, message);
        return;
    }
    apply(m_dispatcher.callerConnected(session, message.databaseName, message.key,
                                       suspendAwareNow()));
}

void node::closeCaller(session_number session, std::string_view)
{
    m_waitingConnects.erase(session);
    const auto found = m_callers.find(session);
    if (found == m_callers.end())
        return;
    retire(found);
    apply(m_dispatcher.callerLeft(session, suspendAwareNow()));
}

/** Takes a caller's channel out of use; it is destroyed with the next tick. */
void node::retire(
        std::unordered_map<session_number, std::unique_ptr<caller_channel>>::iterator caller)
{
    // Closing calls back: the channel must not be found any more.
    m_closedCallers.push_back(std::move(caller->second));
    m_callers.erase(caller);
    m_closedCallers.back()->closeAfterWrite();
}

// Outputs of the dispatcher.

void node::apply(dispatch_outputs outputs)
{
    std::ranges::move(outputs, std::back_inserter(m_outputs));
    if (std::exchange(m_applying, true))
        return;
    while (!m_outputs.empty()) {
        const auto next = std::move(m_outputs.front());
        m_outputs.pop_front();
        std::visit([this](const auto &action) { perform(action); }, next);
    }
    m_applying = false;
}

void node::perform(const dispatch_action::reply_to_caller &action)
{
    const auto found = m_callers.find(action.session);
    if (found != m_callers.end())
        found->second->write(platform::encodeAnswer(action.answer));
}

void node::perform(const dispatch_action::accept_caller &action)
{
    const auto found = m_callers.find(action.session);
    if (found != m_callers.end())
        found->second->write(platform::encodeAccepted());
}

void node::perform(const dispatch_action::reject_caller &action)
{
    const auto found = m_callers.find(action.session);
    if (found == m_callers.end())
        return;
    found->second->write(platform::encodeRejected(action.error));
    m_log.write(line_importance::failure, "session refused",
                {{"session", std::to_string(action.session)},
                 {"error", std::string(nameOf(action.error.code))},
                 {"reason", action.error.text},
                 {"configuration_version", std::to_string(m_directory->version)}},
                suspendAwareNow());
    perform(dispatch_action::close_caller{action.session});
}

void node::perform(const dispatch_action::close_caller &action)
{
    const auto found = m_callers.find(action.session);
    if (found == m_callers.end())
        return;
    retire(found);
    apply(m_dispatcher.callerLeft(action.session, suspendAwareNow()));
}

void node::perform(const dispatch_action::open_member &action)
{
    const auto connection = action.connection;
    const auto closed = [this, connection, server = action.server](const channel_end &end) {
        const auto found = m_members.find(connection);
        if (found == m_members.end())
            return;
        m_log.write(line_importance::failure, "connection to member lost",
                    {{"server", server.str()},
                     {"error", end.refusal ? std::string(nameOf(*end.refusal)) : "closed"}},
                    suspendAwareNow());
        m_closedMembers.push_back(std::move(found->second));
        m_members.erase(found);
        apply(m_dispatcher.closed(connection, end.refusal, suspendAwareNow()));
    };
    try {
        m_members.emplace(connection,
                          std::make_unique<member_channel>(
                                  m_loop, parseEndpoint(action.address), action.database,
                                  action.workspace, action.server,
                                  member_channel::handlers{
                                          [this, connection](std::optional<log_position> position) {
                                              apply(m_dispatcher.opened(connection, position,
                                                                        suspendAwareNow()));
                                          },
                                          [this, connection](const statement_answer &answer) {
                                              apply(m_dispatcher.answered(connection, answer,
                                                                          suspendAwareNow()));
                                          },
                                          closed}));
    } catch (const error &failure) {
        m_log.write(line_importance::failure, "connection to member failed",
                    {{"server", action.server.str()}, {"error", failure.what()}},
                    suspendAwareNow());
        apply(m_dispatcher.closed(connection, std::nullopt, suspendAwareNow()));
    }
}

void node::perform(const dispatch_action::send_to_member &action)
{
    const auto found = m_members.find(action.connection);
    if (found != m_members.end())
        found->second->send(action.statements);
}

void node::perform(const dispatch_action::close_member &action)
{
    const auto found = m_members.find(action.connection);
    if (found == m_members.end())
        return;
    found->second->close();
    m_closedMembers.push_back(std::move(found->second));
    m_members.erase(found);
}

void node::perform(const dispatch_action::request_admission &action)
{
    m_quota.admit(action.workspace, action.session, suspendAwareNow());
}

void node::perform(const dispatch_action::settle_admission &action)
{
    m_quota.settle(action.workspace, action.session, action.ran, suspendAwareNow());
}

void node::perform(const dispatch_action::cancel_admission &action)
{
    m_quota.cancel(action.workspace, action.session, suspendAwareNow());
}

void node::perform(const dispatch_action::record_outcome &action)
{
    m_metrics.count(action);
    const bool failed = !action.cause.empty();
    event_fields fields{{"request", action.request},
                        {"session", std::to_string(action.session)},
                        {"route", action.route},
                        {"database", action.database.str()},
                        {"workspace", action.workspace.str()},
                        {"outcome", action.outcome},
                        {"server", action.server.str()},
                        {"latency_ms", milliseconds(action.latency)},
                        {"queued_ms", milliseconds(action.queued)},
                        {"attempts", std::to_string(action.attempts)},
                        {"late", action.late ? "true" : "false"}};
    if (failed)
        fields.emplace_back("cause", action.cause);
    fields.insert(fields.end(), action.inputs.begin(), action.inputs.end());
    m_log.write(failed || action.late ? line_importance::failure : line_importance::routine,
                "statement ended", fields, suspendAwareNow());
}

void node::perform(const dispatch_action::record_step &action)
{
    m_metrics.count(action);
    event_fields fields{{"request", action.request}, {"step", action.step}};
    fields.insert(fields.end(), action.inputs.begin(), action.inputs.end());
    m_log.write(line_importance::failure, "statement goes on", fields, suspendAwareNow());
}

// What the store says.

void node::noteContact(bool answered)
{
    const auto now = suspendAwareNow();
    if (answered)
        m_roster.noteAnswer(now);
    else
        m_roster.noteOutage(now);
    if (m_storeAnswers != answered) {
        m_storeAnswers = answered;
        m_log.write(line_importance::state, answered ? "store answers" : "store does not answer",
                    {}, now);
    }
}

void node::takeConfiguration(const platform::store_rows &content)
{
    const auto now = suspendAwareNow();
    for (const auto &row : content.rows) {
        if (row.key != platform::configurationKey || row.deleted)
            continue;
        try {
            auto directory =
                    std::make_shared<service_directory>(platform::decodeConfiguration(row.value));
            if (m_directory && directory->version <= m_directory->version)
                continue;
            m_directory = std::move(directory);
            m_configurationText = row.value;
        } catch (const decode_error &failure) {
            m_log.write(line_importance::state, "configuration not understood",
                        {{"error", failure.what()}, {"revision", std::to_string(row.revision)}},
                        now);
            continue;
        }
        m_log.write(line_importance::state, "configuration in force",
                    {{"version", std::to_string(m_directory->version)},
                     {"routes", std::to_string(m_directory->routes.size())},
                     {"keys", std::to_string(m_directory->keyOwners.size())}},
                    now);
        m_quota.setWorkspaces(m_directory->workspaces, now);
        apply(m_dispatcher.setDirectory(m_directory, now));
        m_newsTimer.startOnce(newsDelay);
    }
    if (!m_directory)
        return;
    for (const auto &[session, message] : std::exchange(m_waitingConnects, {}))
        connectCaller(session, message);
}

void node::takeServers(const platform::store_rows &content, bool whole)
{
    const auto now = suspendAwareNow();
    std::vector<server_entry> entries;
    for (const auto &row : content.rows) {
        const auto entry =
                row.deleted ? std::nullopt : platform::decodeServerEntry(row.key, row.value);
        if (entry)
            m_serverTexts[row.key] = row.value;
        if (!row.deleted && !entry)
            m_log.write(line_importance::failure, "server entry not understood",
                        {{"server", row.key}}, now);
        if (whole) {
            if (entry)
                entries.push_back(*entry);
        } else if (entry) {
            m_roster.put(*entry);
        } else {
            m_roster.remove(server_id(row.key), now);
        }
    }
    if (whole)
        m_roster.replace(entries, now);
    // A snapshot covers all changes up to its revision; a question for changes that brought none
    // must not count as news for others.
    auto revision = whole ? content.revision : 0;
    std::ranges::for_each(content.rows, [&](const platform::store_row &row) {
        revision = std::max(revision, row.revision);
    });
    if (revision > m_serversRevision) {
        m_serversRevision = revision;
        if (!whole)
            m_newsTimer.startOnce(newsDelay);
    }
    applyServers();
}

void node::applyServers()
{
    if (!m_roster.takeChanged())
        return;
    const auto now = suspendAwareNow();
    const auto entries = m_roster.entries();
    // Others are told of entries that lapsed in an outage for as long as this instance keeps them.
    std::erase_if(m_serverTexts, [&](const auto &text) {
        return std::ranges::none_of(
                entries, [&](const server_entry &entry) { return entry.id.str() == text.first; });
    });
    m_views.setServers(entries, now);
    apply(m_dispatcher.setServers(entries, now));
    std::string draining;
    std::ranges::for_each(entries, [&](const server_entry &entry) {
        if (entry.state == server_state::draining)
            draining += (draining.empty() ? "" : ",") + entry.id.str();
    });
    m_log.write(line_importance::state, "servers changed",
                {{"count", std::to_string(entries.size())}, {"draining", draining}}, now);
}

// Other instances.

void node::receiveDatagram(std::string_view bytes)
{
    if (bytes.empty())
        return;
    const auto body = bytes.substr(1);
    try {
        if (bytes.front() == reportMark)
            receiveReport(body);
        else if (bytes.front() == quotaMark)
            m_quota.received(
                    decodeQuotaMessage(std::vector<std::uint8_t>(body.begin(), body.end())),
                    suspendAwareNow());
    } catch (const decode_error &failure) {
        m_metrics.countMalformedMessage();
        m_log.write(line_importance::failure, "message of an instance not understood",
                    {{"error", failure.what()}}, suspendAwareNow());
    }
}

void node::receiveReport(std::string_view bytes)
{
    const auto now = suspendAwareNow();
    const auto report = decodePeerReport(bytes);
    if (m_peers.received(report, now)) {
        m_log.write(line_importance::state, "instance heard",
                    {{"instance", report.sender.instance.str()},
                     {"boot", std::to_string(report.sender.boot)}},
                    now);
        m_newsTimer.startOnce(newsDelay);
    }
    m_views.received(report, now);
    const bool newerConfiguration =
            report.configurationVersion > (m_directory ? m_directory->version : 0);
    const bool newerServers = report.serversRevision > m_serversRevision;
    if (!newerConfiguration && !newerServers)
        return;
    if (follows() && m_views.storeReachable(now))
        return; // the store's answer is under way
    m_newsSource = report.sender.address;
    if (m_peerFetch.isActive() || now - m_peerFetched < peerFetchInterval)
        return;
    m_peerFetch.startOnce(
            m_peers.isSmall() ? duration::zero()
                              : fromSeconds(toSeconds(peerFetchSpread) * uniformUnit(m_random)));
}

bool node::follows() const
{
    return m_configuration.isFollowing();
}

/** Asks the instance that last reported something newer for it. */
void node::fetchFromPeer()
{
    m_peerFetched = suspendAwareNow();
    m_peerClient = std::make_unique<http_client>(m_loop, "http://" + m_newsSource, peerTimeout);
    m_peerClient->send({"GET", configurationPath, ""},
                       [this](const http_outcome &outcome) { takePeerConfiguration(outcome); });
    m_peerClient->send({"GET", serversPath, ""},
                       [this](const http_outcome &outcome) { takePeerServers(outcome); });
}

void node::takePeerConfiguration(const http_outcome &outcome)
{
    const auto *response = std::get_if<http_response>(&outcome);
    if (!response || response->status != 200) {
        notePeerFetchFailed(configurationPath);
        return m_configuration.refresh();
    }
    platform::store_rows content;
    if (!response->body.empty())
        content.rows.push_back({{}, platform::configurationKey, response->body, 0, false});
    takeConfiguration(content);
}

void node::takePeerServers(const http_outcome &outcome)
{
    const auto *response = std::get_if<http_response>(&outcome);
    const auto fields = response && response->status == 200
                                ? json::parse(response->body, nullptr, false)
                                : json();
    if (!fields.is_object() || !fields.contains("revision") || !fields.contains("servers")) {
        notePeerFetchFailed(serversPath);
        return m_servers.refresh();
    }
    try {
        platform::store_rows content;
        content.revision = fields.at("revision").get<std::uint64_t>();
        for (const auto &[id, text] : fields.at("servers").items())
            content.rows.push_back({{}, id, text.get<std::string>(), 0, false});
        if (content.revision > m_serversRevision)
            takeServers(content, true);
    } catch (const json::exception &failure) {
        m_metrics.countMalformedMessage();
        m_log.write(line_importance::failure, "message of an instance not understood",
                    {{"error", failure.what()}, {"address", m_newsSource}}, suspendAwareNow());
    }
}

/** The store is asked instead. */
void node::notePeerFetchFailed(const std::string &path)
{
    m_log.write(line_importance::failure, "fetch from instance failed",
                {{"address", m_newsSource}, {"path", path}}, suspendAwareNow());
}

peer_report node::makeReport(time_point now) const
{
    peer_report report;
    report.sender = m_self;
    report.sentAt = m_store.clock().earliest(now);
    report.configurationVersion = m_directory ? m_directory->version : 0;
    report.serversRevision = m_serversRevision;
    report.leaving = m_stopping.has_value();
    m_views.fill(report, now);
    std::ranges::transform(
            m_dispatcher.loads(), std::back_inserter(report.loads), [](const member_load &load) {
                return server_load_report{load.server, static_cast<std::uint32_t>(load.working)};
            });
    return report;
}

/** In a large fleet the supervisor is told everything and tells everything to all; between the
 * others brief reports, at longer intervals, show who lives and who works where.
 */
void node::sendReports()
{
    const auto now = suspendAwareNow();
    const auto report = makeReport(now);
    const auto full = reportMark + encodePeerReport(report);
    const auto &supervisor = report.supervisor;
    const bool tellsAll = m_peers.isSmall() || m_views.isHolder() || !report.supervisorSilence
                          || *report.supervisorSilence > m_peers.fullInterval() * 3;
    const bool broadcasts = now - m_broadcast >= m_peers.interval();
    std::string brief;
    if (!tellsAll && broadcasts)
        brief = reportMark + encodePeerReport(briefly(report));
    if (broadcasts)
        m_broadcast = now;
    std::ranges::for_each(m_peers.targets(now), [&](const instance_run &run) {
        if (tellsAll || run.instance == supervisor)
            m_reports.send(parseEndpoint(run.address), full);
        else if (!brief.empty())
            m_reports.send(parseEndpoint(run.address), brief);
    });
    m_reportTimer.startOnce(m_peers.fullInterval());
}

void node::updatePeers(time_point now)
{
    std::vector<placed_holder> holders{{holder_id(m_self.instance.str()), m_self.dataCentre}};
    std::ranges::transform(m_peers.targets(now), std::back_inserter(holders),
                           [](const instance_run &run) {
                               return placed_holder{holder_id(run.instance.str()), run.dataCentre};
                           });
    std::ranges::sort(holders);
    std::set<holder_id> live;
    std::ranges::transform(m_peers.askable(now), std::inserter(live, live.end()),
                           [](const instance_run &run) { return holder_id(run.instance.str()); });
    m_quota.setHolders(holders, live, now);
    const auto count = m_peers.instanceCount(now);
    m_dispatcher.setInstanceCount(count);
    std::ranges::for_each(m_roster.entries(), [&](const server_entry &entry) {
        m_dispatcher.setOthersLoad(entry.id, m_peers.othersWorking(entry.id, now));
    });
    // The holder of the duty tells everybody. Of the others all would take themselves for the first
    // at a start.
    const bool knowsOthers = m_views.hasReadRows() && now - m_started > introduction;
    const bool following = m_views.isHolder() || (knowsOthers && m_peers.isFirstOfDataCentre(now));
    m_configuration.setFollowing(following);
    m_servers.setFollowing(following);
}

// Readiness and stop.

/** \returns whether this instance is cut off from the other data centres: their instances are
 * silent, and so are their members.
 */
bool node::isIsolated(time_point now)
{
    if (m_peers.hearsOtherDataCentres(now) != false) {
        m_apartSince.reset();
        return false;
    }
    std::size_t elsewhere = 0;
    std::size_t missing = 0;
    for (const auto &entry : m_roster.entries()) {
        if (entry.dataCentre == m_self.dataCentre)
            continue;
        ++elsewhere;
        const auto silent = m_dispatcher.silentSince(entry.id);
        if (m_dispatcher.failuresOf(entry.id) > 0 || (silent && now - *silent > memberSilence))
            ++missing;
    }
    if (missing == 0 || missing * 2 < elsewhere) {
        m_apartSince.reset();
        return false;
    }
    if (!m_apartSince)
        m_apartSince = now;
    return now - *m_apartSince > isolationPatience;
}

bool node::isReady(time_point now) const
{
    return m_directory && m_roster.isKnown() && !m_stopping && !m_isolated
           && (m_ready ? m_views.anyUsable(now) || !m_views.storeReachable(now)
                       : m_views.allUsable(now));
}

void node::updateReadiness(time_point now)
{
    const bool isolated = isIsolated(now);
    if (isolated != m_isolated) {
        m_isolated = isolated;
        m_log.write(line_importance::state,
                    isolated ? "cut off from other data centres"
                             : "in touch with other data centres again",
                    {}, now);
    }
    const bool ready = isReady(now);
    if (ready != m_ready) {
        m_ready = ready;
        m_log.write(line_importance::state, ready ? "ready for callers" : "not ready for callers",
                    {{"views_usable", m_views.allUsable(now) ? "all" : "not all"},
                     {"isolated", m_isolated ? "true" : "false"},
                     {"stopping", m_stopping ? "true" : "false"}},
                    now);
    }
    if (m_isolated)
        apply(m_dispatcher.closeIdleSessions(closedPerTick, now));
}

void node::stop()
{
    if (m_stopping)
        return;
    const auto now = suspendAwareNow();
    m_stopping = now;
    m_views.leave();
    m_log.write(line_importance::state, "stopping",
                {{"sessions", std::to_string(m_dispatcher.sessionCount())}}, now);
    updateReadiness(now);
    m_newsTimer.startOnce(newsDelay);
}

void node::advanceStop(time_point now)
{
    if (!m_stopping || m_finishing)
        return;
    const auto since = now - *m_stopping;
    if (since > m_settings.stopNotice / transactionPart)
        apply(m_dispatcher.endOpenTransactions(now));
    if (since > rotationDelay)
        apply(m_dispatcher.closeIdleSessions(closedPerTick, now));
    const bool empty = m_callers.empty() && since > rotationDelay;
    if (empty || since > m_settings.stopNotice - stopReserve)
        finish();
}

void node::finish()
{
    m_finishing = true;
    m_callerListener.close();
    m_log.write(line_importance::state, "stopped",
                {{"sessions_left", std::to_string(m_callers.size())}}, suspendAwareNow());
    m_views.deregister([this] { m_loop.break_loop(ev::ALL); });
}

void node::reload()
{
    const auto now = suspendAwareNow();
    try {
        auto settings = platform::readSettings(m_settingsFile);
        m_settings.drainNotice = settings.drainNotice;
        m_settings.stopNotice = settings.stopNotice;
        m_settings.configurationBound = settings.configurationBound;
        m_log.write(line_importance::state, "settings read again", {}, now);
    } catch (const error &failure) {
        m_log.write(line_importance::state, "settings not taken", {{"error", failure.what()}}, now);
    }
}

void node::tick()
{
    const auto now = suspendAwareNow();
    m_closedCallers.clear();
    m_closedMembers.clear();
    if (m_roster.tick(now) && follows())
        m_servers.refresh(); // its revision tells the others
    applyServers();
    if (now - m_peersUpdated >= peerUpdateInterval) {
        m_peersUpdated = now;
        updatePeers(now);
    }
    m_views.tick(now);
    m_quota.tick(now);
    apply(m_dispatcher.tick(now));
    updateReadiness(now);
    advanceStop(now);
    m_metrics.set({m_dispatcher.sessionCount(), m_dispatcher.queuedCount(),
                   m_dispatcher.connectionCount(), m_peers.live(now).size() + 1,
                   m_directory ? m_directory->version : 0, m_store.calls(), m_store.failures(),
                   m_log.dropped(), m_ready, m_views.isHolder()});
}

json node::state() const
{
    const auto now = suspendAwareNow();
    json views = json::array();
    for (const auto &view : m_views.ledger().views())
        views.push_back({{"database", view.database.str()},
                         {"primary", view.primary.str()},
                         {"term", view.term},
                         {"revision", view.revision},
                         {"steady", view.phase == view_phase::steady}});
    json instances = json::array();
    for (const auto &run : m_peers.live(now))
        instances.push_back(run.instance.str());
    return {{"instance", m_self.instance.str()},
            {"ready", m_ready},
            {"isolated", m_isolated},
            {"configuration_version", m_directory ? m_directory->version : 0},
            {"sessions", m_dispatcher.sessionCount()},
            {"queued", m_dispatcher.queuedCount()},
            {"member_connections", m_dispatcher.connectionCount()},
            {"supervisor", m_views.claim().holder.str()},
            {"fence", m_views.claim().fence},
            {"views", views},
            {"live_instances", instances}};
}

void node::logState()
{
    m_log.write(line_importance::state, "state", {{"state", state().dump()}}, suspendAwareNow());
}

} // namespace sycamorespan::node
