#ifndef SYCAMORESPAN_NET_WEB_CLIENT_H
#define SYCAMORESPAN_NET_WEB_CLIENT_H

#include "sycamorespan/src/Net/web_session.h"

#include <ev++.h>

namespace sycamorespan {

/** \brief Event handlers of a web_client's connection. Empty handlers are skipped. */
struct web_client_handlers
{
    std::function<void()> opened;
    std::function<void(std::string_view message)> message;
    /** Called once for each connect(), even if no connection was established. */
    std::function<void()> closed;
};

/** \brief WebSocket client with at most one connection at a time. Its owner has to reconnect.
 * \sa web_endpoint, retry_backoff
 */
class web_client
{
public:
    /** \param loop     event loop
     * \param limits    limits of each connection
     * \param handlers  event handlers; they may call this object's functions
     */
    web_client(ev::loop_ref loop, const web_limits &limits, web_client_handlers handlers);
    ~web_client();
    web_client(const web_client &) = delete;
    web_client &operator=(const web_client &) = delete;

    /** \brief Starts to connect. An existing connection is closed first, without calling closed. */
    void connect(const endpoint &address);

    /** \brief Sends one binary message.
     * \returns false if the connection is not open
     */
    bool send(std::string_view message);

    /** \brief Starts the WebSocket closing handshake. The closed handler is called later. */
    void close(std::string_view reason);

    /** \returns whether messages can be sent. */
    bool isOpen() const;

    /** \returns a handle to the current connection. */
    web_session session() const { return {m_lastId, m_connection}; }

    /** \returns whether a connection is being established, open or being closed. */
    bool isActive() const { return m_connection != nullptr; }

    const web_counters &counters() const { return *m_counters; }

private:
    void dropConnection();
    void reportClosed();
    void handleEnded(std::uint64_t id);

    ev::loop_ref m_loop;
    ev::timer m_connectFailedTimer;
    web_limits m_limits;
    web_client_handlers m_handlers;
    std::shared_ptr<web_counters> m_counters;
    std::uint64_t m_lastId = 0;
    std::shared_ptr<internal::web_connection> m_connection;
};

} // namespace sycamorespan

#endif
