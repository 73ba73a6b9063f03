#include "sycamorespan/Core"
#include "sycamorespan/Net"

#include "sycamorespan/src/Core/error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace sycamorespan;

RC_GTEST_PROP(NetCompression, ReturnsTheBytesThatWereCompressed, (const std::string &bytes))
{
    RC_ASSERT(decompress(compress(bytes), bytes.size()) == bytes);
}

RC_GTEST_PROP(NetCompression, AnyBytesAreDecompressedOrRejected, (const std::string &bytes))
{
    try {
        decompress(bytes, 1000);
    } catch (const decode_error &) {
        RC_SUCCEED("rejected");
    }
}

TEST(NetCompression, TruncatedBytesAreRejected)
{
    const auto bytes = compress(std::string(100'000, 'a'));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        EXPECT_THROW(decompress(bytes.substr(0, length), 100'000), decode_error) << length;
}

/** A short message that grows without bound would take the memory of the process. */
TEST(NetCompression, ResultsBeyondTheGreatestLengthAreRejected)
{
    const auto bytes = compress(std::string(8'000'000, 'a'));
    EXPECT_LT(bytes.size(), 100'000);
    EXPECT_THROW(decompress(bytes, 7'999'999), decode_error);
    EXPECT_EQ(decompress(bytes, 8'000'000).size(), 8'000'000);
}

} // namespace
