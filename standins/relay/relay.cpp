#include "standins/relay/relay.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace sycamorespan::standin {

namespace {

constexpr std::array<std::pair<relay_mode, std::string_view>, 4> modeNames{
        {{relay_mode::pass, "pass"},
         {relay_mode::silent, "silent"},
         {relay_mode::partition, "partition"},
         {relay_mode::cut, "cut"}}};

std::string_view toText(relay_mode mode)
{
    return std::ranges::find(modeNames, mode, [](const auto &entry) { return entry.first; })
            ->second;
}

relay_mode parseMode(const std::string &text)
{
    const auto *found = std::ranges::find(modeNames, std::string_view(text),
                                          [](const auto &entry) { return entry.second; });
    if (found == modeNames.end())
        throw decode_error("no such mode: " + text);
    return found->first;
}

} // namespace

relay::relay(ev::loop_ref loop, const endpoint &address, const endpoint &target,
             const endpoint &control)
    : m_loop(loop)
    , m_address(address)
    , m_target(target)
    , m_listener(loop, address, [this](file_descriptor caller) { accept(std::move(caller)); })
    , m_control(loop, control, {},
                {{}, {}, {}, [this](const http_request &request, const http_responder &respond) {
                     respond(handleControl(request));
                 }})
{ }

void relay::accept(file_descriptor caller)
{
    if (m_mode == relay_mode::cut)
        return;
    try {
        const auto id = m_nextId++;
        auto connection = std::make_unique<relayed_connection>(
                m_loop, std::move(caller), connectTo(m_target), [this] { return m_delay; },
                [this, id] { m_connections.erase(id); });
        connection->setPaused(m_mode == relay_mode::partition);
        m_connections.emplace(id, std::move(connection));
    } catch (const error &) {
        // The target is unreachable: the caller's connection is closed when its descriptor goes out
        // of scope.
    }
}

http_response relay::handleControl(const http_request &request)
{
    if (request.path != "/v1/mode")
        return {404, "text/plain", "there is /v1/mode\n"};
    try {
        if (request.method == "PUT")
            changeMode(request.body);
    } catch (const std::exception &failure) {
        return {400, "text/plain", failure.what()};
    }
    const nlohmann::json state = {
            {"mode", toText(m_mode)},
            {"delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_delay).count()},
            {"connections", m_connections.size()}};
    return {200, "application/json", state.dump()};
}

void relay::changeMode(const std::string &body)
{
    const auto wanted = nlohmann::json::parse(body);
    if (wanted.contains("delay_ms"))
        m_delay = std::chrono::milliseconds(wanted.at("delay_ms").get<std::int64_t>());
    if (!wanted.contains("mode"))
        return;
    m_mode = parseMode(wanted.at("mode"));
    applyMode();
}

void relay::applyMode()
{
    std::ranges::for_each(m_connections, [this](const auto &entry) {
        if (m_mode == relay_mode::silent)
            entry.second->stopForwarding();
        if (m_mode == relay_mode::cut)
            entry.second->close();
        if (m_mode == relay_mode::pass || m_mode == relay_mode::partition)
            entry.second->setPaused(m_mode == relay_mode::partition);
    });
}

} // namespace sycamorespan::standin
