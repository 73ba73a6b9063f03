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
    duration callTimeout = 300ms; ///< of one call; then it is repeated on a fresh connection
    duration retryInterval = 50ms; ///< pause before a repetition
    duration surveyTimeout = 100ms; ///< after which a majority of answers is enough
    duration attemptTimeout = 1s; ///< of each stage; then a higher term is tried
    std::size_t promotionTries = 3; ///< failed calls after which a higher term is tried
};

/** \brief Why a change of primary is tried. */
struct change_request
{
    /** The primary that was found silent, deposed or stalled; empty where none is known. */
    std::optional<server_id> suspected;
    /** Promoted if its log is no shorter than the others'. */
    std::optional<server_id> preferred;
    /** Go on although a primary is found in office. */
    bool evenIfServing = false;

    auto operator<=>(const change_request &) const = default;
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

/** \brief Result: no member that answered is primary, and \a server did not answer; as nobody
 * has confirmed a suspicion of it yet, nothing was changed. */
struct primary_unseen
{
    server_id server;
    term_number highestTerm = 0;

    auto operator<=>(const primary_unseen &) const = default;
};

/** \brief Result: another supervisor was faster or too few members answered; a later attempt
 * needs a new token. */
struct change_abandoned
{
    term_number highestTerm = 0; ///< the highest term seen

    auto operator<=>(const change_abandoned &) const = default;
};

using change_result =
        std::variant<change_completed, change_unneeded, primary_unseen, change_abandoned>;

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

    /** \returns the term this attempt fences; 0 before the survey is over. */
    term_number term() const { return m_term; }

private:
    enum class stage { surveying, fencing, promoting, done };
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

    void take(const server_id &server, const member_status &status, time_point now, actions &out);
    void take(const server_id &server, const position_answer &answer, time_point now, actions &out);
    void take(const server_id &server, const call_refused &refusal, time_point now, actions &out);
    void take(const server_id &server, const call_failed &failure, time_point now, actions &out);
    void take(const server_id &server, const sessions_ended &unexpected, time_point now,
              actions &out);

    void endSurveyIfComplete(time_point now, actions &out);
    std::optional<group_view> servingView() const;
    std::optional<server_id> firstSilent() const;
    server_id longestLog() const;
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
    stage m_stage = stage::surveying;
    term_number m_term = 0;
    std::uint64_t m_lastNumber = 0;
    std::map<server_id, pending_call> m_calls;
    std::map<server_id, time_point> m_repeatAt;
    std::map<server_id, member_status> m_statuses;
    std::map<server_id, log_position> m_fenced;
    std::set<server_id> m_refused;
    server_id m_candidate;
    std::size_t m_failedPromotions = 0;
    time_point m_stageStart;
};

} // namespace sycamorespan

#endif
