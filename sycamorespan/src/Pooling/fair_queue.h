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

namespace sycamorespan {

/** \brief Number of a caller's request, unique in its instance. */
using request_id = std::uint64_t;

/** \brief A request for a slot: one transaction, or one statement outside of a transaction. */
struct slot_request
{
    request_id id = 0;
    workspace_id workspace;
    duration expectedDuration{0}; ///< for which it will hold the slot
    time_point deadline; ///< the answer is of no use after it

    auto operator<=>(const slot_request &) const = default;
};

/** \brief Order in which waiting requests get slots. */
enum class queue_discipline {
    startTimeFair, ///< by slot time that each workspace has used
    firstComeFirstServed, ///< the baseline for measurements
};

/** \brief Bounds of a fair_queue. */
struct fair_queue_limits
{
    std::size_t perWorkspace = 64;
    std::size_t total = 256;
    queue_discipline discipline = queue_discipline::startTimeFair;

    auto operator<=>(const fair_queue_limits &) const = default;
};

/** \brief Queue of requests, shared fairly by workspace in slot time.
 *
 * Start-time fair queueing: each workspace has a virtual time, the slot time it was given.
 * The waiting workspace with the earliest one is next; one that was idle starts at the present
 * virtual time, so that it saves up nothing. The expected duration is charged when a request
 * leaves the queue, and corrected to the actual one by charge().
 */
class fair_queue
{
public:
    explicit fair_queue(fair_queue_limits limits);

    /** \brief Adds \a request.
     *
     * Over the total limit, the workspace with the most waiting requests loses its last one.
     * \returns the request that has no place, if any
     */
    std::optional<slot_request> push(slot_request request);

    /** \brief Takes the next request of a workspace for which \a mayRun holds out of the queue. */
    std::optional<slot_request> pop(const std::function<bool(const workspace_id &)> &mayRun);

    /** \returns whether \a request was waiting; it leaves the queue. */
    bool erase(const workspace_id &workspace, request_id request);

    /** \returns all waiting requests with a deadline before \a limit; they leave the queue. */
    std::vector<slot_request> takeExpired(time_point limit);

    /** \brief Adds slot time to what \a workspace has used; negative to give back. */
    void charge(const workspace_id &workspace, duration slotTime);

    std::size_t size() const noexcept { return m_size; }
    std::size_t sizeOf(const workspace_id &workspace) const;
    std::size_t waitingWorkspaces() const noexcept { return m_order.size(); }

private:
    struct waiting_request
    {
        std::uint64_t arrival = 0;
        slot_request request;
    };
    struct flow
    {
        std::deque<waiting_request> requests;
        duration virtualTime{0};
    };
    using order_key = std::pair<std::int64_t, workspace_id>;

    /** Changes a flow, and its place in the order with it. */
    template<typename Change>
    void update(const workspace_id &workspace, flow &each, Change change);
    order_key keyOf(const workspace_id &workspace, const flow &each) const;
    slot_request dropLastOfLongest();
    void forgetIdleFlows();

    fair_queue_limits m_limits;
    std::unordered_map<workspace_id, flow> m_flows;
    std::set<order_key> m_order; // waiting workspaces, the next one first
    duration m_virtualTime{0};
    std::uint64_t m_arrivals = 0;
    std::size_t m_size = 0;
    std::size_t m_flowsToSweepAt = 0;
};

} // namespace sycamorespan

#endif
