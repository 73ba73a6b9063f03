#include "sycamorespan/src/Logging/log_settings.h"

#include "sycamorespan/Core"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace sycamorespan {

namespace {

constexpr std::array<std::pair<log_level, std::string_view>, 4> levelNames{
        {{log_level::debug, "debug"},
         {log_level::info, "info"},
         {log_level::warning, "warning"},
         {log_level::error, "error"}}};

} // namespace

std::string_view toText(log_level level)
{
    return std::ranges::find(levelNames, level, [](const auto &entry) { return entry.first; })
            ->second;
}

log_level parseLogLevel(std::string_view text)
{
    const auto *found =
            std::ranges::find(levelNames, text, [](const auto &entry) { return entry.second; });
    if (found == levelNames.end())
        throw decode_error("no log level: " + std::string(text));
    return found->first;
}

log_format parseLogFormat(std::string_view text)
{
    if (text == "text")
        return log_format::text;
    if (text == "json")
        return log_format::json;
    throw decode_error("no log format: " + std::string(text));
}

} // namespace sycamorespan
