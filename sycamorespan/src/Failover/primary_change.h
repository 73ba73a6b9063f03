#ifndef SYCAMORESPAN_FAILOVER_PRIMARY_CHANGE_H
#define SYCAMORESPAN_FAILOVER_PRIMARY_CHANGE_H

#include "sycamorespan/src/Failover/group_control.h"
#include "sycamorespan/src/Failover/group_view.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Timeouts and retry settings of a primary_change. */
struct primary_change_settings
{
    duration callTimeout = 300ms; ///< timeout of a call, which is then repeated on a new connection
    duration retryInterval = 50ms; ///< pause before a call is repeated
    duration statusQueryTimeout = 100ms; ///< time after which answers of a majority suffice
    duration attemptTimeout = 1s; ///< timeout of each stage; then a higher term is tried
    std::size_t maximumPromotionFailures = 3; ///< failed calls after which a higher term is tried
};

/** \brief Reason and preferences of an attempt to change the primary. */
struct change_request
{
    /** The primary that was found unresponsive, deposed or stalled; nothing if none is known. */
    std::optional<server_id> suspected;
    /** Member to promote if no other member has a longer log. */
    std::optional<server_id> preferred;
    /** Whether to replace a primary that is found to be serving. */
    bool replaceServingPrimary = false;

    auto operator<=>(const change_request &) const = default;
};

/** \brief Result: the primary of \a view was promoted. */
struct change_completed
{
    group_view view;

    bool operator==(const change_completed &) const = default;
};

/** \brief Result: the group has a serving primary, so that nothing was changed. */
struct change_unnecessary
{
    group_view view;

    bool operator==(const change_unnecessary &) const = default;
};

/** \brief Result: no member that answered is primary, and \a server did not answer.
 *
 * Nothing was changed, because no suspicion of that server has been confirmed yet.
 */
struct primary_unresponsive
{
    server_id server;
    term_number highestTerm = 0;

    auto operator<=>(const primary_unresponsive &) const = default;
};

/** \brief Result: the attempt was abandoned because another supervisor was faster or too few
 * members answered. A later attempt needs a new token.
 */
struct change_abandoned
{
    term_number highestTerm = 0; ///< the highest term seen

    auto operator<=>(const change_abandoned &) const = default;
};

using change_result =
        std::variant<change_completed, change_unnecessary, primary_unresponsive, change_abandoned>;

/** \brief Output: a call to a member, or the result, after which there is no further output. */
using primary_change_action = std::variant<call_member, change_result>;

/** \brief One attempt to give a group a new primary, in one term and with one token.
 *
 * The attempt queries the status of the members, fences all of them in a term above any reported
 * one, waits for a majority, and promotes the fenced member with the highest (term, offset). It
 * promotes at most one member: a promotion without an answer is repeated on the same member only.
 * An attempt may be dropped at any point. A later attempt, of any instance, can always take
 * over.
 */
class primary_change
{
public:
    /** \param settings  timeouts and retry settings
     * \param group  the configured members
     * \param request  why the change is tried
     * \param token  unique to this attempt over all instances and their restarts
     * \param lowestTerm  a term known to be in use
     * \param series  makes the call ids of this object unique
     */
    primary_change(const primary_change_settings &settings, group_configuration group,
                   change_request request, std::string token, term_number lowestTerm,
                   std::uint64_t series);

    std::vector<primary_change_action> start(time_point now);
    std::vector<primary_change_action> handle(const call_returned &event, time_point now);
    std::vector<primary_change_action> handle(const time_passed &event, time_point now);

    std::optional<time_point> nextDeadline() const;

    /** \returns the term in which this attempt fences; 0 until the status query has ended. */
    term_number term() const { return m_term; }

private:
    enum class stage { queryingStatus, fencing, promoting, done };
    struct pending_call
    {
        std::uint64_t number = 0;
        time_point deadline;
    };
    using actions = std::vector<primary_change_action>;

    void enter(stage next, time_point now);
    group_operation stageOperation() const;
    void callAll(time_point now, actions &out);
    void call(const server_id &server, bool freshConnection, time_point now, actions &out);
    void callFailed(const server_id &server, time_point now, actions &out);
    void expireCalls(time_point now, actions &out);
    void repeatCalls(time_point now, actions &out);

    void onAnswer(const server_id &server, const member_status &status, time_point now,
                  actions &out);
    void onAnswer(const server_id &server, const position_answer &answer, time_point now,
                  actions &out);
    void onAnswer(const server_id &server, const call_refused &refusal, time_point now,
                  actions &out);
    void onAnswer(const server_id &server, const call_failed &failure, time_point now,
                  actions &out);
    void onAnswer(const server_id &server, const sessions_ended &unexpected, time_point now,
                  actions &out);

    void endStatusQueryIfComplete(time_point now, actions &out);
    std::optional<group_view> servingView() const;
    std::optional<server_id> firstUnresponsive() const;
    server_id memberWithLongestLog() const;
    void startPromoting(time_point now, actions &out);
    void complete(actions &out);
    void abandon(actions &out);
    void finish(change_result result, actions &out);

    primary_change_settings m_settings;
    group_configuration m_group;
    change_request m_request;
    std::string m_token;
    term_number m_highestTerm;
    std::uint64_t m_series;
    stage m_stage = stage::queryingStatus;
    term_number m_term = 0;
    std::uint64_t m_lastCallNumber = 0;
    std::map<server_id, pending_call> m_calls;
    std::map<server_id, time_point> m_repeatAt;
    std::map<server_id, member_status> m_statuses;
    std::map<server_id, log_position> m_fenced;
    std::set<server_id> m_refused;
    server_id m_candidate;
    std::size_t m_failedPromotions = 0;
    time_point m_stageBeganAt;
};

} // namespace sycamorespan

#endif
