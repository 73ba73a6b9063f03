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

/** \brief One committed transaction; an entry without statements marks the start of a term. */
struct log_entry
{
    sycamorespan::term_number term = 0;
    std::vector<logged_statement> statements;

    bool operator==(const log_entry &) const = default;
};

/** \brief Offset of the last entry of one term. */
struct term_end
{
    sycamorespan::term_number term = 0;
    std::uint64_t offset = 0;

    bool operator==(const term_end &) const = default;
};

/** \returns \a entry as a JSON object on one line. */
std::string encodeEntry(const log_entry &entry);
/** \brief Reads the output of encodeEntry().
 * \throws sycamorespan::decode_error when \a text has another form
 */
log_entry decodeEntry(const std::string &text);

/** \brief The member's log, and the term and token that it has adopted, kept in a folder. */
class log_store
{
public:
    /** \brief Loads the files in \a folder; with an empty name everything is kept in memory. */
    explicit log_store(std::string folder);

    const std::vector<log_entry> &entries() const noexcept { return m_entries; }
    sycamorespan::log_position position() const;
    /** \returns the position of the entry at \a offset; the zero position for offset zero. */
    sycamorespan::log_position positionAt(std::uint64_t offset) const;
    /** \returns the end of each term in the log, in the order of the terms. */
    const std::vector<term_end> &termEnds() const noexcept { return m_termEnds; }
    /** \returns the number of leading entries that this log shares with one of \a other term ends.
     */
    std::uint64_t commonPrefixLength(const std::vector<term_end> &other) const;

    void append(log_entry entry);
    /** \brief Removes the entries after the first \a length ones. */
    void truncate(std::uint64_t length);

    sycamorespan::term_number term() const noexcept { return m_term; }
    const std::string &token() const noexcept { return m_token; }
    /** \brief Stores \a term and the \a token of the change that set it. */
    void adoptTerm(sycamorespan::term_number term, const std::string &token);

private:
    void load();
    void rewriteLogFile() const;
    void extendTermEnds(sycamorespan::term_number term, std::uint64_t offset);

    std::string m_folder;
    std::vector<log_entry> m_entries;
    std::vector<term_end> m_termEnds;
    sycamorespan::term_number m_term = 0;
    std::string m_token;
};

} // namespace standin

#endif
