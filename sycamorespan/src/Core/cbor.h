#ifndef SYCAMORESPAN_CORE_CBOR_H
#define SYCAMORESPAN_CORE_CBOR_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace sycamorespan {

/** \brief Parses one CBOR item without tags, of definite lengths and nested at most \a maximumDepth
 * levels deep.
 * \throws decode_error if \a bytes is anything else
 */
nlohmann::json parseCbor(std::span<const std::uint8_t> bytes, std::size_t maximumDepth);
nlohmann::json parseCbor(std::string_view bytes, std::size_t maximumDepth);

} // namespace sycamorespan

#endif
