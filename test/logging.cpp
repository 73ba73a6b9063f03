#include "sycamorespan/Logging"
#include "sycamorespan/Core"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace sycamorespan {
namespace {

std::string lineOf(const settings::log_settings &logSettings, log_level level,
                   const std::vector<log_field> &fields)
{
    std::ostringstream stream;
    setUpLogging(logSettings, stream);
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
    const auto line = lineOf({log_level::info, settings::log_format::json}, log_level::error,
                             {{"reason", "\xff\"\n"}});
    const auto parsed = nlohmann::json::parse(line);
    EXPECT_EQ(parsed.at("level"), "error");
    EXPECT_EQ(parsed.at("component"), "test");
    EXPECT_EQ(parsed.at("event"), "peer connected");
    EXPECT_EQ(parsed.at("reason"), "\xef\xbf\xbd\"\n");
}

TEST(logging, leavesOutLighterLines)
{
    EXPECT_EQ(lineOf({log_level::warning, settings::log_format::text}, log_level::info, {}), "");
    EXPECT_NE(lineOf({log_level::debug, settings::log_format::text}, log_level::debug, {}), "");
}

TEST(logging, namesEveryLevel)
{
    const std::vector<std::pair<log_level, std::string>> names{{log_level::trace, "trace"},
                                                               {log_level::debug, "debug"},
                                                               {log_level::info, "info"},
                                                               {log_level::warning, "warning"},
                                                               {log_level::error, "error"}};
    for (const auto &[level, name] : names) {
        const auto line = lineOf({log_level::trace, settings::log_format::text}, level, {});
        EXPECT_NE(line.find(" level=" + name + " "), std::string::npos) << line;
    }
}

} // namespace
} // namespace sycamorespan
