#include "sycamorespan/Brokerage"
#include "sycamorespan/src/Core/error.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace sycamorespan;
using namespace std::string_literals;

brokered_statement aStatement()
{
    brokered_statement statement;
    statement.operation = 7;
    statement.number = 9;
    statement.requestId = "5c0e";
    statement.text = "READ \x01 x";
    statement.work = brokered_execution{statement_access::write, "q", "1a4"};
    statement.databaseName = "sales";
    statement.workspace = workspace_id("shop");
    statement.transaction = brokered_transaction{true, true, 40ms};
    statement.values = {{"v", "1"}};
    statement.lastCommitPosition = {3, 1200};
    statement.configurationVersion = 4;
    statement.timeLeft = 300ms;
    statement.objectiveLeft = -20ms;
    return statement;
}

std::vector<broker_message> messages()
{
    auto commit = aStatement();
    commit.work = caller_statement::commit{};
    commit.transaction.reset();
    auto direct = aStatement();
    direct.work = caller_statement::direct{statement_access::read};
    return {broker_hello{1, instance_id("front-a-1"), 77},
            aStatement(),
            commit,
            direct,
            brokered_answer{
                    7,
                    9,
                    false,
                    true,
                    {{"one", "two"}, completed{"r"}, session_state::idle, log_position{1, 2}}},
            brokered_answer{7,
                            9,
                            true,
                            false,
                            {{}, rejected{statement_error::busy, "no"}, session_state::idle, {}}},
            brokered_end{7},
            broker_probe{},
            broker_probe_answer{}};
}

TEST(brokerage_messages, are_read_as_they_were_written_however_the_bytes_arrive)
{
    std::string bytes;
    for (const auto &each : messages())
        bytes += encodeFrame(each);
    for (const std::size_t chunk : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
        broker_frame_reader reader(4096);
        std::vector<broker_message> read;
        for (std::size_t at = 0; at < bytes.size(); at += chunk) {
            reader.append(std::string_view(bytes).substr(at, chunk));
            while (const auto message = reader.next())
                read.push_back(*message);
        }
        EXPECT_EQ(read, messages());
    }
}

TEST(brokerage_messages, leave_no_memory_behind_once_they_are_read)
{
    auto large = aStatement();
    large.text = std::string(std::size_t{1} << 20, 'v');
    broker_frame_reader reader(std::size_t{4} << 20);
    reader.append(encodeFrame(large));
    EXPECT_TRUE(reader.next());
    EXPECT_FALSE(reader.next());
    EXPECT_EQ(reader.bufferedBytes(), 0U);
    EXPECT_LE(reader.allocatedBytes(), std::size_t{64} << 10);
}

TEST(brokerage_messages, that_are_too_long_or_malformed_are_rejected)
{
    broker_frame_reader tooLong(16);
    tooLong.append(encodeFrame(aStatement()));
    EXPECT_THROW(tooLong.next(), decode_error);
    broker_frame_reader unknown(64);
    unknown.append(std::string("\0\0\0\2\x81\x17", 6));
    EXPECT_THROW(unknown.next(), decode_error);
}

broker_message decodeFrame(const std::string &frame)
{
    broker_frame_reader reader(frame.size());
    reader.append(frame);
    return *reader.next();
}

// Guards against a text of another instance that becomes two fields or two lines at a member.
TEST(brokerage_messages, with_a_text_that_is_no_field_of_a_line_are_rejected)
{
    const std::string placeholder = "placeholder";
    const auto makers = std::vector<std::function<void(brokered_statement &)>>{
            [&](auto &each) { each.requestId = placeholder; },
            [&](auto &each) { each.workspace = workspace_id(placeholder); },
            [&](auto &each) {
                each.values = {{placeholder, "1"}};
            },
            [&](auto &each) {
                each.values = {{"v", placeholder}};
            },
            [&](auto &each) { each.text = placeholder; },
            [&](auto &each) {
                each.work = brokered_execution{statement_access::read, placeholder, "1a4"};
            },
            [&](auto &each) {
                each.work = brokered_execution{statement_access::read, "q", placeholder};
            }};
    for (std::size_t maker = 0; maker < makers.size(); ++maker) {
        auto statement = aStatement();
        makers[maker](statement);
        const auto frame = encodeFrame(statement);
        EXPECT_EQ(decodeFrame(frame), broker_message(statement));
        for (const auto &odd :
             {"place\rolder"s, "place\nolder"s, "place\0older"s, "place older"s}) {
            const bool isLastField = maker > 2;
            if (isLastField && odd == "place older")
                continue;
            auto changed = frame;
            changed.replace(frame.find(placeholder), placeholder.size(), odd);
            EXPECT_THROW(decodeFrame(changed), decode_error) << maker << ' ' << odd;
        }
    }
}

TEST(brokerage_messages, with_an_answer_that_would_be_two_lines_are_rejected)
{
    const auto answers = std::vector<statement_answer>{
            {{"placeholder"}, completed{"r"}, session_state::idle, {}},
            {{}, completed{"placeholder"}, session_state::idle, {}},
            {{}, rejected{statement_error::failed, "placeholder"}, session_state::idle, {}}};
    for (const auto &each : answers) {
        auto frame = encodeFrame(brokered_answer{7, 9, false, true, each});
        frame.replace(frame.find("placeholder"), 11, "place\rolder");
        EXPECT_THROW(decodeFrame(frame), decode_error);
    }
}

/** \returns a text of any bytes that the last field of a line may hold; few of them are UTF-8. */
std::string anyLineText()
{
    auto text = *rc::gen::arbitrary<std::string>();
    std::ranges::replace_if(
            text, [](char byte) { return byte == '\r' || byte == '\n' || byte == '\0'; }, '\xff');
    return text;
}

std::string anyField()
{
    auto text = anyLineText() + "f";
    std::ranges::replace(text, ' ', '\x80');
    return text;
}

RC_GTEST_PROP(brokerage_messages, keep_texts_of_any_bytes, ())
{
    auto statement = aStatement();
    statement.requestId = anyField();
    statement.text = anyLineText();
    statement.work = brokered_execution{statement_access::read, anyLineText(), anyLineText()};
    statement.databaseName = anyField();
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
        statement.values[anyField()] = anyLineText();
    RC_ASSERT(decodeFrame(encodeFrame(statement)) == broker_message(statement));
    const brokered_answer answer{7,
                                 9,
                                 false,
                                 true,
                                 {{anyLineText(), anyLineText()},
                                  completed{anyField()},
                                  session_state::idle,
                                  log_position{1, 2}}};
    RC_ASSERT(decodeFrame(encodeFrame(answer)) == broker_message(answer));
}

TEST(brokerage_messages, keep_long_and_many_rows)
{
    const std::size_t rowBytes = (std::size_t{1} << 20) - 8;
    for (const auto &rows : {std::vector<std::string>(3, std::string(rowBytes, '\xfe')),
                             std::vector<std::string>(100'000, "r")}) {
        const brokered_answer answer{
                7, 9, false, true, {rows, completed{"r"}, session_state::idle, {}}};
        EXPECT_TRUE(decodeFrame(encodeFrame(answer)) == broker_message(answer));
    }
}

} // namespace
