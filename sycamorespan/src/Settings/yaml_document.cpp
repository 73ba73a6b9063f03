#include "sycamorespan/src/Settings/yaml_document.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <yaml-cpp/yaml.h>

namespace sycamorespan::settings {

namespace {

constexpr std::size_t maximumDepth = 32;
constexpr std::size_t maximumNodes = 2'000'000; // limits the expansion of YAML aliases
constexpr const char *plainScalarTag = "?";

std::string locationPrefix(const std::string &fileName, std::size_t line)
{
    return fileName + ':' + std::to_string(line) + ": ";
}

template<typename Number>
bool parseWhole(const std::string &text, Number &target)
{
    const auto *end = text.data() + text.size();
    const auto [parsedUntil, failure] = std::from_chars(text.data(), end, target);
    return failure == std::errc() && parsedUntil == end;
}

bool isNumeric(const std::string &text)
{
    return text.find_first_not_of("0123456789+-.eE") == std::string::npos;
}

nlohmann::json convertPlainScalar(const std::string &text)
{
    constexpr std::array<std::string_view, 3> nullNames{"", "~", "null"};
    if (std::ranges::find(nullNames, text) != nullNames.end())
        return nullptr;
    if (text == "true" || text == "false")
        return text == "true";
    if (std::uint64_t number = 0; parseWhole(text, number))
        return number;
    if (std::int64_t number = 0; parseWhole(text, number))
        return number;
    if (double number = 0; isNumeric(text) && parseWhole(text, number))
        return number;
    return text;
}

/** Converts YAML nodes to JSON and records the line of each path. */
class node_converter
{
public:
    node_converter(const std::string &fileName, std::map<std::string, std::size_t> &lines)
        : m_fileName(fileName)
        , m_lines(lines)
    { }

    nlohmann::json convert(const YAML::Node &node, const std::string &path, std::size_t depth)
    {
        const auto line = static_cast<std::size_t>(std::max(node.Mark().line, 0)) + 1;
        if (depth > maximumDepth || ++m_nodeCount > maximumNodes)
            throw file_error(locationPrefix(m_fileName, line)
                             + "the file is nested too deep or too large");
        m_lines.try_emplace(path, line);
        if (node.IsMap())
            return convertMap(node, path, depth);
        if (node.IsSequence())
            return convertSequence(node, path, depth);
        if (node.IsScalar())
            return node.Tag() == plainScalarTag ? convertPlainScalar(node.Scalar())
                                                : nlohmann::json(node.Scalar());
        return nullptr;
    }

private:
    nlohmann::json convertMap(const YAML::Node &node, const std::string &path, std::size_t depth)
    {
        auto result = nlohmann::json::object();
        for (const auto &entry : node) {
            const auto line = static_cast<std::size_t>(std::max(entry.first.Mark().line, 0)) + 1;
            if (!entry.first.IsScalar())
                throw file_error(locationPrefix(m_fileName, line)
                                 + "a mapping key must be a scalar");
            const auto &key = entry.first.Scalar();
            const auto keyPath = schema::memberPath(path, key);
            if (result.contains(key))
                throw file_error(locationPrefix(m_fileName, line) + keyPath + ": duplicate key");
            m_lines.try_emplace(keyPath, line);
            result[key] = convert(entry.second, keyPath, depth + 1);
        }
        return result;
    }

    nlohmann::json convertSequence(const YAML::Node &node, const std::string &path,
                                   std::size_t depth)
    {
        auto result = nlohmann::json::array();
        for (std::size_t index = 0; index < node.size(); ++index)
            result.push_back(convert(node[index], schema::itemPath(path, index), depth + 1));
        return result;
    }

    const std::string &m_fileName;
    std::map<std::string, std::size_t> &m_lines;
    std::size_t m_nodeCount = 0;
};

} // namespace

yaml_document::yaml_document(const std::string &text, std::string fileName)
    : m_fileName(std::move(fileName))
{
    try {
        m_root = node_converter(m_fileName, m_lines).convert(YAML::Load(text), "", 0);
    } catch (const YAML::Exception &failure) {
        const auto line = static_cast<std::size_t>(std::max(failure.mark.line, 0)) + 1;
        throw file_error(locationPrefix(m_fileName, line) + failure.msg);
    }
}

std::size_t yaml_document::line(const std::string &path) const
{
    auto known = path;
    while (!known.empty() && !m_lines.contains(known)) {
        const auto end = known.find_last_of(".[");
        known.resize(end == std::string::npos ? 0 : end);
    }
    const auto found = m_lines.find(known);
    return found == m_lines.end() ? 1 : found->second;
}

void yaml_document::throwIfAny(const schema::decode_errors &errors) const
{
    if (errors.empty())
        return;
    auto entries = errors.entries();
    std::ranges::stable_sort(entries, {}, [this](const auto &entry) { return line(entry.path); });
    std::string text;
    for (const auto &[path, message] : entries) {
        if (!text.empty())
            text += '\n';
        text += locationPrefix(m_fileName, line(path));
        text += path;
        text += path.empty() ? "" : ": ";
        text += message;
    }
    throw file_error(text);
}

} // namespace sycamorespan::settings
