#include "sycamorespan/src/Net/internal/web_connection.h"

#include "sycamorespan/src/Net/clock.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace sycamorespan::internal {

namespace {

constexpr std::size_t readBufferBytes = 64 << 10;

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

web_connection::web_connection(ev::loop_ref loop, file_descriptor fd, parameters settings)
    : m_readable(loop)
    , m_writable(loop)
    , m_timer(loop)
    , m_fd(std::move(fd))
    , m_settings(std::move(settings))
    , m_codec(m_settings.role, m_settings.remote.str(), m_settings.limits.maxMessageBytes,
              codecEvents())
    , m_lastReceived(monotonicNow())
{
    m_readable.set<web_connection, &web_connection::handleReadable>(this);
    m_writable.set<web_connection, &web_connection::handleWritable>(this);
    m_timer.set<web_connection, &web_connection::handleTimer>(this);
}

void web_connection::start()
{
    process([this] {
        m_readable.set(m_fd.get(), ev::READ);
        m_writable.set(m_fd.get(), ev::WRITE);
        if (m_settings.role == web_role::client) {
            enterPhase(phase::connecting, m_settings.limits.handshakeTimeout);
            m_writable.start();
            return;
        }
        enterPhase(phase::handshake, m_settings.limits.handshakeTimeout);
        m_readable.start();
        m_codec.start();
    });
}

bool web_connection::send(std::string_view message)
{
    bool sent = false;
    process([&] { sent = isOpen() && m_codec.send(message); });
    if (sent)
        ++counters().messagesSent;
    return sent && !m_aborted;
}

void web_connection::close(std::string_view reason)
{
    process([&] {
        if (!isOpen()) {
            m_aborted = true;
            return;
        }
        m_codec.close(reason);
        enterPhase(phase::closing, m_settings.limits.closeTimeout);
    });
}

void web_connection::respond(const http_response &response)
{
    process([&] {
        if (m_phase == phase::request)
            m_codec.respond(response);
    });
}

bool web_connection::isOpen() const
{
    return m_phase == phase::open && !m_aborted && m_codec.isOpen();
}

void web_connection::abort()
{
    process([this] { m_aborted = true; });
}

void web_connection::detach()
{
    m_settings.handlers = std::make_shared<web_handlers>();
    m_settings.onEnded = {};
    abort();
}

template<typename Function>
void web_connection::process(Function function)
{
    const auto self = shared_from_this();
    if (m_phase == phase::ended)
        return;
    ++m_processDepth;
    try {
        function();
    } catch (const std::exception &) {
        ++counters().handlerErrors;
        m_aborted = true;
    }
    --m_processDepth;
    if (m_processDepth == 0)
        completeProcessing();
}

void web_connection::completeProcessing()
{
    if (!m_aborted)
        flush();
    if (m_aborted) {
        end();
        return;
    }
    if (m_phase == phase::connecting || unsentBytes() > 0)
        m_writable.start();
    else
        m_writable.stop();
    if (m_codecFinished && unsentBytes() == 0)
        finishWriting();
}

web_codec_events web_connection::codecEvents()
{
    web_codec_events events;
    events.write = [this](std::string_view bytes) {
        if (unsentBytes() + bytes.size() > m_settings.limits.maxWriteBufferBytes) {
            ++counters().writeOverflows;
            m_aborted = true;
            return;
        }
        m_output.erase(0, std::exchange(m_outputSent, 0));
        m_output.append(bytes);
    };
    events.finished = [this] {
        m_codecFinished = true;
        enterPhase(phase::closing, m_settings.limits.closeTimeout);
    };
    events.opened = [this] { handleOpened(); };
    events.message = [this](std::string_view message) { handleMessage(message); };
    events.request = [this](const http_request &request) { handleRequest(request); };
    return events;
}

void web_connection::handleOpened()
{
    m_wasOpened = true;
    const auto &limits = m_settings.limits;
    enterPhase(phase::open, std::min(limits.pingInterval, limits.idleTimeout));
    const auto handlers = m_settings.handlers;
    if (handlers->opened)
        handlers->opened(web_session(m_settings.id, weak_from_this()));
}

void web_connection::handleMessage(std::string_view message)
{
    ++counters().messagesReceived;
    const auto handlers = m_settings.handlers;
    if (handlers->message && !m_aborted)
        handlers->message(web_session(m_settings.id, weak_from_this()), message);
}

void web_connection::handleRequest(const http_request &request)
{
    ++counters().requests;
    enterPhase(phase::request, m_settings.limits.requestTimeout);
    const auto handlers = m_settings.handlers;
    if (!handlers->request) {
        respond({404, "text/plain", "no such resource\n"});
        return;
    }
    try {
        handlers->request(request, http_responder(weak_from_this()));
    } catch (const std::exception &failure) {
        ++counters().handlerErrors;
        respond({500, "text/plain", failure.what()});
    }
}

void web_connection::handleReadable(ev::io &, int)
{
    process([this] { receive(); });
}

void web_connection::handleWritable(ev::io &, int)
{
    process([this] {
        if (m_phase == phase::connecting)
            finishConnecting();
    });
}

void web_connection::handleTimer(ev::timer &, int)
{
    process([this] {
        if (m_phase == phase::open) {
            checkIdle();
            return;
        }
        if (m_phase != phase::closing)
            ++counters().timeouts;
        m_aborted = true;
    });
}

void web_connection::finishConnecting()
{
    if (connectError(m_fd) != 0) {
        m_aborted = true;
        return;
    }
    enterPhase(phase::handshake, m_settings.limits.handshakeTimeout);
    m_readable.start();
    m_codec.start();
}

void web_connection::receive()
{
    std::array<char, readBufferBytes> buffer; // NOLINT: filled by recv
    const auto size = ::recv(m_fd.get(), buffer.data(), buffer.size(), 0);
    if (size < 0 && wouldBlock())
        return;
    if (size <= 0) {
        m_aborted = true;
        return;
    }
    m_lastReceived = monotonicNow();
    counters().bytesReceived += static_cast<std::uint64_t>(size);
    const std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
    const bool isWebSocket = m_phase == phase::handshake || m_phase == phase::open;
    // The codec leaves bytes unprocessed only after a protocol error.
    if (m_codec.receive(bytes) < bytes.size() && isWebSocket && m_phase != phase::request)
        enterPhase(phase::closing, m_settings.limits.closeTimeout);
}

void web_connection::flush()
{
    while (m_phase != phase::connecting && unsentBytes() > 0) {
        const auto *first = m_output.data() + m_outputSent;
        const auto size = ::send(m_fd.get(), first, unsentBytes(), MSG_NOSIGNAL);
        if (size < 0) {
            m_aborted = !wouldBlock();
            return;
        }
        counters().bytesSent += static_cast<std::uint64_t>(size);
        m_outputSent += static_cast<std::size_t>(size);
    }
}

void web_connection::finishWriting()
{
    // Calling close() here could reset the connection before the peer has read the last bytes. The
    // connection ends when the peer closes its side or the timer expires.
    m_codecFinished = false;
    ::shutdown(m_fd.get(), SHUT_WR);
}

void web_connection::checkIdle()
{
    const auto idleTime = monotonicNow() - m_lastReceived;
    if (idleTime >= m_settings.limits.idleTimeout) {
        ++counters().timeouts;
        m_aborted = true;
    } else if (idleTime >= m_settings.limits.pingInterval) {
        m_codec.ping();
    }
}

void web_connection::enterPhase(phase next, duration timeout)
{
    m_phase = next;
    m_timer.stop();
    m_timer.start(toSeconds(timeout), toSeconds(timeout));
}

void web_connection::end()
{
    m_phase = phase::ended;
    m_readable.stop();
    m_writable.stop();
    m_timer.stop();
    m_fd = file_descriptor();
    const auto handlers = m_settings.handlers;
    const auto onEnded = std::exchange(m_settings.onEnded, {});
    try {
        if (m_wasOpened && handlers->closed)
            handlers->closed(web_session(m_settings.id, weak_from_this()));
    } catch (const std::exception &) {
        ++counters().handlerErrors;
    }
    if (onEnded)
        onEnded(m_settings.id);
}

} // namespace sycamorespan::internal
