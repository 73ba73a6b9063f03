#ifndef SYCAMORESPAN_NET_ADMIN_SERVER_H
#define SYCAMORESPAN_NET_ADMIN_SERVER_H

#include "sycamorespan/src/Net/web_endpoint.h"

#include <nlohmann/json_fwd.hpp>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamorespan {

/** \brief Data and actions that an admin_server makes available. */
struct admin_sources
{
    /** Metrics that /metrics returns. */
    std::shared_ptr<prometheus::Collectable> metrics;
    /** Returns the document of /state, which must not contain keys of callers. */
    std::function<nlohmann::json()> state;
    /** Returns whether the process is healthy: /healthz answers 200 if so, otherwise 503. */
    std::function<bool()> isHealthy;
    /** Begins a graceful shutdown on POST /drain. If empty, the route does not exist. */
    std::function<void()> drain = {};
    /** Functions that return the bodies of additional JSON documents, by path. */
    std::map<std::string, std::function<std::string()>> documents = {};
};

/** \brief HTTP server for operators: GET /metrics, /state and /healthz, and POST /drain. */
class admin_server
{
public:
    /** \throws error if the server can't listen on \a address */
    admin_server(ev::loop_ref loop, const endpoint &address, admin_sources sources);

    /** \returns the address on which the server listens. */
    endpoint address() const { return m_endpoint.address(); }

private:
    http_response answer(const http_request &request) const;
    http_response metrics() const;
    http_response state() const;
    http_response health() const;
    http_response drain() const;

    admin_sources m_sources;
    web_endpoint m_endpoint;
};

} // namespace sycamorespan

#endif
