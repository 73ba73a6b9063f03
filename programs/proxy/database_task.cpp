#include "programs/proxy/database_task.h"

#include <algorithm>
#include <charconv>
#include <ranges>
#include <utility>

#include <nlohmann/json.hpp>

#include "sycamorespan/src/Protocol/internal/byte_reader.h"

namespace sycamorespan::proxy {
namespace {

constexpr duration statusTimeout = 300ms;
/** Period during which a replica that gave no connection is not used for reads. */
constexpr duration unreachableExclusion = 1s;

group_view emptyView(const database_id &database)
{
    group_view view;
    view.database = database;
    return view;
}

/** \returns the values of the only row of \a result. */
std::vector<std::string> onlyRow(const sql_result &result)
{
    if (result.error)
        throw decode_error(result.error->message);
    internal::byte_reader reader(result.rows);
    if (reader.readByte() != 'D')
        throw decode_error("result does not start with a data row");
    reader.readInt32();
    std::vector<std::string> values(reader.readCount());
    std::ranges::generate(values, [&reader] {
        const auto length = reader.readInt32();
        return length < 0 ? std::string() : std::string(reader.take(std::size_t(length)));
    });
    reader.expectEnd();
    return values;
}

template<typename Number>
Number toNumber(const std::string &text)
{
    Number value = 0;
    const auto *const last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, value);
    if (code != std::errc() || end != last)
        throw decode_error("'" + text + "' is not a number");
    return value;
}

std::optional<duration> parseStaleness(const std::string &text)
{
    const auto milliseconds = toNumber<std::int64_t>(text);
    if (milliseconds < 0)
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

member_status parseStatus(const sql_result &result)
{
    constexpr std::size_t statusColumns = 8;
    const auto values = onlyRow(result);
    if (values.size() != statusColumns)
        throw decode_error("group_status returned an unexpected number of columns");
    member_status status;
    status.term = toNumber<term_number>(values[0]);
    status.role = parseMemberRole(values[1]);
    status.position = {toNumber<term_number>(values[2]), toNumber<std::uint64_t>(values[3])};
    status.staleness = parseStaleness(values[4]);
    status.followers = parseFollowers(values[5]);
    return status;
}

} // namespace

sql_request reportQuery()
{
    return {"SELECT * FROM group_position()"};
}

member_report parseReport(const sql_result &result, time_point queriedAt)
{
    constexpr std::size_t reportColumns = 5;
    const auto values = onlyRow(result);
    if (values.size() != reportColumns)
        throw decode_error("group_position returned an unexpected number of columns");
    return {parseMemberRole(values[3]),
            toNumber<term_number>(values[4]),
            {toNumber<term_number>(values[0]), toNumber<std::uint64_t>(values[1])},
            parseStaleness(values[2]),
            queriedAt};
}

database_task::database_task(ev::loop_ref loop, database_id database,
                             const database_options &options, suspect_handler onSuspect,
                             const random_source &random)
    : m_loop(loop)
    , m_database(std::move(database))
    , m_options(options)
    , m_onSuspect(std::move(onSuspect))
    , m_random(random)
    , m_log("members")
    , m_tracker({}, emptyView(m_database))
    , m_trackerTimer(loop, [this] { handle(time_passed{}); })
{ }

database_task::~database_task() = default;

void database_task::setMembers(const std::vector<configuration::member_entry> &members)
{
    for (const auto &entry : members) {
        auto &target = m_members[entry.server];
        if (target.pool && target.entry.address == entry.address)
            continue;
        drainPool(target);
        target.entry = entry;
        openPool(target);
    }
    const auto isConfigured = [&members](const server_id &server) {
        return std::ranges::find(members, server, &configuration::member_entry::server)
               != members.end();
    };
    for (auto &[server, target] : m_members) {
        if (!isConfigured(server))
            drainPool(target);
    }
    std::erase_if(m_members, [](const auto &known) { return !known.second.pool; });
    std::erase_if(m_drainingPools, [](const auto &pool) { return pool->leasedConnections() == 0; });
}

/** Creates the pool of a member. One whose address can't be used gets none and is left out. */
void database_task::openPool(member &target)
{
    try {
        target.pool = std::make_unique<member_pool>(
                m_loop, member_pool::options{connectionOptions(target), m_options.budget},
                m_random);
    } catch (const decode_error &failure) {
        ++m_counters.rejectedMembers;
        m_log.write(log_level::warning, "entry of a member could not be decoded",
                    {{"database", m_database.str()},
                     {"server", target.entry.server.str()},
                     {"reason", failure.what()}});
    }
}

void database_task::drainPool(member &target)
{
    if (target.pool)
        m_drainingPools.push_back(std::move(target.pool));
}

void database_task::updateView(const group_view &view)
{
    const auto before = m_tracker.view();
    handle(view_learned{view});
    if (m_tracker.view().term == before.term)
        return;
    ++m_counters.viewChanges;
    // The old primary can't complete anything, as a majority is fenced. If it hangs, its callers
    // would wait for the statement timeout, so their connections are closed here.
    if (auto *oldPool = before.primary == m_tracker.view().primary ? nullptr : pool(before.primary))
        oldPool->abortLeased();
}

member_pool *database_task::pool(const server_id &server)
{
    const auto found = m_members.find(server);
    return found == m_members.end() ? nullptr : found->second.pool.get();
}

std::vector<server_id> database_task::replicaCandidates(const log_position &floor) const
{
    struct candidate
    {
        bool isInOtherDataCentre = false;
        std::size_t load = 0;
        server_id server;
        auto operator<=>(const candidate &) const = default;
    };
    std::vector<candidate> candidates;
    for (const auto &[server, target] : m_members) {
        const bool behind = target.lastReport && target.lastReport->position < floor
                            && monotonicNow() - target.lastReport->queriedAt < 5ms;

        if (server != view().primary && !behind && target.avoidUntil <= monotonicNow())
            candidates.push_back({target.entry.dataCentre != m_options.dataCentre,
                                  target.pool->leasedConnections() + target.pool->waiting(),
                                  server});
    }
    std::ranges::sort(candidates);
    std::vector<server_id> servers;
    std::ranges::transform(candidates, std::back_inserter(servers), &candidate::server);
    return servers;
}

void database_task::noteUnreachable(const server_id &server)
{
    const auto found = m_members.find(server);
    if (found != m_members.end())
        found->second.avoidUntil = monotonicNow() + unreachableExclusion;
}

void database_task::noteReport(const server_id &server, const member_report &report)
{
    const auto found = m_members.find(server);
    if (found != m_members.end())
        found->second.lastReport = report;
}

waiter_id database_task::waitForMajority(const log_position &position, time_point deadline,
                                         majority_handler onDecided)
{
    const auto waiter = ++m_lastWaiter;
    m_majorityHandlers.emplace(waiter, std::move(onDecided));
    handle(wait_started{waiter, position, deadline});
    return waiter;
}

void database_task::abandonWait(waiter_id waiter)
{
    if (m_majorityHandlers.erase(waiter) > 0)
        handle(wait_abandoned{waiter});
}

nlohmann::json database_task::state() const
{
    auto members = nlohmann::json::object();
    for (const auto &[server, target] : m_members) {
        members[server.str()] = {{"address", target.entry.address},
                                 {"connections", target.pool->openConnections()},
                                 {"leased", target.pool->leasedConnections()},
                                 {"waiting", target.pool->waiting()}};
    }
    return {{"term", view().term},
            {"primary", view().primary.str()},
            {"commits_waiting", m_tracker.waiting()},
            {"members", members}};
}

void database_task::handle(const commit_tracker_event &event)
{
    for (const auto &action : m_tracker.handle(event, monotonicNow()))
        std::visit([this](const auto &value) { perform(value); }, action);
    scheduleTracker();
}

void database_task::perform(const request_status &action)
{
    ++m_counters.statusRequests;
    const bool reusable = m_monitor && m_monitoredServer == action.server && !action.freshConnection
                          && m_monitor->currentState() == backend_connection::state::ready;
    if (reusable)
        return queryStatus(action);
    const auto found = m_members.find(action.server);
    if (found == m_members.end())
        return;
    if (m_monitor)
        m_replacedMonitors.push_back(std::move(m_monitor));
    m_monitoredServer = action.server;
    m_monitor = std::make_unique<backend_connection>(m_loop, connectionOptions(found->second),
                                                     [this, action](bool connected) {
                                                         if (connected)
                                                             queryStatus(action);
                                                         else
                                                             handle(status_failed{action.request});
                                                     });
}

void database_task::queryStatus(const request_status &action)
{
    m_replacedMonitors.clear();
    m_monitor->run(
            {{{"SELECT * FROM group_status()"}}}, statusTimeout,
            [this, action](const backend_reply &reply) { handleStatusReply(action, reply); });
}

void database_task::handleStatusReply(const request_status &action, const backend_reply &reply)
{
    if (reply.connectionLost)
        return handle(status_failed{action.request});
    try {
        handle(status_answered{action.request, action.server, parseStatus(reply.results.at(0))});
    } catch (const decode_error &) {
        handle(status_failed{action.request});
    }
}

void database_task::perform(const release_waiter &action)
{
    ++m_counters.commitsReleased;
    finishWait(action.waiter, true);
}

void database_task::perform(const report_unknown &action)
{
    ++m_counters.commitsUnknown;
    finishWait(action.waiter, false);
}

void database_task::perform(const suspect_primary &action)
{
    m_onSuspect(action);
}

void database_task::finishWait(waiter_id waiter, bool hasMajority)
{
    auto node = m_majorityHandlers.extract(waiter);
    if (!node.empty())
        node.mapped()(hasMajority);
}

void database_task::scheduleTracker()
{
    const auto deadline = m_tracker.nextDeadline();
    if (!deadline)
        return m_trackerTimer.stop();
    m_trackerTimer.startOnce(std::max(duration::zero(), *deadline - monotonicNow()));
}

backend_connection::options database_task::connectionOptions(const member &target) const
{
    return {parseEndpoint(target.entry.address), m_options.backendPassword,
            m_options.applicationName};
}

} // namespace sycamorespan::proxy
