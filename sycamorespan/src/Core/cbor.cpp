#include "sycamorespan/src/Core/cbor.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/internal/cbor_structure.h"

#include <string>

#include <nlohmann/json.hpp>

namespace sycamorespan {

nlohmann::json parseCbor(std::span<const std::uint8_t> bytes, std::size_t maximumDepth)
{
    internal::checkCborStructure(bytes, maximumDepth);
    try {
        return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
    } catch (const nlohmann::json::exception &failure) {
        throw decode_error(std::string("the message is not CBOR: ") + failure.what());
    }
}

nlohmann::json parseCbor(std::string_view bytes, std::size_t maximumDepth)
{
    const auto *const begin = reinterpret_cast<const std::uint8_t *>(bytes.data());
    return parseCbor(std::span(begin, bytes.size()), maximumDepth);
}

} // namespace sycamorespan
