#ifndef SYCAMORESPAN_ROUTING_STATEMENT_CLASSIFIER_H
#define SYCAMORESPAN_ROUTING_STATEMENT_CLASSIFIER_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "sycamorespan/src/Routing/statement_classification.h"

namespace sycamorespan {

/** \brief Classifies \a text without a cache.
 * \param text  one query text with any number of statements
 * \returns the classification; for unknown syntax it has a syntaxError, and nothing is thrown
 * \sa statement_classifier
 */
statement_classification classifyStatements(std::string_view text);

/** \brief Limits of a statement_classifier's cache. */
struct statement_cache_limits
{
    std::size_t entries = 4096;
    std::size_t bytesPerText = 16UL * 1024; ///< longer texts are not cached
    std::size_t bytesOfTexts = 8UL * 1024 * 1024; ///< total size of all cached texts

    auto operator<=>(const statement_cache_limits &) const = default;
};

/** \brief Counters of a statement_classifier. */
struct statement_cache_counters
{
    std::uint64_t hits = 0;
    std::uint64_t misses = 0;
    std::uint64_t evictions = 0;

    auto operator<=>(const statement_cache_counters &) const = default;
};

/** \brief Classifies query texts, with a cache keyed by text and least-recently-used eviction.
 * \sa classifyStatements()
 */
class statement_classifier
{
public:
    explicit statement_classifier(statement_cache_limits limits = {});
    statement_classifier(const statement_classifier &) = delete;
    statement_classifier &operator=(const statement_classifier &) = delete;

    /** \returns the classification of \a text, which remains valid after eviction. */
    std::shared_ptr<const statement_classification> classify(std::string_view text);

    const statement_cache_counters &counters() const noexcept { return m_counters; }
    std::size_t size() const noexcept { return m_index.size(); }

private:
    struct cache_entry
    {
        std::string text;
        std::shared_ptr<const statement_classification> classification;
    };
    using entry_list = std::list<cache_entry>;

    void insert(std::string_view text,
                std::shared_ptr<const statement_classification> classification);
    void evictOldest();

    statement_cache_limits m_limits;
    statement_cache_counters m_counters;
    std::size_t m_bytesOfTexts = 0;
    entry_list m_entries; // the most recently used first
    std::unordered_map<std::string_view, entry_list::iterator> m_index; // keys view m_entries
};

} // namespace sycamorespan

#endif
