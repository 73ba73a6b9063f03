#ifndef SYCAMORESPAN_TEST_STRICT_MEMBER_H
#define SYCAMORESPAN_TEST_STRICT_MEMBER_H

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan::test {

/** \brief A statement that a member ran for a caller. */
struct member_run
{
    std::string id;
    std::string word; ///< READ, WRITE or COMMIT
    std::string arguments; ///< all that follows the word, or the name of a prepared statement
    std::optional<std::string> shape; ///< of the prepared statement that it executed
    std::map<std::string, std::string> values; ///< session values in force
    bool isInTransaction = false;
};

/** \brief One connection at a member that parses each line by the published grammar alone. It
 * shares no parser or encoder with the product.
 *
 * A line is a word followed by fields, separated by one blank each; the last field extends to the
 * end of the line.
 */
class strict_member_connection
{
public:
    /** Greatest length of a line, with its CR. */
    static constexpr std::size_t maximumLineBytes = std::size_t{1} << 20;

    explicit strict_member_connection(bool isPrimary)
        : m_isPrimary(isPrimary)
    { }

    /** \brief Handles a line, with its CR LF.
     * \param refusal  error word with which the member refuses it without running it; empty: none
     * \returns the lines of the answer
     */
    std::string handle(const std::string &line, const std::string &refusal)
    {
        if (line.size() - 1 > maximumLineBytes || !line.ends_with("\r\n"))
            violations.push_back("a line of " + std::to_string(line.size()) + " bytes");
        const std::string_view content(line.data(), line.size() - 2);
        if (content.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
            violations.push_back("a line with a control character");
        std::string result = refusal.empty() ? run(content) : "ERROR " + refusal + " refused\r\n";
        if (result.starts_with("ERROR MALFORMED"))
            malformed.emplace_back(content.substr(0, 200));
        return result + "READY " + m_state + " 1.10\r\n";
    }

    std::vector<member_run> runs;
    std::vector<std::string> malformed; ///< lines that it refused as such
    std::vector<std::string> violations;

private:
    /** \brief Fields of a line, from the front. */
    class fields
    {
    public:
        explicit fields(std::string_view text)
            : m_rest(text)
        { }

        std::string next()
        {
            if (!m_rest)
                return {};
            const auto end = m_rest->find(' ');
            std::string field(m_rest->substr(0, end));
            m_rest = end == std::string_view::npos
                             ? std::nullopt
                             : std::optional<std::string_view>(m_rest->substr(end + 1));
            return field;
        }

        bool hasRest() const { return m_rest.has_value(); }
        std::string rest() const { return std::string(m_rest.value_or(std::string_view())); }

    private:
        std::optional<std::string_view> m_rest;
    };

    struct prepared
    {
        std::string access;
        std::string shape;
    };

    std::string run(std::string_view content)
    {
        fields line(content);
        if (line.next() != "QUERY")
            return malformedError;
        const auto id = line.next();
        if (id.empty() || !line.hasRest())
            return malformedError;
        const auto text = line.rest();
        fields statement(text);
        auto word = statement.next();
        m_hasPosition = word == "AFTER";
        if (m_hasPosition) {
            statement.next();
            word = statement.next();
            if (word != "READ" && word != "BEGIN" && word != "EXECUTE")
                return malformedError;
        }
        if (m_state == 'E' && word != "ROLLBACK")
            return malformedError;
        if (word == "READ" || word == "WRITE")
            return runDirect(id, word, statement);
        if (word == "EXECUTE")
            return execute(id, statement);
        if (word == "COMMIT" && !statement.hasRest())
            return commit(id);
        return id == "-" ? runInternal(word, statement) : malformedError;
    }

    std::string runDirect(const std::string &id, const std::string &word, fields &statement)
    {
        const auto arguments = statement.rest();
        const auto item = statement.next();
        if (item.empty() || (word == "WRITE" && !statement.hasRest()))
            return malformedError;
        return record(id, word, arguments, std::nullopt);
    }

    std::string execute(const std::string &id, fields &statement)
    {
        const auto known = m_prepared.find(statement.next());
        if (known == m_prepared.end())
            return "ERROR NOSTMT no such name\r\n";
        if (!statement.hasRest() || statement.rest().empty())
            return malformedError;
        return record(id, known->second.access, statement.rest(), known->second.shape);
    }

    std::string commit(const std::string &id)
    {
        if (m_state != 'T')
            return malformedError;
        auto answer = record(id, "COMMIT", {}, std::nullopt);
        m_state = 'I';
        return answer;
    }

    std::string record(const std::string &id, const std::string &word, const std::string &arguments,
                       const std::optional<std::string> &shape)
    {
        if (word == "WRITE" && (m_hasPosition || (m_state == 'T' && m_isReadOnly)))
            return malformedError;
        if (word == "WRITE" && !m_isPrimary) {
            m_state = m_state == 'T' ? 'E' : m_state;
            return "ERROR READONLY a-member\r\n";
        }
        runs.push_back({id, word, arguments, shape, m_values, m_state == 'T'});
        return (word == "READ" ? "ROW row-" + id + "\r\n" : "") + "COMPLETE receipt-" + id + "\r\n";
    }

    std::string runInternal(const std::string &word, fields &statement)
    {
        if (word == "BEGIN") {
            const auto mode = statement.rest();
            if (m_state != 'I' || (statement.hasRest() && mode != "READ"))
                return malformedError;
            if (mode.empty() && !m_isPrimary)
                return "ERROR READONLY a-member\r\n";
            m_state = 'T';
            m_isReadOnly = mode == "READ";
        } else if (word == "ROLLBACK" && !statement.hasRest()) {
            m_state = 'I';
        } else if (word == "DISCARD" && !statement.hasRest()) {
            m_values.clear();
            m_prepared.clear();
        } else if (word == "SET") {
            const auto name = statement.next();
            if (name.empty() || !statement.hasRest())
                return malformedError;
            m_values[name] = statement.rest();
        } else if (word == "PREPARE") {
            const auto name = statement.next();
            const auto access = statement.next();
            if (name.empty() || (access != "READ" && access != "WRITE") || !statement.hasRest())
                return malformedError;
            m_prepared[name] = {access, statement.rest()};
        } else if (word == "DEALLOC") {
            if (m_prepared.erase(statement.rest()) == 0)
                return "ERROR NOSTMT no such name\r\n";
        } else {
            return malformedError;
        }
        return "COMPLETE -\r\n";
    }

    static constexpr const char *malformedError = "ERROR MALFORMED not in the grammar\r\n";

    bool m_isPrimary = false;
    bool m_isReadOnly = false; ///< the open transaction
    bool m_hasPosition = false; ///< of the statement that is handled
    char m_state = 'I';
    std::map<std::string, std::string> m_values;
    std::map<std::string, prepared> m_prepared;
};

} // namespace sycamorespan::test

#endif
