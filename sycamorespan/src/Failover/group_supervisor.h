#ifndef SYCAMORESPAN_FAILOVER_GROUP_SUPERVISOR_H
#define SYCAMORESPAN_FAILOVER_GROUP_SUPERVISOR_H

#include "sycamorespan/src/Failover/synchronous_change.h"

#include <functional>

namespace sycamorespan {

/** \brief What instances say of one database's primary. */
struct primary_votes
{
    std::size_t live = 0; ///< instances with a recent report, this one included
    std::size_t answered = 0; ///< of them: heard the primary lately
    std::size_t unreachable = 0; ///< of them: get no answer from the primary
    std::size_t demoted = 0; ///< of them: were told by it that it is a replica

    auto operator<=>(const primary_votes &) const = default;
};

/** \brief Constants of a group_supervisor. */
struct supervision_policy
{
    change_policy change;
    /** Of the instances must miss the primary: of those that had to do with it lately if it doesn't
     * answer the supervisor either, else of all. Below it the others serve better with it.
     */
    double unreachableShare = 0.34;
    std::size_t leastWitnesses = 2; ///< one instance's own trouble is no reason
    duration votesFor = 200ms; ///< before a change begins without a failed probe of our own
    duration probeInterval = 250ms;
    duration probeTimeout = 400ms; ///< 30 round trips with an opening

    auto operator<=>(const supervision_policy &) const = default;
};

/** \brief Surroundings of all changes at one moment. */
struct supervision_surroundings
{
    std::uint64_t fence = 0;
    const std::vector<server_entry> &servers;
    const view_ledger &ledger;
    /** \returns whether every instance has dropped views of the database before the revision. */
    std::function<bool(const database_id &, std::uint64_t)> released;
    std::function<primary_votes(const database_id &)> votes;
    /** \returns how many replicas hold a commit of the database before it is acknowledged. */
    std::function<std::size_t(const database_id &)> synchronousReplicas;
    std::optional<reference_time> earliest;
    std::optional<reference_time> latest;
    bool storeReachable = false;
};

/** \brief Watches the primaries of all databases while this instance holds the duty, and begins
 * their changes.
 * \sa synchronous_change, supervisor_election
 */
class group_supervisor
{
public:
    group_supervisor(const supervision_policy &policy, const view_policy &views);

    /** \brief The duty was lost or gained. */
    change_outputs setHolder(bool isHolder);

    change_outputs tick(const supervision_surroundings &around, time_point now);
    change_outputs viewWritten(const database_id &database, std::uint64_t revision,
                               reference_time committed, const supervision_surroundings &around,
                               time_point now);
    change_outputs viewConflict(const database_id &database, time_point now);
    change_outputs viewUnknown(const database_id &database, time_point now);
    change_outputs memberAnswered(const database_id &database, const server_id &server,
                                  const std::optional<replication_status> &status, time_point asked,
                                  const supervision_surroundings &around, time_point now);
    /** \brief Nobody answers at the address of \a server, or another server does. */
    void memberEnded(const database_id &database, const server_id &server, time_point now);
    change_outputs orderAnswered(const database_id &database, std::optional<bool> accepted,
                                 const supervision_surroundings &around, time_point now);

    /** \returns whether no row holds, or can come to hold, an intent of ours that isn't known. */
    bool vouches() const;
    std::optional<time_point> expectedEnd(const database_id &database, time_point now) const;
    bool isChanging() const;

private:
    struct watched
    {
        explicit watched(synchronous_change task)
            : change(std::move(task))
        { }

        synchronous_change change;
        std::optional<time_point> votedSince;
        time_point probed;
        bool probeFailed = false;
        std::optional<replication_status> probe;
    };

    change_surroundings surroundingsOf(const database_id &database,
                                       const supervision_surroundings &around) const;
    change_reason reasonFor(const database_id &database, watched &state,
                            const change_surroundings &here, const supervision_surroundings &around,
                            change_outputs &outputs, time_point now) const;
    watched &stateOf(const database_id &database);

    supervision_policy m_policy;
    view_policy m_views;
    bool m_isHolder = false;
    std::map<database_id, watched> m_watched;
};

} // namespace sycamorespan

#endif
