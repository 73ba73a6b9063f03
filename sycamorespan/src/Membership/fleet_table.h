#ifndef SYCAMORESPAN_MEMBERSHIP_FLEET_TABLE_H
#define SYCAMORESPAN_MEMBERSHIP_FLEET_TABLE_H

#include "sycamorespan/src/Membership/fleet_messages.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Why reports are sent. */
enum class report_cause {
    regular, ///< the interval of regular reports is over
    requested, ///< this instance has something new to tell
    released, ///< an instance or a data centre has released older views
    suspected, ///< an instance or a data centre suspects a primary
    stopping, ///< an instance begins or ends its shutdown
};

/** \returns the name of \a cause in logs and metrics. */
std::string_view nameOf(report_cause cause);

/** \brief Intervals and timeouts of a fleet_table. */
struct fleet_policy
{
    duration reportInterval = 200ms; ///< time between two regular reports
    /** Least time between a report and one that is sent because something changed. */
    duration urgentInterval = 10ms;
    /** Reports that may be sent in a row because something changed. Beyond them, one in each
     * reportInterval may be, so that changes that repeat at most double the reports.
     */
    int urgentBurst = 16;
    /** Age of an instance's last report at which its relays drop it from the state. */
    duration liveTimeout = 700ms;
    /** Time without an answer after which another relay is addressed. */
    duration relayTimeout = 700ms;
    /** Time after which a relay that did not answer is addressed again. */
    duration relayRetryInterval = 2s;
    duration stateTimeout = 1s; ///< age at which the state of a data centre is dropped
    /** Time without news of any other data centre after which this one counts as isolated. */
    duration dataCentreTimeout = 600ms;
    /** Two relays of each data centre pass on reports independently of each other, so that the loss
     * of one interrupts nothing.
     */
    std::size_t relaysPerDataCentre = 2;
    /** Time without a report after which the registration of an instance is removed. */
    duration removeAfter = 60s;
    /** Fraction of the registered instances that forms a quorum. Two quorums share an instance even
     * if the lists that they are counted over differ by a third of the instances.
     */
    double quorumFraction = 0.55;

    auto operator<=>(const fleet_policy &) const = default;
};

/** \brief A report with the addresses of its receivers. */
struct outgoing_report
{
    std::vector<std::string> addresses;
    std::variant<instance_report, relay_report> report;

    bool operator==(const outgoing_report &) const = default;
};

/** \brief Sums of what the live instances observe of one primary. */
struct fleet_observation
{
    std::size_t live = 0; ///< instances with a recent report, this one included
    std::size_t suspecting = 0;
    std::size_t demoted = 0;
    std::size_t answered = 0;

    auto operator<=>(const fleet_observation &) const = default;
};

/** \brief What this instance knows of the other instances, and the reports it sends.
 *
 * Each instance reports to two relays of its data centre. Each relay aggregates the reports to the
 * state of its data centre, sends that to one relay of each other data centre, and sends the states
 * of all data centres to the instances that report to it. The relays are the preferred instances
 * that answer; an instance also acts as relay for others that address it. Bytes between data
 * centres grow with the square of the number of data centres, not of instances.
 *
 * Load pattern: hundreds of small instances that all start, or lose their neighbours, at once.
 */
class fleet_table
{
public:
    fleet_table(instance_incarnation self, const fleet_policy &policy);

    /** \brief Applies the rows of all instances.
     *  \param readAt    when they were read from the store; an older list has no effect
     *  \param revision  newest revision in the store when they were read
     */
    void setInstances(const std::vector<instance_incarnation> &registered, reference_time readAt,
                      store_revision revision, time_point now);

    /** \brief Handles the report of an instance, for which this one acts as a relay.
     * \returns whether it is the first one of this incarnation
     */
    bool handle(const instance_report &report, time_point now);
    /** \brief Handles the report of a relay. */
    void handle(const relay_report &report, time_point now);

    /** \brief Drops outdated states. Must be called regularly before the queries. */
    void refresh(time_point now);

    /** \returns the reports to send now. \param own  the report of this instance, complete */
    std::vector<outgoing_report> makeReports(const instance_report &own, time_point now);
    /** \returns whether this instance passes on reports of its data centre. */
    bool isRelay() const { return m_isRelay; }
    /** \returns when the next reports are due: earlier than the regular time if something that
     * others wait for has changed.
     */
    time_point nextReportsAt() const;
    /** \brief Has the next reports sent as soon as possible. */
    void requestReports(report_cause cause = report_cause::requested) { urge(cause); }
    /** \returns why the last reports were made. */
    report_cause lastReportCause() const { return m_lastReportCause; }

    const instance_incarnation &self() const { return m_self; }
    std::uint64_t instancesDigest() const { return m_instancesDigest; }
    reference_time instancesReadAt() const { return m_instancesReadAt; }
    store_revision instancesRevision() const { return m_instancesRevision; }
    /** \returns whether \a news tells of a newer list of instances than the known one. */
    bool lacksInstances(const fleet_news &news) const;
    /** \returns the list of instances as it was read, for instances that lack it. */
    const std::vector<instance_incarnation> &registered() const { return m_registered; }

    /** \returns the known incarnation of \a instance; nothing if there is none. */
    std::optional<instance_incarnation> incarnationOf(const instance_id &instance) const;
    /** \returns all known instances but this one. */
    std::vector<instance_incarnation> others() const;
    /** \returns the other instances with a recent report. */
    std::vector<instance_incarnation> live() const;
    /** \returns the number of other instances with a recent report. */
    std::size_t liveCount() const;
    /** \returns the live instances and those that may become live: they were registered a short
     * time ago and have not been heard of yet.
     */
    std::vector<instance_incarnation> expectedLive(time_point now) const;
    /** \returns the number of instances that share rates and connections, this one included. */
    std::size_t instanceCount() const { return m_instances.size() + 1; }
    /** \returns the time since some relay last had a report of \a instance; nothing if none had. */
    std::optional<duration> timeSinceHeard(const instance_id &instance, time_point now) const;
    /** \returns the state that \a instance last reported, if it is live. */
    std::optional<instance_flags> flagsOf(const instance_id &instance) const;
    /** \returns the live instances that reach the store and don't stop, this one included if
     * \a ownFlags permit, in an order that all instances agree on.
     */
    const std::vector<instance_incarnation> &candidates(const instance_flags &ownFlags) const;

    /** \returns whether every other registered instance has released all views before
     * \a revision. The list of instances must have been read since that revision was written.
     */
    bool released(row_revision revision) const;
    /** \returns whether a quorum has released all views before \a revision, of which this
     * instance is one if \a ownReleased.
     */
    bool releasedByQuorum(row_revision revision, bool ownReleased) const;
    /** \returns a time until which a quorum, this instance included, attests that it knows no
     * change beyond the views of the digest; nothing if there is none.
     */
    std::optional<reference_time> attestedByQuorumAt(std::uint64_t viewsDigest) const;
    /** \returns the other registered instances that attest to the views of the digest. */
    std::size_t attestingCount(std::uint64_t viewsDigest) const;
    /** \returns the number of instances that form a quorum, this one included. */
    std::size_t quorumSize() const;
    /** \returns a time until which every other registered instance attests that it has begun no
     * change beyond the views of the digest; nothing if one doesn't attest, or knows other
     * instances.
     */
    std::optional<reference_time> attestedAt(std::uint64_t viewsDigest) const;
    fleet_observation observationOf(const database_id &database, row_revision viewRevision) const;
    /** \returns the statements that all instances but this one run on \a server. */
    std::size_t statementsOfOthers(const server_id &server) const;
    /** \returns what the instances have found of \a server; nothing if none found it unusual. */
    std::optional<member_capacity> reportedCapacity(const server_id &server) const;
    /** \returns whether another data centre was heard recently; nothing if none is known. */
    std::optional<bool> hearsOtherDataCentres(time_point now) const;
    /** \returns whether another relay of the own data centre was heard recently. */
    bool hearsOwnDataCentre(time_point now) const;
    /** \returns the registered instances that were not heard of within fleet_policy::removeAfter.
     */
    std::vector<instance_incarnation> expiredRegistrations(time_point now) const;

private:
    struct known_instance
    {
        instance_incarnation run; ///< its last known incarnation
        bool isRegistered = false;
        time_point firstKnown;
        std::optional<time_point> coveredAt; ///< when a relay last had its report
        std::optional<time_point> relayHeardAt; ///< when its last report as a relay arrived
        std::optional<time_point> addressedSince; ///< when it was first addressed as a relay
        std::optional<std::uint64_t> viewsDigest; ///< of the views that it knows
    };

    struct received_report
    {
        instance_report report;
        time_point receivedAt;
    };

    struct known_state
    {
        data_centre_state state;
        time_point asOf; ///< when the relay aggregated it
    };

    /** What the states tell of one incarnation. */
    struct coverage
    {
        instance_flags flags;
        row_revision releasedThrough;
        /** Digests of views, and times until which it attests them. Only attestations by instances
         * with the same list of instances count, because an instance that is not in the list does
         * not attest.
         */
        std::vector<std::pair<std::uint64_t, reference_time>> attestations;
    };

    /** \brief Result of candidates(). */
    struct candidate_list
    {
        bool includesSelf = false;
        std::vector<instance_incarnation> instances;
    };

    void urge(report_cause cause);
    bool isLive(const known_instance &known) const;
    known_instance &noteSender(const instance_incarnation &sender, time_point now);
    void storeState(const data_centre_state &state, time_point asOf);
    void merge();
    std::vector<const known_state *> bestStates() const;
    void noteAddressed(const std::vector<instance_incarnation> &relays, time_point now);
    bool isSilent(const known_instance &candidate, time_point now) const;
    std::vector<instance_incarnation> ownRelays(const instance_flags &ownFlags,
                                                time_point now) const;
    std::vector<instance_incarnation> relaysOf(const data_centre_id &dataCentre, std::size_t rank,
                                               bool isOnlyRelay, time_point now);
    data_centre_state aggregate(const instance_report &own, time_point now) const;
    data_centre_state ownState() const;
    std::vector<data_centre_state> statesToSend(time_point now) const;
    template<typename Report>
    void addReport(std::vector<outgoing_report> &to,
                   const std::vector<instance_incarnation> &receivers, Report report) const;
    template<typename Condition>
    bool allRegistered(Condition condition) const;
    std::vector<coverage> coveredRegistered() const;
    std::vector<reference_time> attestationsTo(std::uint64_t viewsDigest) const;

    instance_incarnation m_self;
    fleet_policy m_policy;
    std::map<instance_id, known_instance> m_instances; ///< without this one
    std::vector<instance_incarnation> m_registered; ///< as read, with this instance
    std::uint64_t m_instancesDigest = 0;
    reference_time m_instancesReadAt{};
    store_revision m_instancesRevision; ///< newest revision in the store when it was read
    std::map<instance_id, received_report> m_reports; ///< received as a relay
    std::map<std::pair<data_centre_id, std::uint64_t>, known_state> m_states; ///< by relay
    std::map<std::uint64_t, coverage> m_covered; ///< by incarnation
    /** The last result of candidates(), until reports or the list of instances change. */
    mutable std::optional<candidate_list> m_candidates;
    std::map<server_id, server_load_report> m_loads; ///< sums of all data centres
    std::vector<server_load_report> m_ownLoads; ///< as reported last
    /** Since when no relay of a data centre is known. */
    std::map<data_centre_id, time_point> m_noRelaySince;
    time_point m_lastReportsAt;
    /** Time until which the urgent reports so far use up the rate of one in each reportInterval. */
    time_point m_urgentReportsCoverUntil;
    std::optional<report_cause> m_urgentCause = report_cause::requested; ///< none: not urgent
    report_cause m_lastReportCause = report_cause::regular;
    bool m_isRelay = false;
};

} // namespace sycamorespan

#endif
