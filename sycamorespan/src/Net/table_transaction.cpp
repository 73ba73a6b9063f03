#include "sycamorespan/src/Net/table_transaction.h"

#include "sycamorespan/Core"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace sycamorespan {

namespace {

using nlohmann::json;

json operationToJson(const table_operation &operation)
{
    return std::visit(overloaded{
                              [](const table_put &put) {
                                  return json{{"put", {{"key", put.key}, {"value", put.value}}}};
                              },
                              [](const table_get &get) {
                                  return json{{"get", {{"key", get.key}}}};
                              },
                              [](const table_list &list) {
                                  return json{{"list", {{"prefix", list.prefix}}}};
                              },
                              [](const table_delete &removal) {
                                  return json{{"delete", {{"key", removal.key}}}};
                              },
                      },
                      operation);
}

table_operation operationFromJson(const json &value)
{
    if (value.size() != 1)
        throw decode_error("table operation must have exactly one name");
    const auto &name = value.begin().key();
    const auto &arguments = value.begin().value();
    if (name == "put")
        return table_put{arguments.at("key"), arguments.at("value")};
    if (name == "get")
        return table_get{arguments.at("key")};
    if (name == "list")
        return table_list{arguments.at("prefix")};
    if (name == "delete")
        return table_delete{arguments.at("key")};
    throw decode_error("unknown table operation " + name);
}

json operationsToJson(const std::vector<table_operation> &operations)
{
    auto result = json::array();
    std::ranges::transform(operations, std::back_inserter(result), operationToJson);
    return result;
}

std::vector<table_operation> operationsFromJson(const json &transaction, const char *name)
{
    std::vector<table_operation> result;
    if (transaction.contains(name))
        std::ranges::transform(transaction.at(name), std::back_inserter(result), operationFromJson);
    return result;
}

} // namespace

void to_json(json &value, const table_row &row)
{
    value = {{"key", row.key}, {"value", row.value}, {"revision", row.revision}};
}

void from_json(const json &value, table_row &row)
{
    row = {value.at("key"), value.at("value"), value.at("revision")};
}

void to_json(json &value, const table_transaction &transaction)
{
    auto compare = json::array();
    std::ranges::transform(
            transaction.compare, std::back_inserter(compare), [](const table_compare &condition) {
                return json{{"key", condition.key}, {"revision", condition.revision}};
            });
    value = {{"compare", compare},
             {"success", operationsToJson(transaction.success)},
             {"failure", operationsToJson(transaction.failure)}};
}

void from_json(const json &value, table_transaction &transaction)
{
    if (!value.is_object())
        throw decode_error("table transaction must be a JSON object");
    transaction = {};
    if (value.contains("compare")) {
        std::ranges::transform(
                value.at("compare"), std::back_inserter(transaction.compare),
                [](const json &condition) {
                    return table_compare{condition.at("key"), condition.at("revision")};
                });
    }
    transaction.success = operationsFromJson(value, "success");
    transaction.failure = operationsFromJson(value, "failure");
}

void to_json(json &value, const table_result &result)
{
    auto results = json::array();
    std::ranges::transform(result.results, std::back_inserter(results),
                           [](const table_operation_result &operation) {
                               return json{{"rows", operation.rows}};
                           });
    value = {{"succeeded", result.succeeded}, {"revision", result.revision}, {"results", results}};
}

void from_json(const json &value, table_result &result)
{
    result = {value.at("succeeded"), value.at("revision"), {}};
    std::ranges::transform(
            value.at("results"), std::back_inserter(result.results),
            [](const json &operation) { return table_operation_result{operation.at("rows")}; });
}

} // namespace sycamorespan
