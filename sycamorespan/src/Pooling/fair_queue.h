#ifndef SYCAMORESPAN_POOLING_FAIR_QUEUE_H
#define SYCAMORESPAN_POOLING_FAIR_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Pooling/fair_shares.h"

namespace sycamorespan {

/** \brief Identifies a caller's request; unique within its instance. */
using request_id = std::uint64_t;

/** \brief A request for a slot: one transaction, or one statement outside of a transaction. */
struct slot_request
{
    request_id id = 0;
    workspace_id workspace;
    duration expectedDuration{0}; ///< expected time for which the request holds the slot
    time_point deadline; ///< time after which the caller no longer needs the answer

    auto operator<=>(const slot_request &) const = default;
};

/** \brief Order in which waiting requests get slots. */
enum class queue_discipline {
    startTimeFair, ///< by the slot time that each workspace has used
    firstComeFirstServed, ///< by arrival; the baseline of the fairness test
};

/** \brief Limits and order of a fair_queue. */
struct fair_queue_limits
{
    std::size_t perWorkspace = 64; ///< greatest number of waiting requests of one workspace
    std::size_t total = 256; ///< greatest number of waiting requests of all workspaces
    queue_discipline discipline = queue_discipline::startTimeFair;

    auto operator<=>(const fair_queue_limits &) const = default;
};

/** \brief Queue of requests that divides slot time fairly among workspaces.
 *
 * Uses start-time fair queueing: each workspace has a virtual time, which is the slot time that it
 * has used. The waiting workspace with the smallest virtual time is next. A workspace that was idle
 * starts at the current virtual time of the queue, so that it gains no advantage from its idle
 * time. The expected duration is charged when a request leaves the queue, and corrected to the
 * actual duration by charge().
 */
class fair_queue
{
public:
    explicit fair_queue(fair_queue_limits limits);

    /** \brief Adds \a request.
     *
     * If the total limit is exceeded, the newest request of the workspace with the most waiting
     * requests is removed.
     * \returns the request that was rejected or removed, if any
     */
    std::optional<slot_request> push(slot_request request);

    /** \brief Removes and returns the next request of a workspace for which \a mayRun returns true.
     */
    std::optional<slot_request> pop(const std::function<bool(const workspace_id &)> &mayRun);

    /** \brief Removes \a request. \returns whether it was waiting */
    bool erase(const workspace_id &workspace, request_id request);

    /** \brief Removes and returns all waiting requests with a deadline before \a limit. */
    std::vector<slot_request> takeExpired(time_point limit);

    /** \brief Adds \a slotTime to the slot time that \a workspace has used; a negative one refunds
     * it.
     */
    void charge(const workspace_id &workspace, duration slotTime);

    std::size_t size() const noexcept { return m_size; }
    std::size_t sizeOf(const workspace_id &workspace) const;
    std::size_t waitingWorkspaces() const noexcept { return m_waitingOrder.size(); }

private:
    struct waiting_request
    {
        std::uint64_t arrival = 0;
        slot_request request;
    };
    struct flow
    {
        std::deque<waiting_request> requests;
    };
    using order_key = std::pair<std::int64_t, workspace_id>;

    /** Applies \a change to a flow and updates its position in the order. */
    template<typename Change>
    void updateFlow(const workspace_id &workspace, flow &workspaceFlow, Change change);
    order_key orderKeyOf(const workspace_id &workspace, const flow &workspaceFlow) const;
    slot_request dropNewestOfLongestFlow();
    void removeIdleFlows();

    fair_queue_limits m_limits;
    std::unordered_map<workspace_id, flow> m_flows;
    std::set<order_key> m_waitingOrder; // workspaces with waiting requests, the next one first
    fair_shares m_shares;
    std::uint64_t m_arrivalCount = 0;
    std::size_t m_size = 0;
};

} // namespace sycamorespan

#endif
