#ifndef SYCAMORESPAN_NET_TCP_SOCKET_H
#define SYCAMORESPAN_NET_TCP_SOCKET_H

#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/file_descriptor.h"

namespace sycamorespan {

/** \brief Begins to connect, non-blocking.
 * \returns a socket that becomes writable when the outcome is known
 * \throws error when the attempt fails at once
 */
file_descriptor connectTo(const endpoint &address);

/** \brief Bounds how long sent bytes may stay unacknowledged, and how long a connection without
 * traffic stays open after its other side is gone.
 */
void detectSilence(const file_descriptor &socket, duration limit);

/** \returns the error of a finished connection attempt; 0 when it succeeded. */
int connectError(const file_descriptor &socket);

/** \returns the other side's address; empty when there is none. */
endpoint remoteEndpoint(const file_descriptor &socket);

} // namespace sycamorespan

#endif
