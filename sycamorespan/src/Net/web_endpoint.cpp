#include "sycamorespan/src/Net/web_endpoint.h"

#include "sycamorespan/src/Net/internal/web_connection.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace sycamorespan {

namespace {

std::vector<std::shared_ptr<internal::web_connection>> copyConnections(
        const std::map<std::uint64_t, std::shared_ptr<internal::web_connection>> &connections)
{
    std::vector<std::shared_ptr<internal::web_connection>> result;
    std::ranges::transform(connections, std::back_inserter(result),
                           [](const auto &entry) { return entry.second; });
    return result;
}

} // namespace

web_endpoint::web_endpoint(ev::loop_ref loop, const endpoint &address, const web_limits &limits,
                           web_handlers handlers)
    : m_loop(loop)
    , m_address(address)
    , m_limits(limits)
    , m_handlers(std::make_shared<web_handlers>(std::move(handlers)))
    , m_counters(std::make_shared<web_counters>())
    , m_listener(loop, address,
                 [this](file_descriptor socket) { addConnection(std::move(socket)); })
{ }

web_endpoint::~web_endpoint()
{
    std::ranges::for_each(
            copyConnections(m_connections), &internal::web_connection::detach,
            [](const auto &connection) -> auto & { return *connection; });
}

void web_endpoint::stopAccepting()
{
    m_listener.close();
}

void web_endpoint::closeSessions(std::string_view reason)
{
    for (const auto &connection : copyConnections(m_connections)) {
        if (connection->isOpen())
            connection->close(reason);
    }
}

void web_endpoint::addConnection(file_descriptor socket)
{
    if (m_connections.size() >= m_limits.maxConnections) {
        ++m_counters->connectionsRefused;
        return;
    }
    auto remote = remoteEndpoint(socket);
    ++m_counters->connections;
    const auto id = m_nextId++;
    auto connection = std::make_shared<internal::web_connection>(
            m_loop, std::move(socket),
            internal::web_connection::parameters{
                    id, internal::web_role::server, std::move(remote), m_limits, m_handlers,
                    m_counters, [this](std::uint64_t ended) { m_connections.erase(ended); }});
    m_connections.emplace(id, connection);
    connection->start();
}

} // namespace sycamorespan
