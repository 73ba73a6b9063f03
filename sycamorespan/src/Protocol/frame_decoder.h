#ifndef SYCAMORESPAN_PROTOCOL_FRAME_DECODER_H
#define SYCAMORESPAN_PROTOCOL_FRAME_DECODER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorespan {

/** \brief One protocol message: its type and its payload without the length. */
struct frame
{
    /** 0 for the untyped messages that open a connection. */
    char type = 0;
    std::string payload;

    bool operator==(const frame &) const = default;
};

/** \brief Cuts the bytes of one frontend connection into frames. */
class frame_decoder
{
public:
    /** \param maximumPayloadBytes  largest payload taken once a session runs */
    explicit frame_decoder(std::size_t maximumPayloadBytes);

    void feed(std::string_view bytes) { m_buffer.append(bytes); }

    /** \returns the next complete frame, none when more bytes are needed.
     * \throws decode_error when the length is impossible or above the limit.
     */
    std::optional<frame> next();

    /** \brief From here on frames carry a type. */
    void startupFinished() noexcept { m_startup = false; }

    /** \returns bytes fed that no frame has taken yet. */
    std::size_t bufferedBytes() const noexcept { return m_buffer.size() - m_consumed; }

    /** Largest payload before a session runs, in bytes. */
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
