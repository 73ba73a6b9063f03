#include "sycamorespan/src/Protocol/frontend_messages.h"

#include <algorithm>

#include "sycamorespan/src/Protocol/internal/byte_reader.h"

namespace sycamorespan {
namespace {

using internal::byte_reader;

constexpr std::int32_t sslRequestCode = 80877103;
constexpr std::int32_t gssRequestCode = 80877104;
constexpr std::int32_t cancelRequestCode = 80877102;
constexpr std::int16_t supportedMajorVersion = 3;
constexpr std::string_view unsupportedTypes = "dcfF";

template<typename Value, typename Read>
std::vector<Value> readList(byte_reader &reader, Read read)
{
    std::vector<Value> values(reader.readCount());
    std::ranges::generate(values, read);
    return values;
}

startup_message decodeParameters(byte_reader &reader, std::int32_t version)
{
    startup_message message;
    message.majorVersion = static_cast<std::int16_t>(version >> 16);
    message.minorVersion = static_cast<std::int16_t>(version & 0xffff);
    if (message.majorVersion != supportedMajorVersion)
        throw decode_error("unsupported protocol version");
    for (auto name = reader.readString(); !name.empty(); name = reader.readString())
        message.parameters[name] = reader.readString();
    reader.expectEnd();
    return message;
}

std::optional<std::string> decodeParameter(byte_reader &reader)
{
    const auto length = reader.readInt32();
    if (length == -1)
        return std::nullopt;
    if (length < 0)
        throw decode_error("negative parameter length");
    return std::string(reader.take(static_cast<std::size_t>(length)));
}

frontend_message decodeParse(byte_reader &reader)
{
    parse_message message;
    message.statement = reader.readString();
    message.text = reader.readString();
    message.parameterTypes = readList<std::uint32_t>(
            reader, [&reader] { return static_cast<std::uint32_t>(reader.readInt32()); });
    return message;
}

frontend_message decodeBind(byte_reader &reader)
{
    const auto readFormat = [&reader] { return reader.readInt16(); };
    bind_message message;
    message.portal = reader.readString();
    message.statement = reader.readString();
    message.parameterFormats = readList<std::int16_t>(reader, readFormat);
    message.parameters = readList<std::optional<std::string>>(
            reader, [&reader] { return decodeParameter(reader); });
    message.resultFormats = readList<std::int16_t>(reader, readFormat);
    return message;
}

target_kind decodeTarget(byte_reader &reader)
{
    switch (reader.readByte()) {
    case 'S':
        return target_kind::statement;
    case 'P':
        return target_kind::portal;
    default:
        throw decode_error("neither a statement nor a portal");
    }
}

frontend_message decodeExecute(byte_reader &reader)
{
    execute_message message;
    message.portal = reader.readString();
    message.maximumRows = reader.readInt32();
    return message;
}

frontend_message decodeBody(char type, byte_reader &reader)
{
    switch (type) {
    case 'p':
        return password_message{reader.readString()};
    case 'Q':
        return query_message{reader.readString()};
    case 'P':
        return decodeParse(reader);
    case 'B':
        return decodeBind(reader);
    case 'D': {
        const auto kind = decodeTarget(reader);
        return describe_message{kind, reader.readString()};
    }
    case 'E':
        return decodeExecute(reader);
    case 'C': {
        const auto kind = decodeTarget(reader);
        return close_message{kind, reader.readString()};
    }
    case 'S':
        return sync_message{};
    case 'H':
        return flush_message{};
    case 'X':
        return terminate_message{};
    default:
        throw decode_error("unknown message type");
    }
}

} // namespace

startup_request decodeStartup(const frame &payload)
{
    byte_reader reader(payload.payload);
    const auto code = reader.readInt32();
    switch (code) {
    case sslRequestCode:
        reader.expectEnd();
        return ssl_request{};
    case gssRequestCode:
        reader.expectEnd();
        return gss_request{};
    case cancelRequestCode: {
        const auto processId = reader.readInt32();
        const auto secret = reader.readInt32();
        reader.expectEnd();
        return cancel_request{processId, secret};
    }
    default:
        return decodeParameters(reader, code);
    }
}

frontend_message decodeFrontend(const frame &message)
{
    if (unsupportedTypes.find(message.type) != std::string_view::npos)
        return unsupported_message{message.type};
    byte_reader reader(message.payload);
    auto result = decodeBody(message.type, reader);
    reader.expectEnd();
    return result;
}

} // namespace sycamorespan
