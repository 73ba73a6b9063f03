#ifndef SYCAMORESPAN_FAILOVER_SUPERVISOR_ELECTION_H
#define SYCAMORESPAN_FAILOVER_SUPERVISOR_ELECTION_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Failover/fencing_token.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorespan {

/** \brief Supervisor claim: the row of the store that names the supervisor. */
struct supervisor_claim
{
    row_revision revision; ///< revision of the row; none if no row exists or it was not read
    instance_id holder; ///< instance that is the supervisor
    std::uint64_t incarnation = 0; ///< incarnation of the supervisor's process
    fencing_token fencingToken = 0; ///< fencing token; rises with each claim
    /** When the first claim in this era of the store was made, by the store's clock. */
    reference_time eraBegan{};

    auto operator<=>(const supervisor_claim &) const = default;
};

/** \brief Timeouts and delays of a supervisor_election. */
struct election_policy
{
    /** Time since a relay last had a report of the supervisor after which it is replaced. The relay
     * itself drops it after a few missed reports.
     */
    duration holderTimeout = 600ms;
    /** Additional delay for each place in the order of candidates. It is the round trip of a claim,
     * so that the claims of two candidates don't coincide.
     */
    duration rankDelay = 250ms;
    /** Additional delay of an instance that receives no peer reports at all, because it may be the
     * isolated one.
     */
    duration isolatedDelay = 2s;
    /** Timeout of a supervisor of which no report arrived since it claimed. In a partial partition
     * each side would otherwise replace the supervisor of the other one before it can complete a
     * change of a primary.
     */
    duration unheardClaimTimeout = 4s;
    /** Time for which the store must answer this instance, and the claim of the supervisor must be
     * known, before a supervisor that doesn't reach the store is replaced. After an outage the
     * reports of the others are still of before.
     */
    duration reachabilityDelay = 1s;
    duration retryDelay = 400ms; ///< pause after a claim that failed or had no answer

    auto operator<=>(const election_policy &) const = default;
};

/** \brief What an instance knows about the supervisor and the candidates at one moment. */
struct election_context
{
    bool storeReachable = false;
    duration storeReachableFor = duration::max(); ///< time since the store became reachable
    /** Time since the last peer report of the supervisor; nothing if there never was one. */
    std::optional<duration> timeSinceHolderHeard;
    bool holderStoreReachable = true; ///< whether the supervisor reports that it reaches the store
    bool holderShuttingDown = false; ///< whether the supervisor is shutting down gracefully
    /** Whether another instance got a peer report of the supervisor within the timeout. */
    bool heardByOthers = false;
    /** Whether the other instances may not know this one yet. They would not wait for its release
     * of a view.
     */
    bool isUnknownToOthers = false;
    /** Upper bound on the reference time now. */
    reference_time latest{};
    /** Instances with recent peer reports that could take over, including this one. The order is
     * the same on all instances.
     */
    std::vector<instance_id> candidates;

    bool operator==(const election_context &) const = default;
};

/** \brief Decides when this instance claims to be the supervisor.
 *
 * A claim is a compare-and-set on one row that also raises the fencing token, so that two claims
 * can't both succeed. The instance that wrote the claim acts as supervisor until it learns of a
 * higher fencing token. What is known of other claims never changes the token of the own one.
 *
 * A store that returns from an older copy may have lost the newest claims. No claim of a former era
 * is valid in the next one: the supervisor claims again, with a token that contains the new era and
 * so exceeds every token of former eras, including the lost ones.
 */
class supervisor_election
{
public:
    supervisor_election(instance_id self, std::uint64_t incarnation, const election_policy &policy,
                        time_point now);

    /** \brief The store has answered in \a era. An era that is not newer has no effect. */
    void onStoreEra(store_era era);

    /** \brief Applies the row as read from the store. A row with a lower fencing token than the
     * highest known one was read before that one was written, and has no effect.
     */
    void onClaim(const supervisor_claim &claim, time_point now);

    /** \brief Another instance knows of a supervisor with a higher fencing token. */
    void onHigherFencingToken(const instance_id &holder, fencing_token fencingToken,
                              time_point now);

    /** \returns the row to write now if the stored one still has the same revision, or nothing. */
    std::optional<supervisor_claim> propose(const election_context &context, time_point now);

    /** \brief The proposed claim was written. A claim with a higher fencing token that was learnt
     * meanwhile prevails. The row must be read to learn its revision.
     */
    void onWritten(time_point now);
    /** \brief The row had changed, so that the claim was rejected. The row must be read again. */
    void onConflict(time_point now);
    /** \brief The write had no answer and may have taken effect. The row must be read again. */
    void onUnknown(time_point now);

    bool isSupervisor() const;
    /** \returns whether the row must be read before the next claim. */
    bool needsRead() const { return m_needsRead; }
    /** \returns whether a claim would be proposed now if the row were known. Only then it is worth
     * a read: the other instances never claim.
     */
    bool awaitsRead() const { return m_awaitsRead; }
    /** \returns the claim with the highest known fencing token, whichever instance wrote it. */
    const supervisor_claim &newestClaim() const { return m_newestClaim; }

private:
    void noteNewClaim(time_point now);
    bool mayClaim(const election_context &context, time_point now) const;

    instance_id m_self;
    std::uint64_t m_incarnation;
    election_policy m_policy;
    time_point m_startedAt;
    store_era m_era = 0; ///< newest known era of the store
    supervisor_claim m_newestClaim;
    row_revision m_rowRevision; ///< revision of the row as last read
    time_point m_claimLearntAt; ///< when the newest claim became known
    bool m_claimSucceedsKnownOne = false; ///< whether an earlier claim was known before
    std::optional<supervisor_claim> m_pending;
    bool m_needsRead = true;
    bool m_awaitsRead = false;
    time_point m_notBefore;
};

} // namespace sycamorespan

#endif
