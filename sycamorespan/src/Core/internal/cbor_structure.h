#ifndef SYCAMORESPAN_CORE_INTERNAL_CBOR_STRUCTURE_H
#define SYCAMORESPAN_CORE_INTERNAL_CBOR_STRUCTURE_H

#include <cstddef>
#include <cstdint>
#include <span>

namespace sycamorespan::internal {

/** \brief Checks without recursion that \a bytes is one complete CBOR item of definite length,
 * without tags and nested at most \a maximumDepth levels deep.
 *
 * The decoder of nlohmann::json recurses for each level and for each chunk of a string of
 * indefinite length. Input that has not passed this check could exhaust the stack.
 * \throws decode_error if the check fails
 */
void checkCborStructure(std::span<const std::uint8_t> bytes, std::size_t maximumDepth);

} // namespace sycamorespan::internal

#endif
