#include "sycamorespan/Core"
#include "sycamorespan/Messages"

#include <cstdlib>

// Checks that every message that decodes is equal after it is encoded and decoded again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sycamorespan;
    try {
        const auto decoded = messages::decodeMessage(std::span(data, size));
        if (messages::decodeMessage(messages::encodeMessage(decoded)) != decoded)
            std::abort();
    } catch (const decode_error &) {
        return 0;
    }
    return 0;
}
