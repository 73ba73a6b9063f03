#include "programs/sycamorespanctl/platform_store.h"

#include "programs/sycamorespanctl/blocking_http.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace sycamorespan::ctl {

namespace {

using namespace configuration;

constexpr int httpOk = 200;
constexpr int lastHttpSuccess = 299;
constexpr const char *rowKey = "configuration";

time_point steadyNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(sinceStart));
}

edit_action performAction(const platform_store &store, configuration_editor &editor,
                          const edit_action &action)
{
    return std::visit(overloaded{
                              [&](const fetch_row &) {
                                  const auto [result, row] = store.readRow();
                                  return editor.rowFetched(steadyNow(), result, row);
                              },
                              [&](const fetch_body &fetch) {
                                  const auto body = store.readObject(fetch.object);
                                  return editor.bodyFetched(steadyNow(), body);
                              },
                              [&](const store_body &body) {
                                  const auto result = store.writeObject(body);
                                  return editor.bodyStored(steadyNow(), result);
                              },
                              [&](const compare_and_set_row &write) {
                                  const auto result = store.compareAndSetRow(write);
                                  return editor.rowCompared(steadyNow(), result);
                              },
                              [&](const wait_before_retry &wait) {
                                  std::this_thread::sleep_for(wait.delay);
                                  return editor.tick(steadyNow());
                              },
                              [](const auto &result) { return edit_action(result); },
                      },
                      action);
}

bool isFinalResult(const edit_action &action)
{
    return std::visit(overloaded{[](const fetch_row &) { return false; },
                                 [](const fetch_body &) { return false; },
                                 [](const store_body &) { return false; },
                                 [](const compare_and_set_row &) { return false; },
                                 [](const wait_before_retry &) { return false; },
                                 [](const auto &) { return true; }},
                      action);
}

} // namespace

platform_store::platform_store(std::string baseUrl, std::chrono::milliseconds timeout)
    : m_baseUrl(std::move(baseUrl))
    , m_timeout(timeout)
{ }

std::pair<store_result, std::optional<fetched_row>> platform_store::readRow() const
{
    const auto answer = run({{}, {table_get{rowKey}}, {}});
    if (!answer || answer->results.empty())
        return {store_result::noAnswer, std::nullopt};
    const auto &rows = answer->results.front().rows;
    if (rows.empty())
        return {store_result::done, std::nullopt};
    const auto &row = rows.front();
    return {store_result::done,
            fetched_row{static_cast<std::uint64_t>(row.revision), parseRow(row.value)}};
}

store_result platform_store::compareAndSetRow(const compare_and_set_row &write) const
{
    const auto answer = run({{{rowKey, static_cast<table_revision>(write.revision)}},
                             {table_put{rowKey, write.value}},
                             {}});
    if (!answer)
        return store_result::noAnswer;
    return answer->succeeded ? store_result::done : store_result::refused;
}

std::optional<std::string> platform_store::readObject(const std::string &name) const
{
    auto response = sendRequest(m_baseUrl, {"GET", "/v1/objects/" + name, ""}, m_timeout);
    if (!response || response->status != httpOk)
        return std::nullopt;
    return std::move(response->body);
}

store_result platform_store::writeObject(const store_body &object) const
{
    const http_request request{"PUT", "/v1/objects/" + object.object, object.body};
    const auto response = sendRequest(m_baseUrl, request, m_timeout);
    const bool isDone =
            response && response->status >= httpOk && response->status <= lastHttpSuccess;
    return isDone ? store_result::done : store_result::noAnswer;
}

configuration_document platform_store::currentDocument() const
{
    const auto [result, row] = readRow();
    if (result != store_result::done)
        throw error("the platform's table doesn't answer");
    if (!row)
        return {};
    const auto body = readObject(row->row.object);
    if (!body)
        throw error("the platform's object store doesn't answer");
    return parseDocument(*body);
}

std::optional<table_result> platform_store::run(const table_transaction &transaction) const
{
    const http_request request{"POST", "/v1/transactions", nlohmann::json(transaction).dump()};
    const auto response = sendRequest(m_baseUrl, request, m_timeout);
    if (!response || response->status != httpOk)
        return std::nullopt;
    try {
        return nlohmann::json::parse(response->body).get<table_result>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

edit_action runEdit(const platform_store &store, edit_request request,
                    std::chrono::milliseconds deadline)
{
    configuration_editor editor(std::move(request), steadyNow() + deadline);
    auto action = editor.start(steadyNow());
    while (!isFinalResult(action))
        action = performAction(store, editor, action);
    return action;
}

} // namespace sycamorespan::ctl
