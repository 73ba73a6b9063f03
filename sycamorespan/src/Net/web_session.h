#ifndef SYCAMORESPAN_NET_WEB_SESSION_H
#define SYCAMORESPAN_NET_WEB_SESSION_H

#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/http_message.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace sycamorespan {

namespace internal {
class web_connection;
}

/** \brief Limits of the connections of a web_endpoint or web_client. */
struct web_limits
{
    /** Maximum size of a message or HTTP body. A longer one ends the connection. */
    std::size_t maxMessageBytes = std::size_t{4} << 20;
    /** Maximum number of unsent bytes. A connection that would exceed it is closed. */
    std::size_t maxWriteBufferBytes = std::size_t{16} << 20;
    /** Maximum number of connections. Additional ones are closed as soon as they are accepted. */
    std::size_t maxConnections = 1024;
    /** Timeout for connecting, and for the handshake or receiving an HTTP request. */
    duration handshakeTimeout = 5s;
    /** Time without received bytes after which a WebSocket ping is sent. */
    duration pingInterval = 3s;
    /** Time without received bytes, pings and pongs included, after which a WebSocket is closed. */
    duration idleTimeout = 10s;
    /** Timeout for answering an HTTP request. */
    duration requestTimeout = 60s;
    /** Timeout for the closing handshake and for delivering the last bytes. */
    duration closeTimeout = 1s;

    auto operator<=>(const web_limits &) const = default;
};

/** \brief Counters of all connections of a web_endpoint or web_client since its creation. */
struct web_counters
{
    std::uint64_t connections = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t requests = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
    /** Connections closed because the peer was unresponsive or a handshake or answer was late. */
    std::uint64_t timeouts = 0;
    /** Connections closed because the receiver was too slow. */
    std::uint64_t writeOverflows = 0;
    /** Exceptions thrown by event handlers. */
    std::uint64_t handlerErrors = 0;

    auto operator<=>(const web_counters &) const = default;
};

/** \brief Handle to an open WebSocket. It may outlive the connection. */
class web_session
{
public:
    web_session() = default;
    web_session(std::uint64_t id, std::weak_ptr<internal::web_connection> connection);

    /** \brief Sends one binary message.
     * \returns false if the connection is closed or closing; true does not mean that it arrived
     */
    bool send(std::string_view message) const;

    /** \brief Starts the WebSocket closing handshake. */
    void close(std::string_view reason) const;

    /** \returns whether messages can be sent. */
    bool isOpen() const;

    /** \returns the address of the peer; empty if the connection no longer exists. */
    endpoint remote() const;

    /** \returns the number of the connection, which is unique within its endpoint or client. */
    std::uint64_t id() const { return m_id; }

    bool operator==(const web_session &other) const { return m_id == other.m_id; }
    auto operator<=>(const web_session &other) const { return m_id <=> other.m_id; }

private:
    std::uint64_t m_id = 0;
    std::weak_ptr<internal::web_connection> m_connection;
};

/** \brief Function object that answers one HTTP request, immediately or later. */
class http_responder
{
public:
    explicit http_responder(std::weak_ptr<internal::web_connection> connection);

    /** \brief Sends the answer. Does nothing if the connection no longer exists. */
    void operator()(const http_response &response) const;

    /** \brief Closes the connection without an answer. */
    void drop() const;

private:
    std::weak_ptr<internal::web_connection> m_connection;
};

/** \brief Event handlers of WebSockets and HTTP requests. Empty handlers are skipped.
 *
 * If a handler of a WebSocket throws, its connection is closed. If the request handler throws, the
 * request is answered by status 500.
 */
struct web_handlers
{
    std::function<void(const web_session &)> opened;
    std::function<void(const web_session &, std::string_view message)> message;
    /** Called once for each connection for which \a opened was called. */
    std::function<void(const web_session &)> closed;
    /** Answers HTTP requests. If empty, requests are answered by status 404. */
    std::function<void(const http_request &, const http_responder &)> request;
};

} // namespace sycamorespan

#endif
