#include "sycamorespan/src/Schema/limits.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

#include <arpa/inet.h>

namespace sycamorespan::schema {

namespace {

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto [parsedUntil, failure] = std::from_chars(text.data(), end, port);
    return failure == std::errc() && parsedUntil == end;
}

bool isHost(std::string_view text)
{
    in6_addr address{};
    if (text.starts_with('[') && text.ends_with(']')) {
        const std::string inner(text.substr(1, text.size() - 2));
        return inet_pton(AF_INET6, inner.c_str(), &address) == 1;
    }
    return inet_pton(AF_INET, std::string(text).c_str(), &address) == 1;
}

constexpr char32_t firstSurrogate = 0xd800;
constexpr char32_t lastSurrogate = 0xdfff;
constexpr char32_t lastCodePoint = 0x10ffff;
constexpr unsigned continuationBits = 6;

struct utf8_form
{
    std::uint8_t mask; // bits of the lead byte that give the sequence length
    std::uint8_t prefix;
    std::size_t continuations;
    char32_t smallest; // smallest code point; a smaller one is overlong
};

constexpr std::array utf8Forms{utf8_form{0x80, 0x00, 0, 0}, utf8_form{0xe0, 0xc0, 1, 0x80},
                               utf8_form{0xf0, 0xe0, 2, 0x800}, utf8_form{0xf8, 0xf0, 3, 0x10000}};

/** \returns the length in bytes of the character at the start of \a text; 0 if it is malformed. */
std::size_t utf8Length(std::string_view text)
{
    const auto first = static_cast<std::uint8_t>(text.front());
    const auto *const form = std::ranges::find_if(utf8Forms, [first](const utf8_form &candidate) {
        return (first & candidate.mask) == candidate.prefix;
    });
    if (form == utf8Forms.end() || form->continuations >= text.size())
        return 0;
    char32_t codePoint = first & static_cast<std::uint8_t>(~form->mask);
    for (const char byte : text.substr(1, form->continuations)) {
        if ((static_cast<std::uint8_t>(byte) & 0xc0U) != 0x80U)
            return 0;
        codePoint = (codePoint << continuationBits) | (static_cast<std::uint8_t>(byte) & 0x3fU);
    }
    const bool isSurrogate = codePoint >= firstSurrogate && codePoint <= lastSurrogate;
    const bool isValid = codePoint >= form->smallest && codePoint <= lastCodePoint && !isSurrogate;
    return isValid ? form->continuations + 1 : 0;
}

} // namespace

bool isUtf8(std::string_view text) noexcept
{
    while (!text.empty()) {
        const auto length = utf8Length(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

bool isSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos)
        return false;
    return isHost(text.substr(0, colon)) && isPort(text.substr(colon + 1));
}

bool isHttpUrl(std::string_view text)
{
    constexpr std::array<std::string_view, 2> schemes{"http://", "https://"};
    const auto isGraphic = [](char byte) { return byte > ' ' && byte < '\x7f'; };
    return std::ranges::all_of(text, isGraphic)
           && std::ranges::any_of(schemes, [text](std::string_view scheme) {
                  return text.starts_with(scheme) && text.size() > scheme.size()
                         && text[scheme.size()] != '/';
              });
}

} // namespace sycamorespan::schema
