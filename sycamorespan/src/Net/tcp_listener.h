#ifndef SYCAMORESPAN_NET_TCP_LISTENER_H
#define SYCAMORESPAN_NET_TCP_LISTENER_H

#include <functional>

#include <ev++.h>

#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/file_descriptor.h"

namespace sycamorespan {

/** \brief Accepts TCP connections and passes each one to a handler as a non-blocking socket. */
class tcp_listener
{
public:
    using accept_handler = std::function<void(file_descriptor)>;

    /** \throws error if \a address can't be bound; the message names the address and the cause */
    tcp_listener(ev::loop_ref loop, const endpoint &address, accept_handler onAccept);

    /** \brief Stops accepting connections. Existing connections are not affected. */
    void close();

    /** \returns the port in use, chosen by the operating system if the address had port 0. */
    std::uint16_t port() const;

private:
    void acceptPending(ev::io &watcher, int events);
    void resume(ev::timer &watcher, int events);
    void pauseIfExhausted();

    file_descriptor m_socket;
    accept_handler m_onAccept;
    ev::io m_watcher;
    ev::timer m_resumeTimer;
};

} // namespace sycamorespan

#endif
