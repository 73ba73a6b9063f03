#include "sycamorespan/Routing"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

const database_id database("sales");
const session_position_codec codec({"current secret", "previous secret"});

using decode_result = std::variant<session_position, position_error>;

RC_GTEST_PROP(session_position, decodesPositionsSignedWithAnyOfItsSecrets,
              (std::uint64_t term, std::uint64_t offset))
{
    const session_position position{database, {term, offset}};
    RC_ASSERT(codec.decode(codec.encode(position), database) == decode_result(position));
    const session_position_codec previousCodec({"previous secret"});
    RC_ASSERT(codec.decode(previousCodec.encode(position), database) == decode_result(position));
    RC_ASSERT(previousCodec.decode(codec.encode(position), database)
              == decode_result(position_error::badSignature));
}

RC_GTEST_PROP(session_position, rejectsAlteredText, (std::uint64_t term, std::uint64_t offset))
{
    const std::string text = codec.encode({database, {term, offset}});
    const auto index = *rc::gen::inRange<std::size_t>(0, text.size());
    std::string altered = text;
    altered[index] = *rc::gen::suchThat<char>([&](char value) { return value != text[index]; });
    RC_ASSERT(std::holds_alternative<position_error>(codec.decode(altered, database)));
    RC_ASSERT(
            std::holds_alternative<position_error>(codec.decode(text.substr(0, index), database)));
    RC_ASSERT(std::holds_alternative<position_error>(
            codec.decode(*rc::gen::arbitrary<std::string>(), database)));
}

TEST(session_position, returnsTheReasonOfARejection)
{
    const std::string text = codec.encode({database, {3, 17}});
    EXPECT_EQ(codec.decode("", database), decode_result(position_error::malformed));
    EXPECT_EQ(codec.decode("sales:3:17", database), decode_result(position_error::malformed));
    EXPECT_EQ(codec.decode(std::string(10000, ':'), database),
              decode_result(position_error::malformed));
    EXPECT_EQ(codec.decode("sales:4" + text.substr(7), database),
              decode_result(position_error::badSignature));
    EXPECT_EQ(codec.decode(text, database_id("quotes")),
              decode_result(position_error::wrongDatabase));
    EXPECT_THROW(session_position_codec({}), error);
    EXPECT_THROW(session_position_codec({""}), error);
}

} // namespace
} // namespace sycamorespan
