#ifndef SYCAMORESPAN_NET_TABLE_TRANSACTION_H
#define SYCAMORESPAN_NET_TABLE_TRANSACTION_H

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Counter of the platform's whole table that rises with each change; 0 for a row that
 * doesn't exist.
 */
using table_revision = std::int64_t;

/** \brief A row, with the revision of its last change. */
struct table_row
{
    std::string key;
    std::string value;
    table_revision revision = 0;

    auto operator<=>(const table_row &) const = default;
};

/** \brief Condition that a row's revision is as given. */
struct table_compare
{
    std::string key;
    table_revision revision = 0;

    auto operator<=>(const table_compare &) const = default;
};

/** \brief Writes a row. */
struct table_put
{
    std::string key;
    std::string value;

    auto operator<=>(const table_put &) const = default;
};

/** \brief Reads a row. */
struct table_get
{
    std::string key;

    auto operator<=>(const table_get &) const = default;
};

/** \brief Reads every row whose key begins with a prefix, by ascending key. */
struct table_list
{
    std::string prefix;

    auto operator<=>(const table_list &) const = default;
};

/** \brief Removes a row. */
struct table_delete
{
    std::string key;

    auto operator<=>(const table_delete &) const = default;
};

using table_operation = std::variant<table_put, table_get, table_list, table_delete>;

/** \brief Operations that run atomically: \a success if every compare holds, else \a failure. */
struct table_transaction
{
    std::vector<table_compare> compare;
    std::vector<table_operation> success;
    std::vector<table_operation> failure;

    bool operator==(const table_transaction &) const = default;
};

/** \brief The rows that one operation read. */
struct table_operation_result
{
    std::vector<table_row> rows;

    bool operator==(const table_operation_result &) const = default;
};

/** \brief Answer to a table_transaction that was run. */
struct table_result
{
    /** Whether every compare held. */
    bool succeeded = false;
    /** The table's revision after the transaction. */
    table_revision revision = 0;
    /** One for each operation that ran, in order. */
    std::vector<table_operation_result> results;

    bool operator==(const table_result &) const = default;
};

// JSON form of docs/design/0001-published-protocols.md; from_json throws decode_error or
// nlohmann::json::exception.
// NOLINTBEGIN(readability-identifier-naming): names that nlohmann::json looks for.
void to_json(nlohmann::json &json, const table_row &row);
void from_json(const nlohmann::json &json, table_row &row);
void to_json(nlohmann::json &json, const table_transaction &transaction);
void from_json(const nlohmann::json &json, table_transaction &transaction);
void to_json(nlohmann::json &json, const table_result &result);
void from_json(const nlohmann::json &json, table_result &result);
// NOLINTEND(readability-identifier-naming)

} // namespace sycamorespan

#endif
