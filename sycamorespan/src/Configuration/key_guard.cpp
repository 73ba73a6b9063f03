#include "sycamorespan/src/Configuration/key_guard.h"

namespace sycamorespan::configuration {

key_guard::key_guard(workspace_id workspace, std::string key)
    : m_workspace(std::move(workspace))
    , m_key(std::move(key))
{ }

statement_verdict key_guard::checkStatement(const key_ring &keys, bool isFresh,
                                            bool isInTransaction) const
{
    if (!keys.isGranted(m_workspace, m_key))
        return refuse_statement{key_refusal::keyWithdrawn, isInTransaction, true};
    if (!isFresh)
        return refuse_statement{key_refusal::notFresh, isInTransaction, false};
    return run_statement{};
}

session_verdict key_guard::checkSession(const key_ring &keys, session_activity activity) const
{
    if (activity == session_activity::running || keys.isGranted(m_workspace, m_key))
        return keep_session{};
    return end_session{activity == session_activity::idleInTransaction};
}

} // namespace sycamorespan::configuration
