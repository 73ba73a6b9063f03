#include "sycamorespan/src/Protocol/frame_decoder.h"

#include "sycamorespan/src/Protocol/internal/byte_reader.h"

namespace sycamorespan {
namespace {

constexpr std::size_t lengthFieldBytes = 4;
constexpr std::size_t compactThresholdBytes = 65536;

} // namespace

frame_decoder::frame_decoder(std::size_t maximumPayloadBytes)
    : m_maximumPayloadBytes(maximumPayloadBytes)
{ }

std::optional<frame> frame_decoder::next()
{
    const std::size_t typeBytes = m_startup ? 0 : 1;
    const auto rest = std::string_view(m_buffer).substr(m_consumed);
    if (rest.size() < typeBytes + lengthFieldBytes)
        return std::nullopt;
    const auto length = internal::byte_reader(rest.substr(typeBytes)).readInt32();
    if (length < static_cast<std::int32_t>(lengthFieldBytes))
        throw decode_error("impossible message length");
    const auto payloadBytes = static_cast<std::size_t>(length) - lengthFieldBytes;
    if (payloadBytes > (m_startup ? maximumStartupBytes : m_maximumPayloadBytes))
        throw decode_error("message is too large");
    const auto frameBytes = typeBytes + lengthFieldBytes + payloadBytes;
    if (rest.size() < frameBytes)
        return std::nullopt;
    frame result{m_startup ? '\0' : rest.front(),
                 std::string(rest.substr(typeBytes + lengthFieldBytes, payloadBytes))};
    m_consumed += frameBytes;
    compact();
    return result;
}

void frame_decoder::compact()
{
    if (m_consumed == m_buffer.size()) {
        m_buffer.clear();
        m_consumed = 0;
    } else if (m_consumed > compactThresholdBytes) {
        m_buffer.erase(0, m_consumed);
        m_consumed = 0;
    }
}

} // namespace sycamorespan
