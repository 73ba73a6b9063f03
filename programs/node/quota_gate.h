#ifndef SYCAMORESPAN_PROGRAMS_NODE_QUOTA_GATE_H
#define SYCAMORESPAN_PROGRAMS_NODE_QUOTA_GATE_H

#include "sycamorespan/src/Configuration/service_directory.h"
#include "sycamorespan/src/Quota/quota_holder.h"
#include "sycamorespan/src/Quota/share_homes.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace sycamorespan::node {

/** \brief Decision of the gate on one request. */
struct quota_verdict
{
    std::uint64_t request = 0;
    bool isAdmitted = false;
    duration retryAfter{}; ///< time after which a refused request may be repeated

    auto operator<=>(const quota_verdict &) const = default;
};

/** \brief Applies the workspaces' rate limits to requests at this instance. It has one quota_holder
 * for each workspace, which owns this instance's share of the rate and borrows from other share
 * owners.
 */
class quota_gate
{
public:
    struct handlers
    {
        std::function<void(const quota_verdict &)> onVerdict;
        /** Called to send a message to another instance. */
        std::function<void(const holder_id &, const quota_message &)> onMessage;
    };

    quota_gate(holder_incarnation self, handlers callbacks);

    void setWorkspaces(const std::map<workspace_id, workspace_limit> &workspaces, time_point now);
    /** \brief Updates the instances among which the rates are divided.
     *  \param holders  all instances that may hold shares, this one included
     *  \param live     those of the other instances that answer or may answer a loan request
     */
    void setInstances(const std::vector<holder_location> &holders, const std::set<holder_id> &live,
                      time_point now);

    void admit(const workspace_id &workspace, std::uint64_t request, time_point now);
    void cancel(const workspace_id &workspace, std::uint64_t request, time_point now);
    void settle(const workspace_id &workspace, std::uint64_t request, bool ran, time_point now);
    void handleMessage(const quota_message &message, time_point now);
    void tick(time_point now);

private:
    /** Quota of one workspace. */
    struct workspace_quota
    {
        quota_limit limit;
        std::vector<holder_id> shareOwners;
        std::unique_ptr<quota_holder> holder;
    };

    void handleEvent(const workspace_id &workspace, const quota_input &event, time_point now);
    bool isNearby(const holder_id &holder) const;
    void divideShares(const workspace_id &workspace, workspace_quota &quota, time_point now);

    holder_incarnation m_self;
    handlers m_handlers;
    std::vector<holder_location> m_holders;
    std::set<holder_id> m_live;
    std::map<workspace_id, workspace_quota> m_quotas;
};

} // namespace sycamorespan::node

#endif
