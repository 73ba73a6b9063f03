#include "sycamorespan/src/Logging/logger.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <sstream>

namespace sycamorespan {

namespace {

using boost::log::record_view;
using fields = std::vector<log_field>;

constexpr const char *componentAttribute = "Component";
constexpr const char *fieldsAttribute = "Fields";
constexpr const char *severityAttribute = "Severity";
constexpr const char *messageAttribute = "Message";

/** \returns the current time in UTC, such as 2026-12-04T05:28:17.042Z. */
std::string utcNow()
{
    using namespace std::chrono;
    const auto now = time_point_cast<milliseconds>(system_clock::now());
    const auto seconds = system_clock::to_time_t(now);
    const auto millis = now.time_since_epoch().count() % 1000;
    std::tm utc{};
    ::gmtime_r(&seconds, &utc);
    std::ostringstream text;
    text << std::put_time(&utc, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << millis
         << 'Z';
    return text.str();
}

std::string toText(log_level level)
{
    switch (level) {
    case log_level::trace:
        return "trace";
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

/** \returns the fields of a log line: time, level, component and event, then the details. */
fields allFields(const record_view &record)
{
    const auto level = boost::log::extract<log_level>(severityAttribute, record);
    const auto component = boost::log::extract<std::string>(componentAttribute, record);
    const auto event = boost::log::extract<std::string>(messageAttribute, record);
    const auto details = boost::log::extract<fields>(fieldsAttribute, record);
    fields result{{"time", utcNow()},
                  {"level", toText(level.get())},
                  {"component", component.get()},
                  {"event", event.get()}};
    std::ranges::copy(details.get(), std::back_inserter(result));
    return result;
}

bool needsQuotes(const std::string &value)
{
    const auto isPlain = [](unsigned char byte) {
        return byte > ' ' && byte < 0x7f && byte != '"' && byte != '=' && byte != '\\';
    };
    return value.empty() || !std::ranges::all_of(value, isPlain);
}

std::string quoted(const std::string &value)
{
    constexpr auto replaceInvalid = nlohmann::json::error_handler_t::replace;
    return nlohmann::json(value).dump(-1, ' ', true, replaceInvalid);
}

void writeText(const fields &line, std::ostream &stream)
{
    const char *separator = "";
    std::ranges::for_each(line, [&](const log_field &field) {
        stream << separator << field.name << '='
               << (needsQuotes(field.value) ? quoted(field.value) : field.value);
        separator = " ";
    });
}

void writeJson(const fields &line, std::ostream &stream)
{
    const char *separator = "{";
    std::ranges::for_each(line, [&](const log_field &field) {
        stream << separator << quoted(field.name) << ':' << quoted(field.value);
        separator = ",";
    });
    stream << '}';
}

} // namespace

logger::logger(const std::string &component)
{
    m_source.add_attribute(componentAttribute,
                           boost::log::attributes::constant<std::string>(component));
}

void logger::write(log_level level, std::string_view event, const std::vector<log_field> &details)
{
    const auto attribute = m_source.add_attribute(
            fieldsAttribute, boost::log::attributes::constant<fields>(details));
    auto record = m_source.open_record(boost::log::keywords::severity = level);
    m_source.remove_attribute(attribute.first);
    if (!record)
        return;
    boost::log::record_ostream stream(record);
    stream << event;
    stream.flush();
    m_source.push_record(std::move(record));
}

void setUpLogging(const settings::log_settings &logSettings, std::ostream &stream)
{
    using backend = boost::log::sinks::text_ostream_backend;
    auto output = boost::make_shared<backend>();
    output->add_stream(boost::shared_ptr<std::ostream>(&stream, [](auto *) {}));
    output->auto_flush(true);
    auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<backend>>(output);
    const auto format = logSettings.format;
    sink->set_formatter([format](const record_view &record, auto &line) {
        if (format == settings::log_format::json)
            writeJson(allFields(record), line.stream());
        else
            writeText(allFields(record), line.stream());
    });
    const auto core = boost::log::core::get();
    core->remove_all_sinks();
    core->set_filter([minimumLevel = logSettings.level](const auto &attributes) {
        const auto level = boost::log::extract<log_level>(severityAttribute, attributes);
        return level && level.get() >= minimumLevel;
    });
    core->add_sink(sink);
}

} // namespace sycamorespan
