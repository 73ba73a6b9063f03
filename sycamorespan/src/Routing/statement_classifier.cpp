#include "sycamorespan/src/Routing/statement_classifier.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

bool statement_classification::isReadOnly() const noexcept
{
    return !statements.empty() && std::ranges::all_of(statements, [](const auto &statement) {
        return statement.kind == statement_kind::read || statement.kind == statement_kind::show;
    });
}

bool statement_classification::contains(statement_kind kind) const noexcept
{
    return std::ranges::find(statements, kind, &classified_statement::kind) != statements.end();
}

statement_classifier::statement_classifier(statement_cache_limits limits)
    : m_limits(limits)
{ }

std::shared_ptr<const statement_classification>
statement_classifier::classify(std::string_view text)
{
    if (const auto found = m_index.find(text); found != m_index.end()) {
        ++m_counters.hits;
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return found->second->classification;
    }
    ++m_counters.misses;
    auto result = std::make_shared<const statement_classification>(classifyStatements(text));
    if (text.size() <= m_limits.bytesPerText)
        insert(text, result);
    return result;
}

void statement_classifier::insert(std::string_view text,
                                  std::shared_ptr<const statement_classification> classification)
{
    m_entries.push_front({std::string(text), std::move(classification)});
    m_index.emplace(m_entries.front().text, m_entries.begin());
    m_bytesOfTexts += text.size();
    while (m_entries.size() > m_limits.entries || m_bytesOfTexts > m_limits.bytesOfTexts)
        evictOldest();
}

void statement_classifier::evictOldest()
{
    ++m_counters.evictions;
    m_bytesOfTexts -= m_entries.back().text.size();
    m_index.erase(m_entries.back().text);
    m_entries.pop_back();
}

} // namespace sycamorespan
