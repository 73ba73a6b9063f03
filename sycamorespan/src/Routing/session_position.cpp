#include "sycamorespan/src/Routing/session_position.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "sycamorespan/src/Core/error.h"

namespace sycamorespan {
namespace {

constexpr char separator = ':';
constexpr std::size_t signatureBytes = 16;
constexpr std::size_t maximumPositionTextBytes = 512;

std::string hexadecimal(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(count * 2);
    std::for_each_n(bytes, count, [&](unsigned char byte) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    });
    return text;
}

std::string signature(const std::string &secret, std::string_view payload)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(payload.data());
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes, payload.size(),
             digest.data(), &size)
        == nullptr)
        throw error("HMAC-SHA256 of a session position failed");
    return hexadecimal(digest.data(), signatureBytes);
}

/** Removes the last separator of \a text and the field after it.
 * \returns the field; nothing if there is no separator
 */
std::optional<std::string_view> takeLastField(std::string_view &text)
{
    const auto found = text.rfind(separator);
    if (found == std::string_view::npos)
        return std::nullopt;
    const auto field = text.substr(found + 1);
    text.remove_suffix(text.size() - found);
    return field;
}

std::optional<std::uint64_t> takeLastNumber(std::string_view &text)
{
    const auto field = takeLastField(text);
    if (!field)
        return std::nullopt;
    std::uint64_t number = 0;
    const auto *end = field->data() + field->size();
    const auto [parsedEnd, status] = std::from_chars(field->data(), end, number);
    return status == std::errc() && parsedEnd == end ? std::optional(number) : std::nullopt;
}

} // namespace

session_position_codec::session_position_codec(std::vector<std::string> secrets)
    : m_secrets(std::move(secrets))
{
    if (m_secrets.empty() || std::ranges::any_of(m_secrets, &std::string::empty))
        throw error("signing session positions requires at least one secret, and no empty one");
}

std::string session_position_codec::encode(const session_position &position) const
{
    std::string text = position.database.str() + separator + std::to_string(position.position.term)
                       + separator + std::to_string(position.position.offset);
    return text + separator + signature(m_secrets.front(), text);
}

std::variant<session_position, position_error>
session_position_codec::decode(std::string_view text, const database_id &database) const
{
    if (text.size() > maximumPositionTextBytes)
        return position_error::malformed;
    const auto textSignature = takeLastField(text);
    if (!textSignature)
        return position_error::malformed;
    std::string_view remaining = text;
    const auto offset = takeLastNumber(remaining);
    const auto term = takeLastNumber(remaining);
    if (!offset || !term || remaining.empty())
        return position_error::malformed;
    if (!isSigned(text, *textSignature))
        return position_error::badSignature;
    if (remaining != database.str())
        return position_error::wrongDatabase;
    return session_position{database, {*term, *offset}};
}

bool session_position_codec::isSigned(std::string_view payload,
                                      std::string_view textSignature) const
{
    return std::ranges::any_of(m_secrets, [&](const std::string &secret) {
        const std::string expected = signature(secret, payload);
        return expected.size() == textSignature.size()
               && CRYPTO_memcmp(expected.data(), textSignature.data(), expected.size()) == 0;
    });
}

} // namespace sycamorespan
