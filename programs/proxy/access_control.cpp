#include "programs/proxy/access_control.h"

#include <algorithm>

#include "sycamorespan/src/Core/overloaded.h"

namespace sycamorespan::proxy {
namespace {

/** Startup option of a session that moves between proxies. When it is given without a position,
 * reads start at the primary.
 */
constexpr const char *sessionOption = "sycamorespan.session";

error_report fatalError(std::string_view code, const std::string &message)
{
    return {"FATAL", std::string(code), message, {}, {}};
}

error_report notFreshError()
{
    return {"ERROR",
            std::string(sqlstate::cannotConnectNow),
            "this instance can't tell whether keys were withdrawn: not run",
            {},
            "Retry on another instance, or later."};
}

} // namespace

bool access_control::offerConfiguration(configuration::configuration_version version,
                                        const std::string &body)
{
    if (!m_configuration.offer(version, body))
        return false;
    m_keys = configuration::key_ring(m_configuration.document());
    m_positionCodec.emplace(std::vector{m_configuration.document()->positionSecret});
    return true;
}

std::variant<caller_grant, error_report>
access_control::authenticate(const caller_identity &identity, const std::string &key,
                             time_point now) const
{
    if (!m_configuration.document())
        return fatalError(sqlstate::cannotConnectNow, "no configuration is in force here yet");
    const auto &lists = m_configuration.document()->lists;
    const auto group = lists.groups.find(database_id(identity.database));
    if (identity.user == anonymousUser) {
        if (group == lists.groups.end() || !group->second.open)
            return fatalError(sqlstate::invalidAuthorization, "this database is not open to all");
        return grantFor(identity, {}, duration::max());
    }
    const workspace_id workspace(identity.user);
    const auto keyId = m_keys.verify(workspace, key);
    if (!keyId)
        return fatalError(sqlstate::invalidPassword,
                          "key authentication failed for workspace \"" + identity.user + "\"");
    if (!isFresh(now))
        return fatalError(sqlstate::cannotConnectNow, notFreshError().message);
    const auto &plan = lists.plans.at(lists.workspaces.at(workspace).plan);
    const bool isAllowed = std::ranges::find(plan.databases, database_id(identity.database))
                           != plan.databases.end();
    if (group == lists.groups.end() || !isAllowed)
        return fatalError(sqlstate::invalidCatalogName,
                          "database \"" + identity.database
                                  + "\" does not exist for this workspace");
    auto grant = grantFor(identity, workspace, plan.maxStaleness);
    grant.guard.emplace(workspace, *keyId);
    return grant;
}

std::optional<error_report> access_control::statementRefusal(const caller_grant &grant,
                                                             bool isInTransaction,
                                                             time_point now) const
{
    if (!grant.guard)
        return std::nullopt;
    const auto verdict = grant.guard->checkStatement(m_keys, isFresh(now), isInTransaction);
    const auto *refusal = std::get_if<configuration::refuse_statement>(&verdict);
    if (refusal == nullptr)
        return std::nullopt;
    if (refusal->reason == configuration::key_refusal::notFresh)
        return notFreshError();
    return error_report{"ERROR",
                        std::string(sqlstate::invalidAuthorization),
                        "the key was withdrawn: not run",
                        {},
                        {}};
}

bool access_control::isKeyWithdrawn(const caller_grant &grant) const
{
    if (!grant.guard)
        return false;
    const auto verdict = grant.guard->checkSession(m_keys, configuration::session_activity::idle);
    return std::holds_alternative<configuration::end_session>(verdict);
}

std::string access_control::positionToken(const database_id &database,
                                          const log_position &position) const
{
    return m_positionCodec ? m_positionCodec->encode({database, position}) : std::string();
}

caller_grant access_control::grantFor(const caller_identity &identity,
                                      const workspace_id &workspace, duration planStaleness) const
{
    caller_grant grant;
    grant.workspace = workspace;
    grant.database = database_id(identity.database);
    grant.planStaleness = planStaleness;
    const auto optionOf = [&identity](const std::string &name) -> const std::string * {
        const auto found = identity.options.find(name);
        return found == identity.options.end() ? nullptr : &found->second;
    };
    if (const auto *token = optionOf(std::string(positionParameter))) {
        const auto decoded = m_positionCodec->decode(*token, grant.database);
        if (const auto *known = std::get_if<session_position>(&decoded))
            grant.position = known->position;
    } else if (optionOf(sessionOption) == nullptr) {
        grant.position = log_position{};
    }
    if (const auto *staleness = optionOf(std::string(maxStalenessParameter)))
        grant.maxStaleness = parseInterval(*staleness);
    return grant;
}

} // namespace sycamorespan::proxy
