#ifndef SYCAMORESPAN_FAILOVER_FAILURE_DETECTOR_H
#define SYCAMORESPAN_FAILOVER_FAILURE_DETECTOR_H

#include "sycamorespan/src/Failover/group_control.h"
#include "sycamorespan/src/Failover/group_view.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Intervals, timeouts and thresholds of a failure_detector. */
struct failure_detector_settings
{
    duration probeInterval = 500ms; ///< time from an answer to the next probe
    duration probeTimeout = 300ms; ///< timeout of a probe on the existing connection
    duration minimumFreshTimeout = 700ms; ///< minimum timeout of a probe on a new connection
    duration maximumFreshTimeout = 4s; ///< maximum timeout of a probe on a new connection
    unsigned freshTimeoutFactor = 4; ///< ratio of this timeout to the slowest recent answer
    duration verificationTimeout = 200ms; ///< timeout of the second round, which must agree
    duration stallTimeout = 3s; ///< time without majority-held progress after which it is stalled
    std::size_t requiredDataCentres = 2; ///< data centres that must agree on a suspicion
};

/** \brief Health of a primary as one observer sees it. */
enum class primary_health {
    healthy,
    unresponsive, ///< refused a new connection or did not answer on it
    deposed, ///< reports that it isn't the primary of the term
};

/** \brief Action: have one agent of each other data centre probe the primary on a new connection
 * and answer with an observer_report.
 */
struct query_observers
{
    std::uint64_t round = 0;
    server_id server;
    term_number term = 0;
    duration timeout = duration::zero();

    auto operator<=>(const query_observers &) const = default;
};

/** \brief Event: an observer reported the health of the primary. */
struct observer_report
{
    std::uint64_t round = 0;
    data_centre_id dataCentre;
    primary_health health = primary_health::healthy;

    auto operator<=>(const observer_report &) const = default;
};

/** \returns the health that an observer reports for an answer, or a failed call, of the primary of
 * \a term.
 */
primary_health healthOf(const group_answer &answer, term_number term);

/** \brief Why a primary is suspected. */
enum class suspicion_cause {
    unresponsive, ///< does not answer the required number of data centres
    deposed, ///< reports that it isn't the primary of the term
    stalled, ///< answers, but its followers don't confirm new positions
};

/** \brief Output: the primary should be replaced. */
struct primary_suspected
{
    suspicion_cause cause = suspicion_cause::unresponsive;

    auto operator<=>(const primary_suspected &) const = default;
};

/** \brief Output: a suspected primary answers again. */
struct primary_recovered
{
    auto operator<=>(const primary_recovered &) const = default;
};

using failure_detector_action =
        std::variant<call_member, query_observers, primary_suspected, primary_recovered>;

/** \brief Distinguishes a failed primary from a failed connection and from a slow primary.
 *
 * The detector probes the primary on an existing connection. If there is no answer, it opens a new
 * connection and queries observers in other data centres at the same time. The primary is suspected
 * only if the probe on the new connection fails too, at least the required number of data centres
 * agree, more data centres find it unhealthy than healthy, and a second, shorter round gives the
 * same result. Without the second round, losses that affect several data centres one after the
 * other would add up to a suspicion. The timeout grows with the primary's recent answer times.
 */
class failure_detector
{
public:
    /** \param settings  intervals, timeouts and the number of data centres that must agree
     * \param view  names the primary that is watched
     * \param ownDataCentre  data centre of this agent
     * \param series  makes the call ids of this object unique
     */
    failure_detector(const failure_detector_settings &settings, group_view view,
                     data_centre_id ownDataCentre, std::uint64_t series);

    std::vector<failure_detector_action> start(time_point now);
    std::vector<failure_detector_action> handle(const call_returned &event, time_point now);
    std::vector<failure_detector_action> handle(const observer_report &event, time_point now);
    std::vector<failure_detector_action> handle(const time_passed &event, time_point now);

    /** \brief Probes now instead of at the next interval, because a proxy got no answer. */
    std::vector<failure_detector_action> probeNow(time_point now);

    std::optional<time_point> nextDeadline() const;

    /** \returns how often a new connection was answered after the existing one was not. */
    std::uint64_t deadConnections() const { return m_failedConnections; }

    /** \returns the timeout of a probe on a new connection. */
    duration freshTimeout() const;

private:
    enum class phase { idle, probing, confirming, confirmed };
    using actions = std::vector<failure_detector_action>;

    void sendProbe(bool freshConnection, time_point now, duration timeout, actions &out);
    void startProbing(time_point now, actions &out);
    void startConfirming(duration timeout, time_point now, actions &out);
    void probeFailed(time_point now, actions &out);
    void onStatus(const call_returned &event, time_point now, actions &out);
    void onHealthyStatus(const member_status &status, time_point now, actions &out);
    void watchProgress(const member_status &status, time_point now, actions &out);
    void suspectIfAgreed(time_point now, actions &out);
    void suspect(suspicion_cause cause, actions &out);

    failure_detector_settings m_settings;
    group_view m_view;
    std::vector<server_id> m_members;
    data_centre_id m_ownDataCentre;
    std::uint64_t m_series;
    phase m_phase = phase::idle;
    bool m_suspected = false;
    bool m_isSecondRound = false;
    std::uint64_t m_lastCallNumber = 0;
    std::uint64_t m_round = 0;
    time_point m_sentAt;
    time_point m_deadline;
    std::map<data_centre_id, primary_health> m_reports;
    std::deque<duration> m_answerTimes;
    std::optional<log_position> m_heldPosition;
    std::optional<time_point> m_behindSince;
    std::uint64_t m_failedConnections = 0;
};

} // namespace sycamorespan

#endif
