#ifndef SYCAMORESPAN_FAILOVER_SUPERVISION_H
#define SYCAMORESPAN_FAILOVER_SUPERVISION_H

#include "sycamorespan/src/Failover/group_supervisor.h"
#include "sycamorespan/src/Failover/supervisor_election.h"

#include <optional>
#include <vector>

namespace sycamorespan {

/** \brief Election of the supervisor and the changes of primary that it runs, as one state machine.
 *
 * An event that brings a higher fencing token ends the running changes before it returns, so that
 * no view is written and no promotion is ordered with a token that is not the newest known one.
 * Three more measures cover the time until a former supervisor learns of its successor:
 * - Each view is written on condition that the store still holds the writer's claim.
 * - A promotion is ordered only within change_policy::orderSendTimeout of the last time at which
 *   the store is known to have held the claim.
 * - If the rows show an order of a former supervisor, the successor orders nothing until that order
 *   can no longer take effect. The first supervisor in an era of the store always waits so long, as
 *   the rows of such an order may be lost.
 */
class supervision
{
public:
    supervision(const instance_id &self, std::uint64_t incarnation, const election_policy &election,
                const supervision_policy &policy, const view_policy &views, time_point now);

    // Election.

    /** \brief Applies the rows as read from the store.
     *  \param claim  the row of the claim; default-constructed if there is none
     *  \param views  the rows of all views
     *  \param clock  a reading of the store's clock after the read
     */
    change_outputs onRowsRead(const supervisor_claim &claim, const std::vector<primary_view> &views,
                              reference_time clock, time_point now);
    /** \brief The store has answered in \a era. In an era after that of its claim this instance is
     * no longer the supervisor.
     */
    change_outputs onStoreEra(store_era era);
    /** \brief Another instance knows of a supervisor with this fencing token. */
    change_outputs onClaimReported(const instance_id &holder, fencing_token fencingToken,
                                   time_point now);
    /** \returns the claim to write now, or nothing. */
    std::optional<supervisor_claim> propose(const election_context &context, time_point now);
    /** \brief The proposed claim was written.
     *  \param committed  a reading of the store's clock after the write
     */
    change_outputs onClaimWritten(reference_time committed, time_point now);
    /** \brief The row of the claim had changed. */
    void onClaimConflict(time_point now) { m_election.onConflict(now); }
    /** \brief The write of the claim had no answer. */
    void onClaimWriteUnknown(time_point now) { m_election.onUnknown(now); }

    bool isSupervisor() const { return m_election.isSupervisor(); }
    /** \returns whether the rows must be read before the next claim or order. */
    bool needsRead() const { return m_election.awaitsRead() || (isSupervisor() && !m_hasReadRows); }
    /** \returns the claim with the highest known fencing token, whichever instance wrote it. */
    const supervisor_claim &newestClaim() const { return m_election.newestClaim(); }

    // Changes of primary.

    change_outputs tick(supervision_context context, time_point now);
    /** \brief The view was written together with the check of the claim.
     *  \param written    the view, with the revision that it has replaced
     *  \param committed  a reading of the store's clock after the write
     */
    change_outputs onViewWritten(const primary_view &written, reference_time committed,
                                 supervision_context context, time_point now);
    /** \brief The row of the view or that of the claim had another revision. */
    change_outputs onViewConflict(const primary_view &rejected, time_point now);
    /** \brief The write of the view had no answer. */
    change_outputs onViewWriteUnknown(const primary_view &unresolved, time_point now);
    change_outputs onMemberAnswered(const database_id &database, const server_id &server,
                                    const std::optional<replication_status> &status,
                                    time_point requestedAt, supervision_context context,
                                    time_point now);
    void onMemberEnded(const database_id &database, const server_id &server, time_point now);
    change_outputs onOrderAnswered(const change_action::order_promotion &order,
                                   std::optional<bool> accepted, supervision_context context,
                                   time_point now);

    bool mayAttest() const { return m_supervisor.mayAttest(); }
    std::optional<time_point> expectedEnd(const database_id &database, time_point now) const
    {
        return m_supervisor.expectedEnd(database, now);
    }

private:
    void updateRole(change_outputs &outputs);
    void confirmClaim(reference_time clock);
    void checkForeignOrders(const std::vector<primary_view> &views);
    supervision_context withClaim(supervision_context context) const;
    bool isOfOwnClaim(fencing_token fencingToken) const;

    change_policy m_changePolicy;
    view_policy m_viewPolicy;
    supervisor_election m_election;
    group_supervisor m_supervisor;
    bool m_wasSupervisor = false;
    bool m_hasReadRows = false; ///< whether the rows were read since this instance's claim
    std::optional<reference_time> m_claimConfirmedAt; ///< when the store last held the claim
    std::optional<reference_time> m_foreignOrdersUntil; ///< end of the time for former orders
};

} // namespace sycamorespan

#endif
