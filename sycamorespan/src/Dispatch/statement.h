#ifndef SYCAMORESPAN_DISPATCH_STATEMENT_H
#define SYCAMORESPAN_DISPATCH_STATEMENT_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/line_field.h"
#include "sycamorespan/src/Core/log_position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Whether a statement may change data. */
enum class statement_access { read, write };

/** \brief Decoded statements of a caller. */
namespace caller_statement {

/** \brief Begins a transaction. */
struct begin
{
    bool readOnly = false;

    auto operator<=>(const begin &) const = default;
};

struct commit
{
    auto operator<=>(const commit &) const = default;
};

struct rollback
{
    auto operator<=>(const rollback &) const = default;
};

/** \brief Sets a session value. */
struct set_value
{
    line_field name;
    line_text value;

    auto operator<=>(const set_value &) const = default;
};

struct prepare
{
    line_field name;
    statement_access access = statement_access::read;
    line_text statementShape; ///< text of the statement, without its arguments

    auto operator<=>(const prepare &) const = default;
};

struct deallocate
{
    line_text name;

    auto operator<=>(const deallocate &) const = default;
};

struct execute
{
    line_field name;
    line_text arguments;

    auto operator<=>(const execute &) const = default;
};

/** \brief A read or write that is not executed from a prepared statement. */
struct direct
{
    statement_access access = statement_access::read;

    auto operator<=>(const direct &) const = default;
};

/** \brief A statement that could not be decoded. */
struct malformed
{
    std::string reason;

    auto operator<=>(const malformed &) const = default;
};

} // namespace caller_statement

using parsed_statement =
        std::variant<caller_statement::begin, caller_statement::commit, caller_statement::rollback,
                     caller_statement::set_value, caller_statement::prepare,
                     caller_statement::deallocate, caller_statement::execute,
                     caller_statement::direct, caller_statement::malformed>;

/** \brief One statement of a caller, as received. */
struct caller_request
{
    line_field id;
    line_text text; ///< forwarded unchanged
    parsed_statement parsed;

    auto operator<=>(const caller_request &) const = default;
};

/** \brief Statements that are sent to a member. */
namespace member_statement {

/** \brief A caller's statement with its text unchanged. */
struct forward
{
    line_field id;
    line_text text;
    std::optional<log_position>
            requiredPosition; ///< the member refuses it until its log includes this position

    auto operator<=>(const forward &) const = default;
};

/** \brief Executes a caller's prepared statement by its name on the connection. */
struct execute
{
    line_field id;
    line_field name;
    line_text arguments;
    std::optional<log_position> requiredPosition;

    auto operator<=>(const execute &) const = default;
};

struct begin
{
    bool readOnly = false;
    std::optional<log_position> requiredPosition;

    auto operator<=>(const begin &) const = default;
};

struct rollback
{
    auto operator<=>(const rollback &) const = default;
};

struct set_value
{
    line_field name;
    line_text value;

    auto operator<=>(const set_value &) const = default;
};

struct prepare
{
    line_field name;
    statement_access access = statement_access::read;
    line_text statementShape;

    auto operator<=>(const prepare &) const = default;
};

/** \brief Drops a prepared statement of the connection. */
struct deallocate
{
    line_field name;

    auto operator<=>(const deallocate &) const = default;
};

/** \brief Discards the values and prepared statements of the connection. */
struct discard
{
    auto operator<=>(const discard &) const = default;
};

/** \brief Queries role, term and positions of the member. */
struct status
{
    auto operator<=>(const status &) const = default;
};

/** \brief Stops a replica's replication until resume or a change of primary. */
struct pause
{
    term_number term = 0;

    auto operator<=>(const pause &) const = default;
};

struct resume
{
    auto operator<=>(const resume &) const = default;
};

/** \brief Turns a primary of a lower term into a replica. */
struct step_down
{
    term_number term = 0;

    auto operator<=>(const step_down &) const = default;
};

} // namespace member_statement

using outgoing_statement =
        std::variant<member_statement::forward, member_statement::execute, member_statement::begin,
                     member_statement::rollback, member_statement::set_value,
                     member_statement::prepare, member_statement::deallocate,
                     member_statement::discard, member_statement::status, member_statement::pause,
                     member_statement::resume, member_statement::step_down>;

/** \brief State of a session between two statements. */
enum class session_state { idle, inTransaction, failedTransaction };

/** \brief Reason why a statement did not succeed.
 *
 * After an error listed before \c failed, no effect of the statement is kept. After the others,
 * it is unknown whether an effect is kept, or nothing ran.
 */
enum class statement_error {
    busy, ///< no capacity; not run
    aborted, ///< the transaction was rolled back
    lagging, ///< the member's log lacks the required position; not run
    readOnly, ///< sent to a replica; not run
    moved, ///< a different server answers at this address; not run
    connectionLimit, ///< the member accepts no more connections; not run
    unknownPrepared, ///< no prepared statement of that name; not run
    malformed, ///< the statement could not be decoded or is not allowed now; not run
    tooLarge, ///< the statement is too long; not run
    unknownKey, ///< the key is not granted to any workspace; not run
    unknownDatabase, ///< no database has that name; not run
    failed, ///< ran and failed
    timeout, ///< no answer before the deadline; may have run
    inDoubt, ///< the connection was lost before the answer; may have run
};

/** \returns the name of \a code in logs and metrics, such as "in_doubt". */
std::string_view nameOf(statement_error code);

/** \returns whether a statement that failed with \a code may succeed where it is repeated. */
bool isWorthRepeating(statement_error code);

/** \brief A statement that succeeded. */
struct completed
{
    std::string receipt; ///< the member's proof that the statement ran; "-" if no member ran it

    auto operator<=>(const completed &) const = default;
};

/** \brief A statement that did not succeed. */
struct rejected
{
    statement_error code = statement_error::busy;
    std::string text;

    auto operator<=>(const rejected &) const = default;
};

/** \returns the name of the error, with its text, such as "read_only: the reason". */
std::string describe(const rejected &error);

/** \brief Answer to one statement, either from a member or to a caller. */
struct statement_answer
{
    std::vector<std::string> rows;
    std::variant<completed, rejected> result;
    session_state state = session_state::idle;
    std::optional<log_position>
            position; ///< log position of the member; not set in answers to callers

    bool operator==(const statement_answer &) const = default;

    bool succeeded() const { return std::holds_alternative<completed>(result); }
};

} // namespace sycamorespan

#endif
