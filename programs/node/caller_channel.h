#ifndef SYCAMORESPAN_PROGRAMS_NODE_CALLER_CHANNEL_H
#define SYCAMORESPAN_PROGRAMS_NODE_CALLER_CHANNEL_H

#include "platform/caller_codec.h"
#include "platform/line_reader.h"

#include "sycamorespan/src/Dispatch/dispatch_action.h"
#include "sycamorespan/src/Net/byte_stream.h"
#include "sycamorespan/src/Overload/intake_budget.h"

#include <deque>
#include <functional>
#include <optional>

namespace sycamorespan::node {

/** \brief Connection of one caller: decodes its lines into messages and sends the answers.
 *
 * Of the messages that a caller sends in advance only a few are taken before they are answered. The
 * others are left in the connection, which is not read meanwhile.
 */
class caller_channel
{
public:
    struct handlers
    {
        std::function<void(session_number, const platform::caller_message &)> onMessage;
        /** Called when bytes were received, after the complete messages. */
        std::function<void(session_number)> onReceived;
        /** Called once, when the caller closes the connection, becomes unresponsive or sends a
         * message that cannot be decoded.
         */
        std::function<void(session_number, std::string_view reason)> onClosed;
        /** \returns whether no further message may be taken. */
        std::function<bool(session_number)> mustPause;
    };

    caller_channel(ev::loop_ref loop, file_descriptor socket, session_number session,
                   const handlers &callbacks);

    /** \brief Sends the answer to the oldest unanswered message. */
    void answer(std::string_view lines);
    /** \brief Sends lines that answer no message. */
    void write(std::string_view lines) { m_stream.write(lines); }
    /** \brief Takes the messages that have arrived and may be taken. */
    void takeMessages();
    /** \brief Takes all messages that were received, also those that are held back. */
    void takeAllMessages();
    /** \returns whether messages have arrived that are not answered. */
    bool hasMessages();
    /** \brief Sends what was written, then closes the connection. Calls no handler any more. */
    void closeAfterWrite();
    /** \brief Closes the connection at once and releases its buffers. Calls no handler any more. */
    void abandon();
    /** \returns whether the connection is open, also while it is closed after the last answer. */
    bool isOpen() const { return m_stream.isOpen(); }
    /** \returns whether messages have arrived that may not be taken yet. */
    bool isPaused() const { return m_isPaused; }
    /** \returns the number of bytes of answers that the socket has not accepted. */
    std::size_t pendingBytes() const { return m_stream.pendingBytes(); }
    /** \returns what the connection holds, without the state of the session. */
    intake_load load() const;

private:
    void handleBytes(std::string_view bytes);
    void takeAvailable();
    bool mayTake() const;
    void release();
    void close(std::string_view reason);

    session_number m_session;
    const handlers &m_handlers;
    platform::line_reader m_lines;
    std::deque<std::size_t> m_unanswered; ///< bytes of each message that is not answered
    std::size_t m_unansweredBytes = 0;
    std::optional<time_point> m_messageBegunAt;
    bool m_isPaused = false;
    bool m_isTaking = false;
    bool m_takesAll = false; ///< messages are not held back
    bool m_closed = false;
    byte_stream m_stream;
};

} // namespace sycamorespan::node

#endif
