#include "sycamorespan/Logging"
#include "sycamorespan/Core"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace sycamorespan {
namespace {

std::string lineOf(const log_settings &settings, log_level level,
                   const std::vector<log_field> &fields)
{
    std::ostringstream stream;
    setUpLogging(settings, stream);
    logger log("test");
    log.write(level, "peer connected", fields);
    setUpLogging({}, std::cerr);
    return stream.str();
}

TEST(logging, writesFieldsAsText)
{
    const auto line = lineOf({}, log_level::warning, {{"peer", "i1"}, {"reason", "a \"b\"\n"}});
    EXPECT_TRUE(line.ends_with(" level=warning component=test event=\"peer connected\" peer=i1 "
                               "reason=\"a \\\"b\\\"\\n\"\n"))
            << line;
    EXPECT_TRUE(line.starts_with("time=2")) << line;
}

TEST(logging, writesFieldsAsJson)
{
    const auto line =
            lineOf({log_level::info, log_format::json}, log_level::error, {{"reason", "\xff\"\n"}});
    const auto parsed = nlohmann::json::parse(line);
    EXPECT_EQ(parsed.at("level"), "error");
    EXPECT_EQ(parsed.at("component"), "test");
    EXPECT_EQ(parsed.at("event"), "peer connected");
    EXPECT_EQ(parsed.at("reason"), "\xef\xbf\xbd\"\n");
}

TEST(logging, leavesOutLighterLines)
{
    EXPECT_EQ(lineOf({log_level::warning, log_format::text}, log_level::info, {}), "");
    EXPECT_NE(lineOf({log_level::debug, log_format::text}, log_level::debug, {}), "");
}

TEST(logging, readsItsNames)
{
    for (const auto level :
         {log_level::debug, log_level::info, log_level::warning, log_level::error})
        EXPECT_EQ(parseLogLevel(toText(level)), level);
    EXPECT_EQ(parseLogFormat("json"), log_format::json);
    EXPECT_THROW(parseLogLevel("loud"), decode_error);
    EXPECT_THROW(parseLogFormat("xml"), decode_error);
}

} // namespace
} // namespace sycamorespan
