#ifndef SYCAMORESPAN_TEST_FUZZ_DECODER_TARGET_H
#define SYCAMORESPAN_TEST_FUZZ_DECODER_TARGET_H

#include "sycamorespan/src/Core/error.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sycamorespan::test {

/** \brief Passes the input of a fuzz target to each decoder. An exception other than decode_error
 * ends the process, which the fuzzer reports.
 */
template<typename... Decoders>
int decodeInput(const std::uint8_t *data, std::size_t size, Decoders... decoders)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    const auto run = [&](auto decode) {
        try {
            decode(input);
        } catch (const decode_error &) {
            return; // the error that users of the decoders handle
        }
    };
    (run(decoders), ...);
    return 0;
}

} // namespace sycamorespan::test

#endif
