#include "programs/proxy/quota_task.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "sycamorespan/src/Configuration/internal/hexadecimal.h"
#include "sycamorespan/src/Core/overloaded.h"

namespace sycamorespan::proxy {
namespace {

/** Number of units into which each rate is divided. It has many divisors, so that equal shares are
 * whole numbers of units.
 */
constexpr std::int64_t unitsPerRate = 5040;
constexpr duration tickInterval = 20ms;
constexpr duration sharePollInterval = 1s;
constexpr std::string_view keyPrefix = "quota/rate/";

allotment_policy leasePolicy()
{
    allotment_policy policy;
    policy.pollInterval = sharePollInterval;
    return policy;
}

std::string shareKey(const workspace_id &workspace)
{
    return std::string(keyPrefix) + workspace.str();
}

quota_limit planLimit(const configuration::plan_entry &plan)
{
    const auto millitokens = static_cast<std::int64_t>(std::floor(plan.ratePerSecond * 1000));
    const auto nanotokens = static_cast<std::int64_t>(
            std::floor(plan.burst * static_cast<double>(token_amount::nanotokensPerToken)));
    return {token_rate{millitokens}, token_amount{nanotokens}};
}

} // namespace

quota_task::quota_task(ev::loop_ref loop, holder_incarnation self, send_handler sendToAgent,
                       random_source random)
    : m_self(std::move(self))
    , m_sendToAgent(std::move(sendToAgent))
    , m_random(std::move(random))
    , m_timer(loop, [this] { onTimer(); })
{
    m_timer.startRepeating(tickInterval);
}

void quota_task::setPlans(const configuration::configuration_lists &lists)
{
    std::erase_if(m_workspaces,
                  [&lists](const auto &entry) { return !lists.workspaces.contains(entry.first); });
    for (const auto &[workspace, entry] : lists.workspaces) {
        const auto limit = planLimit(lists.plans.at(entry.plan));
        const auto found = m_workspaces.find(workspace);
        if (found == m_workspaces.end()) {
            add(workspace, limit);
        } else if (found->second.limit != limit) {
            found->second.limit = limit;
            const auto units = found->second.lease->usableUnits(monotonicNow());
            handle(workspace, quota_input(quota_event::share_changed{
                                      limit.share(units, unitsPerRate), found->second.validUntil}));
        }
    }
}

void quota_task::add(const workspace_id &workspace, const quota_limit &limit)
{
    const auto now = monotonicNow();
    auto &added = m_workspaces[workspace];
    added.limit = limit;
    added.holder = std::make_unique<quota_holder>(workspace, m_self, quota_policy{}, now);
    added.lease = std::make_unique<allotment_lease>(shareKey(workspace), unitsPerRate, m_self,
                                                    leasePolicy(), m_random, now);
    handle(workspace, allotment_input(allotment_event::tick{}));
}

void quota_task::admit(const workspace_id &workspace, std::uint64_t request,
                       admitted_handler onDecided)
{
    m_waitingHandlers.emplace(request, std::move(onDecided));
    if (m_workspaces.contains(workspace))
        handle(workspace, quota_input(quota_event::request_arrived{request}));
    else
        decide(request, false);
}

void quota_task::cancel(const workspace_id &workspace, std::uint64_t request)
{
    if (m_waitingHandlers.erase(request) > 0 && m_workspaces.contains(workspace))
        handle(workspace, quota_input(quota_event::request_cancelled{request}));
}

void quota_task::settle(const workspace_id &workspace, std::uint64_t request, bool mayHaveRun)
{
    if (!m_workspaces.contains(workspace))
        return;
    if (mayHaveRun)
        handle(workspace, quota_input(quota_event::request_sent{request}));
    else
        handle(workspace, quota_input(quota_event::request_not_run{request}));
}

void quota_task::received(const messages::share_answer &answer)
{
    if (!answer.key.starts_with(keyPrefix))
        return;
    const workspace_id workspace(answer.key.substr(keyPrefix.size()));
    if (!m_workspaces.contains(workspace))
        return;
    switch (answer.outcome) {
    case messages::share_outcome::read:
        return handle(workspace, allotment_input(allotment_event::row_read{
                                         answer.request, answer.revision, answer.value}));
    case messages::share_outcome::written:
    case messages::share_outcome::conflict:
        return handle(workspace,
                      allotment_input(allotment_event::write_answered{
                              answer.request, answer.outcome == messages::share_outcome::written,
                              answer.revision}));
    case messages::share_outcome::failed:
        return handle(workspace, allotment_input(allotment_event::request_failed{answer.request}));
    }
}

void quota_task::received(const messages::loan_transfer &transfer)
{
    if (!configuration::internal::isHexadecimal(transfer.payload))
        throw decode_error("payload of a loan transfer is not hexadecimal");
    const auto message =
            decodeQuotaMessage(configuration::internal::fromHexadecimal(transfer.payload));
    const auto workspace = std::visit([](const auto &value) { return value.workspace; }, message);
    if (m_workspaces.contains(workspace))
        handle(workspace, quota_input(quota_event::message_received{message}));
}

void quota_task::handle(const workspace_id &workspace, const allotment_input &input)
{
    for (const auto &action : m_workspaces.at(workspace).lease->handle(input, monotonicNow()))
        std::visit([&](const auto &value) { perform(workspace, value); }, action);
}

void quota_task::handle(const workspace_id &workspace, const quota_input &input)
{
    for (const auto &action : m_workspaces.at(workspace).holder->handle(input, monotonicNow()))
        std::visit([&](const auto &value) { perform(workspace, value); }, action);
}

void quota_task::perform(const workspace_id &, const allotment_action::read_row &action)
{
    ++m_counters.shareRequests;
    m_sendToAgent(messages::share_read{action.request, action.key});
}

void quota_task::perform(const workspace_id &, const allotment_action::write_row &action)
{
    ++m_counters.shareRequests;
    m_sendToAgent(messages::share_write{action.request, action.key, action.revision, action.value});
}

void quota_task::perform(const workspace_id &workspace,
                         const allotment_action::share_changed &action)
{
    auto &target = m_workspaces.at(workspace);
    target.validUntil = action.validUntil;
    handle(workspace,
           quota_input(quota_event::share_changed{
                   target.limit.share(action.units, action.totalUnits), action.validUntil}));
    handle(workspace, quota_input(quota_event::peers_changed{action.peers}));
}

void quota_task::perform(const workspace_id &, const allotment_action::drained &) { }

void quota_task::perform(const workspace_id &, const quota_action::admit &action)
{
    decide(action.id, true);
}

void quota_task::perform(const workspace_id &, const quota_action::refuse &action)
{
    decide(action.id, false);
}

void quota_task::perform(const workspace_id &, const quota_action::send_message &action)
{
    ++m_counters.loanMessages;
    m_sendToAgent(messages::loan_transfer{
            action.to.str(),
            configuration::internal::toHexadecimal(encodeQuotaMessage(action.message))});
}

void quota_task::decide(std::uint64_t request, bool isAdmitted)
{
    auto node = m_waitingHandlers.extract(request);
    if (node.empty())
        return;
    (isAdmitted ? m_counters.admitted : m_counters.refused) += 1;
    node.mapped()(isAdmitted);
}

void quota_task::onTimer()
{
    const auto now = monotonicNow();
    for (const auto &[workspace, quota] : m_workspaces) {
        if (quota.lease->nextDeadline() <= now)
            handle(workspace, allotment_input(allotment_event::tick{}));
        const auto due = quota.holder->nextDeadline();
        if (due && *due <= now)
            handle(workspace, quota_input(quota_event::tick{}));
    }
}

bool quota_task::isReady() const
{
    const auto now = monotonicNow();
    return std::ranges::all_of(m_workspaces, [now](const auto &entry) {
        return entry.second.lease->usableUnits(now) > 0;
    });
}

nlohmann::json quota_task::state() const
{
    const auto now = monotonicNow();
    auto result = nlohmann::json::object();
    for (const auto &[workspace, quota] : m_workspaces) {
        result[workspace.str()] = {{"units", quota.lease->usableUnits(now)},
                                   {"tokens", quota.holder->available(now).asTokens()},
                                   {"lent", quota.holder->lent().asTokens()}};
    }
    return result;
}

} // namespace sycamorespan::proxy
