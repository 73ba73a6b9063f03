#ifndef SYCAMORESPAN_NET_TCP_LISTENER_H
#define SYCAMORESPAN_NET_TCP_LISTENER_H

#include <functional>

#include <ev++.h>

#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/file_descriptor.h"

namespace sycamorespan {

/** \brief Accepts TCP connections and hands each non-blocking socket on. */
class tcp_listener
{
public:
    using accept_handler = std::function<void(file_descriptor)>;

    /** \throws error when \a address can't be bound; the text names address and cause. */
    tcp_listener(ev::loop_ref loop, const endpoint &address, accept_handler onAccept);

    /** \brief Stops accepting; connections that exist are not touched. */
    void close();

    /** \returns the port in use, chosen by the system where the address named port 0. */
    std::uint16_t port() const;

private:
    void acceptPending(ev::io &watcher, int events);
    void resume(ev::timer &watcher, int events);
    void pause();

    file_descriptor m_socket;
    accept_handler m_onAccept;
    ev::io m_watcher;
    ev::timer m_resume;
};

} // namespace sycamorespan

#endif
