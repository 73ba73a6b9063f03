#ifndef SYCAMORESPAN_PROTOCOL_FRAME_DECODER_H
#define SYCAMORESPAN_PROTOCOL_FRAME_DECODER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorespan {

/** \brief One protocol message: its type and its payload, without the length field. */
struct frame
{
    /** Message type; 0 for the startup messages, which have no type byte. */
    char type = 0;
    std::string payload;

    bool operator==(const frame &) const = default;
};

/** \brief Splits the byte stream of one frontend connection into frames. */
class frame_decoder
{
public:
    /** \param maximumPayloadBytes  largest accepted payload after the startup phase, in bytes */
    explicit frame_decoder(std::size_t maximumPayloadBytes);

    void feed(std::string_view bytes) { m_buffer.append(bytes); }

    /** \returns the next complete frame, or nothing when more bytes are needed.
     * \throws decode_error when the length field is invalid or above the limit.
     */
    std::optional<frame> next();

    /** \brief Ends the startup phase: all later frames have a type byte. */
    void startupFinished() noexcept { m_startup = false; }

    /** \returns the number of buffered bytes that belong to no returned frame. */
    std::size_t bufferedBytes() const noexcept { return m_buffer.size() - m_consumed; }

    /** Largest accepted payload during the startup phase, in bytes. */
    static constexpr std::size_t maximumStartupBytes = 10000;

private:
    void compact();

    std::size_t m_maximumPayloadBytes;
    std::string m_buffer;
    std::size_t m_consumed = 0;
    bool m_startup = true;
};

} // namespace sycamorespan

#endif
