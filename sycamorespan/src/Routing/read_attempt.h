#ifndef SYCAMORESPAN_ROUTING_READ_ATTEMPT_H
#define SYCAMORESPAN_ROUTING_READ_ATTEMPT_H

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "sycamorespan/src/Routing/read_request.h"
#include "sycamorespan/src/Routing/replica_selector.h"

namespace sycamorespan {

/** \brief Number of one execution of a read; answers carry it back. */
using execution_id = std::uint64_t;

/** \brief Action: run the read on \a server, after `group_position()` in the same round trip.
 *
 * The position is queried in a separate transaction, so that the read's snapshot is later.
 */
struct run_read
{
    execution_id execution = 0;
    server_id server;

    auto operator<=>(const run_read &) const = default;
};

/** \brief Action: query `group_position()` of every member now, and add each report to the view. */
struct confirm_term
{
    auto operator<=>(const confirm_term &) const = default;
};

/** \brief Action: call onTimer() at \a at. */
struct wait_until
{
    time_point at;

    auto operator<=>(const wait_until &) const = default;
};

/** \brief Action: deliver the answer, which is proved new enough, and update the session's floor
 * from its proof.
 * \sa session_floor::after()
 */
struct deliver_answer
{
    execution_id execution = 0;
    member_report proof;

    auto operator<=>(const deliver_answer &) const = default;
};

/** \brief Action: discard the answer, which is not proved new enough. */
struct discard_answer
{
    execution_id execution = 0;

    auto operator<=>(const discard_answer &) const = default;
};

/** \brief Action: route the statement as a write, because a member refused to run it as a read. */
struct reroute_as_write
{
    auto operator<=>(const reroute_as_write &) const = default;
};

/** \brief Reason why a read is refused. */
enum class read_refusal {
    noMember, ///< no member that is new enough answered before the deadline
    termUnconfirmed, ///< no majority confirmed before the deadline that no later term has a primary
};

/** \brief Action: refuse the read. */
struct refuse_read
{
    read_refusal reason = read_refusal::noMember;
    bool notRun = true; ///< whether the read was never sent to a member

    auto operator<=>(const refuse_read &) const = default;
};

/** \brief Actions that the owner of a read_attempt carries out. */
using read_action = std::variant<run_read, confirm_term, wait_until, deliver_answer, discard_answer,
                                 reroute_as_write, refuse_read>;

/** \brief Reason why an execution ended without an answer. */
enum class read_failure {
    notSent, ///< no connection or slot in time, or refused by the member, such as a fenced one
    connectionLost, ///< the connection was unresponsive or closed after the read was sent
    notReadOnly, ///< SQLSTATE 25006: the member refused to run the statement
};

/** \brief Limits and intervals of a read_attempt. */
struct read_policy
{
    int maximumReplicaAttempts = 2; ///< after these, only the primary is tried
    duration retryInterval = 20ms; ///< time between attempts while no member or majority answers

    auto operator<=>(const read_policy &) const = default;
};

/** \brief Runs one read on members of a group until an answer is proved new enough.
 *
 * An answer is delivered only if it includes the session's floor and every write that was
 * acknowledged before the read's requiredCompleteUntil(). Events are passed with the current view
 * of the group. After deliver_answer, reroute_as_write or refuse_read the attempt is finished and
 * ignores events.
 */
class read_attempt
{
public:
    read_attempt(const replica_selector &selector, read_policy policy, read_request request);

    /** \brief Starts the attempt. \returns the actions to carry out now, in order. */
    std::vector<read_action> start(const routing_view &view, time_point now);

    /** \brief Handles the answer of an execution.
     * \param report  the proof received with the answer
     */
    std::vector<read_action> onAnswer(execution_id execution, const member_report &report,
                                      const routing_view &view, time_point now);
    /** \brief Handles an execution that ended without an answer. */
    std::vector<read_action> onFailure(execution_id execution, read_failure failure,
                                       const routing_view &view, time_point now);
    /** \brief Handles the expiry of the last wait_until. */
    std::vector<read_action> onTimer(const routing_view &view, time_point now);
    /** \brief Handles a new view, which may confirm the term of a held answer. */
    std::vector<read_action> onViewChanged(const routing_view &view, time_point now);

    bool isFinished() const noexcept { return m_state == state::finished; }

private:
    enum class state { idle, waiting, running, holdingAnswer, finished };

    std::vector<read_action> chooseMember(const routing_view &view, time_point now);
    std::vector<read_action> run(const read_candidate &candidate, const routing_view &view,
                                 time_point now);
    std::vector<read_action> wait(time_point until);
    std::vector<read_action> evaluateAnswer(const routing_view &view, time_point now);
    std::vector<read_action> holdAnswer(time_point now);
    std::vector<read_action> deliver();
    std::vector<read_action> discard(const routing_view &view, time_point now);
    std::vector<read_action> refuse(read_refusal reason);
    bool meetsOtherConditions(const member_report &report, const routing_view &view) const;
    std::vector<read_candidate> untriedCandidates(const routing_view &view, time_point now) const;

    const replica_selector &m_selector;
    read_policy m_policy;
    read_request m_request;
    state m_state = state::idle;
    execution_id m_execution = 0;
    int m_replicaAttempts = 0;
    bool m_waitedForCatchUp = false;
    bool m_mayHaveRun = false; // whether a member may have run the read
    std::set<server_id> m_triedServers;
    std::optional<member_report> m_proof; // proof of the held answer
    server_id m_server; // server of the current execution
};

} // namespace sycamorespan

#endif
