#ifndef SYCAMORESPAN_NET_WEB_ENDPOINT_H
#define SYCAMORESPAN_NET_WEB_ENDPOINT_H

#include "sycamorespan/src/Net/tcp_listener.h"
#include "sycamorespan/src/Net/web_session.h"

#include <ev++.h>

#include <map>

namespace sycamorespan {

/** \brief Server that accepts WebSockets with binary messages and plain HTTP/1.1 on one port.
 *
 * An HTTP connection carries one request. Handlers are called on the loop's thread.
 * \sa web_client
 */
class web_endpoint
{
public:
    /** \param loop     event loop
     * \param address   address to listen on; with port 0 the operating system chooses the port
     * \param limits    limits of each connection
     * \param handlers  event handlers
     * \throws error if the server can't listen on \a address
     */
    web_endpoint(ev::loop_ref loop, const endpoint &address, const web_limits &limits,
                 web_handlers handlers);
    ~web_endpoint();
    web_endpoint(const web_endpoint &) = delete;
    web_endpoint &operator=(const web_endpoint &) = delete;

    /** \returns the address on which the server listens. */
    endpoint address() const { return {m_address.address, m_listener.port()}; }

    /** \brief Stops accepting connections. Open connections stay open. */
    void stopAccepting();

    /** \brief Starts the closing handshake of every open WebSocket. */
    void closeSessions(std::string_view reason);

    /** \returns the number of current connections. */
    std::size_t connectionCount() const { return m_connections.size(); }

    const web_counters &counters() const { return *m_counters; }

private:
    void addConnection(file_descriptor socket);

    ev::loop_ref m_loop;
    endpoint m_address;
    web_limits m_limits;
    std::shared_ptr<const web_handlers> m_handlers;
    std::shared_ptr<web_counters> m_counters;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, std::shared_ptr<internal::web_connection>> m_connections;
    tcp_listener m_listener;
};

} // namespace sycamorespan

#endif
