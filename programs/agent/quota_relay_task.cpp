#include "programs/agent/quota_relay_task.h"

#include <utility>

namespace sycamorespan::agent {
namespace {

constexpr std::string_view shareKeyPrefix = "quota/";

using messages::share_answer;
using messages::share_outcome;

share_answer failedAnswer(std::uint64_t request, const std::string &key)
{
    return {request, key, share_outcome::failed, 0, std::nullopt};
}

share_answer readAnswer(const messages::share_read &request,
                        const table_service_client::outcome &outcome)
{
    const auto *result = std::get_if<table_result>(&outcome);
    if (result == nullptr || result->results.size() != 1)
        return failedAnswer(request.request, request.key);
    const auto &rows = result->results.front().rows;
    if (rows.empty())
        return {request.request, request.key, share_outcome::read, 0, std::nullopt};
    return {request.request, request.key, share_outcome::read,
            static_cast<std::uint64_t>(rows.front().revision), rows.front().value};
}

share_answer writeAnswer(const messages::share_write &request,
                         const table_service_client::outcome &outcome)
{
    const auto *result = std::get_if<table_result>(&outcome);
    if (result == nullptr)
        return failedAnswer(request.request, request.key);
    if (!result->succeeded)
        return {request.request, request.key, share_outcome::conflict, 0, std::nullopt};
    if (result->results.empty() || result->results.back().rows.empty())
        return failedAnswer(request.request, request.key);
    const auto &row = result->results.back().rows.front();
    return {request.request, request.key, share_outcome::written,
            static_cast<std::uint64_t>(row.revision), std::nullopt};
}

} // namespace

quota_relay_task::quota_relay_task(table_service_client &table, const proxy_link_task &proxies,
                                   broadcast_handler broadcastToAgents)
    : m_table(table)
    , m_proxies(proxies)
    , m_broadcastToAgents(std::move(broadcastToAgents))
{ }

void quota_relay_task::handleMessage(const process_link &from, const messages::share_read &request)
{
    if (!request.key.starts_with(shareKeyPrefix))
        return;
    m_table.run({{}, {table_get{request.key}}, {}},
                [from, request](const auto &outcome) { from.send(readAnswer(request, outcome)); });
}

void quota_relay_task::handleMessage(const process_link &from, const messages::share_write &request)
{
    if (!request.key.starts_with(shareKeyPrefix))
        return;
    const auto revision = static_cast<table_revision>(request.revision);
    m_table.run({{{request.key, revision}},
                 {table_put{request.key, request.value}, table_get{request.key}},
                 {}},
                [from, request](const auto &outcome) { from.send(writeAnswer(request, outcome)); });
}

void quota_relay_task::handleMessage(const process_link &from,
                                     const messages::loan_transfer &transfer)
{
    const bool isDelivered = m_proxies.send(instance_id(transfer.to), transfer);
    if (!isDelivered && from.remote().role == messages::process_role::proxy)
        m_broadcastToAgents(transfer);
}

} // namespace sycamorespan::agent
