#include "programs/node/quota_gate.h"

#include "sycamorespan/src/Core/overloaded.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace sycamorespan::node {

namespace {

/** A fleet in which each instance holds a part of every rate. */
constexpr std::size_t smallFleet = 6;
/** In a larger one each data centre has a home, and no rate rests on fewer than three. */
constexpr std::size_t fewestHomes = 3;

std::size_t homeCount(const std::vector<placed_holder> &holders)
{
    if (holders.size() <= smallFleet)
        return smallFleet;
    std::set<data_centre_id> dataCentres;
    std::ranges::transform(holders, std::inserter(dataCentres, dataCentres.end()),
                           &placed_holder::dataCentre);
    return std::max(dataCentres.size(), fewestHomes);
}

quota_limit toLimit(const workspace_limit &limit)
{
    const auto millitokens = static_cast<std::int64_t>(
            std::floor(limit.ratePerSecond * token_rate::millitokensPerToken));
    const auto nanotokens = static_cast<std::int64_t>(
            std::floor(limit.burst * static_cast<double>(token_amount::nanotokensPerToken)));
    return {token_rate{millitokens}, token_amount{nanotokens}};
}

} // namespace

quota_gate::quota_gate(holder_run self, handlers callbacks)
    : m_self(std::move(self))
    , m_handlers(std::move(callbacks))
{ }

void quota_gate::setWorkspaces(const std::map<workspace_id, workspace_limit> &workspaces,
                               time_point now)
{
    std::erase_if(m_shares, [&](const auto &entry) { return !workspaces.contains(entry.first); });
    for (const auto &[workspace, limit] : workspaces) {
        auto &known = m_shares[workspace];
        const auto wanted = toLimit(limit);
        const bool isNew = !known.holder;
        if (isNew)
            known.holder = std::make_unique<quota_holder>(workspace, m_self, quota_policy{}, now);
        if (!isNew && known.limit == wanted)
            continue;
        known.limit = wanted;
        divide(workspace, known, now);
    }
}

void quota_gate::setHolders(const std::vector<placed_holder> &holders,
                            const std::set<holder_id> &live, time_point now)
{
    if (holders == m_holders && live == m_live)
        return;
    m_holders = holders;
    m_live = live;
    for (auto &[workspace, each] : m_shares)
        divide(workspace, each, now);
}

/** \returns whether \a holder runs in the data centre of this instance. */
bool quota_gate::isNearby(const holder_id &holder) const
{
    const auto own = std::ranges::find(m_holders, m_self.holder, &placed_holder::holder);
    const auto other = std::ranges::find(m_holders, holder, &placed_holder::holder);
    return own != m_holders.end() && other != m_holders.end()
           && own->dataCentre == other->dataCentre;
}

void quota_gate::divide(const workspace_id &workspace, share &of, time_point now)
{
    of.homes = shareHomes(workspace, m_holders, homeCount(m_holders));
    if (of.homes.empty())
        of.homes = {m_self.holder};
    const auto part = of.limit.share(1, static_cast<std::int64_t>(of.homes.size()));
    const bool isHome = std::ranges::find(of.homes, m_self.holder) != of.homes.end();
    std::vector<holder_id> lenders;
    std::ranges::copy_if(of.homes, std::back_inserter(lenders),
                         [this](const holder_id &each) { return m_live.contains(each); });
    std::vector<holder_id> nearby;
    std::ranges::copy_if(lenders, std::back_inserter(nearby),
                         [this](const holder_id &each) { return isNearby(each); });
    step(workspace, quota_event::peers_changed{lenders, part, nearby}, now);
    step(workspace, quota_event::share_changed{isHome ? part : quota_limit{}, time_point::max()},
         now);
}

void quota_gate::admit(const workspace_id &workspace, std::uint64_t request, time_point now)
{
    if (!m_shares.contains(workspace)) {
        m_handlers.onVerdict({request, true, {}}); // callers of open routes have no rate
        return;
    }
    step(workspace, quota_event::request_arrived{request}, now);
}

void quota_gate::cancel(const workspace_id &workspace, std::uint64_t request, time_point now)
{
    step(workspace, quota_event::request_cancelled{request}, now);
}

void quota_gate::settle(const workspace_id &workspace, std::uint64_t request, bool ran,
                        time_point now)
{
    if (ran)
        step(workspace, quota_event::request_ran{request}, now);
    else
        step(workspace, quota_event::request_not_run{request}, now);
}

void quota_gate::received(const quota_message &message, time_point now)
{
    const auto workspace = std::visit([](const auto &each) { return each.workspace; }, message);
    step(workspace, quota_event::message_received{message}, now);
}

void quota_gate::tick(time_point now)
{
    for (const auto &[workspace, each] : m_shares) {
        const auto due = each.holder->nextDeadline();
        if (due && *due <= now)
            step(workspace, quota_event::tick{}, now);
    }
}

void quota_gate::step(const workspace_id &workspace, const quota_input &event, time_point now)
{
    const auto known = m_shares.find(workspace);
    if (known == m_shares.end())
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
