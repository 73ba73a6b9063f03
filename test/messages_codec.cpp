#include "sycamorespan/Core"
#include "sycamorespan/Messages"
#include "sycamorespan/Schema"
#include "sycamorespan/src/Messages/generated/message_fields.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

constexpr int roundsPerMessage = 20;
constexpr std::size_t maxGeneratedTextLength = 40;
constexpr std::size_t maxGeneratedItems = 4;

std::string randomText(const schema::text_limits &limits)
{
    const auto maxLength =
            std::min(limits.maximumLength, limits.minimumLength + maxGeneratedTextLength);
    const auto length = *rc::gen::inRange(limits.minimumLength, maxLength + 1);
    return *rc::gen::container<std::string>(length, rc::gen::inRange<char>(0x01, 0x7f));
}

template<typename Object>
Object randomObject();

template<typename Value, typename Limits>
Value randomValue(const Limits &limits)
{
    if constexpr (std::is_same_v<Limits, schema::text_limits>)
        return Value(randomText(limits));
    else if constexpr (std::is_same_v<Limits, schema::socket_address_limits>)
        return *rc::gen::element<std::string>("127.0.0.1:7101", "[::1]:65535", "10.0.0.9:0");
    else if constexpr (std::is_same_v<Limits, schema::unsigned_limits>)
        return *rc::gen::oneOf(rc::gen::inRange<Value>(limits.minimum, limits.maximum),
                               rc::gen::element(Value(limits.minimum), Value(limits.maximum)));
    else if constexpr (std::is_same_v<Limits, schema::real_limits>)
        return limits.minimum
               + (limits.maximum - limits.minimum) * *rc::gen::inRange(0, 1001) / 1000;
    else if constexpr (std::is_same_v<Limits, schema::boolean_limits>)
        return *rc::gen::arbitrary<bool>();
    else if constexpr (std::is_same_v<Limits, schema::enumeration_limits>)
        return static_cast<Value>(
                *rc::gen::inRange<std::size_t>(0, schema::enumeration<Value>::names.size()));
    else
        return randomObject<Value>();
}

template<typename Value, typename Limits>
void fillValue(const Limits &limits, Value &target)
{
    target = randomValue<Value>(limits);
}

template<typename Value, typename Limits>
void fillValue(const Limits &limits, std::optional<Value> &target)
{
    if (*rc::gen::arbitrary<bool>())
        target = randomValue<Value>(limits);
    else
        target.reset();
}

template<typename Item, typename Limits>
void fillValue(const schema::array_limits<Limits> &limits, std::vector<Item> &target)
{
    const auto maxItems = std::min(limits.maximumItems, maxGeneratedItems);
    target.resize(*rc::gen::inRange<std::size_t>(0, maxItems + 1));
    for (auto &item : target)
        item = randomValue<Item>(limits.item);
}

template<typename Object>
Object randomObject()
{
    Object result;
    std::apply(
            [&](const auto &...fields) { (fillValue(fields.limits, result.*fields.member), ...); },
            schema::description<Object>::fields);
    return result;
}

template<std::size_t Index = 0>
messages::message randomMessage(std::size_t index)
{
    if constexpr (Index < std::variant_size_v<messages::message>) {
        if (index == Index)
            return randomObject<std::variant_alternative_t<Index, messages::message>>();
        return randomMessage<Index + 1>(index);
    } else {
        throw std::out_of_range("message index");
    }
}

messages::message randomMessageOfRandomType()
{
    return randomMessage(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<messages::message>));
}

std::string decodeErrorOf(const std::vector<std::uint8_t> &bytes)
{
    try {
        messages::decodeMessage(bytes);
    } catch (const decode_error &failure) {
        return failure.what();
    }
    return {};
}

std::string decodeErrorOf(const std::string &type, const nlohmann::json &fields)
{
    return decodeErrorOf(nlohmann::json::to_cbor(nlohmann::json::array({type, fields})));
}

nlohmann::json validHeartbeat()
{
    return {{"instance", "i1"}, {"data_centre", "regina"}, {"boot", "b"},
            {"sequence", 7},    {"state", "live"},         {"configuration_version", 3}};
}

RC_GTEST_PROP(messages_codec, everyMessageSurvivesTheRoundTrip, ())
{
    for (std::size_t index = 0; index < std::variant_size_v<messages::message>; ++index) {
        for (int round = 0; round < roundsPerMessage; ++round) {
            const auto original = randomMessage(index);
            RC_ASSERT(messages::decodeMessage(messages::encodeMessage(original)) == original);
        }
    }
}

RC_GTEST_PROP(messages_codec, aTruncatedMessageIsRefused, ())
{
    auto bytes = messages::encodeMessage(randomMessageOfRandomType());
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    RC_ASSERT(!decodeErrorOf(bytes).empty());
}

RC_GTEST_PROP(messages_codec, aChangedMessageIsRefusedOrDecodesToAMessage, ())
{
    auto bytes = messages::encodeMessage(randomMessageOfRandomType());
    const auto changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes; ++change)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                *rc::gen::arbitrary<std::uint8_t>();
    try {
        const auto decoded = messages::decodeMessage(bytes);
        RC_ASSERT(messages::decodeMessage(messages::encodeMessage(decoded)) == decoded);
    } catch (const decode_error &) {
        RC_SUCCEED("refused");
    }
}

RC_GTEST_PROP(messages_codec, arbitraryBytesAreRefused, (const std::vector<std::uint8_t> &bytes))
{
    RC_ASSERT(!decodeErrorOf(bytes).empty());
}

bool isOptional(const messages::message &value, const std::string &name)
{
    return std::visit(
            [&name]<typename Object>(const Object &) {
                return std::apply(
                        [&name](const auto &...fields) {
                            return ((fields.name == name
                                     && fields.need == schema::presence::optional)
                                    || ...);
                        },
                        schema::description<Object>::fields);
            },
            value);
}

RC_GTEST_PROP(messages_codec, everyMissingFieldIsNamed, ())
{
    const auto original = randomMessageOfRandomType();
    auto fields = messages::toJson(original);
    RC_PRE(!fields.empty());
    const auto removed =
            std::next(fields.begin(), *rc::gen::inRange(0, static_cast<int>(fields.size()))).key();
    fields.erase(removed);
    const auto type = std::string(messages::messageName(original));
    const auto expected =
            isOptional(original, removed) ? std::string() : type + "." + removed + ": is missing";
    RC_ASSERT(decodeErrorOf(type, fields) == expected);
}

RC_GTEST_PROP(messages_codec, everyWrongTypeIsNamed, ())
{
    const auto original = randomMessageOfRandomType();
    auto fields = messages::toJson(original);
    RC_PRE(!fields.empty());
    const auto changed =
            std::next(fields.begin(), *rc::gen::inRange(0, static_cast<int>(fields.size()))).key();
    fields[changed] = nullptr;
    const auto type = std::string(messages::messageName(original));
    RC_ASSERT(decodeErrorOf(type, fields).starts_with(type + "." + changed + ": must be"));
}

TEST(messages_codec, anUnknownFieldIsNamed)
{
    auto fields = validHeartbeat();
    fields["colour"] = "red";
    EXPECT_EQ(decodeErrorOf("heartbeat", fields), "heartbeat.colour: is not a known field");
}

TEST(messages_codec, anUnknownTypeIsNamed)
{
    EXPECT_EQ(decodeErrorOf("greeting", {}), "unknown message type 'greeting'");
}

TEST(messages_codec, outOfRangeAndTooLongFieldsAreAllNamed)
{
    auto fields = validHeartbeat();
    fields["sequence"] = -1;
    fields["boot"] = std::string(65, 'b');
    fields["state"] = "asleep";
    const auto failure = decodeErrorOf("heartbeat", fields);
    EXPECT_NE(failure.find("heartbeat.sequence: must be from 0 to 9007199254740991"),
              std::string::npos);
    EXPECT_NE(failure.find("heartbeat.boot: must have 1 to 64 bytes, has 65"), std::string::npos);
    EXPECT_NE(failure.find("heartbeat.state: must be one of starting, live, draining"),
              std::string::npos);
}

TEST(messages_codec, errorsInNestedItemsNameTheItem)
{
    const nlohmann::json member{
            {"server", "a1"}, {"address", "nowhere"}, {"data_centre", "regina"}};
    const nlohmann::json fields{
            {"database", "d"}, {"term", 1}, {"primary", "a1"}, {"members", {member}}};
    EXPECT_EQ(decodeErrorOf("group_view_update", fields),
              "group_view_update.members[0].address: must be an address of the form IP:port");
}

TEST(messages_codec, malformedUtf8IsRefused)
{
    for (const std::string text :
         {"\xff", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80"}) {
        auto fields = validHeartbeat();
        fields["boot"] = text;
        EXPECT_EQ(decodeErrorOf("heartbeat", fields), "heartbeat.boot: must be UTF-8");
    }
    auto fields = validHeartbeat();
    fields["boot"] = "za\xc5\xbc\xc3\xb3\xc5\x82\xc4\x87 \xe2\x82\xac \xf0\x9f\x98\x80";
    EXPECT_EQ(decodeErrorOf("heartbeat", fields), "");
}

TEST(messages_codec, deepNestingIsRefusedWithoutRecursion)
{
    constexpr std::size_t levels = std::size_t{4} * 1024 * 1024;
    constexpr std::uint8_t arrayOfOne = 0x81;
    constexpr std::uint8_t mapOfOne = 0xa1;
    constexpr std::uint8_t indefiniteText = 0x7f;
    constexpr std::uint8_t indefiniteArray = 0x9f;
    constexpr std::uint8_t tag = 0xc1;
    for (const auto byte : {arrayOfOne, mapOfOne, indefiniteText, indefiniteArray, tag})
        EXPECT_NE(decodeErrorOf(std::vector<std::uint8_t>(levels, byte)), "");
}

TEST(messages_codec, lengthsBeyondTheInputAreRefused)
{
    for (const std::uint8_t head : {0x5b, 0x7b, 0x9b, 0xbb}) {
        std::vector<std::uint8_t> bytes(9, 0xff);
        bytes.front() = head;
        EXPECT_EQ(decodeErrorOf(bytes), "the message is truncated");
    }
}

TEST(messages_codec, anOversizedMessageIsRefusedBeforeItIsDecoded)
{
    const messages::codec_limits limits{.maximumBytes = 100, .maximumDepth = 8};
    const auto bytes = messages::encodeMessage(messages::state_reply{std::string(101, ' ')});
    EXPECT_THROW(messages::decodeMessage(bytes, limits), decode_error);
    EXPECT_NO_THROW(messages::decodeMessage(bytes));
}

} // namespace
} // namespace sycamorespan
