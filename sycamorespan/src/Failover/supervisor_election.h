#ifndef SYCAMORESPAN_FAILOVER_SUPERVISOR_ELECTION_H
#define SYCAMORESPAN_FAILOVER_SUPERVISOR_ELECTION_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorespan {

/** \brief The row that names the holder of the duty to supervise primaries. */
struct supervisor_claim
{
    std::uint64_t revision = 0; ///< of the row; 0: none exists
    instance_id holder;
    std::uint64_t boot = 0; ///< of the holder's process
    std::uint64_t fence = 0; ///< fencing token; rises with each holder

    auto operator<=>(const supervisor_claim &) const = default;
};

/** \brief Constants of a supervisor_election. */
struct election_policy
{
    duration silenceLimit = 1200ms; ///< of the holder; eight missed reports
    duration rankDelay = 250ms; ///< a claim's round trip, so that claims follow each other
    duration aloneDelay =
            2s; ///< more, for an instance that hears nobody: it may be the one cut off
    duration retryDelay = 400ms;

    auto operator<=>(const election_policy &) const = default;
};

/** \brief What an instance sees at one moment. */
struct election_view
{
    bool storeReachable = false;
    duration storeReachableFor = duration::max(); ///< without a break
    std::optional<duration> holderSilence; ///< since the holder was heard here; none: never
    bool holderReachesStore = true; ///< as it says
    bool holderLeaving = false;
    /** Another instance heard the holder within the limit. */
    bool heardByOthers = false;
    /** Instances heard lately that could take over, this one included, in one order for all. */
    std::vector<instance_id> candidates;

    bool operator==(const election_view &) const = default;
};

/** \brief Decides when this instance claims the duty to supervise.
 *
 * The claim is a compare-and-set on one row and its fencing token rises with it; so two claims
 * can't both succeed. Whoever has written it acts until it learns of a higher token.
 */
class supervisor_election
{
public:
    supervisor_election(instance_id self, std::uint64_t boot, const election_policy &policy,
                        time_point now);

    /** \brief The row as read, or as another instance reported it; older ones have no effect. */
    void learn(const supervisor_claim &claim, time_point now);

    /** \brief Another instance knows of a holder with a higher token. */
    void learnHolder(const instance_id &holder, std::uint64_t fence);

    /** \returns the row to write now, on the condition of the revision that it carries. */
    std::optional<supervisor_claim> propose(const election_view &view, time_point now);

    void onWritten(std::uint64_t revision, time_point now);
    /** \brief The row had changed; it must be read again. */
    void onConflict(time_point now);
    /** \brief No answer: the row may have been written; it must be read again. */
    void onUnknown(time_point now);

    bool isHolder() const;
    /** \returns whether the row must be read before the next claim. */
    bool needsRead() const { return m_needsRead; }
    const supervisor_claim &claim() const { return m_claim; }

private:
    bool mayClaim(const election_view &view, time_point now) const;

    instance_id m_self;
    std::uint64_t m_boot;
    election_policy m_policy;
    time_point m_started;
    supervisor_claim m_claim;
    std::optional<supervisor_claim> m_pending;
    bool m_needsRead = true;
    time_point m_notBefore;
};

} // namespace sycamorespan

#endif
