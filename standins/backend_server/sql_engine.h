#ifndef STANDIN_BACKEND_SERVER_SQL_ENGINE_H
#define STANDIN_BACKEND_SERVER_SQL_ENGINE_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "log_store.h"
#include "sycamorespan/Protocol"

struct sqlite3;

namespace standin {

/** \brief SQL error with the SQLSTATE and the detail that are reported to the client. */
class sql_error : public sycamorespan::error
{
public:
    sql_error(std::string_view code, const std::string &message, std::string detail = {})
        : error(message)
        , m_code(code)
        , m_detail(std::move(detail))
    { }

    const std::string &code() const noexcept { return m_code; }
    const std::string &detail() const noexcept { return m_detail; }

private:
    std::string m_code;
    std::string m_detail;
};

/** \brief Error for a write while another session holds the write lock. */
class lock_busy : public sycamorespan::error
{
public:
    lock_busy()
        : error("another transaction is writing")
    { }
};

/** \brief Columns, rows and command tag of an executed statement. */
struct statement_result
{
    std::vector<sycamorespan::column_description> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::string tag;
};

/** \brief Description of a statement, available before it is executed. */
struct statement_info
{
    std::vector<sycamorespan::column_description> columns;
    std::vector<std::uint32_t> parameterTypes;
    bool readOnly = true;
};

/** \brief SQLite handle of one session on the member's database file.
 *
 * Handles on the same file share the data; uncommitted writes are visible to their own handle only.
 */
class sql_engine
{
public:
    explicit sql_engine(const std::string &databaseFile);

    /** \throws sql_error when \a text can't be prepared */
    statement_info describe(const std::string &text) const;

    /** \throws sql_error when the statement fails
     * \throws lock_busy when another session holds the write lock
     */
    statement_result execute(const logged_statement &statement) const;

    /** \brief Executes the statements of \a entry as one transaction. */
    void apply(const log_entry &entry) const;

private:
    struct handle_closer
    {
        void operator()(sqlite3 *handle) const;
    };
    std::unique_ptr<sqlite3, handle_closer> m_handle;
};

} // namespace standin

#endif
