#include "programs/node/caller_channel.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <utility>

namespace sycamorespan::node {

namespace {

/** Time after which the connection to an unreachable caller is closed. It does not limit idle
 * sessions of reachable callers.
 */
constexpr duration unresponsiveTimeout = 10s;

/** Limit on answers that wait to be sent, the size of a thousand average answers. The connection of
 * a caller that does not read its answers is closed beyond it.
 */
constexpr std::size_t maxPendingBytes = std::size_t{1} << 20;

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

void caller_channel::handleBytes(std::string_view bytes)
{
    if (m_closed)
        return;
    if (m_stream.pendingBytes() > maxPendingBytes)
        return close("the caller does not read its answers");
    try {
        m_lines.append(bytes);
        while (const auto line = m_lines.next()) {
            m_handlers.onMessage(m_session, platform::decodeCallerLine(*line));
            if (m_closed)
                return;
        }
    } catch (const decode_error &failure) {
        m_stream.write(platform::encodeRejected({statement_error::malformed, failure.what()}));
        m_stream.closeAfterWrite();
        close(failure.what());
    }
}

void caller_channel::close(std::string_view reason)
{
    if (std::exchange(m_closed, true))
        return;
    m_handlers.onClosed(m_session, reason);
}

} // namespace sycamorespan::node
