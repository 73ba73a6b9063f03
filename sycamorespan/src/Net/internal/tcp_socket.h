#ifndef SYCAMORESPAN_NET_INTERNAL_TCP_SOCKET_H
#define SYCAMORESPAN_NET_INTERNAL_TCP_SOCKET_H

#include "sycamorespan/src/Net/internal/unique_fd.h"
#include "sycamorespan/src/Net/socket_address.h"

#include <optional>

namespace sycamorespan::internal {

/** \returns a non-blocking socket that listens on \a address.
 * \throws error when the address can't be used
 */
unique_fd listenOn(const socket_address &address);

/** \returns the address that \a fd is bound to; tells the port when 0 was asked for. */
socket_address localAddress(const unique_fd &fd);

/** \brief A connection that a listening socket accepted. */
struct accepted_socket
{
    unique_fd fd;
    socket_address remote;
};

/** \brief Accepts one connection, non-blocking.
 * \returns nothing when none waits; errno then tells why
 */
std::optional<accepted_socket> acceptFrom(const unique_fd &listener);

/** \brief Begins to connect, non-blocking.
 * \returns a socket that becomes writable when the outcome is known
 * \throws error when the attempt fails at once
 */
unique_fd connectTo(const socket_address &address);

/** \returns the error of a finished connection attempt; 0 when it succeeded. */
int connectError(const unique_fd &fd);

} // namespace sycamorespan::internal

#endif
