#include "decoder_target.h"

#include "programs/node/coordination_rows.h"
#include "sycamorespan/Brokerage"
#include "sycamorespan/src/Membership/fleet_messages.h"
#include "sycamorespan/src/Quota/quota_messages.h"

#include <vector>

// Datagrams of other instances, and the rows that instances keep in the store.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sycamorespan;
    return test::decodeInput(
            data, size, [](std::string_view input) { decodeInstanceReport(input); },
            [](std::string_view input) { decodeRelayReport(input); },
            [](std::string_view input) {
                broker_frame_reader reader(std::size_t{1} << 16);
                reader.append(input);
                while (reader.next())
                    ;
            },
            [](std::string_view input) {
                decodeQuotaMessage(std::vector<std::uint8_t>(input.begin(), input.end()));
            },
            [](std::string_view input) {
                node::coordination_rows::decodeView(input, 1);
                node::coordination_rows::decodeClaim(input, 1);
                node::coordination_rows::decodeInstance(input);
            });
}
