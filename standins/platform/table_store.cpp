#include "standins/platform/table_store.h"

#include <algorithm>
#include <iterator>

namespace sycamorespan::standin {

table_result table_store::run(const table_transaction &transaction)
{
    table_result result;
    result.succeeded = std::ranges::all_of(
            transaction.compare, [this](const auto &condition) { return holds(condition); });
    const auto &operations = result.succeeded ? transaction.success : transaction.failure;
    if (changesTable(operations))
        ++m_revision;
    std::ranges::transform(operations, std::back_inserter(result.results),
                           [this](const table_operation &operation) {
                               return std::visit([this](const auto &kind) { return apply(kind); },
                                                 operation);
                           });
    result.revision = m_revision;
    return result;
}

bool table_store::holds(const table_compare &condition) const
{
    const auto row = m_rows.find(condition.key);
    return condition.revision == (row == m_rows.end() ? 0 : row->second.revision);
}

table_operation_result table_store::apply(const table_put &put)
{
    const table_row row{put.key, put.value, m_revision};
    m_rows.insert_or_assign(put.key, row);
    return {{row}};
}

table_operation_result table_store::apply(const table_get &get) const
{
    const auto row = m_rows.find(get.key);
    if (row == m_rows.end())
        return {};
    return {{row->second}};
}

table_operation_result table_store::apply(const table_list &list) const
{
    table_operation_result result;
    const auto first = m_rows.lower_bound(list.prefix);
    const auto last = std::find_if_not(first, m_rows.end(), [&](const auto &entry) {
        return entry.first.starts_with(list.prefix);
    });
    std::transform(first, last, std::back_inserter(result.rows),
                   [](const auto &entry) { return entry.second; });
    return result;
}

table_operation_result table_store::apply(const table_delete &removal)
{
    m_rows.erase(removal.key);
    return {};
}

bool changesTable(const std::vector<table_operation> &operations)
{
    return std::ranges::any_of(operations, [](const auto &operation) {
        return std::holds_alternative<table_put>(operation)
               || std::holds_alternative<table_delete>(operation);
    });
}

} // namespace sycamorespan::standin
