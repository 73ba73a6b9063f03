#include "sycamorespan/src/Net/byte_stream.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <sys/ioctl.h>
#include <sys/socket.h>

namespace sycamorespan {
namespace {

constexpr std::size_t readChunkBytes = 16384;

/** Time without a written byte after which a closing connection is dropped. It equals the time
 * after which an unreachable caller's connection is closed.
 */
constexpr duration closeTimeout = 10s;
/** Time for which a connection waits for the peer to close its side after the last byte: many round
 * trips between the farthest data centres.
 */
constexpr duration peerCloseTimeout = 1s;

bool isTransient(int errorCode)
{
    return errorCode == EAGAIN || errorCode == EWOULDBLOCK || errorCode == EINTR;
}

} // namespace

byte_stream::byte_stream(ev::loop_ref loop, file_descriptor socket, handlers callbacks)
    : m_socket(std::move(socket))
    , m_handlers(std::move(callbacks))
    , m_watcher(loop)
    , m_closeTimer(loop, [this] { closeAndNotify(m_outputEnded ? 0 : ETIMEDOUT); })
{
    m_watcher.set<byte_stream, &byte_stream::onReady>(this);
    m_watcher.start(m_socket.get(), ev::READ);
}

void byte_stream::write(std::string_view bytes)
{
    if (!m_socket || m_closing)
        return;
    queue(bytes);
    flush();
}

/** Appends \a bytes. The buffer grows by a quarter, so that it is little larger than its content.
 */
void byte_stream::queue(std::string_view bytes)
{
    const auto needed = pendingBytes() + bytes.size();
    if (m_writeBuffer.size() + bytes.size() <= std::max(m_writeBuffer.capacity(), readChunkBytes)) {
        m_writeBuffer.append(bytes);
        return;
    }
    std::string grown;
    grown.reserve(needed + needed / 4);
    grown.append(m_writeBuffer, m_writtenBytes);
    grown.append(bytes);
    m_writeBuffer = std::move(grown);
    m_writtenBytes = 0;
}

void byte_stream::closeAfterWrite()
{
    if (std::exchange(m_closing, true) || !m_socket)
        return;
    m_paused = false; // received bytes are discarded, so that the connection is not reset
    m_closeTimer.startOnce(closeTimeout);
    flush();
}

void byte_stream::abandon()
{
    m_closing = true;
    m_watcher.stop();
    m_closeTimer.stop();
    m_socket = file_descriptor();
    std::string().swap(m_writeBuffer); // an assignment would keep the allocated memory
    m_writtenBytes = 0;
}

std::size_t byte_stream::unreadBytes() const
{
    int count = 0;
    return m_socket && ::ioctl(m_socket.get(), FIONREAD, &count) == 0
                   ? static_cast<std::size_t>(count)
                   : 0;
}

void byte_stream::pauseReading(bool paused)
{
    if (m_closing || m_paused == paused)
        return;
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
        handleEndOfInput();
    } else if (!isTransient(errno)) {
        closeAndNotify(errno);
    }
}

/** Closes the connection. A peer that only stopped sending still gets the queued bytes. */
void byte_stream::handleEndOfInput()
{
    m_inputEnded = true;
    if (pendingBytes() == 0)
        return closeAndNotify(0);
    closeAfterWrite();
    if (m_socket)
        updateWatcher();
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
        m_sentBytes += static_cast<std::size_t>(count);
        if (m_closing)
            m_closeTimer.startOnce(closeTimeout);
    }
    m_writeBuffer.clear();
    if (m_writeBuffer.capacity() > readChunkBytes)
        std::string().swap(m_writeBuffer); // an assignment would keep the allocated memory
    m_writtenBytes = 0;
    if (m_closing)
        return finishWriting();
    updateWatcher();
}

void byte_stream::finishWriting()
{
    if (m_inputEnded)
        return closeAndNotify(0);
    if (::shutdown(m_socket.get(), SHUT_WR) != 0)
        return closeAndNotify(errno);
    m_outputEnded = true;
    m_closeTimer.startOnce(peerCloseTimeout);
    updateWatcher();
}

void byte_stream::updateWatcher()
{
    const int reading = m_paused || m_inputEnded ? 0 : ev::READ;
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
    m_closeTimer.stop();
    m_socket = file_descriptor();
    m_handlers.onClosed();
}

} // namespace sycamorespan
