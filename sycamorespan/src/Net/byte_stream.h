#ifndef SYCAMORESPAN_NET_BYTE_STREAM_H
#define SYCAMORESPAN_NET_BYTE_STREAM_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include <ev++.h>

#include "sycamorespan/src/Net/file_descriptor.h"
#include "sycamorespan/src/Net/loop_timer.h"

namespace sycamorespan {

/** \brief A connected non-blocking socket with a write buffer.
 *
 * The handlers may destroy the stream only after they have returned to the event loop. Destroying
 * an open stream drops its queued bytes.
 */
class byte_stream
{
public:
    struct handlers
    {
        std::function<void(std::string_view)> onBytes;
        /** Called once, when the peer has closed the connection or the socket has failed, or at the
         * end of closeAfterWrite(). If the peer has only stopped sending, queued bytes are written
         * first.
         */
        std::function<void()> onClosed;
    };

    byte_stream(ev::loop_ref loop, file_descriptor socket, handlers callbacks);

    /** \brief Queues \a bytes and writes as many queued bytes as the socket accepts. */
    void write(std::string_view bytes);

    /** \brief Writes all queued bytes, then closes the connection so that they reach the peer.
     *
     * Received bytes are discarded. Closing a socket with unread bytes would reset the connection
     * and drop what the peer has not received, so that only the sending side is shut down at first.
     * The stream is open until the peer closes its side, or until a timeout of 1 s after the last
     * byte, or of 10 s in which no byte can be written.
     */
    void closeAfterWrite();

    /** \brief Closes the socket at once, drops queued bytes and calls no handler any more. */
    void abandon();

    /** \brief Stops reading while \a paused is true, so that TCP flow control slows the peer down
     * to the rate of its consumer.
     */
    void pauseReading(bool paused);

    /** \returns the number of queued bytes that the socket has not yet accepted. */
    std::size_t pendingBytes() const noexcept { return m_writeBuffer.size() - m_writtenBytes; }

    /** \returns the number of bytes allocated for queued bytes. */
    std::size_t allocatedBytes() const noexcept { return m_writeBuffer.capacity(); }

    /** \returns the number of bytes that the socket has accepted since the start. */
    std::size_t sentBytes() const noexcept { return m_sentBytes; }

    /** \returns the number of bytes that have arrived at the socket and were not read. */
    std::size_t unreadBytes() const;

    bool isOpen() const noexcept { return static_cast<bool>(m_socket); }

    /** \returns the errno of the failure that closed the stream; 0 if there was no failure. */
    int failure() const noexcept { return m_failure; }

private:
    void queue(std::string_view bytes);
    void onReady(ev::io &watcher, int events);
    void readAvailable();
    void handleEndOfInput();
    void flush();
    void finishWriting();
    void updateWatcher();
    void closeAndNotify(int errorCode);

    file_descriptor m_socket;
    handlers m_handlers;
    ev::io m_watcher;
    loop_timer m_closeTimer;
    std::string m_writeBuffer;
    std::size_t m_writtenBytes = 0; ///< of the write buffer
    std::size_t m_sentBytes = 0;
    bool m_closing = false;
    bool m_paused = false;
    bool m_inputEnded = false; ///< the peer sends no more bytes
    bool m_outputEnded = false; ///< the sending side is shut down
    int m_failure = 0;
};

} // namespace sycamorespan

#endif
