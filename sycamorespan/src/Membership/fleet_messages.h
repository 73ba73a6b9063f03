#ifndef SYCAMORESPAN_MEMBERSHIP_FLEET_MESSAGES_H
#define SYCAMORESPAN_MEMBERSHIP_FLEET_MESSAGES_H

#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Failover/primary_view.h"
#include "sycamorespan/src/Membership/instance_incarnation.h"
#include "sycamorespan/src/Pooling/member_sample.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief How many instances reach, or do not reach, the primary of one database. */
struct primary_observation
{
    database_id database;
    row_revision viewRevision; ///< revision of the view that names the primary
    std::uint32_t suspecting = 0; ///< instances that get no answer from the primary
    std::uint32_t demoted = 0; ///< instances to which the primary reported itself as a replica
    std::uint32_t answered = 0; ///< instances that recently got an answer from the primary

    auto operator<=>(const primary_observation &) const = default;
};

/** \brief Lower bound on the log position that covers all commits of a database until a time. */
struct floor_report
{
    database_id database;
    log_position position;
    reference_time coversCommitsUntil{};

    auto operator<=>(const floor_report &) const = default;
};

/** \brief Load that one or more instances put on one backend server, and how it takes it. */
struct server_load_report
{
    server_id server;
    std::uint32_t runningStatements = 0;
    /** What they have found of the server, if it or what they heard of it is unusual. Sent in
     * tenths of a statement and hundredths of a slowness.
     */
    std::optional<member_capacity> capacity = std::nullopt;

    auto operator<=>(const server_load_report &) const = default;
};

/** \brief What an instance knows of the whole fleet, apart from the state of other instances. */
struct fleet_news
{
    std::uint64_t configurationVersion = 0; ///< version in force at the sender
    store_revision serversRevision; ///< revision of its list of backend servers
    std::uint64_t instancesDigest = 0; ///< digest of its list of registered instances
    reference_time instancesReadAt{}; ///< when this list was read from the store
    std::uint64_t viewsDigest = 0; ///< digest of its primary views
    std::optional<reference_time> viewsConfirmed; ///< time up to which all of them are current
    std::vector<primary_view> views; ///< sent only to receivers with another digest
    instance_id supervisor; ///< supervisor, as far as the sender knows
    fencing_token fencingToken = 0; ///< fencing token of that supervisor
    std::vector<floor_report> floors;
    /** Revision of its list of evacuations; none from instances that know none. */
    store_revision evacuationsRevision;

    bool operator==(const fleet_news &) const = default;
};

/** \brief State of an instance that decides in which roles it can serve. */
struct instance_flags
{
    bool attests = false; ///< it attests that it has begun no change beyond the digest's views
    bool storeReachable = false;
    bool shuttingDown = false;
    bool knowsSameInstances = false; ///< its list of instances has the digest of the relay's list

    auto operator<=>(const instance_flags &) const = default;
};

/** \brief One instance in the state of its data centre. */
struct instance_entry
{
    std::uint64_t incarnation = 0;
    instance_flags flags;

    auto operator<=>(const instance_entry &) const = default;
};

/** \brief State of the instances of one data centre, as one of its relays aggregates it. */
struct data_centre_state
{
    data_centre_id dataCentre;
    std::uint64_t relay = 0; ///< incarnation of the relay that aggregated the state
    duration age{}; ///< time since it was aggregated, when it was sent
    std::uint64_t instancesDigest = 0; ///< digest of the relay's list of instances
    std::uint64_t viewsDigest = 0; ///< views to which attestations refer
    std::optional<reference_time> attestedAt; ///< oldest attestation of those that attest
    row_revision releasedThrough; ///< all instances have released all older views
    std::vector<instance_entry> instances; ///< those with a recent report
    std::vector<primary_observation> observations; ///< sums over the instances
    std::vector<server_load_report> loads; ///< sums over the instances

    bool operator==(const data_centre_state &) const = default;
};

/** \brief Report of an instance to the relays of its data centre. */
struct instance_report
{
    instance_incarnation sender;
    /** Lower bound on the reference clock at the time of sending. */
    std::optional<reference_time> sentAt;
    fleet_news news;
    instance_flags flags;
    row_revision releasedThrough; ///< the sender has released all views before this revision
    std::vector<primary_observation> observations;
    std::vector<server_load_report> loads;

    bool operator==(const instance_report &) const = default;
};

/** \brief Report of a relay to the instances of its data centre, with the state of all data
 * centres, or to the relays of other data centres, with the state of its own.
 */
struct relay_report
{
    instance_incarnation sender;
    /** Lower bound on the reference clock at the time of sending. */
    std::optional<reference_time> sentAt;
    fleet_news news;
    std::vector<data_centre_state> dataCentres;

    bool operator==(const relay_report &) const = default;
};

/** \returns the mean of two capacities, weighted by their samples. */
member_capacity merge(const member_capacity &one, const member_capacity &other);

/** \returns the report as CBOR, a positional array of its fields. */
std::string encode(const instance_report &report);
std::string encode(const relay_report &report);

/** \brief Decodes a report.
 * \throws decode_error if \a bytes is not a report of the supported layout
 */
instance_report decodeInstanceReport(std::string_view bytes);
relay_report decodeRelayReport(std::string_view bytes);

/** \returns a digest of \a instances. Equal digests mean equal lists in any order. */
std::uint64_t digestOf(const std::vector<instance_incarnation> &instances);

} // namespace sycamorespan

#endif
