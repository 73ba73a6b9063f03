#ifndef STANDIN_BACKEND_SERVER_GROUP_MEMBER_H
#define STANDIN_BACKEND_SERVER_GROUP_MEMBER_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "log_store.h"
#include "sql_engine.h"

namespace standin {

enum class member_role { primary, replica, fenced };

std::string_view roleName(member_role role);

/** \brief What a follower last confirmed to this primary in its current term. */
struct follower_confirmation
{
    sycamorespan::term_number term = 0;
    std::uint64_t offset = 0;

    bool operator==(const follower_confirmation &) const = default;
};

/** \brief A batch of entries from the primary: first the length that the follower keeps. */
struct replication_batch
{
    sycamorespan::term_number term = 0;
    std::uint64_t keep = 0;
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
        /** Keeps log and term over a restart; empty: they are in memory only. */
        std::string dataFolder;
        /** An existing folder for the data, which is made anew from the log. */
        std::string scratchFolder;
        /** Starts as primary of term 1 when its log is empty. */
        bool initialPrimary = false;
    };

    explicit group_member(options settings);

    const std::string &id() const noexcept { return m_options.id; }
    member_role role() const noexcept { return m_role; }
    sycamorespan::term_number term() const noexcept { return m_store.term(); }
    /** \returns the last entry that the log holds. */
    sycamorespan::log_position logPosition() const { return m_store.position(); }
    /** \returns the last entry that reads see. */
    sycamorespan::log_position position() const { return m_store.positionAt(m_applied); }
    const std::map<std::string, follower_confirmation> &followers() const { return m_followers; }
    const std::string &primaryAddress() const noexcept { return m_primaryAddress; }
    bool isSynchronised() const noexcept { return m_synchronised; }
    const std::vector<term_end> &termEnds() const noexcept { return m_store.termEnds(); }

    /** \brief File of the data; another one after a log tail was cut off. */
    const std::string &databaseFile() const noexcept { return m_databaseFile; }

    /** \throws sql_error (25006, 57P03) when the member may not serve it. */
    void requireWritable() const;
    void requireReadable() const;

    /** \brief Appends a committed transaction of this primary. */
    void append(std::vector<logged_statement> statements);

    void fence(sycamorespan::term_number term, const std::string &token);
    void promote(sycamorespan::term_number term, const std::string &token);
    void follow(sycamorespan::term_number term, const std::string &address);

    /** \brief Primary's side of replication. */
    replication_batch replicate(const std::string &follower, sycamorespan::term_number term,
                                const std::vector<term_end> &ends);
    /** \brief Follower's side: cuts its tail off and takes the entries into its log.
     * \returns false for a batch of another term.
     */
    bool takeBatch(const replication_batch &batch);
    /** \brief Makes the log up to \a offset visible to reads. */
    void applyUntil(std::uint64_t offset);
    void markSynchronised() { m_synchronised = true; }

    /** \brief Called after the role or term changed: open writes must be rolled back. */
    std::function<void()> onRoleChanged = [] {};
    /** \brief Called after a log tail was cut off: sessions must open the data anew. */
    std::function<void()> onDataReplaced = [] {};
    /** \brief Called when a transaction that wrote has ended. */
    std::function<void()> onLockReleased = [] {};

private:
    [[noreturn]] void refuseTerm() const;
    void becomeRole(member_role role);
    void openEmpty();

    options m_options;
    log_store m_store;
    member_role m_role = member_role::fenced;
    std::string m_primaryAddress;
    bool m_synchronised = false;
    std::map<std::string, follower_confirmation> m_followers;
    std::uint64_t m_applied = 0;
    std::uint64_t m_generation = 0;
    std::string m_databaseFile;
    std::unique_ptr<sql_engine> m_engine;
};

} // namespace standin

#endif
