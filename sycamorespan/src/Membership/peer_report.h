#ifndef SYCAMORESPAN_MEMBERSHIP_PEER_REPORT_H
#define SYCAMORESPAN_MEMBERSHIP_PEER_REPORT_H

#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Failover/primary_view.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief One incarnation of an instance's process. */
struct instance_incarnation
{
    instance_id instance;
    std::uint64_t incarnation =
            0; ///< number of the incarnation; differs from that of every other one
    std::string address; ///< "IP:PORT" that receives its peer reports
    data_centre_id dataCentre;

    auto operator<=>(const instance_incarnation &) const = default;
};

/** \brief State of one database as an instance reports it. */
struct database_report
{
    database_id database;
    std::optional<log_position> floor; ///< covers every commit acknowledged before floorAt
    reference_time floorAt{}; ///< time at which the floor was valid
    /** Revision of a primary view; the sender no longer uses any view before it. */
    std::uint64_t releasedRevision = 0;
    bool primarySuspected = false; ///< whether the primary of that view doesn't answer
    bool primaryDemoted = false; ///< whether that primary reports that it is a replica
    bool primaryAnswers = false; ///< whether that primary answered recently

    bool operator==(const database_report &) const = default;
};

/** \brief Load that an instance puts on one backend server. */
struct server_load_report
{
    server_id server;
    std::uint32_t runningStatements = 0; ///< statements of the sender that run on the server

    bool operator==(const server_load_report &) const = default;
};

/** \brief Periodic report of an instance to another one, in one datagram. */
struct peer_report
{
    instance_incarnation sender;
    /** Lower bound on the reference clock at the time of sending. */
    std::optional<reference_time> sentAt;
    std::uint64_t configurationVersion = 0; ///< version in force at the sender
    std::uint64_t serversRevision = 0; ///< revision of the list of backend servers
    bool shuttingDown = false; ///< whether the sender is shutting down
    bool storeReachable = false; ///< whether the store answers the sender
    /** Attestation that the sender has begun no change of primary beyond its views. */
    bool attests = false;
    std::optional<reference_time> viewsConfirmed; ///< time up to which views is known to be current
    std::vector<primary_view> views; ///< primary views as the sender knows them
    instance_id supervisor; ///< supervisor, as far as the sender knows
    std::uint64_t fencingToken = 0; ///< fencing token of that supervisor
    /** Time since the sender last heard from the supervisor; none if it never did. */
    std::optional<duration> sinceSupervisorHeard;
    std::vector<database_report> databases;
    std::vector<server_load_report> loads;

    bool operator==(const peer_report &) const = default;
};

/** \returns \a report as CBOR, a positional array of its fields. */
std::string encodePeerReport(const peer_report &report);

/** \brief Decodes a report.
 * \throws decode_error if \a bytes is not a report of the supported layout
 */
peer_report decodePeerReport(std::string_view bytes);

} // namespace sycamorespan

#endif
