#include "sycamorespan/Logging"
#include "sycamorespan/Core"

#include "programs/node/event_log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <climits>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace sycamorespan {
namespace {

std::string writeLine(const settings::log_settings &logSettings, log_level level,
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
    const auto line = writeLine({}, log_level::warning, {{"peer", "i1"}, {"reason", "a \"b\"\n"}});
    EXPECT_TRUE(line.ends_with(" level=warning component=test event=\"peer connected\" peer=i1 "
                               "reason=\"a \\\"b\\\"\\n\"\n"))
            << line;
    EXPECT_TRUE(line.starts_with("time=2")) << line;
}

TEST(logging, writesFieldsAsJson)
{
    const auto line = writeLine({log_level::info, settings::log_format::json}, log_level::error,
                                {{"reason", "\xff\"\n"}});
    const auto parsed = nlohmann::json::parse(line);
    EXPECT_EQ(parsed.at("level"), "error");
    EXPECT_EQ(parsed.at("component"), "test");
    EXPECT_EQ(parsed.at("event"), "peer connected");
    EXPECT_EQ(parsed.at("reason"), "\xef\xbf\xbd\"\n");
}

/** \brief Non-blocking pipe that can be filled and drained, as by a slow reader. */
class output_pipe
{
public:
    output_pipe() { EXPECT_EQ(pipe2(m_ends.data(), O_NONBLOCK), 0); }
    ~output_pipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    output_pipe(const output_pipe &) = delete;
    output_pipe &operator=(const output_pipe &) = delete;

    int writeEnd() const { return m_ends[1]; }

    void fill()
    {
        const std::array<char, PIPE_BUF> bytes{};
        while (write(m_ends[1], bytes.data(), bytes.size()) > 0) { }
    }

    void drain()
    {
        std::array<char, PIPE_BUF> bytes{};
        while (read(m_ends[0], bytes.data(), bytes.size()) > 0) { }
    }

private:
    std::array<int, 2> m_ends{};
};

TEST(logging, nodeDropsLinesInsteadOfBlockingOnASlowReader)
{
    std::ostringstream stream;
    setUpLogging({}, stream);
    output_pipe output;
    node::event_log log({}, output.writeEnd());
    output.fill();
    log.write(line_importance::state, "view changed", {}, time_point(1h));
    EXPECT_EQ(stream.str(), "");
    EXPECT_EQ(log.dropped(), 1U);
    output.drain();
    log.write(line_importance::state, "view usable", {}, time_point(1h));
    EXPECT_NE(stream.str().find("event=\"log lines dropped\" count=1"), std::string::npos);
    EXPECT_NE(stream.str().find("event=\"view usable\""), std::string::npos);
    setUpLogging({}, std::cerr);
}

TEST(logging, nodeLinesFitIntoOneAtomicPipeWrite)
{
    std::ostringstream stream;
    setUpLogging({}, stream);
    output_pipe output;
    node::event_log log({}, output.writeEnd());
    const std::string quotes(PIPE_BUF, '"');
    log.write(line_importance::state, "state", {{"first", quotes}, {"second", quotes}},
              time_point(1h));
    EXPECT_LE(stream.str().size(), std::size_t{PIPE_BUF});
    EXPECT_NE(stream.str().find("second="), std::string::npos);
    setUpLogging({}, std::cerr);
}

// Guards against lines that block on a pipe or are torn, because escapes are longer than the bytes.
TEST(logging, nodeLinesOfAnyBytesAreOneLineThatFitsIntoOneAtomicPipeWrite)
{
    for (const auto format : {settings::log_format::text, settings::log_format::json}) {
        for (int byte = 0; byte < 256; ++byte) {
            std::ostringstream stream;
            setUpLogging({log_level::info, format}, stream);
            output_pipe output;
            node::event_log log({}, output.writeEnd());
            const std::string name(std::size_t{1} << 20, static_cast<char>(byte));
            node::event_fields fields(20, {"a_name_of_a_field", "1"});
            fields[3].second = name;
            fields[4].second = name;
            log.write(line_importance::state, "session refused", fields, time_point(1h));
            const auto line = stream.str();
            EXPECT_LE(line.size(), std::size_t{PIPE_BUF}) << byte;
            EXPECT_EQ(std::ranges::count(line, '\n'), 1) << byte;
        }
    }
    setUpLogging({}, std::cerr);
}

TEST(logging, omitsLinesBelowTheConfiguredLevel)
{
    EXPECT_EQ(writeLine({log_level::warning, settings::log_format::text}, log_level::info, {}), "");
    EXPECT_NE(writeLine({log_level::debug, settings::log_format::text}, log_level::debug, {}), "");
}

TEST(logging, writesTheNameOfEveryLevel)
{
    const std::vector<std::pair<log_level, std::string>> names{{log_level::trace, "trace"},
                                                               {log_level::debug, "debug"},
                                                               {log_level::info, "info"},
                                                               {log_level::warning, "warning"},
                                                               {log_level::error, "error"}};
    for (const auto &[level, name] : names) {
        const auto line = writeLine({log_level::trace, settings::log_format::text}, level, {});
        EXPECT_NE(line.find(" level=" + name + " "), std::string::npos) << line;
    }
}

} // namespace
} // namespace sycamorespan
