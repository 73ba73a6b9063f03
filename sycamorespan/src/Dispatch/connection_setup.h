#ifndef SYCAMORESPAN_DISPATCH_CONNECTION_SETUP_H
#define SYCAMORESPAN_DISPATCH_CONNECTION_SETUP_H

#include "sycamorespan/src/Dispatch/statement.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Values that a session has set, by name. */
using session_values = std::map<line_field, line_text>;

/** \brief A statement that the caller prepared, by its access and shape. */
struct prepared_statement
{
    statement_access access = statement_access::read;
    line_text statementShape;

    auto operator<=>(const prepared_statement &) const = default;
};

/** \brief A statement that prepares a connection for a session. */
using setup_statement = std::variant<member_statement::discard, member_statement::set_value,
                                     member_statement::deallocate, member_statement::prepare>;

/** \brief Session values and prepared statements that a member has acknowledged for a connection.
 *
 * Prepared statements are named here, so that statements of different sessions never share a name
 * and no text of a caller becomes part of one. A name has one byte, so that a statement which is
 * renamed is not longer than the caller's own.
 */
class connection_setup
{
public:
    /** Prepared statements that a connection holds at most. */
    static constexpr std::size_t maximumPrepared = 62;
    /** Bytes of values and shapes that a connection keeps between two operations at most. */
    static constexpr std::size_t maximumKeptBytes = std::size_t{64} << 10;

    /** \returns the statements, in their order, after which the connection holds exactly the values
     * of the session and has prepared \a executed. They are fewer where the connection holds some
     * of it already.
     * \param executed  null if no prepared statement is executed
     */
    std::vector<setup_statement> statementsFor(const session_values &values,
                                               const prepared_statement *executed) const;

    /** \returns the number of statements that statementsFor() returns. */
    std::size_t costFor(const session_values &values, const prepared_statement *executed) const;

    /** \returns the name of \a statement on the connection.
     * \throws std::out_of_range if it is not prepared
     */
    std::string use(const prepared_statement &statement);

    /** \brief Records that the member acknowledged \a statement. */
    void acknowledge(const setup_statement &statement);

    /** \brief Records that it is not known what the member holds. */
    void forget();

    /** \brief Forgets what the member holds if that is more than maximumKeptBytes. */
    void limitSize();

private:
    struct prepared_entry
    {
        char name = 0;
        std::uint64_t lastUse = 0;
    };
    using prepared_entries = std::map<prepared_statement, prepared_entry>;

    bool needsDiscard(const session_values &values) const;
    std::vector<prepared_entries::const_iterator> entriesToDrop(std::size_t added) const;
    char freeName() const;
    void release(char name);

    session_values m_values;
    prepared_entries m_prepared;
    std::uint64_t m_lastUse = 0;
    bool m_isKnown = true;
};

} // namespace sycamorespan

#endif
