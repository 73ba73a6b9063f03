#ifndef SYCAMORESPAN_ROUTING_STATEMENT_CLASSIFICATION_H
#define SYCAMORESPAN_ROUTING_STATEMENT_CLASSIFICATION_H

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespan {

/** \brief Kind of a SQL statement, by what it requires of the server that runs it. */
enum class statement_kind {
    read, ///< proven to change nothing; may run on a replica
    write, ///< anything not proven read-only; runs on the primary
    begin, ///< BEGIN or START TRANSACTION
    commit, ///< COMMIT or END
    rollback, ///< ROLLBACK or ABORT
    savepoint, ///< SAVEPOINT, RELEASE or ROLLBACK TO
    proxyParameter, ///< SET, RESET or SHOW of a sycamorespan.* parameter, which the proxy answers
    sessionParameter, ///< SET or RESET of another parameter for the whole session
    transactionParameter, ///< SET LOCAL, SET TRANSACTION, SET CONSTRAINTS: valid until the end of
                          ///< the transaction
    show, ///< SHOW of a parameter of the server
    discard, ///< DISCARD
    sessionState, ///< leaves state in the server's session, which transaction pooling does not
                  ///< allow
    copy, ///< COPY; switches the protocol to its copy mode
    twoPhase, ///< PREPARE TRANSACTION, COMMIT PREPARED, ROLLBACK PREPARED
};

/** \brief How a parameter statement changes or reads its parameter. */
enum class parameter_action { set, reset, show };

/** \brief A parameter named by SET, RESET or SHOW. */
struct parameter_statement
{
    parameter_action action = parameter_action::set;
    std::string name; ///< lower case
    std::string value; ///< list elements joined by a comma; empty unless action is set

    auto operator<=>(const parameter_statement &) const = default;
};

/** \brief One statement of a query text. */
struct classified_statement
{
    statement_kind kind = statement_kind::write;
    std::size_t offset = 0; ///< offset from the start of the text, in bytes
    std::size_t length = 0; ///< length in bytes
    bool readOnlyTransaction = false; ///< BEGIN ... READ ONLY
    bool chainsTransaction = false; ///< COMMIT AND CHAIN, ROLLBACK AND CHAIN
    /** Name of the SQL feature for error messages, set for sessionState, copy and twoPhase. For
     * discard it is the command with what it discards, such as "DISCARD ALL".
     */
    std::string feature;
    std::optional<parameter_statement> parameter;

    auto operator<=>(const classified_statement &) const = default;
};

/** \brief Error for a text that the parser does not recognize as SQL. */
struct statement_syntax_error
{
    std::string message;
    std::size_t cursorPosition = 0; ///< position in characters, starting at 1; 0 if unknown

    auto operator<=>(const statement_syntax_error &) const = default;
};

/** \brief All statements of one query text.
 *
 * After a syntax error there are no statements, and the text is treated as a write. The primary
 * then returns its own error, or runs syntax that the parser does not support.
 */
struct statement_classification
{
    std::vector<classified_statement> statements;
    std::optional<statement_syntax_error> syntaxError;

    /** \returns whether the text contains no statement, such as an empty query or a comment. */
    bool isEmpty() const noexcept { return statements.empty() && !syntaxError; }

    /** \returns whether a replica may run the whole text, that is, one or more reads and SHOWs. */
    bool isReadOnly() const noexcept;

    /** \returns whether a statement of the text has \a kind. */
    bool contains(statement_kind kind) const noexcept;

    auto operator<=>(const statement_classification &) const = default;
};

} // namespace sycamorespan

#endif
