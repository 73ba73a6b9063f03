#include "sycamorespan/src/Session/session_options.h"

#include <charconv>
#include <vector>

#include "sycamorespan/src/Core/error.h"

namespace sycamorespan {
namespace {

constexpr std::int64_t maximumIntervalMs = 24LL * 3600 * 1000;

/** \brief Splits \a text at spaces. A backslash escapes the next character. */
std::vector<std::string> splitWords(std::string_view text)
{
    std::vector<std::string> words;
    std::string word;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '\\' && index + 1 < text.size()) {
            word.push_back(text[++index]);
        } else if (text[index] != ' ') {
            word.push_back(text[index]);
        } else if (!word.empty()) {
            words.push_back(std::move(word));
            word.clear();
        }
    }
    if (!word.empty())
        words.push_back(std::move(word));
    return words;
}

void addAssignment(std::map<std::string, std::string> &options, const std::string &assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0)
        throw decode_error("invalid option '" + assignment + "'");
    options[assignment.substr(0, equals)] = assignment.substr(equals + 1);
}

std::optional<std::int64_t> unitMs(std::string_view unit)
{
    if (unit.empty() || unit == "ms")
        return 1;
    if (unit == "s")
        return 1000;
    if (unit == "min")
        return 60 * 1000;
    if (unit == "h")
        return 3600 * 1000;
    return std::nullopt;
}

} // namespace

std::map<std::string, std::string> parseSessionOptions(std::string_view text)
{
    std::map<std::string, std::string> options;
    const auto words = splitWords(text);
    for (auto word = words.begin(); word != words.end(); ++word) {
        if (*word == "-c") {
            if (++word == words.end())
                throw decode_error("option -c without a value");
            addAssignment(options, *word);
        } else if (word->starts_with("--") || word->starts_with("-c")) {
            addAssignment(options, word->substr(2));
        } else {
            throw decode_error("invalid option '" + *word + "'");
        }
    }
    return options;
}

std::optional<duration> parseInterval(std::string_view text)
{
    std::int64_t number = 0;
    const auto *const last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, number);
    if (code != std::errc() || number < 0 || number > maximumIntervalMs)
        return std::nullopt;
    auto unit = std::string_view(end, static_cast<std::size_t>(last - end));
    while (unit.starts_with(' '))
        unit.remove_prefix(1);
    const auto factor = unitMs(unit);
    if (!factor || number > maximumIntervalMs / *factor)
        return std::nullopt;
    return std::chrono::milliseconds(number * *factor);
}

} // namespace sycamorespan
