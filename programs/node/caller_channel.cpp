#include "programs/node/caller_channel.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/clock.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <utility>

namespace sycamorespan::node {

namespace {

/** Time after which the connection to an unreachable caller is closed. It does not limit idle
 * sessions of reachable callers.
 */
constexpr duration unresponsiveTimeout = 10s;

/** Number of messages taken before they are answered: one that runs, and the next one. */
constexpr std::size_t maxUnanswered = 2;

/** Copies of a message while it is processed: the received one, its parsed text and the one that is
 * sent to a member.
 */
constexpr std::size_t copiesOfMessage = 3;

file_descriptor withUnresponsiveTimeout(file_descriptor socket)
{
    detectSilence(socket, unresponsiveTimeout);
    return socket;
}

} // namespace

caller_channel::caller_channel(ev::loop_ref loop, file_descriptor socket, session_number session,
                               const handlers &callbacks)
    : m_session(session)
    , m_handlers(callbacks)
    , m_stream(loop, withUnresponsiveTimeout(std::move(socket)),
               {[this](std::string_view bytes) { handleBytes(bytes); },
                [this] { close("closed by the caller"); }})
{ }

void caller_channel::answer(std::string_view lines)
{
    if (!m_unanswered.empty()) {
        m_unansweredBytes -= m_unanswered.front();
        m_unanswered.pop_front();
    }
    m_stream.write(lines);
}

void caller_channel::handleBytes(std::string_view bytes)
{
    if (m_closed)
        return;
    m_lines.append(bytes);
    takeMessages();
    if (!m_closed)
        m_handlers.onReceived(m_session);
}

void caller_channel::takeMessages()
{
    if (m_closed || std::exchange(m_isTaking, true))
        return; // the call that is in progress goes on
    try {
        takeAvailable();
    } catch (const decode_error &failure) {
        m_stream.write(platform::encodeRejected({statement_error::malformed, failure.what()}));
        m_stream.closeAfterWrite();
        close(failure.what());
    } catch (...) {
        m_isTaking = false;
        throw;
    }
    m_isTaking = false;
}

void caller_channel::takeAvailable()
{
    while (mayTake()) {
        const auto line = m_lines.next();
        if (!line)
            break;
        m_messageBegunAt.reset();
        m_unanswered.push_back(line->size() * copiesOfMessage);
        m_unansweredBytes += m_unanswered.back();
        m_handlers.onMessage(m_session, platform::decodeCallerLine(*line));
        if (m_closed)
            return;
    }
    m_isPaused = m_lines.hasNext();
    m_stream.pauseReading(m_isPaused);
    if (m_isPaused || m_lines.size() == 0)
        m_messageBegunAt.reset();
    else if (!m_messageBegunAt)
        m_messageBegunAt = suspendAwareNow();
}

bool caller_channel::mayTake() const
{
    return m_takesAll || (m_unanswered.size() < maxUnanswered && !m_handlers.mustPause(m_session));
}

void caller_channel::takeAllMessages()
{
    m_takesAll = true;
    takeMessages();
}

bool caller_channel::hasMessages()
{
    if (m_closed)
        return false;
    try {
        return !m_unanswered.empty() || m_lines.hasNext() || m_stream.unreadBytes() > 0;
    } catch (const decode_error &) {
        return true; // takeMessages() reports it
    }
}

intake_load caller_channel::load() const
{
    intake_load result;
    (m_isPaused ? result.untaken : result.unfinished) = m_lines.size();
    if (m_isPaused)
        result.untaken += m_stream.unreadBytes();
    result.waiting = m_unansweredBytes;
    result.unsent = m_stream.pendingBytes();
    result.spare = m_lines.capacity() - m_lines.size() + m_stream.allocatedBytes() - result.unsent;
    result.sent = m_stream.sentBytes();
    result.messageBegunAt = m_messageBegunAt;
    return result;
}

void caller_channel::closeAfterWrite()
{
    release();
    m_stream.closeAfterWrite();
}

void caller_channel::abandon()
{
    release();
    m_stream.abandon();
}

void caller_channel::release()
{
    m_closed = true;
    m_isPaused = false;
    m_lines.clear();
    m_unanswered.clear();
    m_unansweredBytes = 0;
    m_messageBegunAt.reset();
}

void caller_channel::close(std::string_view reason)
{
    if (std::exchange(m_closed, true))
        return;
    m_handlers.onClosed(m_session, reason);
}

} // namespace sycamorespan::node
