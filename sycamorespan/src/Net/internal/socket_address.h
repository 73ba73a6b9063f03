#ifndef SYCAMORESPAN_NET_INTERNAL_SOCKET_ADDRESS_H
#define SYCAMORESPAN_NET_INTERNAL_SOCKET_ADDRESS_H

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace sycamorespan::internal {

/** \returns \a address in the form of the socket functions.
 * \throws error if \a address has no valid IPv4 address
 */
inline sockaddr_in toSockaddr(const endpoint &address)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.address.c_str(), &name.sin_addr) != 1)
        throw error("'" + address.address + "' is not an IPv4 address");
    return name;
}

} // namespace sycamorespan::internal

#endif
