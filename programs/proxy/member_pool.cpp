#include "programs/proxy/member_pool.h"

#include <algorithm>
#include <utility>

namespace sycamorespan::proxy {
namespace {

constexpr duration timerInterval = 50ms;
constexpr duration controlTimeout = 2s;
constexpr duration expectedDuration = 1ms;

/** The proxy applies its own timeout to statements. The scheduler must not abandon a transaction
 * that outlasts the deadline of its request, so the grace period is longer than any statement.
 */
slot_policy poolPolicy()
{
    slot_policy policy;
    policy.deadlineGrace = 24h;
    return policy;
}

} // namespace

member_pool::member_pool(ev::loop_ref loop, options settings, const random_source &random)
    : m_loop(loop)
    , m_options(std::move(settings))
    , m_scheduler(poolPolicy(), m_options.budget, random)
    , m_timer(loop, [this] { handleTimer(); })
    , m_deferredTimer(loop, [this] { runDeferred(); })
{
    m_timer.startRepeating(timerInterval);
}

member_pool::~member_pool() = default;

lease_number member_pool::acquire(const workspace_id &workspace, time_point deadline,
                                  granted_handler onGranted)
{
    const auto lease = ++m_lastLease;
    m_waiting.emplace(lease, waiting_request{workspace, std::move(onGranted)});
    defer([this, lease, workspace, deadline] {
        if (m_waiting.contains(lease))
            perform(m_scheduler.submit({lease, workspace, expectedDuration, deadline},
                                       monotonicNow()));
    });
    return lease;
}

void member_pool::release(lease_number lease, lease_use use)
{
    const auto waiting = m_waiting.find(lease);
    if (waiting != m_waiting.end()) {
        const auto workspace = waiting->second.workspace;
        m_waiting.erase(waiting);
        return perform(m_scheduler.cancel(workspace, lease, monotonicNow()));
    }
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return;
    const auto id = found->second;
    m_leases.erase(found);
    const auto &connection = m_connections.at(id);
    const bool isStateKnown = connection->currentState() == backend_connection::state::ready
                              && connection->isOutsideTransaction();
    const auto cleanState =
            use == lease_use::readOnly ? released_state::clean : released_state::needsReset;
    perform(m_scheduler.onReleased(id, lease, isStateKnown ? cleanState : released_state::unknown,
                                   monotonicNow()));
}

void member_pool::abortLeased()
{
    for (const auto &[lease, id] : m_leases) {
        defer([this, connection = id] {
            const auto found = m_connections.find(connection);
            if (found != m_connections.end())
                found->second->abort();
        });
    }
}

void member_pool::perform(const actions &list)
{
    for (const auto &action : list)
        std::visit([this](const auto &value) { perform(value); }, action);
}

void member_pool::perform(const open_connection &action)
{
    const auto id = action.connection;
    m_connections[id] = std::make_unique<backend_connection>(
            m_loop, m_options.connection, [this, id](bool success) { onConnected(id, success); });
}

void member_pool::onConnected(connection_id id, bool success)
{
    defer([this, id, success] {
        const auto now = monotonicNow();
        perform(success ? m_scheduler.onOpened(id, now) : m_scheduler.onOpenFailed(id, now));
    });
}

void member_pool::perform(const run_on_connection &action)
{
    auto node = m_waiting.extract(action.request);
    m_leases[action.request] = action.connection;
    if (node.empty())
        return release(action.request, lease_use::readOnly);
    node.mapped().onGranted(m_connections.at(action.connection).get(), {});
}

void member_pool::perform(const reset_connection &action)
{
    m_connections.at(action.connection)
            ->run({{{"DISCARD ALL"}}}, controlTimeout,
                  [this, id = action.connection](const backend_reply &reply) {
                      const auto now = monotonicNow();
                      const bool isReset = !reply.connectionLost && !reply.results.at(0).error;
                      perform(isReset ? m_scheduler.onReset(id, now)
                                      : m_scheduler.onClosed(id, now));
                  });
}

void member_pool::perform(const ping_connection &action)
{
    m_connections.at(action.connection)
            ->run({{{""}}}, controlTimeout,
                  [this, id = action.connection](const backend_reply &reply) {
                      const auto now = monotonicNow();
                      perform(reply.connectionLost ? m_scheduler.onClosed(id, now)
                                                   : m_scheduler.onPong(id, now));
                  });
}

void member_pool::perform(const close_connection &action)
{
    auto node = m_connections.extract(action.connection);
    if (node.empty())
        return;
    m_closed.push_back(std::move(node.mapped()));
    defer([this] { m_closed.clear(); });
}

void member_pool::perform(const refuse_request &action)
{
    auto node = m_waiting.extract(action.request);
    if (!node.empty())
        node.mapped().onGranted(nullptr, action.reason);
}

void member_pool::perform(const abandon_request &)
{
    // Never received, as deadlineGrace is longer than the longest statement.
}

void member_pool::handleTimer()
{
    const auto now = monotonicNow();
    for (const auto id : closedUnleasedConnections()) {
        perform(m_scheduler.onClosed(id, now));
        perform(close_connection{id});
    }
    perform(m_scheduler.onTimer(now));
}

/** Leased connections are left out: the holder of the lease detects the loss itself. */
std::vector<connection_id> member_pool::closedUnleasedConnections() const
{
    std::vector<connection_id> result;
    for (const auto &[id, connection] : m_connections) {
        const auto isForConnection = [id = id](const auto &lease) { return lease.second == id; };
        const bool isClosed = connection->currentState() == backend_connection::state::closed;
        if (isClosed && std::ranges::none_of(m_leases, isForConnection))
            result.push_back(id);
    }
    return result;
}

void member_pool::defer(std::function<void()> work)
{
    m_deferred.push_back(std::move(work));
    m_deferredTimer.startOnce(duration::zero());
}

void member_pool::runDeferred()
{
    for (const auto &work : std::exchange(m_deferred, {}))
        work();
}

} // namespace sycamorespan::proxy
