#include <algorithm>
#include <cctype>
#include <optional>
#include <ranges>

#include <nlohmann/json.hpp>
#include <pg_query.h>

#include "sycamorespan/src/Routing/internal/statement_lists.h"
#include "sycamorespan/src/Routing/statement_classifier.h"

namespace sycamorespan {
namespace {

using json = nlohmann::json;

constexpr std::string_view proxyParameterPrefix = "sycamorespan.";
constexpr std::string_view builtInSchema = "pg_catalog";
constexpr std::string_view temporarySchema = "pg_temp";
constexpr int maximumTreeDepth = 256;
constexpr std::int64_t cursorOptionHold = 0x20; // CURSOR_OPT_HOLD of PostgreSQL 15

/** Owns the parser's result. */
class parse_result
{
public:
    explicit parse_result(const std::string &text)
        : m_result(pg_query_parse(text.c_str()))
    { }
    parse_result(const parse_result &) = delete;
    parse_result &operator=(const parse_result &) = delete;
    ~parse_result() { pg_query_free_parse_result(m_result); }

    const PgQueryError *error() const { return m_result.error; }
    const char *tree() const { return m_result.parse_tree; }

private:
    PgQueryParseResult m_result;
};

bool isListed(const auto &sortedList, std::string_view name)
{
    return std::ranges::binary_search(sortedList, name);
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

std::string stringField(const json &node, const char *field)
{
    const auto found = node.find(field);
    return found != node.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool booleanField(const json &node, const char *field)
{
    const auto found = node.find(field);
    return found != node.end() && found->is_boolean() && found->get<bool>();
}

std::size_t sizeField(const json &node, const char *field)
{
    const auto found = node.find(field);
    return found != node.end() && found->is_number_unsigned() ? found->get<std::size_t>() : 0;
}

/** \returns the name if it is unqualified or in the schema of built-in objects. */
std::optional<std::string> builtInName(const json &nameList)
{
    std::vector<std::string> parts;
    for (const json &part : nameList)
        parts.push_back(stringField(part.value("String", json::object()), "sval"));
    const bool qualified = parts.size() == 2 && parts.front() == builtInSchema;
    if (parts.size() == 1 || qualified)
        return parts.back();
    return std::nullopt;
}

bool isPureFunction(const json &nameList)
{
    const auto name = builtInName(nameList);
    return name && isListed(internal::pureFunctions, *name);
}

/** \returns whether the rows of the relation are the same on every member, apart from lag. */
bool isReplicatedRelation(std::string_view name)
{
    return std::ranges::none_of(internal::serverViewPrefixes,
                                [name](auto prefix) { return name.starts_with(prefix); });
}

bool isReadOnlyField(const std::string &key, const json &value)
{
    if (key == "intoClause" || key == "lockingClause")
        return false;
    if (key == "funcname")
        return isPureFunction(value);
    if (key == "relname" || key == "schemaname")
        return isReplicatedRelation(value.get<std::string>());
    if (key == "A_Expr")
        return !value.contains("name") || builtInName(value["name"]).has_value();
    return true;
}

bool isNodeName(const std::string &key)
{
    return std::isupper(static_cast<unsigned char>(key.front())) != 0;
}

bool isReadOnlyTree(const json &node, int depth = 0)
{
    if (depth > maximumTreeDepth)
        return false;
    if (node.is_array())
        return std::ranges::all_of(
                node, [depth](const json &child) { return isReadOnlyTree(child, depth + 1); });
    if (!node.is_object())
        return true;
    return std::ranges::all_of(node.items(), [depth](const auto &item) {
        const bool known = !isNodeName(item.key()) || isListed(internal::readOnlyNodes, item.key());
        return known && isReadOnlyField(item.key(), item.value())
               && isReadOnlyTree(item.value(), depth + 1);
    });
}

bool isTransactionLocal(const json &setConfigCall)
{
    static const json::json_pointer isLocal("/args/2/A_Const/boolval/boolval");
    return setConfigCall.contains(isLocal) && setConfigCall.at(isLocal) == true;
}

/** \returns the feature by which a node leaves state in the server's session; empty if none. */
std::string sessionFeatureOfNode(const json &node)
{
    if (node.contains("funcname")) {
        auto name = builtInName(node["funcname"]).value_or("");
        if (isListed(internal::sessionStateFunctions, name))
            return name;
        if (name == "set_config" && !isTransactionLocal(node))
            return "set_config for the session";
    }
    const bool temporary = stringField(node, "relpersistence") == "t"
                           || stringField(node, "schemaname") == temporarySchema;
    return temporary ? "temporary objects" : "";
}

std::string sessionFeatureOfTree(const json &node, int depth = 0)
{
    if (depth > maximumTreeDepth || !node.is_structured())
        return "";
    std::string feature = node.is_object() ? sessionFeatureOfNode(node) : "";
    for (auto child = node.begin(); feature.empty() && child != node.end(); ++child)
        feature = sessionFeatureOfTree(*child, depth + 1);
    return feature;
}

classified_statement ofKind(statement_kind kind)
{
    return {.kind = kind, .feature = {}, .parameter = {}};
}

classified_statement withFeature(statement_kind kind, std::string feature)
{
    return {.kind = kind, .feature = std::move(feature), .parameter = {}};
}

classified_statement sessionStateStatement(std::string feature)
{
    return withFeature(statement_kind::sessionState, std::move(feature));
}

bool isReadOnlyOption(const json &option)
{
    static const json::json_pointer value("/DefElem/arg/A_Const/ival/ival");
    static const json::json_pointer name("/DefElem/defname");
    return option.value(name, "") == "transaction_read_only" && option.value(value, 0) == 1;
}

classified_statement classifyTransaction(const json &node)
{
    const std::string kind = stringField(node, "kind");
    classified_statement result = ofKind(statement_kind::savepoint);
    result.chainsTransaction = booleanField(node, "chain");
    if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
        result.kind = statement_kind::begin;
        result.readOnlyTransaction =
                std::ranges::any_of(node.value("options", json::array()), isReadOnlyOption);
    } else if (kind == "TRANS_STMT_COMMIT") {
        result.kind = statement_kind::commit;
    } else if (kind == "TRANS_STMT_ROLLBACK") {
        result.kind = statement_kind::rollback;
    } else if (kind.ends_with("PREPARE") || kind.ends_with("PREPARED")) {
        return withFeature(statement_kind::twoPhase, "two-phase commit");
    }
    return result;
}

/** \returns the text of a constant; nothing for an expression. */
std::optional<std::string> constantText(const json &argument)
{
    if (!argument.contains("A_Const"))
        return std::nullopt;
    const json &constant = argument["A_Const"];
    if (constant.contains("sval"))
        return stringField(constant["sval"], "sval");
    if (constant.contains("fval"))
        return stringField(constant["fval"], "fval");
    if (constant.contains("ival"))
        return std::to_string(constant["ival"].value("ival", 0));
    if (constant.contains("boolval"))
        return booleanField(constant["boolval"], "boolval") ? "true" : "false";
    return std::nullopt;
}

std::optional<std::string> joinedConstants(const json &arguments)
{
    std::string joined;
    for (const json &argument : arguments) {
        const auto text = constantText(argument);
        if (!text)
            return std::nullopt;
        joined += (joined.empty() ? "" : ",") + *text;
    }
    return joined;
}

classified_statement parameterStatement(parameter_statement parameter, bool local)
{
    const bool isProxyParameter = parameter.name.starts_with(proxyParameterPrefix);
    auto kind = local ? statement_kind::transactionParameter : statement_kind::sessionParameter;
    if (isProxyParameter)
        kind = statement_kind::proxyParameter;
    else if (parameter.action == parameter_action::show)
        kind = statement_kind::show;
    return {.kind = kind, .feature = {}, .parameter = std::move(parameter)};
}

classified_statement classifyMultipleSettings(const std::string &name)
{
    return name == "SESSION CHARACTERISTICS" ? sessionStateStatement("SET SESSION CHARACTERISTICS")
                                             : ofKind(statement_kind::transactionParameter);
}

classified_statement classifySet(const json &node)
{
    const std::string kind = stringField(node, "kind");
    const std::string name = lowerCase(stringField(node, "name"));
    const bool local = booleanField(node, "is_local");
    if (kind == "VAR_SET_MULTI")
        return classifyMultipleSettings(stringField(node, "name"));
    if (name == "role" || name == "session_authorization")
        return sessionStateStatement("SET ROLE");
    if (kind == "VAR_RESET_ALL")
        return parameterStatement({parameter_action::reset, "all", ""}, local);
    if (kind != "VAR_SET_VALUE")
        return parameterStatement({parameter_action::reset, name, ""}, local);
    auto value = joinedConstants(node.value("args", json::array()));
    if (!value)
        return sessionStateStatement("SET of an expression");
    return parameterStatement({parameter_action::set, name, std::move(*value)}, local);
}

classified_statement classifyShow(const json &node)
{
    return parameterStatement({parameter_action::show, lowerCase(stringField(node, "name")), ""},
                              false);
}

classified_statement classifyTree(const json &node, bool mayBeRead)
{
    if (mayBeRead && isReadOnlyTree(node))
        return ofKind(statement_kind::read);
    std::string feature = sessionFeatureOfTree(node);
    return feature.empty() ? ofKind(statement_kind::write)
                           : sessionStateStatement(std::move(feature));
}

classified_statement classifyDiscard(const json &node)
{
    constexpr std::string_view prefix = "DISCARD_"; // of DISCARD_ALL, DISCARD_PLANS and so on
    const auto target = stringField(node, "target");
    const auto start = std::min(prefix.size(), target.size());
    return withFeature(statement_kind::discard, "DISCARD " + target.substr(start));
}

classified_statement classifyCreateTable(const json &node)
{
    // The table is dropped at the end of the transaction and leaves no state in the session.
    if (stringField(node, "oncommit") == "ONCOMMIT_DROP")
        return ofKind(statement_kind::write);
    return classifyTree(node, false);
}

classified_statement classifyCursor(const json &node)
{
    const bool hold = (node.value("options", std::int64_t{0}) & cursorOptionHold) != 0;
    return hold ? sessionStateStatement("cursors WITH HOLD") : classifyTree(node, false);
}

classified_statement classifyNode(const std::string &name, const json &node)
{
    if (name == "SelectStmt")
        return classifyTree(node, true);
    if (name == "ExplainStmt")
        return classifyTree(node.value("query", json{{"unknown", nullptr}}), true);
    if (name == "TransactionStmt")
        return classifyTransaction(node);
    if (name == "VariableSetStmt")
        return classifySet(node);
    if (name == "VariableShowStmt")
        return classifyShow(node);
    if (name == "DiscardStmt")
        return classifyDiscard(node);
    if (name == "ConstraintsSetStmt")
        return ofKind(statement_kind::transactionParameter);
    if (name == "DeclareCursorStmt")
        return classifyCursor(node);
    if (name == "CreateStmt")
        return classifyCreateTable(node);
    if (name == "CopyStmt")
        return withFeature(statement_kind::copy, "COPY");
    if (name == "ListenStmt" || name == "UnlistenStmt")
        return sessionStateStatement("LISTEN");
    if (name == "PrepareStmt" || name == "ExecuteStmt" || name == "DeallocateStmt")
        return sessionStateStatement("PREPARE");
    if (name == "LoadStmt")
        return sessionStateStatement("LOAD");
    return classifyTree(node, false);
}

classified_statement classifyStatement(const json &rawStatement, std::size_t textLength)
{
    const auto node = rawStatement.at("stmt").items().begin();
    classified_statement result = classifyNode(node.key(), node.value());
    result.offset = sizeField(rawStatement, "stmt_location");
    const std::size_t length = sizeField(rawStatement, "stmt_len");
    result.length = length != 0 ? length : textLength - result.offset;
    return result;
}

statement_classification unknownSyntax(std::string message, int cursorPosition = 0)
{
    const auto cursor = static_cast<std::size_t>(std::max(cursorPosition, 0));
    return {{}, statement_syntax_error{std::move(message), cursor}};
}

} // namespace

statement_classification classifyStatements(std::string_view text)
{
    if (text.find('\0') != std::string_view::npos)
        return unknownSyntax("null byte in query text");
    const parse_result parsed{std::string(text)};
    if (parsed.error() != nullptr)
        return unknownSyntax(parsed.error()->message, parsed.error()->cursorpos);
    const json tree = json::parse(parsed.tree(), nullptr, false);
    if (tree.is_discarded() || !tree.contains("stmts"))
        return unknownSyntax("parse tree can't be decoded");

    statement_classification result;
    std::ranges::transform(tree["stmts"], std::back_inserter(result.statements),
                           [&text](const json &rawStatement) {
                               return classifyStatement(rawStatement, text.size());
                           });
    return result;
}

} // namespace sycamorespan
