#include "decoder_target.h"

#include "platform/caller_codec.h"
#include "platform/line_reader.h"
#include "platform/member_codec.h"

// Lines of callers and of backend servers.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sycamorespan;
    return test::decodeInput(
            data, size,
            [](std::string_view input) {
                platform::line_reader lines;
                lines.append(input);
                while (const auto line = lines.next())
                    platform::decodeCallerLine(*line);
            },
            [](std::string_view input) {
                platform::answer_reader answers;
                answers.append(input);
                while (answers.next())
                    answers.refusal();
            },
            [](std::string_view input) { platform::decodeMemberStatus(input); });
}
