#include "sycamorespan/src/Net/tcp_socket.h"

#include "sycamorespan/Core"
#include "sycamorespan/src/Net/internal/socket_address.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace sycamorespan {

namespace {

error connectFailure(const endpoint &address)
{
    return error("cannot connect to " + address.str() + ": " + std::strerror(errno));
}

} // namespace

file_descriptor connectTo(const endpoint &address)
{
    const auto name = internal::toSockaddr(address);
    file_descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket)
        throw connectFailure(address);
    const int enabled = 1;
    ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const auto *generic = reinterpret_cast<const sockaddr *>(&name);
    if (::connect(socket.get(), generic, sizeof name) != 0 && errno != EINPROGRESS)
        throw connectFailure(address);
    return socket;
}

void detectSilence(const file_descriptor &socket, duration timeout)
{
    const auto milliseconds = static_cast<int>(
            std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    const int seconds = std::max(milliseconds / 1000, 1);
    const int enabled = 1;
    const int probeCount = 2;
    const int fd = socket.get();
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probeCount, sizeof probeCount);
}

int connectError(const file_descriptor &socket)
{
    int result = 0;
    socklen_t length = sizeof result;
    ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &result, &length);
    return result;
}

endpoint remoteEndpoint(const file_descriptor &socket)
{
    sockaddr_in name{};
    socklen_t length = sizeof name;
    if (::getpeername(socket.get(), reinterpret_cast<sockaddr *>(&name), &length) != 0)
        return {};
    char text[INET_ADDRSTRLEN] = "";
    ::inet_ntop(AF_INET, &name.sin_addr, text, sizeof text);
    return {text, ntohs(name.sin_port)};
}

} // namespace sycamorespan
