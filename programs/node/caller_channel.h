#ifndef SYCAMORESPAN_PROGRAMS_NODE_CALLER_CHANNEL_H
#define SYCAMORESPAN_PROGRAMS_NODE_CALLER_CHANNEL_H

#include "platform/caller_codec.h"
#include "platform/line_reader.h"

#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Net/byte_stream.h"

#include <functional>

namespace sycamorespan::node {

/** \brief Connection of one caller: decodes its lines into messages and sends the answers. */
class caller_channel
{
public:
    struct handlers
    {
        std::function<void(session_number, platform::caller_message)> onMessage;
        /** Called once, when the caller closes the connection, becomes unresponsive, does not read
         * its answers or sends a message that cannot be decoded.
         */
        std::function<void(session_number, std::string_view reason)> onClosed;
    };

    caller_channel(ev::loop_ref loop, file_descriptor socket, session_number session,
                   const handlers &callbacks);

    void write(std::string_view lines) { m_stream.write(lines); }
    /** \brief Sends what was written, then closes the connection. Calls no handler any more. */
    void closeAfterWrite()
    {
        m_closed = true;
        m_stream.closeAfterWrite();
    }
    /** \returns whether the connection is open, also while it is closed after the last answer. */
    bool isOpen() const { return m_stream.isOpen(); }
    /** \returns the number of bytes of answers that the socket has not accepted. */
    std::size_t pendingBytes() const { return m_stream.pendingBytes(); }

private:
    void handleBytes(std::string_view bytes);
    void close(std::string_view reason);

    session_number m_session;
    const handlers &m_handlers;
    platform::line_reader m_lines;
    bool m_closed = false;
    byte_stream m_stream;
};

} // namespace sycamorespan::node

#endif
