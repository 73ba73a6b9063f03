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

struct failure_detector_settings
{
    duration probeInterval = 500ms; ///< from an answer to the next probe
    duration probeTimeout = 300ms; ///< on the kept connection
    duration minimumPatience = 700ms; ///< with a fresh connection
    duration maximumPatience = 4s;
    unsigned patienceFactor = 4; ///< patience in units of the slowest recent answer
    duration verificationPatience = 200ms; ///< of the second round that must agree
    duration stallTime = 3s; ///< without any majority-held progress
    std::size_t requiredDataCentres = 2; ///< that must agree on a suspicion
};

/** \brief What one observer says of a primary. */
enum class primary_health {
    healthy,
    silent, ///< refused or did not answer a fresh connection
    deposed, ///< says itself that it isn't primary of the term
};

/** \brief Action: let one agent of each other data centre probe the primary with a fresh
 * connection and answer with observer_report. */
struct ask_observers
{
    std::uint64_t round = 0;
    server_id server;
    term_number term = 0;
    duration patience = duration::zero();

    auto operator<=>(const ask_observers &) const = default;
};

/** \brief Event: what an observer found. */
struct observer_report
{
    std::uint64_t round = 0;
    data_centre_id dataCentre;
    primary_health health = primary_health::healthy;

    auto operator<=>(const observer_report &) const = default;
};

/** \returns what an observer reports of an answer, or of a failed call, of the primary of
 * \a term. */
primary_health healthOf(const group_answer &answer, term_number term);

enum class suspicion_cause {
    silent,
    deposed,
    stalled, ///< answers, but its followers don't confirm
};

/** \brief Output: the primary should be replaced. */
struct primary_suspected
{
    suspicion_cause cause = suspicion_cause::silent;

    auto operator<=>(const primary_suspected &) const = default;
};

/** \brief Output: a primary that was suspected answers again. */
struct primary_recovered
{
    auto operator<=>(const primary_recovered &) const = default;
};

using failure_detector_action =
        std::variant<call_member, ask_observers, primary_suspected, primary_recovered>;

/** \brief Tells a dead primary from a dead connection and from a slow primary.
 *
 * Probes the primary over a kept connection. Without an answer it tries a fresh one and asks
 * observers of other data centres at the same time; only if the fresh one fails too, and at
 * least the required number of data centres agree, and more find it silent than healthy, and a
 * second, shorter round says the same, the primary is suspected. The second round keeps losses that
 * hit several data centres one after the other from adding up. The patience grows with the
 * primary's recent answer times.
 */
class failure_detector
{
public:
    /** \param settings  intervals and the data centres that must agree
     * \param view  names the primary that is watched
     * \param ownDataCentre  where this agent runs
     * \param series  makes the call ids of this object unique
     */
    failure_detector(const failure_detector_settings &settings, group_view view,
                     data_centre_id ownDataCentre, std::uint64_t series);

    std::vector<failure_detector_action> start(time_point now);
    std::vector<failure_detector_action> handle(const call_returned &event, time_point now);
    std::vector<failure_detector_action> handle(const observer_report &event, time_point now);
    std::vector<failure_detector_action> handle(const time_passed &event, time_point now);

    /** \brief Somebody missed an answer: probe now instead of at the next interval. */
    std::vector<failure_detector_action> probeNow(time_point now);

    std::optional<time_point> nextDeadline() const;

    /** \returns how often a fresh connection was answered after the kept one was not. */
    std::uint64_t deadConnections() const { return m_deadConnections; }

    /** \returns how long a fresh connection is waited for. */
    duration patience() const;

private:
    enum class phase { idle, probing, confirming, confirmed };
    using actions = std::vector<failure_detector_action>;

    void sendProbe(bool freshConnection, time_point now, duration timeout, actions &out);
    void startProbing(time_point now, actions &out);
    void startConfirming(duration patience, time_point now, actions &out);
    void probeFailed(time_point now, actions &out);
    void takeStatus(const call_returned &event, time_point now, actions &out);
    void takeHealthy(const member_status &status, time_point now, actions &out);
    void watchProgress(const member_status &status, time_point now, actions &out);
    void decide(time_point now, actions &out);
    void suspect(suspicion_cause cause, actions &out);

    failure_detector_settings m_settings;
    group_view m_view;
    std::vector<server_id> m_members;
    data_centre_id m_ownDataCentre;
    std::uint64_t m_series;
    phase m_phase = phase::idle;
    bool m_suspected = false;
    bool m_isVerifying = false;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_round = 0;
    time_point m_sentAt;
    time_point m_deadline;
    std::map<data_centre_id, primary_health> m_reports;
    std::deque<duration> m_answerTimes;
    std::optional<log_position> m_held;
    std::optional<time_point> m_behindSince;
    std::uint64_t m_deadConnections = 0;
};

} // namespace sycamorespan

#endif
