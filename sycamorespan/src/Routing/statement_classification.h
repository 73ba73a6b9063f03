#ifndef SYCAMORESPAN_ROUTING_STATEMENT_CLASSIFICATION_H
#define SYCAMORESPAN_ROUTING_STATEMENT_CLASSIFICATION_H

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespan {

/** \brief What one SQL statement needs from the server that runs it. */
enum class statement_kind {
    read, ///< proven to change nothing; may run on a replica
    write, ///< anything not proven read-only; runs on the primary
    begin, ///< BEGIN or START TRANSACTION
    commit, ///< COMMIT or END
    rollback, ///< ROLLBACK or ABORT
    savepoint, ///< SAVEPOINT, RELEASE or ROLLBACK TO
    proxyParameter, ///< SET, RESET or SHOW of a sycamorespan.* parameter: the proxy answers it
    sessionParameter, ///< SET or RESET of another parameter for the whole session
    transactionParameter, ///< SET LOCAL, SET TRANSACTION, SET CONSTRAINTS: ends with the
                          ///< transaction
    show, ///< SHOW of a parameter of the server
    discard, ///< DISCARD
    sessionState, ///< leaves state behind in the server's session: unsafe in transaction pooling
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
    std::size_t offset = 0; ///< bytes from the start of the text
    std::size_t length = 0; ///< bytes
    bool readOnlyTransaction = false; ///< BEGIN ... READ ONLY
    bool chainsTransaction = false; ///< COMMIT AND CHAIN, ROLLBACK AND CHAIN
    /** Name of the SQL feature, for error messages: set for sessionState, copy and twoPhase. */
    std::string feature;
    std::optional<parameter_statement> parameter;

    auto operator<=>(const classified_statement &) const = default;
};

/** \brief The text isn't SQL that the parser knows. */
struct statement_syntax_error
{
    std::string message;
    std::size_t cursorPosition = 0; ///< characters from 1; 0 when unknown

    auto operator<=>(const statement_syntax_error &) const = default;
};

/** \brief All statements of one query text.
 *
 * With a syntax error there are no statements. The text is then treated as a write: the primary
 * gives its own error, or knows syntax that the parser doesn't.
 */
struct statement_classification
{
    std::vector<classified_statement> statements;
    std::optional<statement_syntax_error> syntaxError;

    /** \returns whether the text holds no statement, as an empty query or a comment. */
    bool isEmpty() const noexcept { return statements.empty() && !syntaxError; }

    /** \returns whether a replica may run the whole text: one or more reads and SHOWs. */
    bool isReadOnly() const noexcept;

    /** \returns whether a statement of the text has \a kind. */
    bool contains(statement_kind kind) const noexcept;

    auto operator<=>(const statement_classification &) const = default;
};

} // namespace sycamorespan

#endif
