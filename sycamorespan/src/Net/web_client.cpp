#include "sycamorespan/src/Net/web_client.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/internal/web_connection.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <utility>

namespace sycamorespan {

namespace {

std::shared_ptr<const web_handlers> toSessionHandlers(const web_client_handlers &handlers)
{
    web_handlers result;
    if (handlers.opened)
        result.opened = [opened = handlers.opened](const web_session &) { opened(); };
    if (handlers.message) {
        result.message = [message = handlers.message](const web_session &, std::string_view text) {
            message(text);
        };
    }
    return std::make_shared<web_handlers>(std::move(result));
}

} // namespace

web_client::web_client(ev::loop_ref loop, const web_limits &limits, web_client_handlers handlers)
    : m_loop(loop)
    , m_connectFailedTimer(loop)
    , m_limits(limits)
    , m_handlers(std::move(handlers))
    , m_counters(std::make_shared<web_counters>())
{
    m_connectFailedTimer.set<web_client, &web_client::reportClosed>(this);
}

web_client::~web_client()
{
    dropConnection();
}

void web_client::connect(const endpoint &address)
{
    dropConnection();
    try {
        auto fd = connectTo(address);
        ++m_counters->connections;
        m_connection = std::make_shared<internal::web_connection>(
                m_loop, std::move(fd),
                internal::web_connection::parameters{
                        ++m_lastId, internal::web_role::client, address, m_limits,
                        toSessionHandlers(m_handlers), m_counters,
                        [this](std::uint64_t id) { handleEnded(id); }});
        m_connection->start();
    } catch (const error &) {
        // Reported from the loop, so that a closed handler that calls connect() does not recurse.
        m_connectFailedTimer.start(0.);
    }
}

bool web_client::send(std::string_view message)
{
    return m_connection && m_connection->send(message);
}

void web_client::close(std::string_view reason)
{
    if (m_connection)
        m_connection->close(reason);
}

bool web_client::isOpen() const
{
    return m_connection && m_connection->isOpen();
}

void web_client::dropConnection()
{
    m_connectFailedTimer.stop();
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->detach();
}

void web_client::reportClosed()
{
    const auto closed = m_handlers.closed;
    if (closed)
        closed();
}

void web_client::handleEnded(std::uint64_t id)
{
    if (id != m_lastId)
        return;
    m_connection.reset();
    reportClosed();
}

} // namespace sycamorespan
