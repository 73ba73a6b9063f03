#include "sycamorespan/src/Net/datagram_socket.h"

#include "sycamorespan/Core"
#include "sycamorespan/src/Net/internal/socket_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace sycamorespan {

namespace {

constexpr std::size_t maxDatagramBytes = 65536;
/** Maximum number of datagrams read in one loop iteration, so that a flood of datagrams can't
 * starve the other watchers.
 */
constexpr int maxDatagramsPerIteration = 32;

file_descriptor bindDatagramSocket(const endpoint &address)
{
    const auto name = internal::toSockaddr(address);
    file_descriptor socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket
        || ::bind(socket.get(), reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0)
        throw error("cannot bind UDP address " + address.str() + ": " + std::strerror(errno));
    return socket;
}

} // namespace

datagram_socket::datagram_socket(ev::loop_ref loop, const endpoint &address,
                                 datagram_handler onDatagram)
    : m_socket(bindDatagramSocket(address))
    , m_onDatagram(std::move(onDatagram))
    , m_watcher(loop)
{
    m_watcher.set<datagram_socket, &datagram_socket::receive>(this);
    m_watcher.start(m_socket.get(), ev::READ);
}

void datagram_socket::send(const endpoint &to, std::string_view bytes)
{
    const auto name = internal::toSockaddr(to);
    const auto sent = ::sendto(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                               reinterpret_cast<const sockaddr *>(&name), sizeof name);
    if (sent < 0)
        ++m_dropped;
}

void datagram_socket::receive(ev::io &, int)
{
    static thread_local std::vector<char> buffer(maxDatagramBytes);
    for (int count = 0; count < maxDatagramsPerIteration; ++count) {
        const auto size = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (size < 0)
            return;
        m_onDatagram(std::string_view(buffer.data(), static_cast<std::size_t>(size)));
    }
}

} // namespace sycamorespan
