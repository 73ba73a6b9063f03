// Tests that legal statements of callers reach members as legal lines with the same content,
// whatever blanks, bytes and names they hold.

#include "isolation_schedule.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;

TEST(DispatchLegalTexts, StatementsRunInTheShapeThatTheirCallerPrepared)
{
    EXPECT_TRUE(holdsOnEverySchedule({}, runsAsSent));
}

TEST(DispatchLegalTexts, MembersRefuseNoLineAsMalformed)
{
    EXPECT_TRUE(holdsOnEverySchedule({}, [](isolation_schedule &played) {
        RC_ASSERT(played.malformedCount == 0U);
        RC_ASSERT(played.outcomes["malformed"] == 0U);
        RC_ASSERT(played.outcomes["in_doubt"] == 0U);
    }));
}

/** Guards against lines that grow beyond the protocol's limit where a statement is renamed, or a
 * position is required.
 */
TEST(DispatchLegalTexts, TheLongestStatementsStayWithinTheLimitOfALine)
{
    const auto longest = [](std::string front) {
        const std::string opening = "QUERY r1 ";
        front.resize(strict_member_connection::maximumLineBytes - opening.size() - 1, 'x');
        return front;
    };
    for (const std::string text :
         {"READ x", "WRITE x ", "SET v ", "PREPARE s READ ", "PREPARE s WRITE q ", "EXECUTE s x"}) {
        dispatch_harness harness(consistency::boundedStaleness);
        harness.subject.addFloor(harness.database, {{1, 7}, harness.now}, harness.now);
        harness.connect(1);
        harness.request(1, "PREPARE s READ q 1");
        harness.request(1, longest(text));
        const bool executes = text.starts_with("PREPARE");
        harness.request(1, executes ? "EXECUTE s x 1" : "READ y");
        std::map<connection_id, strict_member_connection> members;
        for (int round = 0; round < 20; ++round) {
            const auto outputs = std::exchange(harness.outputs, {});
            for (const auto &sent : outputs) {
                const auto *lines = std::get_if<dispatch_action::send_to_member>(&sent);
                if (!lines)
                    continue;
                auto &member = members.try_emplace(lines->connection, true).first->second;
                for (const auto &each : lines->statements) {
                    sycamorespan::platform::answer_reader reader;
                    reader.append(member.handle(sycamorespan::platform::encodeStatement(each), ""));
                    harness.collect(harness.subject.answered(lines->connection, *reader.next(),
                                                             harness.now));
                }
            }
            harness.advance(20ms);
        }
        std::size_t runs = 0;
        for (const auto &[connection, member] : members) {
            EXPECT_EQ(member.violations, std::vector<std::string>()) << text;
            EXPECT_EQ(member.malformed, std::vector<std::string>()) << text;
            runs += member.runs.size();
        }
        EXPECT_EQ(runs, text.starts_with("PREPARE") || text.starts_with("SET") ? 1U : 2U) << text;
    }
}

} // namespace
