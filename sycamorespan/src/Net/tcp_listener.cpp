#include "sycamorespan/src/Net/tcp_listener.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "sycamorespan/Core"

namespace sycamorespan {
namespace {

constexpr int acceptBacklog = 1024;
/** Delay before accept is called again after it failed for lack of file descriptors or memory. */
constexpr duration acceptRetryDelay = 100ms;

/** Connections accepted in one turn of the event loop, so that what the accepted ones have sent is
 * read between.
 */
constexpr int maxAcceptedPerTurn = 64;

error systemError(const std::string &failedAction)
{
    return error(failedAction + ": " + std::strerror(errno));
}

file_descriptor bindSocket(const endpoint &address)
{
    file_descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket)
        throw systemError("cannot create TCP socket");
    const int enabled = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.address.c_str(), &name.sin_addr) != 1)
        throw error("'" + address.address + "' is not an IPv4 address");
    if (::bind(socket.get(), reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0)
        throw systemError("cannot bind TCP address " + address.str());
    if (::listen(socket.get(), acceptBacklog) != 0)
        throw systemError("cannot listen on TCP address " + address.str());
    return socket;
}

} // namespace

tcp_listener::tcp_listener(ev::loop_ref loop, const endpoint &address, accept_handler onAccept)
    : m_socket(bindSocket(address))
    , m_onAccept(std::move(onAccept))
    , m_watcher(loop)
    , m_resumeTimer(loop)
{
    m_resumeTimer.set<tcp_listener, &tcp_listener::resume>(this);
    m_watcher.set<tcp_listener, &tcp_listener::acceptPending>(this);
    m_watcher.start(m_socket.get(), ev::READ);
}

void tcp_listener::close()
{
    m_watcher.stop();
    m_resumeTimer.stop();
    m_socket = file_descriptor();
}

std::uint16_t tcp_listener::port() const
{
    sockaddr_in name{};
    socklen_t length = sizeof name;
    ::getsockname(m_socket.get(), reinterpret_cast<sockaddr *>(&name), &length);
    return ntohs(name.sin_port);
}

void tcp_listener::acceptPending(ev::io &, int)
{
    for (int count = 0; m_socket && count < maxAcceptedPerTurn; ++count) {
        file_descriptor accepted(
                ::accept4(m_socket.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!accepted) {
            pauseIfExhausted();
            return;
        }
        const int enabled = 1;
        ::setsockopt(accepted.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        m_onAccept(std::move(accepted));
    }
}

void tcp_listener::pauseIfExhausted()
{
    if (errno != EMFILE && errno != ENFILE && errno != ENOBUFS && errno != ENOMEM)
        return;
    m_watcher.stop();
    m_resumeTimer.start(toSeconds(acceptRetryDelay));
}

void tcp_listener::resume(ev::timer &, int)
{
    m_watcher.start();
}

} // namespace sycamorespan
