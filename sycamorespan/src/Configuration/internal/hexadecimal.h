#ifndef SYCAMORESPAN_CONFIGURATION_INTERNAL_HEXADECIMAL_H
#define SYCAMORESPAN_CONFIGURATION_INTERNAL_HEXADECIMAL_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan::configuration::internal {

/** \returns \a bytes as lower-case hexadecimal digits. */
std::string toHexadecimal(std::span<const unsigned char> bytes);

/** \returns whether \a text is an even number of lower-case hexadecimal digits. */
bool isHexadecimal(std::string_view text);

/** \returns the bytes that \a text encodes; \a text must be hexadecimal. */
std::vector<unsigned char> fromHexadecimal(std::string_view text);

} // namespace sycamorespan::configuration::internal

#endif
