#ifndef SYCAMORESPAN_CONFIGURATION_SERVICE_DIRECTORY_H
#define SYCAMORESPAN_CONFIGURATION_SERVICE_DIRECTORY_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sycamorespan {

/** \brief What reads of a route must see. */
enum class consistency {
    latest, ///< every acknowledged commit
    boundedStaleness, ///< every commit acknowledged longer ago than the bound
    readYourWrites, ///< as boundedStaleness, and every commit of the same session
};

/** \brief How callers of one database name are served. */
struct service_route
{
    database_id database; ///< group of backend servers
    consistency reads = consistency::latest;
    duration statementTimeout{}; ///< bound on one statement
    duration latencyObjective{}; ///< of a whole operation
    int priority = 0; ///< 0 is served first
    std::optional<duration> maxStaleness; ///< none: as consistency::latest
    bool openToAll = false; ///< no key is needed

    auto operator<=>(const service_route &) const = default;
};

/** \brief Limit of a workspace over all instances, in operations. */
struct workspace_limit
{
    double ratePerSecond = 0;
    double burst = 0;

    auto operator<=>(const workspace_limit &) const = default;
};

struct database_limits
{
    std::size_t maxConnections = 0; ///< of one member, from all instances
    std::size_t synchronousReplicas = 0; ///< that hold a commit before it is acknowledged

    auto operator<=>(const database_limits &) const = default;
};

/** \brief One version of the operators' lists, whole. */
struct service_directory
{
    std::uint64_t version = 0;
    std::map<std::string, service_route> routes; ///< by the name that callers connect to
    std::map<std::string, workspace_id> keyOwners;
    std::map<workspace_id, workspace_limit> workspaces;
    std::map<database_id, database_limits> databases;
    duration transactionIdleTimeout{}; ///< 0: none

    bool operator==(const service_directory &) const = default;
};

} // namespace sycamorespan

#endif
