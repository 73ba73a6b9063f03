#ifndef SYCAMORESPAN_MEMBERSHIP_SERVER_ENTRY_H
#define SYCAMORESPAN_MEMBERSHIP_SERVER_ENTRY_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sycamorespan {

/** \brief Whether a backend server accepts new work. */
enum class server_state { ready, draining };

/** \brief Role of a backend server in the group of its database. */
enum class replication_role { primary, replica };

/** \brief A backend server as it registered itself. */
struct server_entry
{
    server_id id;
    database_id database;
    std::string address; ///< "IP:PORT"
    data_centre_id dataCentre;
    std::size_t slots = 0; ///< number of statements that it runs concurrently
    server_state state = server_state::ready;
    replication_role role = replication_role::replica; ///< role that the server itself reports
    std::int64_t startedAtMs = 0; ///< Unix time of its start; distinguishes its incarnations
    /** For how much longer it said it is slow after its start; nothing if it did not say. */
    std::optional<duration> warmUpLeft;
    bool isEvacuated = false; ///< whether operators have its data centre evacuated

    auto operator<=>(const server_entry &) const = default;
};

} // namespace sycamorespan

#endif
