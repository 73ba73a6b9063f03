#ifndef SYCAMORESPAN_STANDINS_PLATFORM_TABLE_STORE_H
#define SYCAMORESPAN_STANDINS_PLATFORM_TABLE_STORE_H

#include "sycamorespan/Net"

#include <map>
#include <string>

namespace sycamorespan::standin {

/** \brief Table in memory that is changed by transactions. */
class table_store
{
public:
    /** \brief Runs \a transaction atomically.
     *
     * Its success operations are run if all comparisons hold, otherwise its failure operations.
     */
    table_result run(const table_transaction &transaction);

private:
    bool holds(const table_compare &condition) const;
    table_operation_result apply(const table_put &put);
    table_operation_result apply(const table_get &get) const;
    table_operation_result apply(const table_list &list) const;
    table_operation_result apply(const table_delete &removal);

    std::map<std::string, table_row> m_rows;
    table_revision m_revision = 0;
};

/** \returns whether at least one of \a operations changes the table. */
bool changesTable(const std::vector<table_operation> &operations);

} // namespace sycamorespan::standin

#endif
