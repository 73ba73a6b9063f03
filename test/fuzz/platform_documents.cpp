#include "decoder_target.h"

#include "platform/documents.h"
#include "platform/settings.h"
#include "platform/store_protocol.h"

// Documents that other writers keep in the platform's store, and the platform's settings file.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sycamorespan;
    return test::decodeInput(
            data, size, [](std::string_view input) { platform::decodeConfiguration(input); },
            [](std::string_view input) { platform::decodeServerEntry("i-1", input); },
            [](std::string_view input) { platform::decodeRows(input); },
            [](std::string_view input) { platform::parseSettings(input); });
}
