#ifndef SYCAMORESPAN_POOLING_FAIR_SHARES_H
#define SYCAMORESPAN_POOLING_FAIR_SHARES_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <algorithm>
#include <unordered_map>

namespace sycamorespan {

/** \brief Virtual times of start-time fair queueing.
 *
 * The virtual time of a workspace is the slot time that it has used. One that was idle continues at
 * the virtual time of the queue, so that it gains no advantage from its idle time beyond a credit.
 */
class fair_shares
{
public:
    /** \param idleCredit  slot time that a workspace may use at once after an idle time */
    explicit fair_shares(duration idleCredit = {})
        : m_idleCredit(idleCredit)
    { }

    /** \returns the virtual time at which the next work of \a workspace starts. */
    duration startOf(const workspace_id &workspace) const
    {
        const auto known = m_used.find(workspace);
        const auto earliest = m_now - m_idleCredit;
        return known == m_used.end() ? earliest : std::max(known->second, earliest);
    }

    /** \brief Ends the idle time of \a workspace. \returns its virtual time */
    duration begin(const workspace_id &workspace) { return m_used[workspace] = startOf(workspace); }

    /** \brief Adds to the slot time that \a workspace has used; a negative one refunds it. */
    void charge(const workspace_id &workspace, duration slotTime)
    {
        m_used.try_emplace(workspace, m_now - m_idleCredit).first->second += slotTime;
    }

    /** \returns the slot time that \a workspace has used. */
    duration usedBy(const workspace_id &workspace) const
    {
        const auto known = m_used.find(workspace);
        return known == m_used.end() ? m_now - m_idleCredit : known->second;
    }

    /** \brief Advances the virtual time of the queue to that of work which begins. */
    void advanceTo(duration start) { m_now = std::max(m_now, start); }

    /** \returns the virtual time of the queue. */
    duration now() const { return m_now; }

    /** \brief Forgets the workspaces that new ones equal and for which \a isWaiting is false. */
    template<typename Predicate>
    void removeIdle(Predicate isWaiting)
    {
        if (m_used.size() < m_sweepThreshold)
            return;
        std::erase_if(m_used, [&](const auto &item) {
            return item.second <= m_now - m_idleCredit && !isWaiting(item.first);
        });
        m_sweepThreshold = m_used.size() * 2 + leastSweepThreshold;
    }

private:
    static constexpr std::size_t leastSweepThreshold = 64;

    duration m_idleCredit;
    std::unordered_map<workspace_id, duration> m_used;
    duration m_now{};
    std::size_t m_sweepThreshold = leastSweepThreshold;
};

} // namespace sycamorespan

#endif
