#ifndef SYCAMORESPAN_MESSAGES_INTERNAL_CBOR_STRUCTURE_H
#define SYCAMORESPAN_MESSAGES_INTERNAL_CBOR_STRUCTURE_H

#include <cstddef>
#include <cstdint>
#include <span>

namespace sycamorespan::messages::internal {

/** \brief Checks, without recursion, that \a bytes is one complete CBOR item of definite length,
 * without tags, nested at most \a maximumDepth deep.
 *
 * nlohmann::json's decoder recurses for each level and for each chunk of a string of indefinite
 * length, so that it is given only input that has passed this check.
 * \throws decode_error otherwise
 */
void checkCborStructure(std::span<const std::uint8_t> bytes, std::size_t maximumDepth);

} // namespace sycamorespan::messages::internal

#endif
