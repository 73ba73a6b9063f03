#ifndef STANDIN_BACKEND_SERVER_LOG_STORE_H
#define STANDIN_BACKEND_SERVER_LOG_STORE_H

#include <optional>
#include <string>
#include <vector>

#include "sycamorespan/Core"

namespace standin {

/** \brief One write statement with its parameters, as text. */
struct logged_statement
{
    std::string text;
    std::vector<std::optional<std::string>> parameters;

    bool operator==(const logged_statement &) const = default;
};

/** \brief One committed transaction; an empty list marks the start of a term. */
struct log_entry
{
    sycamorespan::term_number term = 0;
    std::vector<logged_statement> statements;

    bool operator==(const log_entry &) const = default;
};

/** \brief The last offset that each term wrote, in the order of the terms. */
struct term_end
{
    sycamorespan::term_number term = 0;
    std::uint64_t offset = 0;

    bool operator==(const term_end &) const = default;
};

std::string encodeEntry(const log_entry &entry);
/** \throws sycamorespan::decode_error */
log_entry decodeEntry(const std::string &text);

/** \brief The member's log and what it promised about terms, kept in a folder. */
class log_store
{
public:
    /** \brief Loads what \a folder holds; an empty name keeps everything in memory. */
    explicit log_store(std::string folder);

    const std::vector<log_entry> &entries() const noexcept { return m_entries; }
    sycamorespan::log_position position() const;
    /** \returns the position of the entry at \a offset; zero before the first. */
    sycamorespan::log_position positionAt(std::uint64_t offset) const;
    const std::vector<term_end> &termEnds() const noexcept { return m_termEnds; }
    /** \returns how many entries a log with \a other term ends shares with this one. */
    std::uint64_t commonPrefix(const std::vector<term_end> &other) const;

    void append(log_entry entry);
    void truncate(std::uint64_t length);

    sycamorespan::term_number term() const noexcept { return m_term; }
    const std::string &token() const noexcept { return m_token; }
    void adoptTerm(sycamorespan::term_number term, const std::string &token);

private:
    void load();
    void rewrite() const;
    void extendTermEnds(sycamorespan::term_number term, std::uint64_t offset);

    std::string m_folder;
    std::vector<log_entry> m_entries;
    std::vector<term_end> m_termEnds;
    sycamorespan::term_number m_term = 0;
    std::string m_token;
};

} // namespace standin

#endif
