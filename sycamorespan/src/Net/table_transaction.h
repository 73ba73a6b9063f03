#ifndef SYCAMORESPAN_NET_TABLE_TRANSACTION_H
#define SYCAMORESPAN_NET_TABLE_TRANSACTION_H

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Revision of the platform's table, which increases with each change of any row. A row that
 * does not exist has revision 0.
 */
using table_revision = std::int64_t;

/** \brief Row of the table, with the revision of its last change. */
struct table_row
{
    std::string key;
    std::string value;
    table_revision revision = 0;

    auto operator<=>(const table_row &) const = default;
};

/** \brief Condition that a row has a given revision. */
struct table_compare
{
    std::string key;
    table_revision revision = 0;

    auto operator<=>(const table_compare &) const = default;
};

/** \brief Operation that writes a row. */
struct table_put
{
    std::string key;
    std::string value;

    auto operator<=>(const table_put &) const = default;
};

/** \brief Operation that reads a row. */
struct table_get
{
    std::string key;

    auto operator<=>(const table_get &) const = default;
};

/** \brief Operation that reads all rows whose key begins with a prefix, in ascending key order. */
struct table_list
{
    std::string prefix;

    auto operator<=>(const table_list &) const = default;
};

/** \brief Operation that removes a row. */
struct table_delete
{
    std::string key;

    auto operator<=>(const table_delete &) const = default;
};

using table_operation = std::variant<table_put, table_get, table_list, table_delete>;

/** \brief Operations that run atomically: \a success if all conditions hold, else \a failure. */
struct table_transaction
{
    std::vector<table_compare> compare;
    std::vector<table_operation> success;
    std::vector<table_operation> failure;

    bool operator==(const table_transaction &) const = default;
};

/** \brief Rows that one operation has read. */
struct table_operation_result
{
    std::vector<table_row> rows;

    bool operator==(const table_operation_result &) const = default;
};

/** \brief Result of a table_transaction that was run. */
struct table_result
{
    /** Whether every condition held. */
    bool succeeded = false;
    /** Revision of the table after the transaction. */
    table_revision revision = 0;
    /** Results of the operations that ran, in their order. */
    std::vector<table_operation_result> results;

    bool operator==(const table_result &) const = default;
};

// The JSON form is described in docs/design/0001-published-protocols.md. from_json throws
// decode_error or nlohmann::json::exception.
// NOLINTBEGIN(readability-identifier-naming): nlohmann::json looks up these names.
void to_json(nlohmann::json &json, const table_row &row);
void from_json(const nlohmann::json &json, table_row &row);
void to_json(nlohmann::json &json, const table_transaction &transaction);
void from_json(const nlohmann::json &json, table_transaction &transaction);
void to_json(nlohmann::json &json, const table_result &result);
void from_json(const nlohmann::json &json, table_result &result);
// NOLINTEND(readability-identifier-naming)

} // namespace sycamorespan

#endif
