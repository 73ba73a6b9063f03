#include "decoder_target.h"

#include "sycamorespan/Configuration"
#include "sycamorespan/src/Failover/group_json.h"

#include <string>

// Documents that sycamorespanctl and the agents keep in the platform's services.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sycamorespan;
    return test::decodeInput(
            data, size,
            [](std::string_view input) { configuration::parseDocument(std::string(input)); },
            [](std::string_view input) { configuration::parseRow(std::string(input)); },
            [](std::string_view input) { groupViewFromJson(std::string(input)); });
}
