#ifndef SYCAMORESPAN_NET_TCP_SOCKET_H
#define SYCAMORESPAN_NET_TCP_SOCKET_H

#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/file_descriptor.h"

namespace sycamorespan {

/** \brief Starts a non-blocking connection attempt.
 * \returns a socket that becomes writable when the outcome is known
 * \throws error if the attempt fails immediately
 */
file_descriptor connectTo(const endpoint &address);

/** \brief Sets the timeout after which the kernel closes a connection with an unresponsive peer.
 *
 * It applies to sent bytes that are not acknowledged and, through TCP keepalive probes, to a
 * connection without traffic.
 */
void detectSilence(const file_descriptor &socket, duration timeout);

/** \returns the errno of a finished connection attempt; 0 if it succeeded. */
int connectError(const file_descriptor &socket);

/** \returns the address of the peer; empty if the socket is not connected. */
endpoint remoteEndpoint(const file_descriptor &socket);

} // namespace sycamorespan

#endif
