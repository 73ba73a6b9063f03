#ifndef SYCAMORESPAN_NET_INTERNAL_SOCKET_ADDRESS_H
#define SYCAMORESPAN_NET_INTERNAL_SOCKET_ADDRESS_H

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace sycamorespan::internal {

/** \throws error when \a address has no IP number */
inline sockaddr_in toNative(const endpoint &address)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.address.c_str(), &name.sin_addr) != 1)
        throw error("'" + address.address + "' is not an IP number");
    return name;
}

} // namespace sycamorespan::internal

#endif
