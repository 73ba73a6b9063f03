#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_H

#include "sycamorespan/src/Core/random_source.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Membership/membership_message.h"
#include "sycamorespan/src/Membership/membership_view.h"
#include "sycamorespan/src/Quota/token_bucket.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Timing and bounds of membership; all agents must use the same values. */
struct membership_policy
{
    duration heartbeatInterval = 1s; ///< time between two heartbeats of an instance
    std::size_t monitors = 3; ///< number of instances that monitor one instance
    std::size_t suspicionQuorum = 2; ///< number of monitors that must report a suspicion
    duration suspectAfter = 2500ms; ///< time without a message after which a monitor suspects
    duration suspectWithoutQuorumAfter = 12s; ///< time after which one monitor suffices
    duration suspicionReportInterval = 5s; ///< time between two reports of one suspicion
    duration removeAfter = 5s; ///< time in state suspected before state removed
    duration eraseAfter = 10min; ///< time in state removed, for unlisted members
    /** Time without a message after which another data centre counts as unresponsive. */
    duration dataCentreTimeout = 15s;
    duration viewInterval = 100ms; ///< minimum time between two publications of the view
    duration minorChangeDelay = 2s; ///< delay of a view in which no member's state changed
    duration gossipInterval = 100ms; ///< minimum time between two rounds of gossip
    std::size_t gossipFanOut = 4; ///< receivers of a round of gossip
    std::int64_t gossipBytesPerSecond = 200; ///< mean rate of non-urgent gossip
    std::int64_t gossipBytesBurst = 12'000; ///< gossip that may be sent at once after a pause
    std::size_t urgentGossipRounds = 5; ///< rounds that send a record whose state is not live
    std::size_t gossipRounds = 3; ///< rounds that send any other update
    std::size_t recordsPerMessage = 8; ///< maximum of updates, and of suspicions, in a message
    duration antiEntropyInterval = 2s; ///< time between two page requests while digests differ
    std::size_t recordsPerPage = 8; ///< maximum of records in the answer to a page request

    bool operator==(const membership_policy &) const = default;
};

namespace membership_event {

/** \brief The platform's list was read. It lags behind; its members have incarnation 0 and state
 * live or draining.
 */
struct list_read
{
    std::vector<member> members;
};

/** \brief A message of another agent was received. */
struct message_received
{
    membership_message message;
};

/** \brief A connection pool or supervisor observed that a backend server drains or is back. */
struct server_reported
{
    member_id server;
    member_state state = member_state::draining;
};

/** \brief This instance starts its graceful shutdown. */
struct shutdown_started
{ };

/** \brief This instance has finished its work. */
struct shutdown_finished
{ };

/** \brief Time has passed; due by membership::nextDeadline(). */
struct tick
{ };

} // namespace membership_event

using membership_input =
        std::variant<membership_event::list_read, membership_event::message_received,
                     membership_event::server_reported, membership_event::shutdown_started,
                     membership_event::shutdown_finished, membership_event::tick>;

namespace membership_action {

/** \brief Send a message to another agent; it may be lost. */
struct send_message
{
    member_id to;
    std::string address;
    membership_message message;

    bool operator==(const send_message &) const = default;
};

/** \brief Use this view from now on. */
struct view_changed
{
    membership_view view;

    bool operator==(const view_changed &) const = default;
};

} // namespace membership_action

using membership_output =
        std::variant<membership_action::send_message, membership_action::view_changed>;

/** \brief State of all members as one agent knows it.
 *
 * Each instance sends heartbeats to a few fixed monitors and to one random instance. An update (a
 * member that joins, shuts down or is suspected) is sent at once to a few random instances, which
 * pass it on a few times. Lost updates are repaired by comparing digests of all records. The number
 * of messages that an instance sends and receives does not depend on the number of instances.
 */
class membership
{
public:
    /** \param self  this instance; its incarnation must be greater than that of every earlier one
     * and is raised when a peer knows a greater one
     * \param policy  timing and bounds, the same for all agents
     * \param random  source of randomness for the choice of receivers
     * \param now  the current time
     */
    membership(member self, const membership_policy &policy, random_source random, time_point now);

    /** \brief Handles one event.
     * \returns the actions to perform, in order
     */
    std::vector<membership_output> handle(const membership_input &event, time_point now);

    /** \returns the time by which a tick is due. */
    time_point nextDeadline() const;

    const membership_view &view() const { return m_view; }
    const member &self() const { return m_self; }

private:
    using outputs = std::vector<membership_output>;

    struct member_record
    {
        member known;
        bool listed = false; ///< whether it is in the platform's list
        std::set<member_id> reporters; ///< monitors that suspect this version
        time_point lastChanged; ///< time at which its state or version last changed here
        time_point lastHeard; ///< time of its last message, if this instance monitors it
        time_point lastReported; ///< time at which this instance last suspected it
        std::size_t sendsLeft = 0; ///< number of messages that are still to carry the record
    };
    struct pending_suspicion
    {
        suspicion report;
        std::size_t sendsLeft = 0; ///< number of messages that are still to carry the report
    };

    void on(const membership_event::list_read &event, time_point now, outputs &actions);
    void on(const membership_event::message_received &event, time_point now, outputs &actions);
    void on(const membership_event::server_reported &event, time_point now, outputs &actions);
    void on(const membership_event::shutdown_started &event, time_point now, outputs &actions);
    void on(const membership_event::shutdown_finished &event, time_point now, outputs &actions);
    void on(const membership_event::tick &event, time_point now, outputs &actions);

    void apply(const member &update, bool isPassedOn, time_point now);
    void refute(const member &update);
    void apply(const suspicion &report, time_point now);
    void queueSuspicion(const suspicion &report);
    void apply(const data_centre_contact &report, time_point now);
    void applyListed(const member &listed, time_point now);
    void applyUnlisted(member_record &record, time_point now);
    void replace(member_record &record, const member &update, time_point now);
    void setState(member_record &record, member_state state, time_point now);
    void queueUpdate(const member_id &id, member_record &record);
    void updateSelf(std::uint64_t incarnation, std::uint64_t version, member_state state);
    void answer(const membership_message &message, time_point now, outputs &actions);
    void applySender(const membership_message &message, time_point now);
    void answerPage(const membership_message &request, outputs &actions);
    void checkWatched(time_point now);
    void expire(time_point now);
    void sendHeartbeats(time_point now, outputs &actions);
    void requestPage(time_point now, outputs &actions);
    void sendGossip(time_point now, outputs &actions);
    void send(const member_id &to, membership_message message, outputs &actions) const;
    membership_message newMessage(bool withContacts) const;
    membership_message messageWithUpdates(bool withContacts);
    token_amount gossipCost(std::size_t receivers) const;
    void publish(time_point now, outputs &actions);
    void updateRings(time_point now);
    std::vector<member_id> randomReceivers(std::size_t count);
    std::optional<member_id> randomInstance() const;
    /** \brief A random instance in state removed that the platform still lists. It may have been
     * removed because of a network partition only.
     */
    std::optional<member_id> randomRemovedInstance() const;
    std::size_t suspicionQuorum() const;
    bool hasUrgentUpdates() const;
    bool hasPendingUpdates() const { return !m_pendingUpdates.empty() || !m_suspicions.empty(); }
    void scheduleView(duration delay);
    void removeFromDigest(const member &known);
    void addToDigest(const member &known);
    std::vector<data_centre_id> unresponsiveCentres(time_point now) const;

    member m_self;
    membership_policy m_policy;
    random_source m_random;
    std::map<member_id, member_record> m_records;
    std::map<data_centre_id, time_point> m_centreLastHeard;
    time_point m_lastResumed; ///< end of the last pause of this process
    std::set<member_id> m_pendingUpdates; ///< records whose sendsLeft is greater than 0
    std::vector<pending_suspicion> m_suspicions;
    std::vector<member_id> m_instances; ///< other instances that are not in state removed
    std::vector<member_id> m_monitors; ///< instances that receive the heartbeats of this one
    std::vector<member_id> m_watched; ///< instances whose heartbeats this one expects
    bool m_ringsChanged = true;
    time_point m_nextHeartbeat;
    time_point m_nextGossip;
    token_bucket m_gossipBudget; ///< bytes that non-urgent gossip may send
    time_point m_nextAntiEntropy;
    time_point m_lastHandled; ///< time of the last event
    member_id m_pageCursor; ///< last record of the last page that was received
    std::uint64_t m_digest = 0; ///< digest of all records that are not in state removed
    bool m_digestsDiffer = false;
    std::optional<time_point> m_viewDue;
    time_point m_lastPublished;
    membership_view m_view;
};

} // namespace sycamorespan

#endif
