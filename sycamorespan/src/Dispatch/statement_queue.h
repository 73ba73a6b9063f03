#ifndef SYCAMORESPAN_DISPATCH_STATEMENT_QUEUE_H
#define SYCAMORESPAN_DISPATCH_STATEMENT_QUEUE_H

#include "sycamorespan/src/Dispatch/waiting_statement.h"
#include "sycamorespan/src/Pooling/fair_shares.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sycamorespan {

/** \brief Order of the statements that wait for one database.
 *
 * Statements that can still meet their latency objective precede the others, and urgent ones the
 * less urgent. Among equals, start-time fair queueing divides the slot time among workspaces by
 * their shares. After urgentServices statements, one of a less urgent kind is first.
 *
 * insert(), erase() and take() take logarithmic time.
 */
class statement_queue
{
public:
    /** Number of services after which a waiting statement of a less urgent kind is first. */
    static constexpr std::size_t urgentServices = 16;
    /** Slot time for which statements that arrive together precede those of workspaces that always
     * have some waiting.
     */
    static constexpr duration idleCredit = 100ms;

    /** \brief Adds a statement, whose session must not be waiting. */
    void insert(const waiting_statement &statement, time_point now);

    /** \brief Removes the statement of a session that is not served, and refunds its slot time.
     * \returns whether it was waiting
     */
    bool erase(std::uint64_t session);

    /** \brief Removes the statement of a session that is served. \returns whether it was waiting */
    bool take(std::uint64_t session);

    /** \brief Moves statements that can no longer meet their objective behind the others. */
    void advance(time_point now);

    /** \returns the sessions of all statements in the order in which they are to be served. */
    std::vector<std::uint64_t> order() const;

    /** \returns the session that would be served last; nothing if none waits. */
    std::optional<std::uint64_t> last() const;

    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

private:
    struct order_key
    {
        bool isLate = false; ///< it can't meet its objective any more
        int priority = 0; ///< 0 for late statements
        duration start{}; ///< virtual time at which the statement is due
        time_point due;
        std::uint64_t session = 0;

        auto operator<=>(const order_key &) const = default;
    };
    struct entry
    {
        waiting_statement statement;
        order_key key;
        duration charged{};
    };
    using late_key = std::pair<time_point, std::uint64_t>;

    static late_key lateKeyOf(const waiting_statement &statement);
    std::optional<entry> remove(std::uint64_t session);
    std::set<order_key>::const_iterator firstLessUrgent() const;

    std::set<order_key> m_order;
    std::unordered_map<std::uint64_t, entry> m_entries;
    std::unordered_map<workspace_id, std::size_t> m_waiting; ///< statements of each workspace
    std::set<late_key> m_becomesLate; ///< when each statement that isn't late becomes so
    fair_shares m_shares{idleCredit};
    std::size_t m_urgentServices = 0; ///< since a less urgent statement was served
};

} // namespace sycamorespan

#endif
