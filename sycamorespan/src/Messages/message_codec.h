#ifndef SYCAMORESPAN_MESSAGES_MESSAGE_CODEC_H
#define SYCAMORESPAN_MESSAGES_MESSAGE_CODEC_H

#include "sycamorespan/src/Messages/generated/message.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sycamorespan::messages {

/** \brief Bounds on a received message, which are checked before it is decoded. */
struct codec_limits
{
    /** Maximum length of the encoded message. */
    std::size_t maximumBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maximumDepth = 8; /**< maximum depth of nested arrays and maps */
};

/** \returns the CBOR encoding of \a value, an array of the name of its type and its fields. */
std::vector<std::uint8_t> encodeMessage(const message &value);

/** \brief Decodes one message.
 * \param bytes   a complete WebSocket message
 * \param limits  bounds on the input
 * \throws decode_error if \a bytes is not a message, too long or nested too deep, or if a field is
 *         unknown, missing, of the wrong type or out of range; the error names the field
 * \sa encodeMessage()
 */
message decodeMessage(std::span<const std::uint8_t> bytes, const codec_limits &limits = {});

/** \copydoc decodeMessage(std::span<const std::uint8_t>, const codec_limits &) */
message decodeMessage(const std::string &bytes, const codec_limits &limits = {});

} // namespace sycamorespan::messages

#endif
