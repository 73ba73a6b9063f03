#ifndef SYCAMORESPAN_NET_DATAGRAM_SOCKET_H
#define SYCAMORESPAN_NET_DATAGRAM_SOCKET_H

#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/file_descriptor.h"

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <string_view>

namespace sycamorespan {

/** \brief A bound UDP socket. Datagrams may be lost, duplicated or reordered. */
class datagram_socket
{
public:
    using datagram_handler = std::function<void(std::string_view)>;

    /** \throws error if \a address can't be bound; the message names the address and the cause */
    datagram_socket(ev::loop_ref loop, const endpoint &address, datagram_handler onDatagram);

    /** \brief Sends \a bytes, or drops them if the operating system does not accept them now. */
    void send(const endpoint &to, std::string_view bytes);

    /** \returns the number of datagrams that the operating system did not accept. */
    std::uint64_t dropped() const { return m_dropped; }

private:
    void receive(ev::io &watcher, int events);

    file_descriptor m_socket;
    datagram_handler m_onDatagram;
    ev::io m_watcher;
    std::uint64_t m_dropped = 0;
};

} // namespace sycamorespan

#endif
