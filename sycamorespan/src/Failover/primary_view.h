#ifndef SYCAMORESPAN_FAILOVER_PRIMARY_VIEW_H
#define SYCAMORESPAN_FAILOVER_PRIMARY_VIEW_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/log_position.h"

#include <cstdint>
#include <vector>

namespace sycamorespan {

enum class view_phase {
    steady, ///< the primary may be used
    withdrawn, ///< a change has begun; nobody may use the old primary
    ordered, ///< a promotion may have been ordered
};

/** \brief One run of a member whose log may be the only replica's that holds a commit. */
struct log_holder
{
    server_id server;
    std::int64_t startedAtMs = 0; ///< Unix time; a later run of the same server has another log

    auto operator<=>(const log_holder &) const = default;
};

/** \brief Who is primary of a database, as one row of the store says. */
struct primary_view
{
    database_id database;
    std::uint64_t revision = 0; ///< of the row; rises with each change
    server_id primary; ///< in the phase ordered: the member to be promoted
    term_number term = 0; ///< that the primary leads, or is to lead
    view_phase phase = view_phase::steady;
    bool planned = false; ///< the old primary still runs: statements under way may end
    std::uint64_t fence = 0; ///< of the supervisor that wrote the row
    /** While a change is under way: members as its first supervisor knew them. One that has left
     * since may have been the only one to confirm a commit.
     */
    std::vector<log_holder> holders{};

    auto operator<=>(const primary_view &) const = default;
};

} // namespace sycamorespan

#endif
