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

/** \brief One run of an instance's process. */
struct instance_run
{
    instance_id instance;
    std::uint64_t boot = 0; ///< differs from run to run
    std::string address; ///< "IP:PORT" of its reports
    data_centre_id dataCentre;

    auto operator<=>(const instance_run &) const = default;
};

/** \brief What an instance says of one database. */
struct database_report
{
    database_id database;
    std::optional<log_position> floor; ///< covers what was acknowledged before floorAt
    reference_time floorAt{};
    std::uint64_t released = 0; ///< revision of the view whose forerunners are out of use here
    bool primarySuspected = false; ///< the primary in that view doesn't answer
    bool primaryDemoted = false; ///< it says that it is a replica
    bool primaryAnswers = false; ///< it was heard lately

    bool operator==(const database_report &) const = default;
};

struct server_load_report
{
    server_id server;
    std::uint32_t working = 0; ///< statements of this instance there

    bool operator==(const server_load_report &) const = default;
};

/** \brief What an instance tells each other one several times a second, in one datagram. */
struct peer_report
{
    instance_run sender;
    std::optional<reference_time> sentAt; ///< the store's clock had reached this
    std::uint64_t configurationVersion = 0;
    std::uint64_t serversRevision = 0; ///< of the list of backend servers
    bool leaving = false;
    bool storeReachable = false;
    bool vouches = false; ///< the sender has begun no change of a primary beyond its views
    std::optional<reference_time> viewsConfirmed;
    std::vector<primary_view> views;
    instance_id supervisor; ///< holder of the duty to supervise, as far as known
    std::uint64_t fence = 0; ///< of that holder
    std::optional<duration> supervisorSilence; ///< since the sender heard it; none: never
    std::vector<database_report> databases;
    std::vector<server_load_report> loads;

    bool operator==(const peer_report &) const = default;
};

/** \returns \a report as CBOR. */
std::string encodePeerReport(const peer_report &report);

/** \throws decode_error when \a bytes is no report */
peer_report decodePeerReport(std::string_view bytes);

} // namespace sycamorespan

#endif
