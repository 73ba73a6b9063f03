#ifndef SYCAMORESPAN_BROKERAGE_BROKER_MESSAGES_H
#define SYCAMORESPAN_BROKERAGE_BROKER_MESSAGES_H

#include "sycamorespan/src/Brokerage/brokered_statement.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sycamorespan {

/** \brief Messages on the link between an instance and a broker. */
using broker_message = std::variant<broker_hello, brokered_statement, brokered_answer, brokered_end,
                                    broker_probe, broker_probe_answer>;

/** Version of the layout of the messages. The layout of broker_hello is the same in all versions.
 */
constexpr std::uint64_t brokerMessagesVersion = 1;

/** \returns the message as a frame: its length in four bytes, most significant first, and a CBOR
 * array.
 */
std::string encodeFrame(const broker_message &message);

/** \brief Cuts received bytes into messages. */
class broker_frame_reader
{
public:
    /** \param maximumBytes  greatest length of a message */
    explicit broker_frame_reader(std::size_t maximumBytes)
        : m_maximumBytes(maximumBytes)
    { }

    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /** \brief Changes the greatest length of the messages that follow, in bytes. */
    void setMaximumBytes(std::size_t maximumBytes) { m_maximumBytes = maximumBytes; }

    /** \returns the next complete message, or nothing.
     * \throws decode_error if the bytes are no message, or one beyond the greatest length
     */
    std::optional<broker_message> next();

    /** \returns the number of bytes that were not returned as messages. */
    std::size_t bufferedBytes() const noexcept { return m_buffer.size() - m_consumed; }
    /** \returns the number of bytes that are allocated for them. */
    std::size_t allocatedBytes() const noexcept { return m_buffer.capacity(); }

private:
    std::nullopt_t keepRest();

    std::size_t m_maximumBytes;
    std::string m_buffer;
    std::size_t m_consumed = 0;
};

} // namespace sycamorespan

#endif
