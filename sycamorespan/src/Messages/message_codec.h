#ifndef SYCAMORESPAN_MESSAGES_MESSAGE_CODEC_H
#define SYCAMORESPAN_MESSAGES_MESSAGE_CODEC_H

#include "sycamorespan/src/Messages/generated/message.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sycamorespan::messages {

/** \brief Bounds that a received message is checked against before it is decoded. */
struct codec_limits
{
    std::size_t maximumBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maximumDepth = 8; /**< of nested arrays and maps */
};

/** \returns the CBOR encoding of \a value: an array of its type's name and its fields. */
std::vector<std::uint8_t> encodeMessage(const message &value);

/** \brief Decodes one message.
 * \param bytes   the whole of a WebSocket message
 * \param limits  bounds on the input
 * \throws decode_error naming the field, if \a bytes is no message, too long, nested too deep,
 *         or a field is unknown, missing, of the wrong type or out of range
 * \sa encodeMessage()
 */
message decodeMessage(std::span<const std::uint8_t> bytes, const codec_limits &limits = {});

/** \copydoc decodeMessage(std::span<const std::uint8_t>, const codec_limits &) */
message decodeMessage(const std::string &bytes, const codec_limits &limits = {});

} // namespace sycamorespan::messages

#endif
