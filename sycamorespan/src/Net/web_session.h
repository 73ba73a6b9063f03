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

/** \brief Bounds on a connection of web_endpoint or web_client. */
struct web_limits
{
    /** A longer message or HTTP body ends the connection. */
    std::size_t maxMessageBytes = std::size_t{4} << 20;
    /** A receiver so slow that more would wait for it is cut off. */
    std::size_t maxWriteBufferBytes = std::size_t{16} << 20;
    /** Further connections are closed as soon as they are accepted. */
    std::size_t maxConnections = 1024;
    /** Bound on connecting, the handshake, and receiving an HTTP request. */
    duration handshakeTimeout = 5s;
    /** A WebSocket that received nothing for so long is pinged. */
    duration pingInterval = 3s;
    /** A connection that received nothing for so long, pings included, is closed. */
    duration idleTimeout = 10s;
    /** Bound on answering an HTTP request. */
    duration requestTimeout = 60s;
    /** Bound on the closing handshake and on delivering the last bytes. */
    duration closeTimeout = 1s;

    auto operator<=>(const web_limits &) const = default;
};

/** \brief What connections did, in totals since the start. */
struct web_counters
{
    std::uint64_t connections = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t requests = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
    /** Connections closed for silence, a late handshake, or a late answer. */
    std::uint64_t timeouts = 0;
    /** Connections closed because their receiver was too slow. */
    std::uint64_t writeOverflows = 0;
    /** Connections closed because a handler threw. */
    std::uint64_t handlerErrors = 0;

    auto operator<=>(const web_counters &) const = default;
};

/** \brief Handle to an open WebSocket; it may outlive the connection. */
class web_session
{
public:
    web_session() = default;
    web_session(std::uint64_t id, std::weak_ptr<internal::web_connection> connection);

    /** \brief Sends one binary message.
     * \returns false when the connection is gone or closing; true doesn't say that it arrived
     */
    bool send(std::string_view message) const;

    /** \brief Closes with the WebSocket's closing handshake. */
    void close(std::string_view reason) const;

    /** \returns whether messages can be sent. */
    bool isOpen() const;

    /** \returns the other side's address; empty when the connection is gone. */
    endpoint remote() const;

    /** \returns a number that no other connection of the same endpoint has. */
    std::uint64_t id() const { return m_id; }

    bool operator==(const web_session &other) const { return m_id == other.m_id; }
    auto operator<=>(const web_session &other) const { return m_id <=> other.m_id; }

private:
    std::uint64_t m_id = 0;
    std::weak_ptr<internal::web_connection> m_connection;
};

/** \brief Where the answer to an HTTP request goes, now or later, once. */
class http_responder
{
public:
    explicit http_responder(std::weak_ptr<internal::web_connection> connection);

    /** \brief Sends the answer; nothing happens when the connection is gone. */
    void operator()(const http_response &response) const;

    /** \brief Closes the connection without an answer. */
    void drop() const;

private:
    std::weak_ptr<internal::web_connection> m_connection;
};

/** \brief Receivers of what happens on WebSockets and of HTTP requests. Empty ones are skipped. A
 * handler that throws ends the connection it was called for.
 */
struct web_handlers
{
    std::function<void(const web_session &)> opened;
    std::function<void(const web_session &, std::string_view message)> message;
    /** Called once for each connection for which opened was called. */
    std::function<void(const web_session &)> closed;
    /** Without it, requests are answered by 404. */
    std::function<void(const http_request &, const http_responder &)> request;
};

} // namespace sycamorespan

#endif
