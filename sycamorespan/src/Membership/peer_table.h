#ifndef SYCAMORESPAN_MEMBERSHIP_PEER_TABLE_H
#define SYCAMORESPAN_MEMBERSHIP_PEER_TABLE_H

#include "sycamorespan/src/Membership/peer_report.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamorespan {

/** \brief Time limits of a peer_table, scaled with the number of instances. */
struct peer_policy
{
    duration reportInterval = 150ms; ///< of a small fleet
    std::size_t smallFleet = 12; ///< instances that tell each other everything
    /** Interval of full reports to and from the supervisor in a larger fleet: a fifth of a view's
     * validity.
     */
    duration supervisorInterval = 500ms;
    duration intervalPerInstance = 24ms; ///< bounds an instance's brief reports to 42 a second
    int missedReports = 5; ///< until an instance counts as silent
    int missedBriefReports = 3;
    duration reportDelay = 100ms; ///< of a report on its way, with a busy sender
    duration dataCentreSilence = 750ms; ///< of all instances of the other data centres
    duration forgetAfter = 60s; ///< of silence, unless registered again

    auto operator<=>(const peer_policy &) const = default;
};

/** \brief The other instances, as their rows in the store and their reports show them. */
class peer_table
{
public:
    peer_table(instance_run self, const peer_policy &policy);

    /** \brief The rows of all instances, as read at \a now. */
    void setRegistered(const std::vector<instance_run> &instances, time_point now);

    /** \brief Takes a report. \returns whether it is from a run of an instance not known before. */
    bool received(const peer_report &report, time_point now);

    /** \brief Nothing listens at the address of \a instance: its process ended. */
    void refused(const instance_id &instance, time_point now);

    /** \returns all instances that reports go to. */
    std::vector<instance_run> targets(time_point now) const;

    /** \returns the runs heard within the limit. */
    std::vector<instance_run> live(time_point now) const;

    /** \returns the live instances and those that may become live: registered within the limit and
     * not heard yet.
     */
    std::vector<instance_run> askable(time_point now) const;

    /** \returns the run of \a instance that is known; nothing if none is. */
    std::optional<instance_run> runOf(const instance_id &instance) const;

    /** \returns the last report of \a instance. */
    const peer_report *reportOf(const instance_id &instance) const;
    /** \returns the reports of instances that have missed at most one full report: an instance that
     * was cut off has no say any more.
     */
    std::vector<const peer_report *> recentReports(time_point now) const;
    std::optional<duration> silence(const instance_id &instance, time_point now) const;
    bool isLive(const instance_id &instance, time_point now) const;

    /** \returns instances that share rates and connections, this one included. */
    std::size_t instanceCount(time_point now) const;

    /** \returns statements that live instances run at \a server. */
    std::size_t othersWorking(const server_id &server, time_point now) const;

    /** \returns whether every other instance that may use a view has released all views of
     * \a database before \a revision.
     */
    bool released(const database_id &database, std::uint64_t revision, time_point now) const;

    /** \returns the registered instances that are neither this one nor known to have ended. */
    std::set<instance_id> registered() const;

    /** \returns whether an instance of another data centre was heard within the limit; nothing if
     * there is none.
     */
    std::optional<bool> hearsOtherDataCentres(time_point now) const;

    /** \returns the live instances that reach the store, this one included, in an order that is the
     * same for all.
     */
    std::vector<instance_id> ranked(time_point now) const;

    /** \returns whether this instance is the first of its data centre in that order. */
    bool isFirstOfDataCentre(time_point now) const;

    /** \returns registered instances that have been silent for long. */
    std::vector<instance_run> forgotten(time_point now) const;

    /** \returns whether every instance tells every other one everything. */
    bool isSmall() const { return m_peers.size() < m_policy.smallFleet; }

    /** \returns the time between two reports to the same instance. */
    duration interval() const;
    /** \returns the time between two full reports. */
    duration fullInterval() const;
    duration silenceLimit() const;

private:
    struct peer
    {
        instance_run run;
        bool isRegistered = false;
        std::optional<time_point> heard;
        std::optional<time_point> refused;
        time_point added;
        peer_report report;
    };

    bool mayUseViews(const peer &each, time_point now) const;

    instance_run m_self;
    peer_policy m_policy;
    std::map<instance_id, peer> m_peers;
};

} // namespace sycamorespan

#endif
