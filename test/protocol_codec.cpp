#include "sycamorespan/Core"
#include "sycamorespan/Protocol"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

constexpr std::size_t maximumPayloadBytes = 4096;

std::string bigEndian(std::uint32_t value)
{
    return {static_cast<char>(value >> 24U), static_cast<char>(value >> 16U),
            static_cast<char>(value >> 8U), static_cast<char>(value)};
}

std::string encodeFrame(char type, const std::string &payload)
{
    return std::string(1, type) + bigEndian(static_cast<std::uint32_t>(payload.size() + 4))
           + payload;
}

std::vector<frame> decodeAll(frame_decoder &decoder)
{
    std::vector<frame> frames;
    while (auto next = decoder.next())
        frames.push_back(*next);
    return frames;
}

RC_GTEST_PROP(frame_decoder, framesDoNotDependOnTheSizeOfTheReads, ())
{
    const auto payloads =
            *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
    std::string bytes;
    std::vector<frame> expected;
    for (const auto &payload : payloads) {
        bytes += encodeFrame('Q', payload);
        expected.push_back({'Q', payload});
    }
    frame_decoder decoder(maximumPayloadBytes);
    decoder.startupFinished();
    std::vector<frame> frames;
    while (!bytes.empty()) {
        const auto count = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        decoder.feed(bytes.substr(0, count));
        bytes.erase(0, count);
        std::ranges::move(decodeAll(decoder), std::back_inserter(frames));
    }
    RC_ASSERT(frames == expected);
    RC_ASSERT(decoder.bufferedBytes() == 0U);
}

RC_GTEST_PROP(frontend_messages, anyPayloadDecodesOrThrowsDecodeError, ())
{
    const frame message{*rc::gen::elementOf(std::string("pQPBDECSHXdcfFzR")),
                        *rc::gen::arbitrary<std::string>()};
    try {
        decodeFrontend(message);
    } catch (const decode_error &) { }
    try {
        decodeStartup(message);
    } catch (const decode_error &) { }
}

TEST(frame_decoder, rejectsInvalidAndOversizedLengths)
{
    frame_decoder negative(maximumPayloadBytes);
    negative.feed(bigEndian(3));
    EXPECT_THROW(negative.next(), decode_error);

    frame_decoder startup(maximumPayloadBytes);
    startup.feed(bigEndian(frame_decoder::maximumStartupBytes + 5));
    EXPECT_THROW(startup.next(), decode_error);

    frame_decoder running(maximumPayloadBytes);
    running.startupFinished();
    running.feed("Q" + bigEndian(maximumPayloadBytes + 5));
    EXPECT_THROW(running.next(), decode_error);
}

TEST(frontend_messages, decodesStartupParameters)
{
    const std::string version = bigEndian(196608);
    const std::string text("user\0shop\0database\0cribs\0\0", 26);
    const auto request = decodeStartup({0, version + text});
    const startup_message expected{3, 0, {{"user", "shop"}, {"database", "cribs"}}};
    EXPECT_EQ(std::get<startup_message>(request), expected);
    EXPECT_THROW(decodeStartup({0, bigEndian(131072) + text}), decode_error);
}

TEST(frontend_messages, decodesBind)
{
    using namespace std::string_literals;
    const auto payload =
            "p\0s\0"s + "\0\1\0\1"s + "\0\2"s + "\0\0\0\2hi"s + "\xff\xff\xff\xff"s + "\0\0"s;
    const bind_message expected{"p", "s", {1}, {"hi", std::nullopt}, {}};
    EXPECT_EQ(std::get<bind_message>(decodeFrontend({'B', payload})), expected);
}

TEST(backend_writer, frameLengthsMatchTheEncodedBytes)
{
    backend_writer writer;
    writer.authenticationOk();
    writer.parameterStatus("name", "value");
    writer.rowDescription({{"column"}});
    writer.dataRow({std::nullopt, "text"});
    writer.errorResponse({"ERROR", "53400", "message", "detail", "hint"});
    writer.readyForQuery(transaction_status::active);
    frame_decoder decoder(maximumPayloadBytes);
    decoder.startupFinished();
    decoder.feed(writer.bytes());
    std::string types;
    for (const auto &next : decodeAll(decoder))
        types.push_back(next.type);
    EXPECT_EQ(types, "RSTDEZ");
    EXPECT_EQ(decoder.bufferedBytes(), 0U);
}

} // namespace
} // namespace sycamorespan
