#include "sycamorespan/src/Net/admin_server.h"

#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

#include <utility>

namespace sycamorespan {

namespace {

constexpr int httpAccepted = 202;
constexpr int httpNotFound = 404;
constexpr int httpMethodNotAllowed = 405;
constexpr int httpServiceUnavailable = 503;
constexpr const char *prometheusContentType = "text/plain; version=0.0.4; charset=utf-8";
constexpr int jsonIndentSpaces = 2;

web_limits adminLimits()
{
    web_limits limits;
    limits.maxMessageBytes = std::size_t{64} << 10;
    limits.maxWriteBufferBytes = std::size_t{64} << 20;
    limits.maxConnections = 64;
    limits.requestTimeout = 10s;
    return limits;
}

} // namespace

admin_server::admin_server(ev::loop_ref loop, const endpoint &address, admin_sources sources)
    : m_sources(std::move(sources))
    , m_endpoint(loop, address, adminLimits(),
                 {{}, {}, {}, [this](const http_request &request, const http_responder &respond) {
                      respond(answer(request));
                  }})
{ }

http_response admin_server::answer(const http_request &request) const
{
    if (request.method == "POST" && request.path == "/drain" && m_sources.drain)
        return drain();
    if (request.method != "GET")
        return {httpMethodNotAllowed, "text/plain", "only GET\n"};
    if (request.path == "/metrics")
        return metrics();
    if (request.path == "/state")
        return state();
    if (request.path == "/healthz")
        return health();
    const auto document = m_sources.documents.find(request.path);
    if (document != m_sources.documents.end())
        return {200, "application/json", document->second()};
    return {httpNotFound, "text/plain", "there are /metrics, /state and /healthz\n"};
}

http_response admin_server::metrics() const
{
    return {200, prometheusContentType,
            prometheus::TextSerializer().Serialize(m_sources.metrics->Collect())};
}

http_response admin_server::state() const
{
    return {200, "application/json", m_sources.state().dump(jsonIndentSpaces) + "\n"};
}

http_response admin_server::health() const
{
    if (m_sources.isHealthy())
        return {200, "text/plain", "ok\n"};
    return {httpServiceUnavailable, "text/plain", "unhealthy\n"};
}

http_response admin_server::drain() const
{
    m_sources.drain();
    return {httpAccepted, "text/plain", "draining\n"};
}

} // namespace sycamorespan
