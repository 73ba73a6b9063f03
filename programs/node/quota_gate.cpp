#include "programs/node/quota_gate.h"

#include "sycamorespan/src/Core/overloaded.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace sycamorespan::node {

namespace {

/** Largest number of instances at which each of them owns a share of every rate. */
constexpr std::size_t maxSmallFleet = 6;
/** Minimum number of share owners in a larger fleet, where otherwise one instance of each data
 * centre owns a share.
 */
constexpr std::size_t minShareOwners = 3;

std::size_t shareOwnerCount(const std::vector<holder_location> &holders)
{
    if (holders.size() <= maxSmallFleet)
        return maxSmallFleet;
    std::set<data_centre_id> dataCentres;
    std::ranges::transform(holders, std::inserter(dataCentres, dataCentres.end()),
                           &holder_location::dataCentre);
    return std::max(dataCentres.size(), minShareOwners);
}

quota_limit toQuotaLimit(const workspace_limit &limit)
{
    const auto millitokens = static_cast<std::int64_t>(
            std::floor(limit.ratePerSecond * token_rate::millitokensPerToken));
    const auto nanotokens = static_cast<std::int64_t>(
            std::floor(limit.burst * static_cast<double>(token_amount::nanotokensPerToken)));
    return {token_rate{millitokens}, token_amount{nanotokens}};
}

} // namespace

quota_gate::quota_gate(holder_incarnation self, handlers callbacks)
    : m_self(std::move(self))
    , m_handlers(std::move(callbacks))
{ }

void quota_gate::setWorkspaces(const std::map<workspace_id, workspace_limit> &workspaces,
                               time_point now)
{
    std::erase_if(m_quotas, [&](const auto &entry) { return !workspaces.contains(entry.first); });
    for (const auto &[workspace, limit] : workspaces) {
        auto &quota = m_quotas[workspace];
        const auto newLimit = toQuotaLimit(limit);
        const bool isNew = !quota.holder;
        if (isNew)
            quota.holder = std::make_unique<quota_holder>(workspace, m_self, quota_policy{}, now);
        if (!isNew && quota.limit == newLimit)
            continue;
        quota.limit = newLimit;
        divideShares(workspace, quota, now);
    }
}

void quota_gate::setInstances(const std::vector<holder_location> &holders,
                              const std::set<holder_id> &live, time_point now)
{
    if (holders == m_holders && live == m_live)
        return;
    m_holders = holders;
    m_live = live;
    for (auto &[workspace, each] : m_quotas)
        divideShares(workspace, each, now);
}

/** \returns whether \a holder runs in the data centre of this instance. */
bool quota_gate::isNearby(const holder_id &holder) const
{
    const auto own = std::ranges::find(m_holders, m_self.holder, &holder_location::holder);
    const auto other = std::ranges::find(m_holders, holder, &holder_location::holder);
    return own != m_holders.end() && other != m_holders.end()
           && own->dataCentre == other->dataCentre;
}

void quota_gate::divideShares(const workspace_id &workspace, workspace_quota &quota, time_point now)
{
    quota.shareOwners = chooseShareOwners(workspace, m_holders, shareOwnerCount(m_holders));
    if (quota.shareOwners.empty())
        quota.shareOwners = {m_self.holder};
    const auto share = quota.limit.share(1, static_cast<std::int64_t>(quota.shareOwners.size()));
    const bool isShareOwner =
            std::ranges::find(quota.shareOwners, m_self.holder) != quota.shareOwners.end();
    std::vector<holder_id> lenders;
    std::ranges::copy_if(quota.shareOwners, std::back_inserter(lenders),
                         [this](const holder_id &each) { return m_live.contains(each); });
    std::vector<holder_id> nearbyLenders;
    std::ranges::copy_if(lenders, std::back_inserter(nearbyLenders),
                         [this](const holder_id &each) { return isNearby(each); });
    handleEvent(workspace, quota_event::peers_changed{lenders, share, nearbyLenders}, now);
    handleEvent(workspace,
                quota_event::share_changed{isShareOwner ? share : quota_limit{}, time_point::max()},
                now);
}

void quota_gate::admit(const workspace_id &workspace, std::uint64_t request, time_point now)
{
    if (!m_quotas.contains(workspace)) {
        m_handlers.onVerdict({request, true, {}}); // callers of public routes have no rate limit
        return;
    }
    handleEvent(workspace, quota_event::request_arrived{request}, now);
}

void quota_gate::cancel(const workspace_id &workspace, std::uint64_t request, time_point now)
{
    handleEvent(workspace, quota_event::request_cancelled{request}, now);
}

void quota_gate::settle(const workspace_id &workspace, std::uint64_t request, bool ran,
                        time_point now)
{
    if (ran)
        handleEvent(workspace, quota_event::request_sent{request}, now);
    else
        handleEvent(workspace, quota_event::request_not_run{request}, now);
}

void quota_gate::handleMessage(const quota_message &message, time_point now)
{
    const auto workspace = std::visit([](const auto &each) { return each.workspace; }, message);
    handleEvent(workspace, quota_event::message_received{message}, now);
}

void quota_gate::tick(time_point now)
{
    for (const auto &[workspace, each] : m_quotas) {
        const auto due = each.holder->nextDeadline();
        if (due && *due <= now)
            handleEvent(workspace, quota_event::tick{}, now);
    }
}

void quota_gate::handleEvent(const workspace_id &workspace, const quota_input &event,
                             time_point now)
{
    const auto known = m_quotas.find(workspace);
    if (known == m_quotas.end())
        return;
    const auto outputs = known->second.holder->handle(event, now);
    std::ranges::for_each(outputs, [this](const quota_output &output) {
        std::visit(overloaded{
                           [this](const quota_action::admit &each) {
                               m_handlers.onVerdict({each.id, true, {}});
                           },
                           [this](const quota_action::refuse &each) {
                               m_handlers.onVerdict({each.id, false, each.retryAfter});
                           },
                           [this](const quota_action::send_message &each) {
                               m_handlers.onMessage(each.to, each.message);
                           },
                   },
                   output);
    });
}

} // namespace sycamorespan::node
