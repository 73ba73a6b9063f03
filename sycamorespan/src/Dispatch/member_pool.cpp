#include "sycamorespan/src/Dispatch/member_pool.h"
#include "sycamorespan/src/Core/map_projections.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

namespace {

/** First pause after a failed opening; it doubles up to the longest. About one promotion's worth
 * of tries, so that a member that is back is found within a fifth of a second.
 */
constexpr duration shortestReopening = 50ms;
constexpr duration longestReopening = 400ms;
constexpr int doublingsLimit = 3;

/** Weight of one statement in the moving average of a member's slowness. */
constexpr double slownessWeight = 0.1;
constexpr double slownessLimit = 20;

bool needsDiscard(const session_values &held, const session_values &wanted)
{
    return std::ranges::any_of(held,
                               [&](const auto &value) { return !wanted.contains(value.first); });
}

} // namespace

std::size_t setupCost(const member_connection &connection, const session_values &values,
                      const std::string &preparedName)
{
    const bool prepares = !preparedName.empty();
    if (needsDiscard(connection.values, values))
        return 1 + values.size() + (prepares ? 1 : 0);
    const auto differs = [&](const auto &value) {
        const auto held = connection.values.find(value.first);
        return held == connection.values.end() || held->second != value.second;
    };
    const auto settings = std::ranges::count_if(values, differs);
    const bool missing = prepares && !connection.prepared.contains(preparedName);
    return static_cast<std::size_t>(settings) + (missing ? 1 : 0);
}

member_pool::member_pool(server_entry entry)
    : m_entry(std::move(entry))
{ }

member_connection *member_pool::idleFor(const workspace_id &workspace, const session_values &values,
                                        const std::string &preparedName)
{
    member_connection *best = nullptr;
    std::size_t bestCost = 0;
    for (auto &[key, each] : m_connections) {
        if (each.state != member_connection::phase::idle || each.workspace != workspace)
            continue;
        const auto cost = setupCost(each, values, preparedName);
        if (best && cost >= bestCost)
            continue;
        best = &each;
        bestCost = cost;
    }
    return best;
}

member_connection *member_pool::longestIdleOfOthers(const workspace_id &workspace, time_point now,
                                                    duration leastIdle)
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

bool member_pool::isOpening(connection_id id) const
{
    const auto found = m_connections.find(id);
    return found != m_connections.end() && found->second.state == member_connection::phase::opening;
}

std::size_t member_pool::working() const
{
    const auto isWorking = [](const member_connection &each) {
        return each.state == member_connection::phase::bound;
    };
    return static_cast<std::size_t>(std::ranges::count_if(m_connections, isWorking, mappedOf));
}

void member_pool::heard(time_point now)
{
    m_lastHeard = now;
    m_failures = 0;
    m_openAfter = {};
}

void member_pool::failed(time_point now)
{
    const int doublings = std::min(m_failures, doublingsLimit);
    ++m_failures;
    m_openAfter = now + std::min(shortestReopening * (1 << doublings), longestReopening);
}

void member_pool::pauseOpening(time_point now)
{
    m_openAfter = now + longestReopening / 2;
}

std::optional<time_point> member_pool::silentSince() const
{
    std::optional<time_point> oldest;
    for (const auto &[key, each] : m_connections) {
        std::optional<time_point> waiting;
        if (each.state == member_connection::phase::opening)
            waiting = each.since;
        else if (!each.pending.empty())
            waiting = each.pending.front().sent;
        if (waiting && (!oldest || *waiting < *oldest))
            oldest = waiting;
    }
    if (!oldest)
        return std::nullopt;
    return std::max(*oldest, m_lastHeard.value_or(*oldest));
}

void member_pool::observeSlowness(double ratio)
{
    m_slowness += slownessWeight * (std::min(ratio, slownessLimit) - m_slowness);
}

void member_pool::observePosition(log_position position, time_point now)
{
    m_position = position;
    m_positionSeen = now;
}

} // namespace sycamorespan
