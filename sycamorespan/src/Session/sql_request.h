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

/** \brief One statement with its parameters, as a backend server runs it. */
struct sql_request
{
    std::string text;
    std::vector<std::uint32_t> parameterTypes{};
    std::vector<std::optional<std::string>> parameters{};
    std::vector<std::int16_t> parameterFormats{};
    /** 0 text, 1 binary, for every column. */
    std::int16_t resultFormat = 0;
    /** Only parameter types and columns are wanted; nothing runs. */
    bool describeOnly = false;

    bool operator==(const sql_request &) const = default;
};

/** \brief What came of a statement. */
struct sql_result
{
    std::vector<column_description> columns;
    std::vector<std::uint32_t> parameterTypes;
    /** DataRow messages, encoded. */
    std::string rows;
    std::string tag;
    std::optional<error_report> error;
    /** The transaction in which it ran is gone, and nothing of it is kept. */
    bool transactionLost = false;

    bool operator==(const sql_result &) const = default;
};

/** \brief How a statement relates to the session's transaction at the backend server. */
enum class transaction_step {
    none, ///< outside a transaction: it commits by itself
    start, ///< first statement of a transaction: BEGIN goes before it
    inside, ///< the transaction is open at a backend server
    commit, ///< it ends the transaction and keeps its writes
    rollback, ///< it ends the transaction and drops its writes
};

/** \brief A statement that the session wants run. */
struct statement_request
{
    sql_request sql;
    statement_kind kind = statement_kind::write;
    transaction_step step = transaction_step::none;
    /** BEGIN as the caller wrote it, where the step is start. */
    std::string beginText;
    bool readOnlyTransaction = false;
    /** Lowest position that a read may see; empty: unknown, only the primary may serve it. */
    std::optional<log_position> position;
    /** Age that the session accepts; empty: none stated. */
    std::optional<duration> maxStaleness;

    bool operator==(const statement_request &) const = default;
};

} // namespace sycamorespan

#endif
