#ifndef STANDIN_BACKEND_SERVER_GROUP_MEMBER_H
#define STANDIN_BACKEND_SERVER_GROUP_MEMBER_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "log_store.h"
#include "sql_engine.h"

namespace standin {

/** \brief Role of a member in its group; a fenced member serves neither reads nor writes. */
enum class member_role { primary, replica, fenced };

/** \returns the name of \a role in the results of the group functions. */
std::string_view roleName(member_role role);

/** \brief Log position that a follower last confirmed to this primary in its current term. */
struct follower_confirmation
{
    sycamorespan::term_number term = 0;
    std::uint64_t offset = 0;

    bool operator==(const follower_confirmation &) const = default;
};

/** \brief Log entries that the primary sends to a follower.
 *
 * The follower truncates its log to \a keptLength entries before it appends the new ones.
 */
struct replication_batch
{
    sycamorespan::term_number term = 0;
    std::uint64_t keptLength = 0;
    std::uint64_t primaryOffset = 0;
    std::vector<log_entry> entries;
};

/** \brief One member of a group: its role, term, log and data. */
class group_member
{
public:
    struct options
    {
        std::string id;
        /** Folder that keeps log and term over a restart; if empty, they are in memory only. */
        std::string dataFolder;
        /** Existing folder for the database file, which is rebuilt from the log at each start. */
        std::string databaseFolder;
        /** Whether the member starts as primary of term 1 if it has stored no term. */
        bool initialPrimary = false;
    };

    explicit group_member(options settings);

    const std::string &id() const noexcept { return m_options.id; }
    member_role role() const noexcept { return m_role; }
    sycamorespan::term_number term() const noexcept { return m_store.term(); }
    /** \returns the position of the last entry in the log. */
    sycamorespan::log_position logPosition() const { return m_store.position(); }
    /** \returns the position of the last applied entry, which reads see. */
    sycamorespan::log_position appliedPosition() const
    {
        return m_store.positionAt(m_appliedLength);
    }
    const std::map<std::string, follower_confirmation> &followers() const { return m_followers; }
    const std::string &primaryAddress() const noexcept { return m_primaryAddress; }
    bool isSynchronised() const noexcept { return m_synchronised; }
    const std::vector<term_end> &termEnds() const noexcept { return m_store.termEnds(); }

    /** \brief Path of the database file; it changes when applied log entries are truncated. */
    const std::string &databaseFile() const noexcept { return m_databaseFile; }

    /** \throws sql_error (25006) when the member may not serve writes. */
    void requireWritable() const;
    /** \throws sql_error (57P03) when the member may not serve reads. */
    void requireReadable() const;

    /** \brief Appends a transaction to the log that this primary has committed. */
    void append(std::vector<logged_statement> statements);

    /** \brief Adopts \a term and refuses reads and writes from then on.
     * \throws sql_error (object not in prerequisite state) when the member has adopted a later
     * term, or this one with another token
     */
    void fence(sycamorespan::term_number term, const std::string &token);
    /** \brief Makes a member primary that was fenced with the same \a term and \a token.
     * \throws sql_error (object not in prerequisite state) when it was not
     */
    void promote(sycamorespan::term_number term, const std::string &token);
    /** \brief Makes the member a replica of the primary at \a address.
     * \throws sql_error (object not in prerequisite state) when the member has adopted a later term
     * or is primary of this one
     */
    void follow(sycamorespan::term_number term, const std::string &address);

    /** \brief Answers a pull of \a follower on the primary and records what it has confirmed.
     * \param ends  term ends of the follower's log
     * \throws sql_error (object not in prerequisite state) when the member is not primary of \a
     * term
     */
    replication_batch replicate(const std::string &follower, sycamorespan::term_number term,
                                const std::vector<term_end> &ends);
    /** \brief Truncates the follower's log where \a batch asks for it and appends the entries.
     * \returns false for a batch of another term.
     */
    bool appendBatch(const replication_batch &batch);
    /** \brief Applies the log up to \a offset to the database, so that reads see it. */
    void applyUpTo(std::uint64_t offset);
    /** \brief Lets the replica serve reads, as it has applied the whole log of its primary once. */
    void markSynchronised() { m_synchronised = true; }

    /** \brief Called after the role or term changed; open transactions must be rolled back. */
    std::function<void()> onRoleChanged = [] {};
    /** \brief Called after the database was rebuilt; sessions must open the new file. */
    std::function<void()> onDataReplaced = [] {};
    /** \brief Called when a transaction has released the write lock. */
    std::function<void()> onLockReleased = [] {};

private:
    [[noreturn]] void throwTermRefused() const;
    void changeRole(member_role role);
    void openEmptyDatabase();

    options m_options;
    log_store m_store;
    member_role m_role = member_role::fenced;
    std::string m_primaryAddress;
    bool m_synchronised = false;
    std::map<std::string, follower_confirmation> m_followers;
    std::uint64_t m_appliedLength = 0;
    std::uint64_t m_databaseNumber = 0;
    std::string m_databaseFile;
    std::unique_ptr<sql_engine> m_engine;
};

} // namespace standin

#endif
