#include "programs/node/caller_channel.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/tcp_socket.h"

#include <utility>

namespace sycamorespan::node {

namespace {

/** A caller whose machine is gone is noticed after it; sessions may be idle for longer. */
constexpr duration silenceLimit = 10s;

/** A caller that doesn't read its answers is cut off: a thousand mean answers. */
constexpr std::size_t unreadLimitBytes = std::size_t{1} << 20;

file_descriptor withSilenceDetection(file_descriptor socket)
{
    detectSilence(socket, silenceLimit);
    return socket;
}

} // namespace

caller_channel::caller_channel(ev::loop_ref loop, file_descriptor socket, session_number session,
                               const handlers &callbacks)
    : m_session(session)
    , m_handlers(callbacks)
    , m_stream(loop, withSilenceDetection(std::move(socket)),
               {[this](std::string_view bytes) { handleBytes(bytes); },
                [this] { close("closed by the caller"); }})
{ }

void caller_channel::handleBytes(std::string_view bytes)
{
    if (m_closed)
        return;
    if (m_stream.pendingBytes() > unreadLimitBytes)
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
