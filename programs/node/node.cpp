#include "programs/node/node.h"

#include "programs/node/coordination_rows.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/json_revision.h"
#include "sycamorespan/src/Core/overloaded.h"
#include "sycamorespan/src/Net/clock.h"
#include "sycamorespan/src/Net/http_message.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace sycamorespan::node {

namespace {

using nlohmann::json;

constexpr duration tickInterval = 20ms;

/** \returns how long the store may hold a request for changes back. Two fifths of the time in which
 * a new configuration has to be in force leave enough of it to detect and replace an unresponsive
 * connection. The answers also show that the store is reachable, so the wait stays below
 * view_keeper::storeOutageTimeout.
 */
duration longPollWait(const platform::node_settings &settings)
{
    return std::min(settings.configurationApplyTimeout * 2 / 5,
                    view_keeper::storeOutageTimeout * 3 / 5);
}

/** \returns the policy of the dispatcher: a draining member receives no new work after three
 * quarters of its drain period.
 */
dispatch_policy dispatchPolicy(const platform::node_settings &settings)
{
    dispatch_policy policy;
    policy.drainingPrimaryUsePeriod = settings.drainPeriod * 3 / 4;
    return policy;
}

/** Time after the start until this instance and the others have received reports of each other: a
 * few intervals of reports.
 */
constexpr duration discoveryPeriod = 1s;

/** Number of data centres of which one instance follows the store. The others learn of changes from
 * these. If one is lost, that of another data centre replaces it.
 */
constexpr std::size_t followedDataCentres = 3;

/** Time without an answer after which a member in another data centre is treated as unreachable. */
constexpr duration memberUnresponsiveTimeout = 500ms;

/** Maximum number of idle sessions closed per tick during isolation, which is 500 per second. It
 * keeps callers from reconnecting all at once.
 */
constexpr std::size_t maxSessionsClosedPerTick = 10;

/** Interval at which the list of live instances is applied to quotas, the dispatcher and the table
 * followers. It is shorter than the interval of reports.
 */
constexpr duration instancesUpdateInterval = 100ms;

/** Paths of the documents that instances fetch from each other. */
const std::string serversPath = "/servers.z";
const std::string instancesPath = "/instances.z";

web_limits readinessLimits()
{
    web_limits limits;
    limits.maxMessageBytes = std::size_t{16} << 10;
    limits.maxConnections = 32;
    limits.requestTimeout = 1s;
    return limits;
}

/** \returns the processor share in thousandths of a core. */
std::uint32_t capacityOf(const platform::node_settings &settings)
{
    return static_cast<std::uint32_t>(std::lround(settings.processorShare * 1000));
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
    , m_startedAt(suspendAwareNow())
    , m_self{m_settings.instance, m_random() >> 1U,
             endpoint{m_settings.address, m_settings.firstPeerPort}.str(), m_settings.dataCentre,
             capacityOf(m_settings)}
    , m_log(line_budget_policy{}, STDOUT_FILENO)
    , m_guard(m_log, m_metrics)
    , m_rejectedEntries(m_log, m_metrics)
    , m_dispatcher(dispatchPolicy(m_settings), m_settings.dataCentre, m_startedAt)
    , m_memberWatch(m_log, m_metrics)
    , m_roster(roster_policy{})
    , m_store(loop, m_settings.store, m_guard)
    , m_fleet(loop, m_self, m_store.clock(), m_log, m_metrics, m_guard,
              {[this](time_point now) { return makeReport(now); },
               [this](const instance_incarnation &sender, const fleet_news &news) {
                   applyNews(sender, news);
               },
               [this](const quota_message &message) {
                   m_quota.handleMessage(message, suspendAwareNow());
               }})
    , m_views(loop, m_self, m_store, m_settings.promotionService, m_dispatcher, m_fleet.table(),
              m_log, m_guard, m_random,
              {[this](dispatch_outputs outputs) { apply(std::move(outputs)); },
               [this](report_cause cause) { m_fleet.requestReports(cause); },
               [this](const platform::store_row &row) {
                   m_rejectedEntries.note("coordination rows", row.key, storeAfter(row.revision),
                                          "not a valid row", suspendAwareNow());
               },
               [this] { return isFollowingStore() && m_roster.isComplete(); }})
    , m_quota({holder_id(m_settings.instance.str()), m_self.incarnation},
              {[this](const quota_verdict &verdict) {
                   const auto now = suspendAwareNow();
                   apply(verdict.isAdmitted ? m_dispatcher.admitted(verdict.request, now)
                                            : m_dispatcher.throttled(verdict.request,
                                                                     verdict.retryAfter, now));
               },
               [this](const holder_id &to, const quota_message &message) {
                   m_fleet.send(instance_id(to.str()), message);
               }})
    , m_answerIntake(m_settings.memoryBytes)
    , m_members(loop, m_dispatcher, m_log, m_metrics, m_guard, m_answerIntake,
                [this](dispatch_outputs outputs) { apply(std::move(outputs)); })
    , m_brokers(loop, m_self, linkIntakePolicy(m_settings), m_dispatcher, m_log, m_metrics, m_guard,
                {[this](dispatch_outputs outputs) { apply(std::move(outputs)); },
                 [this] { return ++m_lastSession; }})
    , m_operatorRows(m_log, m_rejectedEntries, m_settings.evacuationTimeout.has_value(),
                     {[this](const auto &directory) { useConfiguration(directory); },
                      [this] {
                          useServers(suspendAwareNow());
                          m_fleet.requestReports();
                      },
                      [this](const data_centre_id &dataCentre, time_point now) {
                          return m_dispatcher.hasLeft(dataCentre, now);
                      },
                      [this](const data_centre_id &dataCentre) {
                          return m_dispatcher.connectionsTo(dataCentre);
                      }})
    , m_configuration(
              loop, m_store, platform::table_name::operatorTable, longPollWait(m_settings), m_guard,
              m_random,
              {[this](const platform::store_rows &content) { m_operatorRows.apply(content, true); },
               [this](const platform::store_rows &content) {
                   m_operatorRows.apply(content, false);
               },
               [this](bool answered) { setStoreAvailable(answered); }})
    , m_servers(loop, m_store, platform::table_name::servers, longPollWait(m_settings), m_guard,
                m_random,
                {[this](const platform::store_rows &content) { applyServerRows(content, true); },
                 [this](const platform::store_rows &content) { applyServerRows(content, false); },
                 [this](bool answered) { setStoreAvailable(answered); }})
    , m_fetcher(loop, m_log, m_guard, m_random)
    , m_configurationDocument([this] { return m_operatorRows.configurationDocument(); })
    , m_evacuationsDocument([this] { return m_operatorRows.evacuationsDocument(); })
    , m_serversDocument([this] { return serversDocument(); })
    , m_instancesDocument([this] { return instancesDocument(); })
    , m_isolation(isolation_policy{})
    , m_sessions(loop, m_settings.callers, intakePolicy(m_settings), m_log, m_metrics, m_guard,
                 {[this] { return ++m_lastSession; },
                  [this](session_number session, const platform::connect_message &message) {
                      apply(m_dispatcher.callerConnected(session, message.databaseName, message.key,
                                                         suspendAwareNow()));
                  },
                  [this](session_number session, const caller_request &request) {
                      apply(m_dispatcher.requestArrived(session, request, suspendAwareNow()));
                  },
                  [this](session_number session) {
                      apply(m_dispatcher.callerDisconnected(session, suspendAwareNow()));
                  },
                  [this](session_number session) { return m_dispatcher.keptBytes(session); }})
    , m_readiness(loop, m_settings.readiness, readinessLimits(), readinessHandlers())
    , m_admin(loop, peerAddress(),
              {m_metrics.registry(),
               [this] { return state(); },
               [this] { return m_ready; },
               {},
               {{operator_rows::configurationPath,
                 [this] { return m_configurationDocument.compressed(); }},
                {operator_rows::evacuationsPath,
                 [this] { return m_evacuationsDocument.compressed(); }},
                {serversPath, [this] { return m_serversDocument.compressed(); }},
                {instancesPath, [this] { return m_instancesDocument.compressed(); }}}})
    , m_tickTimer(loop, [this] { tick(); })
{
    m_dispatcher.setAccess(access_policy::forTimeout(m_settings.evacuationTimeout.value_or(0s)),
                           m_settings.areas);
    addFetchedDocuments();
    m_store.onEra([this](store_era era) { enterStoreEra(era); });
    m_roster.onStoreUnobserved(m_startedAt);
    m_tickTimer.startRepeating(tickInterval);
    m_log.write(line_importance::state, "started",
                {{"instance", m_self.instance.str()},
                 {"boot", std::to_string(m_self.incarnation)},
                 {"data_centre", m_self.dataCentre.str()},
                 {"version", SYCAMORESPAN_VERSION}},
                suspendAwareNow());
}

endpoint node::peerAddress() const
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

// Actions of the dispatcher.

void node::apply(dispatch_outputs outputs)
{
    std::ranges::move(outputs, std::back_inserter(m_outputs));
    if (std::exchange(m_isPerformingActions, true))
        return;
    while (!m_outputs.empty()) {
        const auto next = std::move(m_outputs.front());
        m_outputs.pop_front();
        m_guard.run("action of the dispatcher",
                    [&] { std::visit([this](const auto &action) { perform(action); }, next); });
    }
    m_isPerformingActions = false;
}

void node::perform(const dispatch_action::reply_to_caller &action)
{
    m_sessions.answer(action.session, action.answer);
}

void node::perform(const dispatch_action::accept_caller &action)
{
    m_sessions.accept(action.session);
}

void node::perform(const dispatch_action::reject_caller &action)
{
    if (!m_sessions.contains(action.session))
        return;
    m_sessions.reject(action.session, action.error);
    m_log.write(line_importance::failure, "session refused",
                {{"session", std::to_string(action.session)},
                 {"error", std::string(nameOf(action.error.code))},
                 {"reason", action.error.text},
                 {"configuration_version", std::to_string(m_directory ? m_directory->version : 0)}},
                suspendAwareNow());
    closeCaller(action.session);
}

void node::perform(const dispatch_action::close_caller &action)
{
    // A session that the dispatcher still serves is closed with the last of these answers.
    if (!m_dispatcher.hasSession(action.session) || !m_sessions.hasMessages(action.session))
        closeCaller(action.session);
}

void node::closeCaller(session_number session)
{
    if (m_sessions.close(session))
        apply(m_dispatcher.callerDisconnected(session, suspendAwareNow()));
}

void node::perform(const dispatch_action::open_member &action)
{
    m_members.perform(action);
}

void node::perform(const dispatch_action::send_to_member &action)
{
    m_members.perform(action);
}

void node::perform(const dispatch_action::close_member &action)
{
    m_members.perform(action);
}

void node::perform(const dispatch_action::request_admission &action)
{
    m_quota.admit(action.workspace, action.session, suspendAwareNow());
}

void node::perform(const dispatch_action::settle_admission &action)
{
    m_quota.settle(action.workspace, action.session, action.wasSent, suspendAwareNow());
}

void node::perform(const dispatch_action::cancel_admission &action)
{
    m_quota.cancel(action.workspace, action.session, suspendAwareNow());
}

void node::perform(const dispatch_action::hand_over &action)
{
    m_brokers.perform(action);
}

void node::perform(const dispatch_action::end_hand_over &action)
{
    m_brokers.perform(action);
}

void node::perform(const dispatch_action::answer_hand_over &action)
{
    m_brokers.perform(action);
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
                        {"broker", action.broker.str()},
                        {"served_for", action.servedFor.str()},
                        {"latency_ms", milliseconds(action.latency)},
                        {"queued_ms", milliseconds(action.queued)},
                        {"attempts", std::to_string(action.attempts)},
                        {"late", action.late ? "true" : "false"}};
    if (failed)
        fields.emplace_back("cause", action.cause);
    fields.insert(fields.end(), action.inputs.begin(), action.inputs.end());
    m_log.write(failed || action.late ? line_importance::failure : line_importance::routine,
                "statement finished", fields, suspendAwareNow());
}

void node::perform(const dispatch_action::record_step &action)
{
    m_metrics.count(action);
    event_fields fields{{"request", action.request}, {"step", action.step}};
    fields.insert(fields.end(), action.inputs.begin(), action.inputs.end());
    m_log.write(line_importance::failure, "statement repeated", fields, suspendAwareNow());
}

void node::perform(const dispatch_action::record_withdrawal &action)
{
    m_log.write(line_importance::state, "work ended because its key was withdrawn",
                {{"workspace", action.workspace.str()},
                 {"transactions", std::to_string(action.transactions)},
                 {"statements", std::to_string(action.statements)},
                 {"configuration_version", std::to_string(m_directory->version)}},
                suspendAwareNow());
}

// Rows of the store.

void node::setStoreAvailable(bool answered)
{
    const auto now = suspendAwareNow();
    if (answered)
        m_roster.onStoreAnswered(now);
    else
        m_roster.onStoreUnavailable(now);
    if (m_storeAvailable != answered) {
        m_storeAvailable = answered;
        m_log.write(line_importance::state, answered ? "store available" : "store unavailable", {},
                    now);
    }
}

/** Handles the first era of the store, and each return of the store from an older copy. */
void node::enterStoreEra(store_era era)
{
    const auto now = suspendAwareNow();
    const auto former = std::exchange(m_storeEra, era);
    if (former) {
        m_roster.onStoreUnobserved(now);
        m_roster.onStoreAnswered(now);
        m_metrics.countStoreReturn();
        m_log.write(line_importance::state, "store returned from an older copy",
                    {{"era", std::to_string(era)}, {"former", std::to_string(*former)}}, now);
    }
    m_views.onStoreEra(era, now);
}

void node::useConfiguration(const std::shared_ptr<const service_directory> &directory)
{
    const auto now = suspendAwareNow();
    m_directory = directory;
    m_quota.setWorkspaces(m_directory->workspaces, now);
    apply(m_dispatcher.setDirectory(m_directory, now));
    m_fleet.requestReports();
    m_sessions.startServing();
}

/** \returns the entry of a row; nothing if it was deleted or can't be decoded. */
std::optional<server_entry> node::decodeServerRow(const platform::store_row &row, time_point now)
{
    if (row.deleted)
        return std::nullopt;
    try {
        const auto decoded = platform::decodeServerEntry(row.key, row.value);
        m_rejectedEntries.note(decoded.rejected, storeAfter(row.revision), now);
        return decoded.entry;
    } catch (const decode_error &failure) {
        m_rejectedEntries.note("servers", row.key, storeAfter(row.revision), failure.what(), now);
        return std::nullopt;
    }
}

void node::applyServerRows(const platform::store_rows &content, bool isSnapshot)
{
    const auto now = suspendAwareNow();
    std::vector<server_entry> entries;
    for (const auto &row : content.rows) {
        const auto entry = decodeServerRow(row, now);
        if (entry)
            m_encodedServers[row.key] = row.value;
        if (isSnapshot) {
            if (entry)
                entries.push_back(*entry);
        } else if (entry) {
            m_roster.put(*entry);
        } else {
            m_roster.remove(server_id(row.key), now);
        }
    }
    if (isSnapshot)
        m_roster.replace(entries, now);
    // A snapshot covers all changes up to its revision. A request for changes that returned no rows
    // must not raise the revision, because the other instances would fetch an update from here.
    auto revision = isSnapshot ? content.revision : store_revision{};
    std::ranges::for_each(content.rows, [&](const platform::store_row &row) {
        revision = std::max(revision, storeAfter(row.revision));
    });
    if (revision > m_serversRevision) {
        m_serversRevision = revision;
        if (!isSnapshot)
            m_fleet.requestReports();
    }
    applyRoster();
}

/** Applies the list of servers with what operators have said of their data centres. */
void node::useServers(time_point now)
{
    m_serverEntries = m_operatorRows.evacuations().marked(m_roster.entries());
    m_views.setServers(m_serverEntries, now);
    m_dispatcher.setEvacuations(m_operatorRows.evacuations(), now);
    apply(m_dispatcher.setServers(m_serverEntries, now));
}

void node::applyRoster()
{
    if (!m_roster.takeEntriesChanged())
        return;
    const auto now = suspendAwareNow();
    useServers(now);
    // Other instances also get the entries that this one keeps after a store outage.
    std::erase_if(m_encodedServers, [&](const auto &text) {
        return std::ranges::none_of(m_serverEntries, [&](const server_entry &entry) {
            return entry.id.str() == text.first;
        });
    });
    if (!m_roster.takeListChanged())
        return; // only the time that is left of a warm-up
    m_log.write(
            line_importance::state, "server list changed",
            {{"count", std::to_string(m_serverEntries.size())}, {"draining", m_roster.draining()}},
            now);
}

// Other instances.

instance_flags node::ownFlags(time_point now) const
{
    auto flags = m_views.flags(now);
    flags.shuttingDown = m_stopRequestedAt.has_value();
    return flags;
}

instance_report node::makeReport(time_point now) const
{
    instance_report report;
    report.sender = m_self;
    m_views.addToReport(report, now);
    report.flags = ownFlags(now);
    m_operatorRows.addTo(report.news);
    // The other instances would drop the servers that an incomplete list lacks.
    report.news.serversRevision = m_roster.isComplete() ? m_serversRevision : store_revision{};
    report.loads = reportOf(m_dispatcher.memberLoads(now));
    return report;
}

/** Applies what another instance knows, and fetches what is newer there. */
void node::applyNews(const instance_incarnation &sender, const fleet_news &news)
{
    const auto now = suspendAwareNow();
    m_views.applyNews(news, now);
    if (m_fleet.table().lacksInstances(news))
        m_fetcher.request(instancesPath, sender.address);
    const bool isLeftBehind = m_operatorRows.isLeftBehind(news, now);
    if (isFollowingStore() && m_views.storeReachable(now) && !isLeftBehind)
        return; // the pending requests to the store return the newer state
    m_operatorRows.requestNewer(news, m_fetcher, sender.address);
    if (news.serversRevision > m_serversRevision)
        m_fetcher.request(serversPath, sender.address);
}

bool node::isFollowingStore() const
{
    return m_configuration.isFollowing();
}

void node::addFetchedDocuments()
{
    m_operatorRows.fetchWith(m_fetcher, [this] { m_configuration.refresh(); });
    m_fetcher.add(serversPath, {[this](const std::string &body) { applyServers(body); },
                                [this] { m_servers.refresh(); }});
    m_fetcher.add(instancesPath, {[this](const std::string &body) { applyInstances(body); },
                                  [this] { m_views.requestRows(); }});
}

std::string node::serversDocument() const
{
    return json{{"revision", m_serversRevision}, {"servers", m_encodedServers}}.dump();
}

void node::applyServers(const std::string &document)
{
    try {
        const auto fields = json::parse(document);
        platform::store_rows content;
        content.revision = toRevision<store_revision>(fields.at("revision"));
        for (const auto &[id, text] : fields.at("servers").items())
            content.rows.push_back(
                    {{}, id, text.is_string() ? text.get<std::string>() : "", {}, false});
        if (content.revision > m_serversRevision)
            applyServerRows(content, true);
    } catch (const std::exception &failure) {
        rejectDocument(serversPath, failure.what());
    }
}

void node::rejectDocument(const std::string &path, const std::string &cause)
{
    m_metrics.countMalformedMessage();
    m_log.write(line_importance::failure, "message from another instance could not be decoded",
                {{"error", cause}, {"path", path}}, suspendAwareNow());
}

std::string node::instancesDocument() const
{
    const auto &table = m_fleet.table();
    json rows = json::array();
    std::ranges::for_each(table.registered(), [&](const instance_incarnation &each) {
        rows.push_back(coordination_rows::encode(each));
    });
    return json{{"read_at", table.instancesReadAt().count()},
                {"revision", table.instancesRevision()},
                {"instances", rows}}
            .dump();
}

void node::applyInstances(const std::string &document)
{
    try {
        const auto fields = json::parse(document);
        const auto revision = toRevision<store_revision>(fields.at("revision"));
        const auto now = suspendAwareNow();
        std::vector<instance_incarnation> instances;
        for (const auto &row : fields.at("instances")) {
            auto each = row.is_string() ? coordination_rows::decodeInstance(row.get<std::string>())
                                        : std::nullopt;
            if (each)
                instances.push_back(std::move(*each));
            else
                m_rejectedEntries.note(instancesPath, "#" + std::to_string(instances.size()),
                                       revision, "not a valid row", now);
        }
        m_fleet.table().setInstances(instances,
                                     reference_time(toInteger<std::int64_t>(fields.at("read_at"))),
                                     revision, now);
    } catch (const std::exception &failure) {
        rejectDocument(instancesPath, failure.what());
    }
}

/** \returns whether this instance waits for changes at the store: the supervisor, whose news reach
 * all instances, and the preferred instance of each of the first data centres.
 */
bool node::isFollower(time_point now) const
{
    if (m_views.isSupervisor())
        return true;
    // Right after a start every instance would consider itself preferred, because it does not know
    // the others yet.
    if (!m_views.hasReadRows() || now - m_startedAt < discoveryPeriod)
        return false;
    std::set<data_centre_id> dataCentres;
    for (const auto &each : m_fleet.table().candidates(ownFlags(now))) {
        if (!dataCentres.insert(each.dataCentre).second)
            continue;
        if (each.instance == m_self.instance)
            return true;
        if (dataCentres.size() == followedDataCentres)
            return false;
    }
    return false;
}

void node::updateInstances(time_point now)
{
    m_fleet.table().refresh(now);
    if (now - m_instancesUpdatedAt < instancesUpdateInterval)
        return;
    m_instancesUpdatedAt = now;
    const auto &table = m_fleet.table();
    std::vector<holder_location> holders{{holder_id(m_self.instance.str()), m_self.dataCentre}};
    std::ranges::transform(
            table.others(), std::back_inserter(holders), [](const instance_incarnation &each) {
                return holder_location{holder_id(each.instance.str()), each.dataCentre};
            });
    std::ranges::sort(holders);
    std::set<holder_id> live;
    std::ranges::transform(
            table.expectedLive(now), std::inserter(live, live.end()),
            [](const instance_incarnation &each) { return holder_id(each.instance.str()); });
    m_quota.setInstances(holders, live, now);
    m_dispatcher.setInstanceCount(table.instanceCount());
    std::vector<instance_id> registered;
    if (m_views.hasReadRows())
        std::ranges::transform(holders, std::back_inserter(registered),
                               [](const auto &each) { return instance_id(each.holder.str()); });
    m_memberWatch.update(m_serverEntries, table, m_dispatcher, now);
    m_brokers.update(m_directory, table, m_stopRequestedAt.has_value(), now);
    m_dispatcher.setRegisteredInstances(m_self.instance, registered, now); // after the brokers
    const bool following = isFollower(now);
    if (following && !isFollowingStore())
        m_roster.onStoreUnobserved(now);
    m_configuration.setFollowing(following);
    m_servers.setFollowing(following);
}

// Readiness and shutdown.

isolation_evidence node::isolationEvidence(time_point now) const
{
    const auto isUnreachable = [&](const server_entry &entry) {
        const auto unresponsiveSince = m_dispatcher.unresponsiveSince(entry.id);
        return entry.dataCentre != m_self.dataCentre
               && (m_dispatcher.consecutiveFailures(entry.id) > 0
                   || (unresponsiveSince && now - *unresponsiveSince > memberUnresponsiveTimeout));
    };
    const auto &table = m_fleet.table();
    return {table.hearsOtherDataCentres(now), table.hearsOwnDataCentre(now),
            m_store.unansweredFor(now), std::ranges::any_of(m_serverEntries, isUnreachable)};
}

bool node::isReady(time_point now) const
{
    return m_directory && m_roster.isLoaded() && !m_stopRequestedAt && !m_isolated
           && (m_ready ? m_views.anyViewUsable(now) || !m_views.storeReachable(now)
                       : m_views.allViewsUsable(now));
}

void node::updateReadiness(time_point now)
{
    const bool isolated = m_isolation.update(isolationEvidence(now), now);
    if (isolated != m_isolated) {
        m_isolated = isolated;
        m_log.write(line_importance::state,
                    isolated ? "isolated from other data centres"
                             : "no longer isolated from other data centres",
                    {}, now);
    }
    const bool ready = isReady(now);
    if (ready != m_ready) {
        m_ready = ready;
        m_log.write(line_importance::state, ready ? "ready for callers" : "not ready for callers",
                    {{"views_usable", m_views.allViewsUsable(now) ? "all" : "not all"},
                     {"isolated", m_isolated ? "true" : "false"},
                     {"stopping", m_stopRequestedAt ? "true" : "false"}},
                    now);
    }
    if (m_isolated)
        closeIdleCallers(maxSessionsClosedPerTick, now);
}

void node::stop()
{
    if (m_stopRequestedAt)
        return;
    const auto now = suspendAwareNow();
    m_stopRequestedAt = now;
    m_views.stopElections();
    m_log.write(line_importance::state, "stopping",
                {{"sessions", std::to_string(m_dispatcher.sessionCount())}}, now);
    updateReadiness(now);
    m_fleet.requestReports();
}

void node::advanceShutdown(time_point now)
{
    if (!m_stopRequestedAt)
        return;
    const auto elapsed = now - *m_stopRequestedAt;
    const graceful_shutdown course(shutdown_policy{}, m_settings.shutdownTimeout);
    m_dispatcher.setAcceptedWork(course.acceptedWork(elapsed));
    if (course.endsTransactions(elapsed))
        apply(m_dispatcher.rollBackIdleTransactionsOnAllServers(now));
    if (course.closesIdleSessions(elapsed))
        closeIdleCallers(course.sessionsToClose(m_dispatcher.sessionCount(), elapsed), now);
    if (course.endsStatements(elapsed))
        closeAllCallers(now);
    const bool empty = m_sessions.isEmpty() && m_brokers.isIdle();
    if ((empty && course.closesIdleSessions(elapsed)) || course.endsStatements(elapsed))
        deregister();
    if ((empty && m_isDeregistered) || course.mustExit(elapsed))
        exit();
}

void node::closeIdleCallers(std::size_t count, time_point now)
{
    apply(m_dispatcher.closeIdleSessions(count, now, [this](session_number session) {
        return m_sessions.hasMessages(session);
    }));
}

/** Answers what callers have sent, and closes their connections. */
void node::closeAllCallers(time_point now)
{
    m_sessions.stopAccepting();
    m_sessions.rejectWaiting({statement_error::busy, "the instance is shutting down"});
    apply(m_dispatcher.closeAllSessions(now));
    m_sessions.closeAll();
}

void node::deregister()
{
    if (std::exchange(m_isDeregistering, true))
        return;
    m_sessions.stopAccepting();
    m_views.deregister([this] { m_isDeregistered = true; });
}

void node::exit()
{
    if (std::exchange(m_isExiting, true))
        return;
    m_log.write(line_importance::state, "stopped",
                {{"sessions_left", std::to_string(m_sessions.openCount())},
                 {"unsent_bytes", std::to_string(m_sessions.undeliveredBytes())}},
                suspendAwareNow());
    m_loop.break_loop(ev::ALL);
}

void node::reload()
{
    const auto now = suspendAwareNow();
    try {
        auto settings = platform::readSettings(m_settingsFile);
        m_settings.drainPeriod = settings.drainPeriod;
        m_settings.shutdownTimeout = settings.shutdownTimeout;
        m_settings.configurationApplyTimeout = settings.configurationApplyTimeout;
        m_log.write(line_importance::state, "settings reloaded", {}, now);
    } catch (const error &failure) {
        m_log.write(line_importance::state, "settings not reloaded", {{"error", failure.what()}},
                    now);
    }
}

void node::tick()
{
    const auto now = suspendAwareNow();
    const auto step = [this](std::string_view subject, const std::function<void()> &handle) {
        m_guard.run(subject, handle);
    };
    m_members.removeClosed();
    step("list of servers", [&] { updateServers(now); });
    step("list of instances", [&] { updateInstances(now); });
    step("primary views", [&] { m_views.tick(now); });
    step("evacuations", [&] { m_operatorRows.tick(now); });
    step("rates", [&] { m_quota.tick(now); });
    step("sessions", [&] { m_sessions.tick(now); });
    step("brokers", [&] { m_brokers.tick(now); });
    step("statements", [&] { apply(m_dispatcher.tick(now)); });
    step("readiness", [&] { updateReadiness(now); });
    step("shutdown", [&] { advanceShutdown(now); });
    m_metrics.set({m_dispatcher.sessionCount(), m_dispatcher.queuedCount(),
                   m_dispatcher.connectionCount(), m_fleet.table().liveCount() + 1,
                   m_directory ? m_directory->version : 0, m_store.calls(), m_store.failures(),
                   m_log.dropped(), m_sessions.heldBytes(),
                   m_operatorRows.evacuations().dataCentres().size(), m_operatorRows.connections(),
                   m_ready, m_views.isSupervisor()});
}

void node::updateServers(time_point now)
{
    if (m_roster.tick(now) && isFollowingStore())
        m_servers.refresh(); // the new revision makes the other instances fetch the list
    applyRoster();
}

json node::state() const
{
    json views = json::array();
    for (const auto &view : m_views.ledger().views())
        views.push_back({{"database", view.database.str()},
                         {"primary", view.primary.str()},
                         {"term", view.term},
                         {"revision", view.revision},
                         {"steady", view.phase == view_phase::steady}});
    json instances = json::array();
    for (const auto &each : m_fleet.table().live())
        instances.push_back(each.instance.str());
    return {{"instance", m_self.instance.str()},
            {"ready", m_ready},
            {"isolated", m_isolated},
            {"configuration_version", m_directory ? m_directory->version : 0},
            {"sessions", m_dispatcher.sessionCount()},
            {"queued", m_dispatcher.queuedCount()},
            {"member_connections", m_dispatcher.connectionCount()},
            {"supervisor", m_views.claim().holder.str()},
            {"fence", m_views.claim().fencingToken},
            {"members", describe(m_dispatcher.memberCapacities(suspendAwareNow()))},
            {"views", views},
            {"live_instances", instances}};
}

void node::logState()
{
    m_log.write(line_importance::state, "state", {{"state", state().dump()}}, suspendAwareNow());
}

} // namespace sycamorespan::node
