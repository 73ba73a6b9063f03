#ifndef SYCAMORESPAN_LOGGING_LOG_SETTINGS_H
#define SYCAMORESPAN_LOGGING_LOG_SETTINGS_H

#include <compare>
#include <string_view>

namespace sycamorespan {

/** \brief Weight of a log line, ascending. */
enum class log_level { debug, info, warning, error };

/** \brief Form of a log line: key=value pairs, or one JSON object. */
enum class log_format { text, json };

/** \brief What a process logs, and how. */
struct log_settings
{
    /** Lighter lines are left out. */
    log_level level = log_level::info;
    log_format format = log_format::text;

    auto operator<=>(const log_settings &) const = default;
};

/** \returns the level's name: "debug", "info", "warning", "error". */
std::string_view toText(log_level level);

/** \throws decode_error when \a text is no level's name */
log_level parseLogLevel(std::string_view text);

/** \throws decode_error when \a text is neither "text" nor "json" */
log_format parseLogFormat(std::string_view text);

} // namespace sycamorespan

#endif
