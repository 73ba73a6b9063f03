#include "programs/proxy/member_pool.h"

#include <algorithm>
#include <utility>

namespace sycamorespan::proxy {
namespace {

constexpr duration checkInterval = 10ms;

} // namespace

member_pool::member_pool(ev::loop_ref loop, options settings)
    : m_loop(loop)
    , m_options(std::move(settings))
    , m_timer(loop, [this] { serve(); })
{ }

member_pool::~member_pool() = default;

lease_number member_pool::acquire(const workspace_id &, time_point deadline,
                                  granted_handler onGranted)
{
    m_waiting.push_back({++m_lastLease, deadline, std::move(onGranted)});
    scheduleNow();
    return m_lastLease;
}

void member_pool::release(lease_number lease)
{
    std::erase_if(m_waiting, [lease](const request &entry) { return entry.lease == lease; });
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return;
    auto &entry = *found->second;
    m_leases.erase(found);
    entry.lease = 0;
    const bool reusable = entry.connection->currentState() == backend_connection::state::ready
                          && entry.connection->isOutsideTransaction();
    entry.failed = !reusable;
    scheduleNow();
}

void member_pool::serve()
{
    removeClosed();
    refuseOverdue();
    for (auto &entry : m_connections) {
        if (m_waiting.empty())
            break;
        if (entry.lease != 0
            || entry.connection->currentState() != backend_connection::state::ready)
            continue;
        auto next = std::move(m_waiting.front());
        m_waiting.pop_front();
        entry.lease = next.lease;
        m_leases[next.lease] = &entry;
        next.onGranted(entry.connection.get(), {});
    }
    const auto connecting = static_cast<std::size_t>(
            std::ranges::count_if(m_connections, [](const pooled_connection &entry) {
                return entry.connection->currentState() == backend_connection::state::connecting;
            }));
    if (m_waiting.size() > connecting && m_connections.size() < m_options.maximumConnections)
        openConnection();
    if (!m_waiting.empty())
        m_timer.startOnce(checkInterval);
}

void member_pool::openConnection()
{
    auto &entry = m_connections.emplace_back();
    entry.connection = std::make_unique<backend_connection>(
            m_loop, m_options.connection,
            [this, &entry](bool success) { connected(entry, success); });
}

void member_pool::connected(pooled_connection &entry, bool success)
{
    entry.failed = !success;
    const bool anyReady = std::ranges::any_of(m_connections, [](const pooled_connection &other) {
        const auto state = other.connection->currentState();
        return state == backend_connection::state::ready
               || state == backend_connection::state::busy;
    });
    if (!success && !anyReady)
        refuseAll(pool_refusal::unreachable);
    scheduleNow();
}

void member_pool::removeClosed()
{
    std::erase_if(m_connections, [](const pooled_connection &entry) {
        const bool isClosed = entry.connection->currentState() == backend_connection::state::closed;
        return entry.lease == 0 && (entry.failed || isClosed);
    });
}

void member_pool::refuseAll(pool_refusal reason)
{
    for (const auto &entry : std::exchange(m_waiting, {}))
        entry.onGranted(nullptr, reason);
}

void member_pool::refuseOverdue()
{
    const auto now = monotonicNow();
    std::deque<request> overdue;
    std::erase_if(m_waiting, [&](request &entry) {
        if (entry.deadline > now)
            return false;
        overdue.push_back(std::move(entry));
        return true;
    });
    for (const auto &entry : overdue)
        entry.onGranted(nullptr, pool_refusal::deadline);
}

void member_pool::scheduleNow()
{
    m_timer.startOnce(duration::zero());
}

} // namespace sycamorespan::proxy
