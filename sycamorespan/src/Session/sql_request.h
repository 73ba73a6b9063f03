#ifndef SYCAMORESPAN_SESSION_SQL_REQUEST_H
#define SYCAMORESPAN_SESSION_SQL_REQUEST_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sycamorespan/src/Core/log_position.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Protocol/backend_messages.h"
#include "sycamorespan/src/Routing/statement_classification.h"

namespace sycamorespan {

/** \brief One SQL statement with its parameters, for execution by a backend server. */
struct sql_request
{
    std::string text;
    std::vector<std::uint32_t> parameterTypes{};
    std::vector<std::optional<std::string>> parameters{};
    std::vector<std::int16_t> parameterFormats{};
    /** Format of all result columns: 0 text, 1 binary. */
    std::int16_t resultFormat = 0;
    /** Whether only parameter types and columns are requested; nothing runs. */
    bool describeOnly = false;

    bool operator==(const sql_request &) const = default;
};

/** \brief Result of a statement. */
struct sql_result
{
    std::vector<column_description> columns;
    std::vector<std::uint32_t> parameterTypes;
    /** Encoded DataRow messages. */
    std::string rows;
    std::string tag;
    std::optional<error_report> error;
    /** Whether the transaction in which it ran has ended without effect. */
    bool transactionEnded = false;

    bool operator==(const sql_result &) const = default;
};

/** \brief How a statement relates to the session's transaction at the backend server. */
enum class transaction_step {
    none, ///< outside a transaction; it commits by itself
    start, ///< first statement of a transaction; BEGIN is sent before it
    inside, ///< further statement of a transaction that is open at a backend server
    commit, ///< ends the transaction and keeps its writes
    rollback, ///< ends the transaction and discards its writes
};

/** \brief Request to run a statement of the session. */
struct statement_request
{
    sql_request sql;
    statement_kind kind = statement_kind::write;
    transaction_step step = transaction_step::none;
    /** The caller's BEGIN statement, used if the step is start. */
    std::string beginText;
    bool readOnlyTransaction = false;
    /** Floor of a read; if it is empty, it is unknown and only the primary may serve the read. */
    std::optional<log_position> position;
    /** Staleness that the session's reads allow; empty if the session stated none. */
    std::optional<duration> maxStaleness;

    bool operator==(const statement_request &) const = default;
};

} // namespace sycamorespan

#endif
