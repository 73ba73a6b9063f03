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

struct primary_change_settings
{
    duration callTimeout = 500ms; ///< of one call; then it is repeated on a fresh connection
    duration surveyTimeout = 250ms; ///< after which a majority of answers is enough
    duration attemptTimeout = 2s; ///< of one term; then a higher one is tried
};

/** \brief Result: \a view's primary was promoted. */
struct change_completed
{
    group_view view;

    bool operator==(const change_completed &) const = default;
};

/** \brief Result: a primary is in office, nothing was changed. */
struct change_unneeded
{
    group_view view;

    bool operator==(const change_unneeded &) const = default;
};

/** \brief Result: another supervisor was faster or too few members answered; a later attempt
 * needs a new token. */
struct change_abandoned
{
    term_number highestTerm = 0; ///< the highest term seen

    auto operator<=>(const change_abandoned &) const = default;
};

using change_result = std::variant<change_completed, change_unneeded, change_abandoned>;

/** \brief Output: calls to members, or the result, after which the object is done. */
using primary_change_action = std::variant<call_member, change_result>;

/** \brief One attempt to give a group a new primary, in one term, under one token.
 *
 * Surveys the members; fences all in a term above any seen and waits for a majority; promotes
 * the member with the highest (term, offset) among the fenced. An attempt promotes at most
 * one member: a promotion without answer is repeated on the same member only. An attempt that
 * is dropped at any point leaves nothing that a later attempt, of anybody, can't take over.
 */
class primary_change
{
public:
    /** \param settings  timeouts
     * \param group  the configured members
     * \param token  unique to this attempt over all instances and their restarts
     * \param lowestTerm  a term known to be in use
     * \param suspected  the primary that is to be replaced; empty where none is known
     * \param series  makes the call ids of this object unique
     */
    primary_change(const primary_change_settings &settings, group_configuration group,
                   std::string token, term_number lowestTerm, std::optional<server_id> suspected,
                   std::uint64_t series);

    std::vector<primary_change_action> start(time_point now);
    std::vector<primary_change_action> handle(const call_returned &event, time_point now);
    std::vector<primary_change_action> handle(const time_passed &event, time_point now);

    std::optional<time_point> nextDeadline() const;

    /** \returns the term this attempt fences; 0 before the survey is over. */
    term_number term() const { return m_term; }

private:
    enum class stage { surveying, fencing, promoting, done };
    struct pending_call
    {
        server_id server;
        time_point deadline;
    };
    using actions = std::vector<primary_change_action>;

    void call(const server_id &server, const group_operation &operation, bool freshConnection,
              time_point now, actions &out);
    group_operation stageOperation() const;
    void callFailed(const server_id &server, time_point now, actions &out);
    void take(const server_id &server, const member_status &status, time_point now, actions &out);
    void take(const server_id &server, const position_answer &answer, time_point now, actions &out);
    void take(const server_id &server, const call_refused &refusal, time_point now, actions &out);

    void endSurveyIfComplete(time_point now, actions &out);
    std::optional<group_view> servingView() const;
    void startFencing(time_point now, actions &out);
    void startPromoting(time_point now, actions &out);
    server_id longestLog() const;
    void complete(actions &out);
    void abandon(actions &out);
    void finish(change_result result, actions &out);

    primary_change_settings m_settings;
    group_configuration m_group;
    std::string m_token;
    term_number m_highestTerm;
    std::optional<server_id> m_suspected;
    std::uint64_t m_series;
    stage m_stage = stage::surveying;
    term_number m_term = 0;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, pending_call> m_calls;
    std::map<server_id, member_status> m_statuses;
    std::set<server_id> m_unreachable;
    std::map<server_id, log_position> m_fenced;
    server_id m_candidate;
    time_point m_surveyDeadline;
    time_point m_deadline;
};

} // namespace sycamorespan

#endif
