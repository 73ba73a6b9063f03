#include "sycamorespan/src/Net/web_endpoint.h"

#include "sycamorespan/src/Net/internal/tcp_socket.h"
#include "sycamorespan/src/Net/internal/web_connection.h"

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <vector>

namespace sycamorespan {

namespace {

/** Wait after accept() failed for want of file descriptors or memory. */
constexpr duration acceptPause = 100ms;

std::vector<std::shared_ptr<internal::web_connection>>
snapshot(const std::map<std::uint64_t, std::shared_ptr<internal::web_connection>> &connections)
{
    std::vector<std::shared_ptr<internal::web_connection>> result;
    std::ranges::transform(connections, std::back_inserter(result),
                           [](const auto &entry) { return entry.second; });
    return result;
}

} // namespace

web_endpoint::web_endpoint(ev::loop_ref loop, const socket_address &address,
                           const web_limits &limits, web_handlers handlers)
    : m_loop(loop)
    , m_acceptable(loop)
    , m_resume(loop)
    , m_listener(internal::listenOn(address))
    , m_limits(limits)
    , m_handlers(std::make_shared<web_handlers>(std::move(handlers)))
    , m_counters(std::make_shared<web_counters>())
{
    m_acceptable.set<web_endpoint, &web_endpoint::handleAcceptable>(this);
    m_resume.set<web_endpoint, &web_endpoint::handleResume>(this);
    m_acceptable.start(m_listener.get(), ev::READ);
}

web_endpoint::~web_endpoint()
{
    std::ranges::for_each(
            snapshot(m_connections), &internal::web_connection::detach,
            [](const auto &connection) -> auto & { return *connection; });
}

socket_address web_endpoint::address() const
{
    return internal::localAddress(m_listener);
}

void web_endpoint::stopAccepting()
{
    m_acceptable.stop();
    m_resume.stop();
    m_listener.reset();
}

void web_endpoint::closeSessions(std::string_view reason)
{
    for (const auto &connection : snapshot(m_connections)) {
        if (connection->isOpen())
            connection->close(reason);
    }
}

void web_endpoint::handleAcceptable(ev::io &, int)
{
    auto accepted = internal::acceptFrom(m_listener);
    if (!accepted) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            pauseAccepting();
        return;
    }
    if (m_connections.size() >= m_limits.maxConnections) {
        ++m_counters->connectionsRefused;
        return;
    }
    add(std::move(accepted->fd), std::move(accepted->remote));
}

void web_endpoint::handleResume(ev::timer &, int)
{
    m_acceptable.start();
}

void web_endpoint::add(internal::unique_fd fd, socket_address remote)
{
    ++m_counters->connections;
    const auto id = m_nextId++;
    auto connection = std::make_shared<internal::web_connection>(
            m_loop, std::move(fd),
            internal::web_connection::parameters{
                    id, internal::web_role::server, std::move(remote), m_limits, m_handlers,
                    m_counters, [this](std::uint64_t ended) { m_connections.erase(ended); }});
    m_connections.emplace(id, connection);
    connection->start();
}

void web_endpoint::pauseAccepting()
{
    m_acceptable.stop();
    m_resume.start(toSeconds(acceptPause));
}

} // namespace sycamorespan
