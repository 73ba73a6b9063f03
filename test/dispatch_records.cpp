// Tests that the records of a statement tell which member and connection ran it, what had been sent
// there, and which answer decided its outcome.

#include "dispatch_harness.h"

#include <gtest/gtest.h>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::test;
using namespace sycamorespan::dispatch_action;

using record_fields = std::vector<std::pair<std::string, std::string>>;

std::string fieldOf(const record_fields &fields, const std::string &name)
{
    const auto found = std::ranges::find(fields, name, &record_fields::value_type::first);
    return found == fields.end() ? "" : found->second;
}

TEST(DispatchRecords, AnOutcomeInDoubtNamesTheMemberAndTheConnection)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    const auto connection = harness.lastSent().connection;
    harness.collect(harness.subject.closed(connection, std::nullopt, harness.now));
    const auto record = harness.outputsOf<record_outcome>().back();
    EXPECT_EQ(record.outcome, "in_doubt");
    EXPECT_EQ(record.server, harness.primary);
    EXPECT_EQ(fieldOf(record.inputs, "connection"), std::to_string(connection));
    EXPECT_EQ(fieldOf(record.inputs, "was_sent"), "true");
}

TEST(DispatchRecords, ACompletedExecutionNamesItsStatementOnTheConnection)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "PREPARE s1 WRITE q1");
    harness.request(1, "EXECUTE s1 x 1");
    const auto connection = harness.lastSent().connection;
    harness.answer(connection);
    harness.answer(connection);
    const auto record = harness.outputsOf<record_outcome>().back();
    EXPECT_EQ(record.outcome, "completed");
    EXPECT_EQ(fieldOf(record.inputs, "setup_sent"), "1");
    EXPECT_EQ(fieldOf(record.inputs, "setup_acknowledged"), "1");
    EXPECT_NE(fieldOf(record.inputs, "prepared"), "");
}

TEST(DispatchRecords, ARepeatedStatementNamesTheAnswerThatTheMemberGave)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "WRITE x 1");
    harness.refuse(harness.lastSent().connection, statement_error::busy);
    const auto step = harness.outputsOf<record_step>().back();
    EXPECT_EQ(step.step, "retry");
    EXPECT_EQ(fieldOf(step.inputs, "server"), harness.primary.str());
    EXPECT_EQ(fieldOf(step.inputs, "answer"), "busy");
    EXPECT_NE(fieldOf(step.inputs, "connection"), "");
}

TEST(DispatchRecords, ARefusedSetupIsToldFromARefusedStatement)
{
    dispatch_harness harness;
    harness.connect(1);
    harness.request(1, "SET v 1");
    harness.request(1, "READ x");
    harness.refuse(harness.lastSent().connection, statement_error::busy);
    const auto step = harness.outputsOf<record_step>().back();
    EXPECT_EQ(fieldOf(step.inputs, "setup_sent"), "1");
    EXPECT_EQ(fieldOf(step.inputs, "setup_acknowledged"), "0");
    EXPECT_EQ(fieldOf(step.inputs, "answer"), "busy");
}

} // namespace
