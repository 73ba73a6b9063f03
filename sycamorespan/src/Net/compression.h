#ifndef SYCAMORESPAN_NET_COMPRESSION_H
#define SYCAMORESPAN_NET_COMPRESSION_H

#include <cstddef>
#include <string>
#include <string_view>

namespace sycamorespan {

/** \returns \a bytes in the zlib format, with the fastest compression.
 * \throws error if there is not enough memory
 */
std::string compress(std::string_view bytes);

/** \returns the bytes that compress() was given.
 * \param maximumBytes  greatest length of the result
 * \throws decode_error if \a bytes is not complete and valid, or longer than that
 */
std::string decompress(std::string_view bytes, std::size_t maximumBytes);

} // namespace sycamorespan

#endif
