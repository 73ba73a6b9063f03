#ifndef SYCAMORESPAN_FAILOVER_PRIMARY_VIEW_H
#define SYCAMORESPAN_FAILOVER_PRIMARY_VIEW_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/log_position.h"
#include "sycamorespan/src/Core/store_revision.h"
#include "sycamorespan/src/Failover/fencing_token.h"

#include <cstdint>
#include <vector>

namespace sycamorespan {

/** \brief Phase of a change of primary as stored in the row of the database. */
enum class view_phase {
    steady, ///< no change is in progress; the primary may be used
    withdrawn, ///< a change has begun; the old primary may not be used
    ordered, ///< the promotion of the new primary may have been ordered
};

/** \brief One incarnation of a member that may be the only replica whose log holds a commit. */
struct log_holder
{
    server_id server;
    std::int64_t startedAtMs = 0; ///< Unix time; a later incarnation has another log

    auto operator<=>(const log_holder &) const = default;
};

/** \brief Who is primary of a database, as stored in one row of the store. */
struct primary_view
{
    database_id database;
    row_revision revision; ///< revision of the row; rises with each write
    server_id primary; ///< in the phase ordered, the member to be promoted
    term_number term = 0; ///< term of the primary
    view_phase phase = view_phase::steady;
    bool planned = false; ///< switchover: statements in progress may end on the old primary
    fencing_token fencingToken = 0; ///< fencing token of the supervisor that wrote the row
    /** Members that may hold acknowledged commits, stored while a change is in progress. A member
     * that was removed since may have been the only one to confirm a commit, and the next
     * supervisor may never have seen it.
     */
    std::vector<log_holder> holders{};

    /** \returns whether the row was written in the era in which it was read. Another one comes from
     * the copy from which the store returned: it may have been replaced before, and says nothing of
     * the present.
     */
    bool isOfPresentEra() const { return eraOf(fencingToken) == revision.era(); }

    auto operator<=>(const primary_view &) const = default;
};

/** \returns a digest of the revisions of \a views. Equal digests mean equal views. */
std::uint64_t digestOf(const std::vector<primary_view> &views);

} // namespace sycamorespan

#endif
