#ifndef SYCAMORESPAN_ROUTING_REPLICA_SELECTOR_H
#define SYCAMORESPAN_ROUTING_REPLICA_SELECTOR_H

#include <vector>

#include "sycamorespan/src/Routing/read_request.h"
#include "sycamorespan/src/Routing/routing_view.h"

namespace sycamorespan {

/** \brief Weights of the choice of a member for a read. */
struct selection_policy
{
    /** Longest wait for a replica to catch up while the primary could answer. */
    duration longestCatchUpWait = 5ms;
    /** Cost added to the primary, whose slots every write needs. */
    duration primaryPenalty = 5ms;
    /** Part of the allowed staleness kept free for the time until the read runs. */
    duration stalenessMargin = 5ms;

    auto operator<=>(const selection_policy &) const = default;
};

/** \brief A member that may answer a read. */
struct read_candidate
{
    server_id server;
    bool primary = false;
    duration catchUpWait{0}; ///< before sending, for the replica to include the session's floor
    duration cost{0}; ///< expected until the answer, with penalties

    auto operator<=>(const read_candidate &) const = default;
};

/** \brief Orders the members of a group for a read by expected lag, load and distance.
 *
 * It works on hints: whether the answer is new enough is proved by the read itself.
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
