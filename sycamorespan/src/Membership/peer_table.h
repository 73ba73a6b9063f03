#ifndef SYCAMORESPAN_MEMBERSHIP_PEER_TABLE_H
#define SYCAMORESPAN_MEMBERSHIP_PEER_TABLE_H

#include "sycamorespan/src/Membership/peer_report.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamorespan {

/** \brief Intervals and timeouts of a peer_table; some depend on the number of instances. */
struct peer_policy
{
    duration reportInterval = 150ms; ///< time between two reports while every report is full
    /** Maximum number of instances that all send full reports to each other. With more instances,
     * only reports to and from the supervisor are full.
     */
    std::size_t maxFullMeshInstances = 12;
    /** Time between two full reports to or from the supervisor once other reports are brief. It is
     * a fifth of a view's validity.
     */
    duration fullReportInterval = 500ms;
    /** Time between two brief reports to one peer, for each instance. It bounds the brief reports
     * that an instance sends to 42 per second.
     */
    duration briefIntervalPerInstance = 24ms;
    int missedReports = 5; ///< missed full reports after which an instance is unresponsive
    int missedBriefReports = 3; ///< missed brief reports after which an instance is unresponsive
    duration reportDelay = 100ms; ///< delivery time of a report, with a busy sender
    /** Time without a report from any other data centre after which this one counts as isolated. */
    duration dataCentreTimeout = 750ms;
    /** Time without a report after which an instance that is not registered is removed. */
    duration removeAfter = 60s;

    auto operator<=>(const peer_policy &) const = default;
};

/** \brief The other instances, according to their rows in the store and their peer reports. */
class peer_table
{
public:
    /** \param self    this instance
     *  \param policy  intervals and timeouts
     */
    peer_table(instance_incarnation self, const peer_policy &policy);

    /** \brief Handles a read at \a now of the rows of all instances. */
    void setRegistered(const std::vector<instance_incarnation> &instances, time_point now);

    /** \brief Handles a peer report.
     * \returns whether it is the first one of this incarnation of the sender
     */
    bool handleReport(const peer_report &report, time_point now);

    /** \brief Handles a refused connection: no process listens at the address of \a instance, so
     * its process has ended.
     */
    void connectionRefused(const instance_id &instance, time_point now);

    /** \returns the instances that reports are sent to. */
    std::vector<instance_incarnation> targets(time_point now) const;

    /** \returns the instances whose last report is not older than the timeout. */
    std::vector<instance_incarnation> live(time_point now) const;

    /** \returns the live instances and those that may become live: they were registered within the
     * timeout and have not sent a report yet.
     */
    std::vector<instance_incarnation> expectedLive(time_point now) const;

    /** \returns the known incarnation of \a instance; nothing if there is none. */
    std::optional<instance_incarnation> incarnationOf(const instance_id &instance) const;

    /** \returns the last report of \a instance; nullptr if there is none. */
    const peer_report *reportOf(const instance_id &instance) const;
    /** \returns the reports of instances that have missed at most one full report. The report of an
     * isolated instance must not be counted any more.
     */
    std::vector<const peer_report *> recentReports(time_point now) const;
    /** \returns the time since the last report of \a instance; nothing if there is none. */
    std::optional<duration> timeSinceReport(const instance_id &instance, time_point now) const;
    /** \returns whether the last report of \a instance is not older than the timeout. */
    bool isLive(const instance_id &instance, time_point now) const;

    /** \returns the number of instances that share rates and connections, this one included. */
    std::size_t instanceCount(time_point now) const;

    /** \returns the number of statements that other live instances run on \a server. */
    std::size_t statementsOfOthers(const server_id &server, time_point now) const;

    /** \returns whether every other instance that may use a primary view has released all views of
     * \a database before \a revision.
     */
    bool released(const database_id &database, std::uint64_t revision, time_point now) const;

    /** \returns the other instances that are registered or have sent a report. */
    std::set<instance_id> registered() const;

    /** \returns whether another data centre has sent a report within its timeout; nothing if no
     * instance of another data centre is known.
     */
    std::optional<bool> hearsOtherDataCentres(time_point now) const;

    /** \returns the live instances that reach the store, this one included, in an order that all
     * instances agree on.
     */
    std::vector<instance_id> inAgreedOrder(time_point now) const;

    /** \returns whether this instance is the first of its data centre in the order of
     * inAgreedOrder(). */
    bool isFirstOfDataCentre(time_point now) const;

    /** \returns the registered instances that have sent no report within peer_policy::removeAfter.
     */
    std::vector<instance_incarnation> expiredRegistrations(time_point now) const;

    /** \returns whether every instance sends full reports to every other one. */
    bool sendsFullReportsToAll() const { return m_peers.size() < m_policy.maxFullMeshInstances; }

    /** \returns the time between two reports to the same instance. */
    duration reportInterval() const;
    /** \returns the time between two full reports. */
    duration fullReportInterval() const;
    /** \returns the time without a report after which an instance is unresponsive. */
    duration reportTimeout() const;

private:
    struct peer
    {
        instance_incarnation run; ///< its last known incarnation
        bool isRegistered = false;
        std::optional<time_point> lastHeard; ///< time of the last report
        std::optional<time_point> refusedAt; ///< time of the last refused connection
        time_point firstKnown; ///< time at which the instance was first registered or heard
        peer_report report; ///< its last report
    };

    /** \brief Whether the instance may still use a primary view.
     *
     * An instance whose process has ended holds no view, and its next incarnation has to obtain
     * one.
     */
    bool mayUseViews(const peer &each, time_point now) const;

    instance_incarnation m_self;
    peer_policy m_policy;
    std::map<instance_id, peer> m_peers;
};

} // namespace sycamorespan

#endif
