#ifndef SYCAMORESPAN_FAILOVER_GROUP_SUPERVISOR_H
#define SYCAMORESPAN_FAILOVER_GROUP_SUPERVISOR_H

#include "sycamorespan/src/Failover/supervisor_election.h"
#include "sycamorespan/src/Failover/synchronous_change.h"

#include <functional>

namespace sycamorespan {

/** \brief Number of instances that reach, or do not reach, the primary of one database. */
struct primary_reports
{
    std::size_t live = 0; ///< instances with a recent peer report, including this one
    std::size_t answered = 0; ///< live instances that recently got an answer from the primary
    std::size_t unreachable = 0; ///< live instances that get no answer from the primary
    std::size_t demoted = 0; ///< live instances to which the primary reported itself as a replica

    auto operator<=>(const primary_reports &) const = default;
};

/** \brief Thresholds and intervals of a group_supervisor. */
struct supervision_policy
{
    change_policy change;
    /** Fraction of the instances that must get no answer from the primary before it is replaced. It
     * is a fraction of the instances that used the primary recently if the primary doesn't answer
     * the supervisor either, and of all instances otherwise. Below this fraction the remaining
     * instances are served better by the present primary.
     */
    double unreachableFraction = 0.34;
    /** Minimum number of instances that must get no answer, so that a fault of a single instance
     * causes no failover.
     */
    std::size_t minimumReports = 2;
    /** Time for which instances must report the primary as unreachable, in addition to the probe
     * timeout, before a change begins while no probe of the supervisor has failed.
     */
    duration minimumReportTime = 200ms;
    duration probeInterval = 250ms; ///< minimum interval between probes of the primary
    duration probeTimeout = 400ms; ///< 30 round trips including the opening of a connection

    auto operator<=>(const supervision_policy &) const = default;
};

/** \brief What is known about the system at one moment, for the changes of all databases. */
struct supervision_context
{
    supervisor_claim claim; ///< claim of this supervisor
    /** Whether the store is known to have held the claim so recently that a promotion may be
     * ordered.
     */
    bool mayOrder = false;
    /** End of the time in which orders of former supervisors may take effect, if there are any. */
    std::optional<reference_time> foreignOrdersUntil;
    const std::vector<server_entry> &servers; ///< listed servers of all databases
    const view_ledger &ledger;
    /** \returns whether every instance has released all views of the database that are older than
     * the revision.
     */
    std::function<bool(const database_id &, row_revision)> viewsReleased;
    /** \returns whether a quorum of the instances has released all views of the database that are
     * older than the revision.
     */
    std::function<bool(const database_id &, row_revision)> viewsReleasedByQuorum;
    /** \returns the peer reports about the primary of the database. */
    std::function<primary_reports(const database_id &)> reports;
    /** \returns how many replicas hold a commit of the database before it is acknowledged. */
    std::function<std::size_t(const database_id &)> synchronousReplicas;
    std::optional<reference_time> earliest; ///< lower bound of the reference time now
    std::optional<reference_time> latest; ///< upper bound of the reference time now
    bool storeReachable = false;
    /** \returns the members of the database that are recorded as possible holders of commits. */
    std::function<std::vector<log_holder>(const database_id &)> recordedHolders;
    /** Whether \c servers has every running server. \sa server_roster::isComplete() */
    bool hasAllServers = true;
    /** \returns the row of a former era of the store that a view of the database replaces, as read
     * in the present era; nothing if there is none.
     */
    std::function<std::optional<primary_view>(const database_id &)> formerRow = {};
    /** Whether instances may use views of a former era without being registered in this one. */
    bool mayLackInstances = false;
};

/** \brief Watches the primaries of all databases and begins their changes while this instance is
 * the supervisor.
 * \sa synchronous_change, supervisor_election
 */
class group_supervisor
{
public:
    group_supervisor(const supervision_policy &policy, const view_policy &views);

    /** \brief This instance became the supervisor or ceased to be it. */
    change_outputs setSupervisor(bool isSupervisor);

    change_outputs tick(const supervision_context &context, time_point now);
    change_outputs onViewWritten(const database_id &database, reference_time committed,
                                 const supervision_context &context, time_point now);
    change_outputs onViewConflict(const database_id &database, time_point now);
    change_outputs onViewWriteUnknown(const database_id &database, time_point now);
    change_outputs onMemberAnswered(const database_id &database, const server_id &server,
                                    const std::optional<replication_status> &status,
                                    time_point requestedAt, const supervision_context &context,
                                    time_point now);
    /** \brief No process, or that of another server, answers at the address of \a server. */
    void onMemberEnded(const database_id &database, const server_id &server, time_point now);
    change_outputs onOrderAnswered(const database_id &database, std::optional<bool> accepted,
                                   const supervision_context &context, time_point now);

    /** \returns whether this instance can attest that it has begun no change: no row holds, or may
     * yet hold, an intent of this instance that the known views lack.
     */
    bool mayAttest() const;
    /** \returns when the new primary is expected, or nothing if no change is running. */
    std::optional<time_point> expectedEnd(const database_id &database, time_point now) const;
    /** \returns whether a change of any database is running. */
    bool isChanging() const;

private:
    struct watched_database
    {
        explicit watched_database(synchronous_change task)
            : change(std::move(task))
        { }

        synchronous_change change;
        std::optional<time_point> reportedSince;
        time_point probedAt;
        bool probeFailed = false;
        std::optional<replication_status> probe;
    };

    change_context contextOf(const database_id &database, const supervision_context &context) const;
    change_reason reasonFor(const database_id &database, watched_database &state,
                            const change_context &changeContext, const supervision_context &context,
                            change_outputs &outputs, time_point now) const;
    watched_database &stateOf(const database_id &database);

    supervision_policy m_policy;
    view_policy m_views;
    bool m_isSupervisor = false;
    std::map<database_id, watched_database> m_databases;
};

} // namespace sycamorespan

#endif
