#ifndef SYCAMORESPAN_ROUTING_REPLICA_SELECTOR_H
#define SYCAMORESPAN_ROUTING_REPLICA_SELECTOR_H

#include <vector>

#include "sycamorespan/src/Routing/read_request.h"
#include "sycamorespan/src/Routing/routing_view.h"

namespace sycamorespan {

/** \brief Weights and limits for the choice of a member for a read. */
struct selection_policy
{
    /** Longest wait for a replica to catch up if the primary is available. */
    duration maximumCatchUpWait = 5ms;
    /** Cost added to the primary, because every write needs one of its slots. */
    duration primaryPenalty = 5ms;
    /** Part of the allowed staleness reserved for the time until the read runs. */
    duration stalenessMargin = 5ms;

    auto operator<=>(const selection_policy &) const = default;
};

/** \brief A member that may answer a read. */
struct read_candidate
{
    server_id server;
    bool primary = false;
    duration catchUpWait{0}; ///< wait before sending, until the replica includes the floor
    duration cost{0}; ///< expected time until the answer, with penalties

    auto operator<=>(const read_candidate &) const = default;
};

/** \brief Ranks the members of a group for a read by expected lag, load and distance.
 *
 * The ranking uses reports that may be outdated. Whether an answer is new enough is proved by the
 * report that is evaluated with the read.
 * \sa read_attempt
 */
class replica_selector
{
public:
    explicit replica_selector(selection_policy policy);

    /** \returns members that are expected to answer \a request in time, the best one first. */
    std::vector<read_candidate> rank(const routing_view &view, const read_request &request,
                                     time_point now) const;

private:
    std::optional<read_candidate> candidate(const routing_view &view, const member_state &member,
                                            const read_request &request, time_point now) const;

    selection_policy m_policy;
};

} // namespace sycamorespan

#endif
