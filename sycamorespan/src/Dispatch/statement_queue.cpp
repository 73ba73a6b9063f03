#include "sycamorespan/src/Dispatch/statement_queue.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace sycamorespan {

std::string_view nameOf(refusal_cause cause)
{
    static constexpr std::array<std::string_view, 9> names{
            "none",     "rate",    "backlog",  "queue_full", "no_primary",
            "deadline", "repeats", "shutdown", "not_allowed"};
    return names.at(static_cast<std::size_t>(cause));
}

/** \returns the latest time at which the statement meets its objective if it is served at once. */
statement_queue::late_key statement_queue::lateKeyOf(const waiting_statement &statement)
{
    return {statement.latencyDeadline - statement.expectedTime, statement.session};
}

void statement_queue::insert(const waiting_statement &statement, time_point now)
{
    const auto charged = statement.isRepeat
                                 ? duration::zero()
                                 : fromSeconds(toSeconds(statement.expectedTime) / statement.share);
    const auto start = statement.isRepeat ? m_shares.now() : m_shares.begin(statement.workspace);
    m_shares.charge(statement.workspace, charged);
    const bool isLate = lateKeyOf(statement).first < now;
    const order_key key{isLate, isLate ? 0 : statement.priority, start,
                        isLate ? statement.deadline : statement.latencyDeadline, statement.session};
    m_order.insert(key);
    if (!isLate)
        m_becomesLate.insert(lateKeyOf(statement));
    ++m_waiting[statement.workspace];
    m_entries.emplace(statement.session, entry{statement, key, charged});
}

std::optional<statement_queue::entry> statement_queue::remove(std::uint64_t session)
{
    auto found = m_entries.extract(session);
    if (found.empty())
        return std::nullopt;
    const auto &removed = found.mapped();
    m_order.erase(removed.key);
    m_becomesLate.erase(lateKeyOf(removed.statement));
    const auto waiting = m_waiting.find(removed.statement.workspace);
    if (--waiting->second == 0)
        m_waiting.erase(waiting);
    return std::move(found.mapped());
}

bool statement_queue::erase(std::uint64_t session)
{
    const auto removed = remove(session);
    if (removed)
        m_shares.charge(removed->statement.workspace, -removed->charged);
    return removed.has_value();
}

bool statement_queue::take(std::uint64_t session)
{
    const auto found = firstLessUrgent();
    const auto lessUrgent = found == m_order.end() ? std::nullopt : std::optional(*found);
    const auto taken = remove(session);
    if (!taken)
        return false;
    const bool passesOver = lessUrgent && taken->key < *lessUrgent;
    m_urgentServices = passesOver ? m_urgentServices + 1 : 0;
    m_shares.advanceTo(taken->key.start);
    m_shares.removeIdle([this](const workspace_id &each) { return m_waiting.contains(each); });
    return true;
}

void statement_queue::advance(time_point now)
{
    while (!m_becomesLate.empty() && m_becomesLate.begin()->first < now) {
        auto &late = m_entries.at(m_becomesLate.begin()->second);
        m_becomesLate.erase(m_becomesLate.begin());
        m_order.erase(late.key);
        late.key.isLate = true;
        late.key.priority = 0;
        late.key.due = late.statement.deadline;
        m_order.insert(late.key);
    }
}

/** \returns the first statement that is less urgent than the first one. */
std::set<statement_queue::order_key>::const_iterator statement_queue::firstLessUrgent() const
{
    if (m_order.empty())
        return m_order.end();
    auto bound = *m_order.begin();
    bound.start = duration::max();
    bound.due = time_point::max();
    bound.session = std::numeric_limits<std::uint64_t>::max();
    return m_order.upper_bound(bound);
}

std::vector<std::uint64_t> statement_queue::order() const
{
    std::vector<std::uint64_t> result;
    result.reserve(m_order.size());
    std::ranges::transform(m_order, std::back_inserter(result), &order_key::session);
    const auto lessUrgent = firstLessUrgent();
    if (m_urgentServices >= urgentServices && lessUrgent != m_order.end()) {
        const auto turn = std::ranges::find(result, lessUrgent->session);
        std::rotate(result.begin(), turn, std::next(turn));
    }
    return result;
}

std::optional<std::uint64_t> statement_queue::last() const
{
    if (m_order.empty())
        return std::nullopt;
    return m_order.rbegin()->session;
}

} // namespace sycamorespan
