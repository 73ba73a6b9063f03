#include "group_statement.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <regex>

#include <nlohmann/json.hpp>

namespace standin {
namespace {

using nlohmann::json;

std::string argumentValue(const std::string &text,
                          const std::vector<std::optional<std::string>> &parameters)
{
    if (text.size() >= 2 && text.front() == '\'')
        return text.substr(1, text.size() - 2);
    if (text.size() >= 2 && text.front() == '$') {
        const auto index = std::stoul(text.substr(1));
        if (index >= 1 && index <= parameters.size())
            return parameters[index - 1].value_or("");
    }
    return text;
}

std::string upperFirstWord(const std::string &text)
{
    const auto start = std::ranges::find_if(
            text, [](unsigned char character) { return std::isalpha(character) != 0; });
    const auto end = std::find_if(start, text.end(), [](unsigned char character) {
        return std::isalpha(character) == 0;
    });
    std::string word(start, end);
    std::ranges::transform(word, word.begin(), [](unsigned char character) {
        return static_cast<char>(std::toupper(character));
    });
    return word;
}

bool isRollbackToSavepoint(const std::string &text)
{
    static const std::regex pattern(R"(^\s*rollback\s+(work\s+|transaction\s+)?to\b)",
                                    std::regex::icase);
    return std::regex_search(text, pattern);
}

} // namespace

std::optional<group_call> parseGroupCall(const std::string &text,
                                         const std::vector<std::optional<std::string>> &parameters)
{
    if (text.find("group_") == std::string::npos)
        return std::nullopt;
    static const std::regex pattern(
            R"(^\s*select\s+\*\s+from\s+group_(\w+)\s*\(([^)]*)\)\s*;?\s*$)", std::regex::icase);
    std::smatch match;
    if (!std::regex_match(text, match, pattern))
        return std::nullopt;
    group_call call{match[1], {}};
    static const std::regex argument(R"('[^']*'|[$\w.-]+)");
    const std::string list = match[2];
    std::transform(std::sregex_iterator(list.begin(), list.end(), argument), std::sregex_iterator(),
                   std::back_inserter(call.arguments), [&parameters](const std::smatch &found) {
                       return argumentValue(found.str(), parameters);
                   });
    return call;
}

transaction_verb transactionVerbOf(const std::string &text)
{
    static const std::map<std::string, transaction_verb> verbs{
            {"BEGIN", transaction_verb::begin},         {"START", transaction_verb::begin},
            {"COMMIT", transaction_verb::commit},       {"END", transaction_verb::commit},
            {"ROLLBACK", transaction_verb::rollback},   {"ABORT", transaction_verb::rollback},
            {"SAVEPOINT", transaction_verb::savepoint}, {"RELEASE", transaction_verb::savepoint},
            {"SET", transaction_verb::session},         {"RESET", transaction_verb::session},
            {"DISCARD", transaction_verb::session},     {"DEALLOCATE", transaction_verb::session}};
    const auto found = verbs.find(upperFirstWord(text));
    if (found == verbs.end())
        return transaction_verb::none;
    if (found->second == transaction_verb::rollback && isRollbackToSavepoint(text))
        return transaction_verb::savepoint;
    return found->second;
}

double sleepSecondsOf(const std::string &text)
{
    if (text.find("pg_sleep") == std::string::npos)
        return 0;
    static const std::regex pattern(R"(pg_sleep\s*\(\s*([0-9.]+)\s*\))");
    std::smatch match;
    return std::regex_search(text, match, pattern) ? std::stod(match[1]) : 0;
}

std::string encodeTermEnds(const std::vector<term_end> &ends)
{
    json list = json::array();
    for (const auto &end : ends)
        list.push_back({end.term, end.offset});
    return list.dump();
}

std::vector<term_end> decodeTermEnds(const std::string &text)
{
    try {
        std::vector<term_end> ends;
        for (const auto &end : json::parse(text))
            ends.push_back({end.at(0).get<std::uint64_t>(), end.at(1).get<std::uint64_t>()});
        return ends;
    } catch (const json::exception &problem) {
        throw sycamorespan::decode_error(problem.what());
    }
}

} // namespace standin
