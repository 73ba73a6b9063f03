#include "programs/agent/process_link.h"

#include <span>
#include <utility>

namespace sycamorespan::agent {

process_link::process_link(messages::hello remote, web_session session)
    : m_remote(std::move(remote))
    , m_session(std::move(session))
{ }

bool process_link::send(const messages::message &message) const
{
    return sendMessage(m_session, message);
}

bool sendMessage(const web_session &session, const messages::message &message)
{
    const auto bytes = messages::encodeMessage(message);
    return session.send({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

messages::message decodeLinkMessage(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    return messages::decodeMessage(std::span(data, bytes.size()));
}

web_limits linkLimits(duration pingInterval, duration idleTimeout)
{
    web_limits limits;
    limits.maxMessageBytes = messages::codec_limits{}.maximumBytes;
    limits.maxWriteBufferBytes = 2 * limits.maxMessageBytes;
    limits.pingInterval = pingInterval;
    limits.idleTimeout = idleTimeout;
    return limits;
}

} // namespace sycamorespan::agent
