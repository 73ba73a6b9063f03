#include "sycamorespan/src/Messages/message_codec.h"

#include "sycamorespan/src/Core/cbor.h"
#include "sycamorespan/src/Core/error.h"

#include <nlohmann/json.hpp>

namespace sycamorespan::messages {

std::vector<std::uint8_t> encodeMessage(const message &value)
{
    auto frame = nlohmann::json::array();
    frame.push_back(messageName(value));
    frame.push_back(toJson(value));
    return nlohmann::json::to_cbor(frame);
}

message decodeMessage(std::span<const std::uint8_t> bytes, const codec_limits &limits)
{
    if (bytes.size() > limits.maximumBytes)
        throw decode_error("the message is longer than " + std::to_string(limits.maximumBytes)
                           + " bytes");
    const auto frame = parseCbor(bytes, limits.maximumDepth);
    const bool isFrame = frame.is_array() && frame.size() == 2 && frame[0].is_string();
    if (!isFrame)
        throw decode_error("the message is not an array of a type name and its fields");
    return messageFromJson(frame[0].get_ref<const std::string &>(), frame[1]);
}

message decodeMessage(const std::string &bytes, const codec_limits &limits)
{
    const auto *const begin = reinterpret_cast<const std::uint8_t *>(bytes.data());
    return decodeMessage(std::span(begin, bytes.size()), limits);
}

} // namespace sycamorespan::messages
