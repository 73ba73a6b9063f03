#ifndef SYCAMORESPAN_FAILOVER_PRIMARY_VIEW_H
#define SYCAMORESPAN_FAILOVER_PRIMARY_VIEW_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/log_position.h"

#include <cstdint>

namespace sycamorespan {

enum class view_phase {
    steady, ///< the primary may be used
    withdrawn, ///< a change has begun; nobody may use the old primary
    ordered, ///< a promotion may have been ordered
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

    auto operator<=>(const primary_view &) const = default;
};

} // namespace sycamorespan

#endif
