#include "log_store.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

namespace standin {
namespace {

using nlohmann::json;
using sycamorespan::decode_error;
using sycamorespan::log_position;

json encodeStatement(const logged_statement &statement)
{
    json parameters = json::array();
    for (const auto &parameter : statement.parameters)
        parameters.push_back(parameter ? json(*parameter) : json());
    return {{"text", statement.text}, {"parameters", parameters}};
}

logged_statement decodeStatement(const json &value)
{
    logged_statement statement{value.at("text").get<std::string>(), {}};
    for (const auto &parameter : value.at("parameters")) {
        statement.parameters.push_back(
                parameter.is_null() ? std::nullopt : std::optional(parameter.get<std::string>()));
    }
    return statement;
}

std::string logFilePath(const std::string &folder)
{
    return folder + "/log.jsonl";
}

std::string termFilePath(const std::string &folder)
{
    return folder + "/term.json";
}

} // namespace

std::string encodeEntry(const log_entry &entry)
{
    json statements = json::array();
    std::ranges::transform(entry.statements, std::back_inserter(statements), encodeStatement);
    return json{{"term", entry.term}, {"statements", statements}}.dump();
}

log_entry decodeEntry(const std::string &text)
{
    try {
        const auto value = json::parse(text);
        log_entry entry{value.at("term").get<sycamorespan::term_number>(), {}};
        std::ranges::transform(value.at("statements"), std::back_inserter(entry.statements),
                               decodeStatement);
        return entry;
    } catch (const json::exception &problem) {
        throw decode_error(problem.what());
    }
}

log_store::log_store(std::string folder)
    : m_folder(std::move(folder))
{
    if (!m_folder.empty())
        load();
}

log_position log_store::position() const
{
    return positionAt(m_entries.size());
}

log_position log_store::positionAt(std::uint64_t offset) const
{
    if (offset == 0)
        return {};
    return {m_entries[offset - 1].term, offset};
}

std::uint64_t log_store::commonPrefixLength(const std::vector<term_end> &other) const
{
    const auto [own, others] = std::ranges::mismatch(m_termEnds, other);
    const std::uint64_t commonLength = own == m_termEnds.begin() ? 0 : std::prev(own)->offset;
    if (own == m_termEnds.end() || others == other.end() || own->term != others->term)
        return commonLength;
    return std::min(own->offset, others->offset);
}

void log_store::append(log_entry entry)
{
    if (!m_folder.empty())
        std::ofstream(logFilePath(m_folder), std::ios::app) << encodeEntry(entry) << '\n';
    m_entries.push_back(std::move(entry));
    extendTermEnds(m_entries.back().term, m_entries.size());
}

void log_store::truncate(std::uint64_t length)
{
    m_entries.resize(std::min<std::uint64_t>(length, m_entries.size()));
    m_termEnds.clear();
    for (std::uint64_t offset = 1; offset <= m_entries.size(); ++offset)
        extendTermEnds(m_entries[offset - 1].term, offset);
    if (!m_folder.empty())
        rewriteLogFile();
}

void log_store::adoptTerm(sycamorespan::term_number term, const std::string &token)
{
    m_term = term;
    m_token = token;
    if (m_folder.empty())
        return;
    const auto temporary = termFilePath(m_folder) + ".new";
    std::ofstream(temporary) << json{{"term", term}, {"token", token}}.dump();
    std::filesystem::rename(temporary, termFilePath(m_folder));
}

void log_store::load()
{
    std::filesystem::create_directories(m_folder);
    std::ifstream terms(termFilePath(m_folder));
    if (terms) {
        const auto value = json::parse(terms);
        m_term = value.at("term").get<sycamorespan::term_number>();
        m_token = value.at("token").get<std::string>();
    }
    std::ifstream log(logFilePath(m_folder));
    for (std::string line; std::getline(log, line);) {
        if (log.eof())
            break; // The last line has no newline if the process was killed while writing it.
        m_entries.push_back(decodeEntry(line));
        extendTermEnds(m_entries.back().term, m_entries.size());
    }
    rewriteLogFile();
}

void log_store::extendTermEnds(sycamorespan::term_number term, std::uint64_t offset)
{
    if (m_termEnds.empty() || m_termEnds.back().term != term)
        m_termEnds.push_back({term, offset});
    m_termEnds.back().offset = offset;
}

void log_store::rewriteLogFile() const
{
    const auto temporary = logFilePath(m_folder) + ".new";
    {
        std::ofstream log(temporary);
        for (const auto &entry : m_entries)
            log << encodeEntry(entry) << '\n';
    }
    std::filesystem::rename(temporary, logFilePath(m_folder));
}

} // namespace standin
