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

/** \brief What an admin_server shows. */
struct admin_sources
{
    /** Metrics of /metrics. */
    std::shared_ptr<prometheus::Collectable> metrics;
    /** State of /state; without keys. */
    std::function<nlohmann::json()> state;
    /** Whether /healthz answers 200 or 503. */
    std::function<bool()> isHealthy;
    /** Begins a graceful shutdown on POST /drain; without it there is no such route. */
    std::function<void()> drain = {};
    /** Bodies of further JSON documents, by path. */
    std::map<std::string, std::function<std::string()>> documents = {};
};

/** \brief The operators' port: GET /metrics, /state and /healthz, POST /drain. */
class admin_server
{
public:
    /** \throws error when \a address can't be listened on */
    admin_server(ev::loop_ref loop, const endpoint &address, admin_sources sources);

    /** \returns the address it listens on. */
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
