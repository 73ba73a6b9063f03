#include "sql_engine.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <sqlite3.h>

namespace standin {
namespace {

using sycamorespan::column_description;
namespace sqlstate = sycamorespan::sqlstate;

constexpr std::uint32_t int8Oid = 20;
constexpr std::uint32_t textOid = 25;
constexpr std::uint32_t float8Oid = 701;
constexpr std::string_view uniqueViolation = "23505";
constexpr std::string_view constraintViolation = "23000";
constexpr std::string_view undefinedTable = "42P01";

struct statement_finalizer
{
    void operator()(sqlite3_stmt *statement) const { sqlite3_finalize(statement); }
};
using statement_handle = std::unique_ptr<sqlite3_stmt, statement_finalizer>;

std::string_view sqlstateOf(sqlite3 *handle, int code)
{
    const std::string_view message = sqlite3_errmsg(handle);
    if (code == SQLITE_CONSTRAINT_UNIQUE || code == SQLITE_CONSTRAINT_PRIMARYKEY)
        return uniqueViolation;
    if ((code & 0xff) == SQLITE_CONSTRAINT)
        return constraintViolation;
    return message.starts_with("no such table") ? undefinedTable : sqlstate::syntaxError;
}

[[noreturn]] void throwError(sqlite3 *handle)
{
    const int code = sqlite3_extended_errcode(handle);
    if ((code & 0xff) == SQLITE_BUSY || (code & 0xff) == SQLITE_LOCKED)
        throw lock_busy();
    throw sql_error(sqlstateOf(handle, code), sqlite3_errmsg(handle));
}

statement_handle prepare(sqlite3 *handle, const std::string &text)
{
    sqlite3_stmt *statement = nullptr;
    const char *rest = nullptr;
    if (sqlite3_prepare_v2(handle, text.c_str(), -1, &statement, &rest) != SQLITE_OK)
        throwError(handle);
    statement_handle result(statement);
    const std::string_view remainder(rest);
    const bool more = std::ranges::any_of(remainder, [](char character) {
        return character != ';' && std::isspace(static_cast<unsigned char>(character)) == 0;
    });
    if (more)
        throw sql_error(sqlstate::syntaxError, "cannot run several statements at once");
    return result;
}

void bindParameters(sqlite3_stmt *statement,
                    const std::vector<std::optional<std::string>> &parameters)
{
    for (std::size_t number = 0; number < parameters.size(); ++number) {
        const auto name = '$' + std::to_string(number + 1);
        const int index = sqlite3_bind_parameter_index(statement, name.c_str());
        if (index == 0 || !parameters[number])
            continue;
        const auto &value = *parameters[number];
        std::int64_t integer = 0;
        const auto *const last = value.data() + value.size();
        const auto [end, code] = std::from_chars(value.data(), last, integer);
        if (code == std::errc() && end == last && std::to_string(integer) == value)
            sqlite3_bind_int64(statement, index, integer);
        else
            sqlite3_bind_text(statement, index, value.data(), static_cast<int>(value.size()),
                              SQLITE_TRANSIENT);
    }
}

std::uint32_t typeIdOf(sqlite3_stmt *statement, int column, bool hasRow)
{
    if (hasRow) {
        switch (sqlite3_column_type(statement, column)) {
        case SQLITE_INTEGER:
            return int8Oid;
        case SQLITE_FLOAT:
            return float8Oid;
        default:
            break;
        }
    }
    const char *declared = sqlite3_column_decltype(statement, column);
    const std::string_view type = declared == nullptr ? "" : declared;
    return type == "INTEGER" || type == "BIGINT" || type == "INT" ? int8Oid : textOid;
}

std::vector<column_description> columnsOf(sqlite3_stmt *statement, bool hasRow)
{
    std::vector<column_description> columns;
    for (int column = 0; column < sqlite3_column_count(statement); ++column) {
        column_description description;
        description.name = sqlite3_column_name(statement, column);
        description.typeId = typeIdOf(statement, column, hasRow);
        columns.push_back(std::move(description));
    }
    return columns;
}

std::vector<std::optional<std::string>> rowOf(sqlite3_stmt *statement)
{
    std::vector<std::optional<std::string>> row;
    for (int column = 0; column < sqlite3_column_count(statement); ++column) {
        const auto *text = reinterpret_cast<const char *>(sqlite3_column_text(statement, column));
        row.push_back(text == nullptr ? std::nullopt : std::optional<std::string>(text));
    }
    return row;
}

std::string firstWord(const std::string &text)
{
    const auto isLetter = [](unsigned char character) { return std::isalpha(character) != 0; };
    const auto first = std::ranges::find_if(text, isLetter);
    const auto last = std::find_if_not(first, text.end(), isLetter);
    std::string word(first, last);
    std::ranges::transform(word, word.begin(), [](unsigned char character) {
        return static_cast<char>(std::toupper(character));
    });
    return word;
}

std::string commandTagOf(sqlite3 *handle, const std::string &text, std::size_t rowCount)
{
    auto word = firstWord(text);
    if (word == "INSERT")
        return "INSERT 0 " + std::to_string(sqlite3_changes(handle));
    if (word == "UPDATE" || word == "DELETE")
        return word + ' ' + std::to_string(sqlite3_changes(handle));
    if (word == "SELECT" || word == "VALUES" || word == "WITH")
        return "SELECT " + std::to_string(rowCount);
    if (word == "CREATE" || word == "DROP" || word == "ALTER")
        return word + " TABLE";
    return word;
}

void registerNoResultFunction(sqlite3 *handle, const char *name)
{
    sqlite3_create_function(
            handle, name, 1, SQLITE_UTF8, nullptr,
            [](sqlite3_context *context, int, sqlite3_value **) {
                sqlite3_result_text(context, "", 0, SQLITE_STATIC);
            },
            nullptr, nullptr);
}

} // namespace

void sql_engine::handle_closer::operator()(sqlite3 *handle) const
{
    sqlite3_close_v2(handle);
}

sql_engine::sql_engine(const std::string &databaseFile)
{
    sqlite3 *handle = nullptr;
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
    const int code = sqlite3_open_v2(databaseFile.c_str(), &handle, flags, nullptr);
    m_handle.reset(handle);
    if (code != SQLITE_OK)
        throw sql_error(sqlstate::connectionFailure, "cannot open the database");
    sqlite3_extended_result_codes(handle, 1);
    registerNoResultFunction(handle, "pg_sleep");
    // The database file need not survive a crash, as it is rebuilt from the log at each start.
    execute({"PRAGMA journal_mode=MEMORY", {}});
    execute({"PRAGMA synchronous=OFF", {}});
}

statement_info sql_engine::describe(const std::string &text) const
{
    const auto statement = prepare(m_handle.get(), text);
    statement_info info;
    if (!statement)
        return info;
    info.columns = columnsOf(statement.get(), false);
    info.parameterTypes.assign(
            static_cast<std::size_t>(sqlite3_bind_parameter_count(statement.get())), textOid);
    info.readOnly = sqlite3_stmt_readonly(statement.get()) != 0;
    return info;
}

statement_result sql_engine::execute(const logged_statement &statement) const
{
    const auto prepared = prepare(m_handle.get(), statement.text);
    statement_result result;
    if (!prepared)
        return result;
    bindParameters(prepared.get(), statement.parameters);
    int code = sqlite3_step(prepared.get());
    result.columns = columnsOf(prepared.get(), code == SQLITE_ROW);
    for (; code == SQLITE_ROW; code = sqlite3_step(prepared.get()))
        result.rows.push_back(rowOf(prepared.get()));
    if (code != SQLITE_DONE)
        throwError(m_handle.get());
    result.tag = commandTagOf(m_handle.get(), statement.text, result.rows.size());
    return result;
}

void sql_engine::apply(const log_entry &entry) const
{
    if (entry.statements.empty())
        return;
    execute({"BEGIN IMMEDIATE", {}});
    std::ranges::for_each(entry.statements, [this](const auto &statement) { execute(statement); });
    execute({"COMMIT", {}});
}

} // namespace standin
