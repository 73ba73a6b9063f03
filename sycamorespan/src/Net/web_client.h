#ifndef SYCAMORESPAN_NET_WEB_CLIENT_H
#define SYCAMORESPAN_NET_WEB_CLIENT_H

#include "sycamorespan/src/Net/web_session.h"

#include <ev++.h>

namespace sycamorespan {

/** \brief Receivers of what happens on a web_client's connection. Empty ones are skipped. */
struct web_client_handlers
{
    std::function<void()> opened;
    std::function<void(std::string_view message)> message;
    /** Called once for each connect(), also when no connection came about. */
    std::function<void()> closed;
};

/** \brief WebSocket client with at most one connection at a time. Its owner reconnects.
 * \sa web_endpoint, retry_backoff
 */
class web_client
{
public:
    /** \param loop     event loop
     * \param limits    bounds on each connection
     * \param handlers  receivers of what happens; they may call this object's functions
     */
    web_client(ev::loop_ref loop, const web_limits &limits, web_client_handlers handlers);
    ~web_client();
    web_client(const web_client &) = delete;
    web_client &operator=(const web_client &) = delete;

    /** \brief Begins to connect; a connection that there was is dropped first, without a report. */
    void connect(const endpoint &address);

    /** \brief Sends one binary message.
     * \returns false when the connection isn't open
     */
    bool send(std::string_view message);

    /** \brief Closes with the closing handshake; closed is reported later. */
    void close(std::string_view reason);

    /** \returns whether messages can be sent. */
    bool isOpen() const;

    /** \returns a handle to the present connection. */
    web_session session() const { return {m_lastId, m_connection}; }

    /** \returns whether a connection is open, being made or being closed. */
    bool isActive() const { return m_connection != nullptr; }

    const web_counters &counters() const { return *m_counters; }

private:
    void drop();
    void fail();
    void handleEnded(std::uint64_t id);

    ev::loop_ref m_loop;
    ev::timer m_failed;
    web_limits m_limits;
    web_client_handlers m_handlers;
    std::shared_ptr<web_counters> m_counters;
    std::uint64_t m_lastId = 0;
    std::shared_ptr<internal::web_connection> m_connection;
};

} // namespace sycamorespan

#endif
