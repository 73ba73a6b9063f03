#include "sycamorespan/src/Configuration/internal/hexadecimal.h"

#include <algorithm>

namespace sycamorespan::configuration::internal {

namespace {

constexpr std::string_view digits = "0123456789abcdef";
constexpr unsigned bitsPerDigit = 4;
constexpr unsigned digitMask = 0xf;

} // namespace

std::string toHexadecimal(std::span<const unsigned char> bytes)
{
    std::string result;
    result.reserve(2 * bytes.size());
    for (const auto byte : bytes) {
        result += digits[byte >> bitsPerDigit];
        result += digits[byte & digitMask];
    }
    return result;
}

bool isHexadecimal(std::string_view text)
{
    return text.size() % 2 == 0 && text.find_first_not_of(digits) == std::string_view::npos;
}

std::vector<unsigned char> fromHexadecimal(std::string_view text)
{
    std::vector<unsigned char> result;
    result.reserve(text.size() / 2);
    for (std::size_t index = 0; index + 1 < text.size(); index += 2) {
        const auto high = digits.find(text[index]);
        const auto low = digits.find(text[index + 1]);
        result.push_back(static_cast<unsigned char>((high << bitsPerDigit) | low));
    }
    return result;
}

} // namespace sycamorespan::configuration::internal
