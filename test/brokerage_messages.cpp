#include "sycamorespan/Brokerage"
#include "sycamorespan/src/Core/error.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;

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

} // namespace
