#include "sycamorespan/src/Core/map_projections.h"
#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <algorithm>
#include <iterator>

namespace sycamorespan {

namespace {

using namespace dispatch_action;

/** Workspace of callers of open routes whose key belongs to no workspace. */
const workspace_id anonymousWorkspace("-");

} // namespace

/** \returns the workspace as which the key is served on the route; nothing if it is not. */
std::optional<workspace_id> dispatcher::workspaceOf(const std::string &key,
                                                    const service_route &route) const
{
    const auto owner = m_directory->keyOwners.find(key);
    if (owner != m_directory->keyOwners.end())
        return owner->second;
    return route.allowsAnonymous ? std::optional(anonymousWorkspace) : std::nullopt;
}

/** Checks the route and the key of a session that has no transaction open, so that a changed
 * directory applies to its next statement. Rejects the statement and closes the session if either
 * is no longer valid.
 */
bool dispatcher::checkAccess(caller &from, time_point now)
{
    const auto route = m_directory->routes.find(from.databaseName);
    if (route == m_directory->routes.end()) {
        reject(from, statement_error::unknownDatabase,
               "database \"" + from.databaseName + "\" does not exist any more", now);
        closeSession(from);
        return false;
    }
    from.route = route->second;
    if (from.served)
        return true; // the caller's own instance has checked the key
    auto workspace = workspaceOf(from.key, from.route);
    if (workspace) {
        from.workspace = std::move(*workspace);
        return true;
    }
    reject(from, statement_error::unknownKey, "the key was withdrawn", now);
    closeSession(from);
    return false;
}

/** \returns whether the caller's key still belongs to the workspace for which the operation in
 * progress runs. One that was begun without a workspace rests on no key.
 */
bool dispatcher::holdsKey(const caller &from) const
{
    return from.served || from.workspace == anonymousWorkspace
           || workspaceOf(from.key, from.route) == from.workspace;
}

/** Ends the work that rests on a withdrawn key and that no member or broker has in hand. What one
 * has is answered first, and its transaction is rolled back then.
 */
void dispatcher::endWorkWithoutKey(time_point now)
{
    const auto mayEnd = [this](const caller &each) {
        const bool hasWork = each.job || each.state == session_state::inTransaction;
        const bool isInHand = each.job && each.job->isAtMember() && !each.job->awaitsResend;
        return hasWork && !isInHand && !each.rolledBack && !each.isDisconnected && !holdsKey(each);
    };
    std::vector<session_number> affected;
    for (const auto &[number, each] : m_callers)
        if (mayEnd(each))
            affected.push_back(number);
    std::map<workspace_id, record_withdrawal> ended;
    std::ranges::for_each(affected, [&](session_number number) {
        auto *from = findCaller(number);
        if (!from || !mayEnd(*from))
            return;
        auto &entry = ended.try_emplace(from->workspace, record_withdrawal{from->workspace})
                              .first->second;
        ++(from->job ? entry.statements : entry.transactions);
        if (from->job)
            endStatementWithoutKey(*from, now);
        else
            rollBackWithoutKey(*from, now);
    });
    std::ranges::transform(ended, std::back_inserter(m_outputs), mappedOf);
}

/** Rejects a statement that no member has in hand, because its caller's key was withdrawn. */
void dispatcher::endStatementWithoutKey(caller &from, time_point now)
{
    if (from.state == session_state::inTransaction) {
        releaseBound(from, now);
        return reject(from, statement_error::aborted, "the key was withdrawn: rolled back", now);
    }
    if (workspaceOf(from.key, from.route))
        return reject(from, statement_error::aborted,
                      "the key belongs to another workspace now; retry", now);
    const auto number = from.number;
    reject(from, statement_error::unknownKey, "the key was withdrawn", now);
    if (const auto *rejected = findCaller(number))
        closeSession(*rejected);
}

/** Rolls back the caller's transaction, which has no statement in progress, if its key was
 * withdrawn. The caller is told with its next statement.
 */
void dispatcher::rollBackWithoutKey(caller &from, time_point now)
{
    if (from.state != session_state::inTransaction || holdsKey(from))
        return;
    releaseBound(from, now);
    from.rolledBack = true;
}

} // namespace sycamorespan
