#include "sycamorespan/src/Configuration/configuration_document.h"

#include "sycamorespan/src/Configuration/internal/hexadecimal.h"
#include "sycamorespan/src/Core/error.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace sycamorespan::configuration {

namespace {

using schema::decode_errors;
using schema::itemPath;
using schema::memberPath;

void validateWorkspaces(const configuration_lists &lists, const std::string &path,
                        decode_errors &errors)
{
    for (const auto &[workspace, entry] : lists.workspaces) {
        if (!lists.plans.contains(entry.plan))
            errors.add(memberPath(memberPath(path, workspace.str()), "plan"),
                       "unknown plan: " + entry.plan);
    }
}

void validatePlans(const configuration_lists &lists, const std::string &path, decode_errors &errors)
{
    for (const auto &[plan, entry] : lists.plans) {
        const auto databasesPath = memberPath(memberPath(path, plan), "databases");
        std::set<database_id> seen;
        for (std::size_t index = 0; index < entry.databases.size(); ++index) {
            const auto &database = entry.databases[index];
            if (!lists.groups.contains(database))
                errors.add(itemPath(databasesPath, index), "unknown database: " + database.str());
            if (!seen.insert(database).second)
                errors.add(itemPath(databasesPath, index), "duplicate database: " + database.str());
        }
    }
}

class group_validator
{
public:
    explicit group_validator(decode_errors &errors)
        : m_errors(errors)
    { }

    void validate(const group_entry &group, const std::string &path)
    {
        const auto membersPath = memberPath(path, "members");
        if (group.members.empty())
            m_errors.add(membersPath, "must have at least one member");
        for (std::size_t index = 0; index < group.members.size(); ++index)
            validateMember(group.members[index], itemPath(membersPath, index));
    }

private:
    void validateMember(const member_entry &member, const std::string &path)
    {
        if (!m_servers.insert(member.server).second)
            m_errors.add(memberPath(path, "server"), "duplicate server: " + member.server.str());
        if (!m_addresses.insert(member.address).second)
            m_errors.add(memberPath(path, "address"), "duplicate address: " + member.address);
        if (member.slots > member.connections)
            m_errors.add(memberPath(path, "slots"), "must not be more than connections");
    }

    decode_errors &m_errors;
    std::set<server_id> m_servers;
    std::set<std::string> m_addresses;
};

void validateKeys(const configuration_document &document, decode_errors &errors)
{
    std::set<std::string> seen;
    for (const auto &[workspace, keys] : document.keys) {
        const auto path = memberPath("keys", workspace.str());
        if (!document.lists.workspaces.contains(workspace))
            errors.add(path, "unknown workspace");
        for (std::size_t index = 0; index < keys.size(); ++index) {
            const auto &entry = keys[index];
            const auto keyPath = itemPath(path, index);
            if (!seen.insert(entry.key).second)
                errors.add(memberPath(keyPath, "key"), "duplicate key: " + entry.key);
            if (!internal::isHexadecimal(entry.salt))
                errors.add(memberPath(keyPath, "salt"), "must be hexadecimal");
            if (!internal::isHexadecimal(entry.hash))
                errors.add(memberPath(keyPath, "hash"), "must be hexadecimal");
        }
    }
}

template<typename Object>
Object decodeText(const std::string &text, const std::string &path)
{
    const auto source = nlohmann::json::parse(text, nullptr, false);
    if (source.is_discarded())
        throw decode_error(path + ": the text is not valid JSON");
    decode_errors errors;
    Object result;
    fromJson(source, "", errors, result);
    errors.throwIfAny();
    return result;
}

} // namespace

void validateLists(const configuration_lists &lists, const std::string &path, decode_errors &errors)
{
    validateWorkspaces(lists, memberPath(path, "workspaces"), errors);
    validatePlans(lists, memberPath(path, "plans"), errors);
    group_validator groups(errors);
    for (const auto &[database, group] : lists.groups)
        groups.validate(group, memberPath(memberPath(path, "groups"), database.str()));
}

void validateDocument(const configuration_document &document, decode_errors &errors)
{
    validateLists(document.lists, "lists", errors);
    validateKeys(document, errors);
    if (!internal::isHexadecimal(document.positionSecret))
        errors.add("position_secret", "must be hexadecimal");
    const auto &edits = document.recentEdits;
    if (edits.empty() || edits.back().version != document.version)
        errors.add("recent_edits", "must end with the edit that created this version");
}

configuration_document parseDocument(const std::string &body)
{
    auto document = decodeText<configuration_document>(body, "configuration");
    decode_errors errors;
    validateDocument(document, errors);
    errors.throwIfAny();
    return document;
}

std::string serializeDocument(const configuration_document &document)
{
    return toJson(document).dump();
}

std::string objectName(configuration_version version, const std::string &request)
{
    return "configuration-" + std::to_string(version) + '-' + request;
}

std::optional<configuration_version> versionOfEdit(const configuration_document &document,
                                                   const std::string &request)
{
    const auto found = std::ranges::find(document.recentEdits, request, &accepted_edit::request);
    if (found == document.recentEdits.end())
        return std::nullopt;
    return found->version;
}

configuration_row parseRow(const std::string &value)
{
    return decodeText<configuration_row>(value, "configuration row");
}

std::string serializeRow(const configuration_row &row)
{
    return toJson(row).dump();
}

} // namespace sycamorespan::configuration
