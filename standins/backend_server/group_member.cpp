#include "group_member.h"

#include <algorithm>
#include <filesystem>

namespace standin {
namespace {

namespace sqlstate = sycamorespan::sqlstate;

constexpr std::size_t maximumBatchEntries = 500;
constexpr sycamorespan::term_number firstTerm = 1;

} // namespace

std::string_view roleName(member_role role)
{
    switch (role) {
    case member_role::primary:
        return "primary";
    case member_role::replica:
        return "replica";
    case member_role::fenced:
        break;
    }
    return "fenced";
}

group_member::group_member(options settings)
    : m_options(std::move(settings))
    , m_store(m_options.dataFolder)
{
    openEmptyDatabase();
    applyUpTo(m_store.entries().size());
    if (!m_options.initialPrimary || m_store.term() != 0)
        return;
    m_store.adoptTerm(firstTerm, "initial");
    m_role = member_role::primary;
    append({});
}

void group_member::requireWritable() const
{
    if (m_role != member_role::primary)
        throw sql_error(sqlstate::readOnlySqlTransaction,
                        "this member is not the primary: writes are refused");
}

void group_member::requireReadable() const
{
    const bool readable =
            m_role == member_role::primary || (m_role == member_role::replica && m_synchronised);
    if (!readable)
        throw sql_error(sqlstate::cannotConnectNow, "this member serves no reads now");
}

void group_member::append(std::vector<logged_statement> statements)
{
    m_store.append({m_store.term(), std::move(statements)});
    m_appliedLength = m_store.entries().size();
}

void group_member::fence(sycamorespan::term_number term, const std::string &token)
{
    if (term < m_store.term())
        throwTermRefused();
    const bool isRepeated = term == m_store.term() && token == m_store.token();
    if (term == m_store.term() && !isRepeated)
        throwTermRefused();
    if (isRepeated && m_role != member_role::fenced)
        return;
    m_store.adoptTerm(term, token);
    changeRole(member_role::fenced);
}

void group_member::promote(sycamorespan::term_number term, const std::string &token)
{
    if (term != m_store.term() || token != m_store.token())
        throwTermRefused();
    if (m_role == member_role::primary)
        return;
    if (m_role != member_role::fenced)
        throwTermRefused();
    applyUpTo(m_store.entries().size());
    append({});
    changeRole(member_role::primary);
}

void group_member::follow(sycamorespan::term_number term, const std::string &address)
{
    if (term < m_store.term() || (term == m_store.term() && m_role == member_role::primary))
        throwTermRefused();
    if (term == m_store.term() && m_role == member_role::replica && address == m_primaryAddress)
        return;
    if (term > m_store.term())
        m_store.adoptTerm(term, {});
    m_primaryAddress = address;
    m_synchronised = false;
    changeRole(member_role::replica);
}

replication_batch group_member::replicate(const std::string &follower,
                                          sycamorespan::term_number term,
                                          const std::vector<term_end> &ends)
{
    if (m_role != member_role::primary || term != m_store.term())
        throwTermRefused();
    const auto commonLength = m_store.commonPrefixLength(ends);
    const auto followerLength = ends.empty() ? 0 : ends.back().offset;
    if (commonLength == followerLength)
        m_followers[follower] = {term, commonLength};
    replication_batch batch{term, commonLength, m_store.entries().size(), {}};
    const auto first = m_store.entries().begin() + static_cast<std::ptrdiff_t>(commonLength);
    const auto available = static_cast<std::size_t>(m_store.entries().end() - first);
    const auto count = std::min(available, maximumBatchEntries);
    batch.entries.assign(first, first + static_cast<std::ptrdiff_t>(count));
    return batch;
}

bool group_member::appendBatch(const replication_batch &batch)
{
    if (m_role != member_role::replica || batch.term != m_store.term())
        return false;
    if (batch.keptLength < m_store.entries().size())
        m_store.truncate(batch.keptLength);
    if (batch.keptLength < m_appliedLength) {
        openEmptyDatabase();
        applyUpTo(batch.keptLength);
        onDataReplaced();
    }
    std::ranges::for_each(batch.entries, [this](const log_entry &entry) { m_store.append(entry); });
    return true;
}

void group_member::applyUpTo(std::uint64_t offset)
{
    for (; m_appliedLength < offset; ++m_appliedLength)
        m_engine->apply(m_store.entries()[m_appliedLength]);
}

void group_member::throwTermRefused() const
{
    throw sql_error(sqlstate::objectNotInPrerequisiteState, "refused: the member's term stands",
                    "term=" + std::to_string(m_store.term()));
}

void group_member::changeRole(member_role role)
{
    m_role = role;
    m_followers.clear();
    onRoleChanged();
}

void group_member::openEmptyDatabase()
{
    m_appliedLength = 0;
    m_engine.reset();
    if (!m_databaseFile.empty())
        std::filesystem::remove(m_databaseFile);
    m_databaseFile =
            m_options.databaseFolder + "/data-" + std::to_string(++m_databaseNumber) + ".db";
    std::filesystem::remove(m_databaseFile);
    m_engine = std::make_unique<sql_engine>(m_databaseFile);
}

} // namespace standin
