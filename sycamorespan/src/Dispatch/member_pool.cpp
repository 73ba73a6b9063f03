#include "sycamorespan/src/Dispatch/member_pool.h"
#include "sycamorespan/src/Core/map_projections.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sycamorespan {

namespace {

/** Delay after the first failed opening. The delay doubles with each failure up to the maximum.
 * The delays cover about the duration of one promotion, so that a member that is available again
 * is found within a fifth of a second.
 */
constexpr duration initialReopenDelay = 50ms;
constexpr duration maximumReopenDelay = 400ms;
constexpr int maximumDoublings = 3;

/** Weight of one opening in the moving average of their times. */
constexpr double openingSmoothing = 0.1;

/** Time after which one more connection is tried at a member that refused one because of its limit.
 */
constexpr duration connectionLimitGrowthInterval = 200ms;

} // namespace

member_pool::member_pool(server_entry entry)
    : m_entry(std::move(entry))
    , m_limit(m_entry.slots)
{ }

void member_pool::setEntry(server_entry entry)
{
    m_entry = std::move(entry);
    m_limit.setSlots(m_entry.slots);
}

member_connection *member_pool::findIdleConnection(const workspace_id &workspace,
                                                   const session_values &values,
                                                   const prepared_statement *executed)
{
    member_connection *best = nullptr;
    std::size_t bestCost = 0;
    for (auto &[key, each] : m_connections) {
        if (each.state != member_connection::phase::idle || each.workspace != workspace)
            continue;
        const auto cost = each.setup.costFor(values, executed);
        if (best && cost >= bestCost)
            continue;
        best = &each;
        bestCost = cost;
    }
    return best;
}

member_connection *member_pool::findLongestIdleOfOthers(const workspace_id &workspace,
                                                        time_point now, duration leastIdle)
{
    member_connection *oldest = nullptr;
    for (auto &[key, each] : m_connections) {
        if (each.state != member_connection::phase::idle || each.workspace == workspace)
            continue;
        if (now - each.since >= leastIdle && (!oldest || each.since < oldest->since))
            oldest = &each;
    }
    return oldest;
}

member_connection &member_pool::add(connection_id id, workspace_id workspace, time_point now)
{
    auto &added = m_connections[id];
    added.id = id;
    added.workspace = std::move(workspace);
    added.since = now;
    return added;
}

member_connection *member_pool::find(connection_id id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : &found->second;
}

bool member_pool::hasConnectionOf(const workspace_id &workspace) const
{
    return std::ranges::any_of(
            m_connections,
            [&](const member_connection &each) { return each.workspace == workspace; }, mappedOf);
}

bool member_pool::isOpening(connection_id id) const
{
    const auto found = m_connections.find(id);
    return found != m_connections.end() && found->second.state == member_connection::phase::opening;
}

std::size_t member_pool::occupiedSlots() const
{
    const auto occupiesSlot = [](const member_connection &each) {
        return each.state == member_connection::phase::opening || !each.pending.empty();
    };
    return static_cast<std::size_t>(std::ranges::count_if(m_connections, occupiesSlot, mappedOf));
}

void member_pool::recordMessage(time_point now)
{
    m_lastMessageAt = now;
    m_failures = 0;
    m_openAfter = {};
}

void member_pool::recordConnectionFailure(time_point now)
{
    const int doublings = std::min(m_failures, maximumDoublings);
    ++m_failures;
    m_openAfter = now + std::min(initialReopenDelay * (1 << doublings), maximumReopenDelay);
}

void member_pool::pauseOpening(time_point now)
{
    m_openAfter = now + maximumReopenDelay / 2;
}

void member_pool::recordConnectionLimit(time_point now)
{
    const auto isOpen = [](const member_connection &each) {
        return each.state != member_connection::phase::opening;
    };
    const auto open = std::ranges::count_if(m_connections, isOpen, mappedOf);
    m_connectionLimit = std::max<std::size_t>(static_cast<std::size_t>(open), 1);
    m_connectionLimitAt = now;
}

std::size_t member_pool::connectionLimit(time_point now) const
{
    if (!m_connectionLimit)
        return std::numeric_limits<std::size_t>::max();
    return *m_connectionLimit
           + static_cast<std::size_t>((now - m_connectionLimitAt) / connectionLimitGrowthInterval);
}

std::optional<time_point> member_pool::unresponsiveSince() const
{
    std::optional<time_point> oldest;
    for (const auto &[key, each] : m_connections) {
        std::optional<time_point> waiting;
        if (each.state == member_connection::phase::opening)
            waiting = each.since;
        else if (!each.pending.empty())
            waiting = each.pending.front().sentAt;
        if (waiting && (!oldest || *waiting < *oldest))
            oldest = waiting;
    }
    if (!oldest)
        return std::nullopt;
    return std::max(*oldest, m_lastMessageAt.value_or(*oldest));
}

void member_pool::observeOpening(duration took)
{
    m_openingSeconds += openingSmoothing * (toSeconds(took) - m_openingSeconds);
}

void member_pool::observePosition(log_position position, time_point now)
{
    m_position = position;
    m_positionObservedAt = now;
}

void member_pool::noteState(server_state state, duration settlingTime, time_point now)
{
    if (state == server_state::ready) {
        if (m_drainingSince && !m_readyAgainAt)
            m_readyAgainAt = now;
        return;
    }
    const bool isNewDrain = m_readyAgainAt && now - *m_readyAgainAt > settlingTime;
    if (!m_drainingSince || isNewDrain)
        m_drainingSince = now;
    m_readyAgainAt.reset();
}

} // namespace sycamorespan
