// Tests of the texts that are fields of a line.

#include "sycamorespan/Core"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace sycamorespan;

/** \returns any bytes, often one that ends a field or a line. */
rc::Gen<std::string> anyBytes()
{
    const auto byte = rc::gen::weightedOneOf<char>(
            {{20, rc::gen::arbitrary<char>()}, {1, rc::gen::elementOf(std::string(" \r\n\0", 4))}});
    return rc::gen::container<std::string>(byte);
}

template<typename Text>
bool isAllowed(const std::string &text)
{
    try {
        return Text(text).str() == text;
    } catch (const decode_error &) {
        return false;
    }
}

RC_GTEST_PROP(CoreLineField, TextsThatEndAFieldOrALineAreRefused, ())
{
    const auto text = *anyBytes();
    const auto holds = [&](char byte) { return text.find(byte) != std::string::npos; };
    const bool isLine = !holds('\r') && !holds('\n') && !holds('\0');
    RC_ASSERT(isAllowed<line_text>(text) == isLine);
    RC_ASSERT(isAllowed<line_field>(text) == (isLine && !holds(' ') && !text.empty()));
}

TEST(CoreLineField, AFieldThatIsNotSetIsOneNevertheless)
{
    EXPECT_EQ(line_field().str(), "-");
    EXPECT_EQ(line_text().str(), "");
}

} // namespace
