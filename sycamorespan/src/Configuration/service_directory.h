#ifndef SYCAMORESPAN_CONFIGURATION_SERVICE_DIRECTORY_H
#define SYCAMORESPAN_CONFIGURATION_SERVICE_DIRECTORY_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Core/time_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sycamorespan {

/** \brief Commits that the reads of a route must see. */
enum class consistency {
    latest, ///< every acknowledged commit
    boundedStaleness, ///< every commit acknowledged longer ago than maxStaleness
    readYourWrites, ///< as boundedStaleness, and every commit of the session itself
};

/** \brief How callers of one database name are served. */
struct service_route
{
    database_id database; ///< group of backend servers
    consistency reads = consistency::latest;
    duration statementTimeout{}; ///< timeout of one statement
    duration latencyObjective{}; ///< latency objective of a whole operation
    int priority = 0; ///< 0 is served first
    std::optional<duration> maxStaleness; ///< staleness bound; none: as consistency::latest
    bool allowsAnonymous = false; ///< whether callers without a key are served
    std::set<area_id> homes; ///< areas in which it may run; empty: anywhere

    auto operator<=>(const service_route &) const = default;
};

/** \brief Rate limit of a workspace over all instances, in operations. */
struct workspace_limit
{
    double ratePerSecond = 0; ///< operations per second
    double burst = 0; ///< operations that may start at once after a pause

    auto operator<=>(const workspace_limit &) const = default;
};

/** \brief Limits of the group of one database. */
struct database_limits
{
    std::size_t maxConnections = 0; ///< connections of all instances to one member
    std::size_t synchronousReplicas = 0; ///< replicas that hold a commit before it is acknowledged
    duration warmUp{}; ///< for which a member is slow after its start
    /** Statements per second that all instances together may send to a member that is slow after
     * its start; 0 for no limit.
     */
    double warmUpRatePerSecond = 0;

    auto operator<=>(const database_limits &) const = default;
};

/** \brief One complete version of the operators' lists. */
struct service_directory
{
    std::uint64_t version = 0;
    std::map<std::string, service_route> routes; ///< by the name that callers connect to
    std::map<std::string, workspace_id> keyOwners; ///< workspace of each key
    std::map<workspace_id, workspace_limit> workspaces;
    std::map<workspace_id, std::set<area_id>> workspaceHomes; ///< of those that have homes
    std::map<database_id, database_limits> databases;
    duration transactionIdleTimeout{}; ///< 0 for no timeout

    bool operator==(const service_directory &) const = default;
};

} // namespace sycamorespan

#endif
