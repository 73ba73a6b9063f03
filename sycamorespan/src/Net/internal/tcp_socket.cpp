#include "sycamorespan/src/Net/internal/tcp_socket.h"

#include "sycamorespan/src/Core/error.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace sycamorespan::internal {

namespace {

/** An address as the socket calls take it. */
struct native_address
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(sockaddr_storage);

    sockaddr *get() { return reinterpret_cast<sockaddr *>(&storage); }
    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&storage); }
};

native_address toNative(const socket_address &address)
{
    native_address result;
    auto &v4 = reinterpret_cast<sockaddr_in &>(result.storage);
    if (inet_pton(AF_INET, address.ip.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(address.port);
        result.size = sizeof(v4);
        return result;
    }
    auto &v6 = reinterpret_cast<sockaddr_in6 &>(result.storage);
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6.sin6_addr) != 1)
        throw error("not an IP address: " + address.ip);
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(address.port);
    result.size = sizeof(v6);
    return result;
}

socket_address fromNative(const native_address &address)
{
    char text[INET6_ADDRSTRLEN] = "";
    if (address.storage.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address.storage);
        inet_ntop(AF_INET, &v4.sin_addr, text, sizeof(text));
        return {text, ntohs(v4.sin_port)};
    }
    const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address.storage);
    inet_ntop(AF_INET6, &v6.sin6_addr, text, sizeof(text));
    return {text, ntohs(v6.sin6_port)};
}

[[noreturn]] void throwErrno(const std::string &action, const socket_address &address)
{
    throw error(action + " " + address.str() + ": " + std::strerror(errno));
}

unique_fd makeSocket(const native_address &address)
{
    constexpr int flags = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    return unique_fd(::socket(address.storage.ss_family, flags, 0));
}

void sendWithoutDelay(const unique_fd &fd)
{
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

unique_fd listenOn(const socket_address &address)
{
    constexpr int pendingConnections = 512;
    const auto native = toNative(address);
    auto fd = makeSocket(native);
    if (!fd)
        throwErrno("cannot make a socket for", address);
    const int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(fd.get(), native.get(), native.size) != 0)
        throwErrno("cannot bind", address);
    if (::listen(fd.get(), pendingConnections) != 0)
        throwErrno("cannot listen on", address);
    return fd;
}

socket_address localAddress(const unique_fd &fd)
{
    native_address native;
    ::getsockname(fd.get(), native.get(), &native.size);
    return fromNative(native);
}

std::optional<accepted_socket> acceptFrom(const unique_fd &listener)
{
    native_address native;
    unique_fd fd(
            ::accept4(listener.get(), native.get(), &native.size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd)
        return std::nullopt;
    sendWithoutDelay(fd);
    return accepted_socket{std::move(fd), fromNative(native)};
}

unique_fd connectTo(const socket_address &address)
{
    const auto native = toNative(address);
    auto fd = makeSocket(native);
    if (!fd)
        throwErrno("cannot make a socket for", address);
    sendWithoutDelay(fd);
    if (::connect(fd.get(), native.get(), native.size) != 0 && errno != EINPROGRESS)
        throwErrno("cannot connect to", address);
    return fd;
}

int connectError(const unique_fd &fd)
{
    int result = 0;
    socklen_t size = sizeof(result);
    ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &result, &size);
    return result;
}

} // namespace sycamorespan::internal
