#include "sycamorespan/src/Net/byte_stream.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>

namespace sycamorespan {
namespace {

constexpr std::size_t readChunkBytes = 16384;

bool isTransient(int errorCode)
{
    return errorCode == EAGAIN || errorCode == EWOULDBLOCK || errorCode == EINTR;
}

} // namespace

byte_stream::byte_stream(ev::loop_ref loop, file_descriptor socket, handlers callbacks)
    : m_socket(std::move(socket))
    , m_handlers(std::move(callbacks))
    , m_watcher(loop)
{
    m_watcher.set<byte_stream, &byte_stream::onReady>(this);
    m_watcher.start(m_socket.get(), ev::READ);
}

void byte_stream::write(std::string_view bytes)
{
    if (!m_socket || m_closing)
        return;
    m_writeBuffer.append(bytes);
    flush();
}

void byte_stream::closeAfterWrite()
{
    m_closing = true;
    if (m_socket)
        flush();
}

void byte_stream::abandon()
{
    m_closing = true;
    m_watcher.stop();
    m_socket = file_descriptor();
    m_writeBuffer.clear();
    m_writtenBytes = 0;
}

void byte_stream::pauseReading(bool paused)
{
    m_paused = paused;
    if (m_socket)
        updateWatcher();
}

void byte_stream::onReady(ev::io &, int events)
{
    if ((events & ev::WRITE) != 0)
        flush();
    if (m_socket && (events & ev::READ) != 0)
        readAvailable();
}

void byte_stream::readAvailable()
{
    std::array<char, readChunkBytes> chunk; // NOLINT: filled by recv
    const auto count = ::recv(m_socket.get(), chunk.data(), chunk.size(), 0);
    if (count > 0) {
        if (!m_closing)
            m_handlers.onBytes(std::string_view(chunk.data(), static_cast<std::size_t>(count)));
    } else if (count == 0) {
        closeAndNotify(0);
    } else if (!isTransient(errno)) {
        closeAndNotify(errno);
    }
}

void byte_stream::flush()
{
    while (m_writtenBytes < m_writeBuffer.size()) {
        const auto count = ::send(m_socket.get(), m_writeBuffer.data() + m_writtenBytes,
                                  m_writeBuffer.size() - m_writtenBytes, MSG_NOSIGNAL);
        if (count < 0) {
            if (!isTransient(errno))
                return closeAndNotify(errno);
            return updateWatcher();
        }
        m_writtenBytes += static_cast<std::size_t>(count);
    }
    m_writeBuffer.clear();
    m_writtenBytes = 0;
    if (m_closing)
        return closeAndNotify(0);
    updateWatcher();
}

void byte_stream::updateWatcher()
{
    const int reading = m_paused ? 0 : ev::READ;
    const int writing = pendingBytes() > 0 ? ev::WRITE : 0;
    if ((reading | writing) == 0)
        m_watcher.stop();
    else
        m_watcher.start(m_socket.get(), reading | writing);
}

void byte_stream::closeAndNotify(int errorCode)
{
    m_failure = errorCode;
    m_watcher.stop();
    m_socket = file_descriptor();
    m_handlers.onClosed();
}

} // namespace sycamorespan
