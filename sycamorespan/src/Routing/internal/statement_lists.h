#ifndef SYCAMORESPAN_ROUTING_INTERNAL_STATEMENT_LISTS_H
#define SYCAMORESPAN_ROUTING_INTERNAL_STATEMENT_LISTS_H

#include <algorithm>
#include <array>
#include <string_view>

/** \file
 * Names used to classify statements. Lists that are searched by binary search are sorted.
 */
namespace sycamorespan::internal {

/** \brief Parse tree nodes that do not change data by themselves. */
// clang-format off
inline constexpr auto readOnlyNodes = std::to_array<std::string_view>({
        "A_ArrayExpr", "A_Const", "A_Expr", "A_Indices", "A_Indirection", "A_Star", "Alias",
        "BitString", "BoolExpr", "Boolean", "BooleanTest", "CTECycleClause", "CTESearchClause",
        "CaseExpr", "CaseWhen", "CoalesceExpr", "CollateClause", "ColumnDef", "ColumnRef",
        "CommonTableExpr", "DefElem", "Float", "FuncCall", "GroupingFunc", "GroupingSet",
        "Integer", "JoinExpr", "List", "MinMaxExpr", "MultiAssignRef", "NamedArgExpr",
        "NullTest", "ParamRef", "RangeFunction", "RangeSubselect", "RangeTableSample",
        "RangeVar", "ResTarget", "RowExpr", "SQLValueFunction", "SelectStmt", "SetToDefault",
        "SortBy", "String", "SubLink", "TypeCast", "TypeName", "WindowDef"});
// clang-format on

/** \brief Built-in functions without side effects, with a result that does not depend on the server
 * or the session.
 */
// clang-format off
inline constexpr auto pureFunctions = std::to_array<std::string_view>({
        "abbrev", "abs", "acos", "acosd", "acosh", "age", "array_agg", "array_append",
        "array_cat", "array_length", "array_lower", "array_ndims", "array_position",
        "array_positions", "array_prepend", "array_remove", "array_replace", "array_to_json",
        "array_to_string", "array_upper", "ascii", "asin", "asind", "asinh", "atan", "atan2",
        "atand", "atanh", "avg", "bit_and", "bit_length", "bit_or", "bit_xor", "bool_and",
        "bool_or", "broadcast", "btrim", "cardinality", "cbrt", "ceil", "ceiling",
        "char_length", "character_length", "chr", "clock_timestamp", "col_description",
        "concat", "concat_ws", "convert", "convert_from", "convert_to", "corr", "cos", "cosd",
        "cosh", "cot", "count", "covar_pop", "covar_samp", "cume_dist", "date", "date_add",
        "date_bin", "date_part", "date_subtract", "date_trunc", "decode", "degrees",
        "dense_rank", "div", "encode", "every", "exp", "extract", "factorial", "family",
        "first_value", "floor", "format", "format_type", "gcd", "gen_random_uuid",
        "generate_series", "generate_subscripts", "get_bit", "get_byte", "host", "inet_merge",
        "initcap", "is_normalized", "isempty", "isfinite", "json_agg", "json_array_elements",
        "json_array_elements_text", "json_array_length", "json_build_array",
        "json_build_object", "json_each", "json_each_text", "json_extract_path",
        "json_extract_path_text", "json_object", "json_object_agg", "json_object_keys",
        "json_populate_record", "json_strip_nulls", "json_to_record", "json_to_recordset",
        "json_typeof", "jsonb_agg", "jsonb_array_elements", "jsonb_array_elements_text",
        "jsonb_array_length", "jsonb_build_array", "jsonb_build_object", "jsonb_each",
        "jsonb_each_text", "jsonb_extract_path", "jsonb_extract_path_text", "jsonb_insert",
        "jsonb_object", "jsonb_object_agg", "jsonb_object_keys", "jsonb_path_exists",
        "jsonb_path_query", "jsonb_path_query_array", "jsonb_path_query_first",
        "jsonb_populate_record", "jsonb_pretty", "jsonb_set", "jsonb_strip_nulls",
        "jsonb_to_record", "jsonb_to_recordset", "jsonb_typeof", "justify_days",
        "justify_hours", "justify_interval", "lag", "last_value", "lcm", "lead", "left",
        "length", "like_escape", "ln", "log", "log10", "lower", "lower_inc", "lower_inf",
        "lpad", "ltrim", "make_date", "make_interval", "make_time", "make_timestamp",
        "make_timestamptz", "masklen", "max", "md5", "min", "min_scale", "mod", "mode",
        "netmask", "network", "normalize", "now", "nth_value", "ntile", "num_nonnulls",
        "num_nulls", "obj_description", "octet_length", "overlaps", "overlay", "parse_ident",
        "percent_rank", "percentile_cont", "percentile_disc", "pg_column_size",
        "pg_encoding_to_char", "pg_function_is_visible", "pg_get_constraintdef", "pg_get_expr",
        "pg_get_function_arguments", "pg_get_function_result", "pg_get_functiondef",
        "pg_get_indexdef", "pg_get_serial_sequence", "pg_get_triggerdef", "pg_get_userbyid",
        "pg_get_viewdef", "pg_table_is_visible", "pg_type_is_visible", "pg_typeof",
        "phraseto_tsquery", "pi", "plainto_tsquery", "position", "power", "quote_ident",
        "quote_literal", "quote_nullable", "radians", "random", "range_agg", "range_merge",
        "rank", "regexp_count", "regexp_instr", "regexp_like", "regexp_match", "regexp_matches",
        "regexp_replace", "regexp_split_to_array", "regexp_split_to_table", "regexp_substr",
        "regr_count", "regr_intercept", "regr_slope", "repeat", "replace", "reverse", "right",
        "round", "row_number", "row_to_json", "rpad", "rtrim", "scale", "set_bit", "set_byte",
        "setweight", "sha224", "sha256", "sha384", "sha512", "shobj_description", "sign",
        "similar_to_escape", "sin", "sind", "sinh", "split_part", "sqrt", "starts_with",
        "statement_timestamp", "stddev", "stddev_pop", "stddev_samp", "string_agg",
        "string_to_array", "string_to_table", "strpos", "substr", "substring", "sum", "tan",
        "tand", "tanh", "timezone", "to_char", "to_date", "to_hex", "to_json", "to_jsonb",
        "to_number", "to_regclass", "to_regtype", "to_timestamp", "to_tsquery", "to_tsvector",
        "transaction_timestamp", "translate", "trim", "trim_array", "trim_scale", "trunc",
        "ts_headline", "ts_rank", "unistr", "unnest", "upper", "upper_inc", "upper_inf",
        "var_pop", "var_samp", "variance", "websearch_to_tsquery", "width_bucket"});
// clang-format on

/** \brief Functions that leave state in the server's session. */
// clang-format off
inline constexpr auto sessionStateFunctions = std::to_array<std::string_view>({
        "dblink_connect", "dblink_connect_u", "dblink_open", "pg_advisory_lock",
        "pg_advisory_lock_shared", "pg_advisory_unlock", "pg_advisory_unlock_all",
        "pg_advisory_unlock_shared", "pg_try_advisory_lock", "pg_try_advisory_lock_shared",
        "setseed"});
// clang-format on

/** \brief Prefixes of catalog views that show the state of the server, not of the database. */
// clang-format off
inline constexpr auto serverViewPrefixes = std::to_array<std::string_view>({
        "pg_backend", "pg_cursors", "pg_file_settings", "pg_hba", "pg_ident", "pg_listening",
        "pg_locks", "pg_prepared", "pg_replication", "pg_settings", "pg_shmem", "pg_stat",
        "pg_subscription_rel", "pg_temp", "pg_toast_temp"});
// clang-format on

static_assert(std::ranges::is_sorted(readOnlyNodes));
static_assert(std::ranges::is_sorted(pureFunctions));
static_assert(std::ranges::is_sorted(sessionStateFunctions));

} // namespace sycamorespan::internal

#endif
