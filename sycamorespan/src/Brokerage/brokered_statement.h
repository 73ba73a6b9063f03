#ifndef SYCAMORESPAN_BROKERAGE_BROKERED_STATEMENT_H
#define SYCAMORESPAN_BROKERAGE_BROKERED_STATEMENT_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/log_position.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Dispatch/connection_setup.h"
#include "sycamorespan/src/Dispatch/statement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace sycamorespan {

/** Greatest length of a message that a link between instances accepts, in bytes. */
constexpr std::size_t maximumBrokerMessageBytes = std::size_t{4} << 20;

/** Greatest length of a message that hands a statement over, in bytes. The broker holds at least
 * four of them.
 */
constexpr std::size_t maximumHandOverBytes = std::size_t{1} << 20;

/** \brief Number of an operation that is handed over, unique among those of its instance. An
 * operation is a single statement or a transaction.
 */
using operation_number = std::uint64_t;

/** \brief Transaction of which a handed over statement is a part. */
struct brokered_transaction
{
    bool readOnly = false;
    bool isBegun = false; ///< an earlier statement of it was handed over
    duration age{}; ///< time since the caller sent BEGIN

    auto operator<=>(const brokered_transaction &) const = default;
};

/** \brief Prepared statement that a handed over statement executes. */
struct brokered_execution
{
    statement_access access = statement_access::read;
    line_text statementShape;
    line_text arguments;

    auto operator<=>(const brokered_execution &) const = default;
};

/** \brief What a broker is to run. */
using brokered_work =
        std::variant<brokered_execution, caller_statement::direct, caller_statement::commit>;

/** \brief A statement that an instance hands over to a broker, with the session state that it
 * depends on. Times are relative to its sending.
 */
struct brokered_statement
{
    operation_number operation = 0;
    std::uint64_t number = 0; ///< of the statement, unique among those of its instance
    line_field requestId;
    line_text text; ///< forwarded unchanged, unless a prepared statement is executed
    brokered_work work;
    std::string databaseName; ///< that the caller connected with
    workspace_id workspace;
    std::optional<brokered_transaction> transaction;
    session_values values;
    log_position lastCommitPosition; ///< covers every acknowledged commit of the session
    std::uint64_t configurationVersion = 0; ///< in force at the instance; not older at the broker
    duration timeLeft{}; ///< until its deadline
    duration objectiveLeft{}; ///< until the end of the route's latency objective; may be negative

    bool operator==(const brokered_statement &) const = default;
};

/** \brief A broker's answer to one statement. */
struct brokered_answer
{
    operation_number operation = 0;
    std::uint64_t number = 0; ///< of the statement
    bool isDeclined = false; ///< the broker does not serve the statement; it did not run
    bool wasSent = false; ///< the statement was sent to a member
    statement_answer answer;

    bool operator==(const brokered_answer &) const = default;
};

/** \brief Ends an operation: its caller left, or its transaction is rolled back. */
struct brokered_end
{
    operation_number operation = 0;

    auto operator<=>(const brokered_end &) const = default;
};

/** \brief First message of each side of a link. */
struct broker_hello
{
    std::uint64_t version = 0; ///< of the layout of the sender's messages
    instance_id sender;
    std::uint64_t incarnation = 0; ///< of the sender

    auto operator<=>(const broker_hello &) const = default;
};

/** \brief Asks the other side of a link for a sign of life. */
struct broker_probe
{
    auto operator<=>(const broker_probe &) const = default;
};

/** \brief Answers a probe. */
struct broker_probe_answer
{
    auto operator<=>(const broker_probe_answer &) const = default;
};

} // namespace sycamorespan

#endif
