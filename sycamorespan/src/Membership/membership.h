#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_H

#include "sycamorespan/src/Core/random_source.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Membership/membership_message.h"
#include "sycamorespan/src/Membership/membership_view.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief Constants of membership. */
struct membership_policy
{
    duration heartbeatInterval = 1s;
    std::size_t monitors = 3; ///< instances that watch an instance
    std::size_t suspecting = 2; ///< monitors that must agree
    duration suspectAfter = 2500ms; ///< silence of a watched instance
    duration goneAfter = 5s; ///< after the suspicion
    duration forgetAfter = 10min; ///< a gone member that the platform doesn't list
    duration dataCentreSilentAfter = 4s;
    duration newsInterval = 100ms; ///< least time between two rounds of news
    std::size_t newsFanOut = 4; ///< receivers in a round
    std::size_t newsRounds = 3; ///< rounds in which a piece of news is sent
    std::size_t recordsPerMessage = 8;
    duration repairInterval = 1s; ///< between two requests for records while digests differ
    std::size_t recordsPerPage = 16;

    bool operator==(const membership_policy &) const = default;
};

namespace membership_event {

/** \brief The platform's list was read; it lags. Members have boot 0 and state live or leaving. */
struct list_read
{
    std::vector<member> members;
};

struct message_received
{
    membership_message message;
};

/** \brief A pool or supervisor saw that a backend server leaves or is back. */
struct server_reported
{
    member_id server;
    member_state state = member_state::leaving;
};

/** \brief This instance begins its graceful shutdown. */
struct leave
{ };

/** \brief This instance has finished its work. */
struct left
{ };

struct tick
{ };

} // namespace membership_event

using membership_input =
        std::variant<membership_event::list_read, membership_event::message_received,
                     membership_event::server_reported, membership_event::leave,
                     membership_event::left, membership_event::tick>;

namespace membership_action {

/** \brief Send to another agent; the message may be lost. */
struct send_message
{
    member_id to;
    std::string address;
    membership_message message;

    bool operator==(const send_message &) const = default;
};

struct view_changed
{
    membership_view view;

    bool operator==(const view_changed &) const = default;
};

} // namespace membership_action

using membership_output =
        std::variant<membership_action::send_message, membership_action::view_changed>;

/** \brief One agent's knowledge of all members.
 *
 * Each instance sends a heartbeat to a few fixed monitors and to one instance of another data
 * centre in turn. News (a member that joins, leaves or is suspected) goes at once to a few random
 * instances, which pass it on a few times. What a message loses is repaired by comparing digests.
 * So every instance sends and receives the same small number of messages, whatever the fleet's
 * size.
 */
class membership
{
public:
    /** \param self    this instance: boot must be greater than that of any run before; it is raised
     *                 when a peer knows a greater one
     *  \param policy  constants, the same for all agents
     *  \param random  chooses receivers
     */
    membership(member self, const membership_policy &policy, random_source random, time_point now);

    std::vector<membership_output> handle(const membership_input &event, time_point now);

    /** \returns when a tick is due. */
    time_point nextDeadline() const;

    const membership_view &view() const { return m_view; }
    const member &self() const { return m_self; }

private:
    using outputs = std::vector<membership_output>;

    struct record
    {
        member known;
        bool listed = false; ///< in the platform's list
        std::set<member_id> reporters; ///< of suspicions of this version
        time_point changed; ///< when state or version changed here
        time_point heard; ///< last message from it, if this instance watches it
        std::size_t newsLeft = 0; ///< times that the record is still to be sent as news
    };
    struct pending_suspicion
    {
        suspicion news;
        std::size_t newsLeft = 0;
    };
    struct centre_record
    {
        std::uint64_t beat = 0;
        time_point risen;
    };

    void on(const membership_event::list_read &event, time_point now, outputs &actions);
    void on(const membership_event::message_received &event, time_point now, outputs &actions);
    void on(const membership_event::server_reported &event, time_point now, outputs &actions);
    void on(const membership_event::leave &event, time_point now, outputs &actions);
    void on(const membership_event::left &event, time_point now, outputs &actions);
    void on(const membership_event::tick &event, time_point now, outputs &actions);

    void learn(const member &update, time_point now);
    void learnOfSelf(const member &update, time_point now);
    void learn(const suspicion &news, time_point now);
    void learn(const data_centre_beat &news, time_point now);
    void raiseSelf(std::uint64_t boot, std::uint64_t version, member_state state, time_point now);
    void watch(time_point now);
    void expire(time_point now);
    void sendHeartbeats(time_point now, outputs &actions);
    void sendNews(time_point now, outputs &actions);
    void answerPage(const membership_message &request, outputs &actions);
    void send(const member &to, membership_message message, outputs &actions) const;
    membership_message heartbeat();
    void addNews(membership_message &message);
    void publish(time_point now, outputs &actions);
    void updateRing();
    std::vector<member> successors() const;
    std::vector<member_id> predecessors() const;
    std::vector<member> reachableInstances() const;
    std::optional<member> otherCentreTarget();
    bool hasNews() const;
    std::uint64_t digest() const;
    std::vector<data_centre_id> silentCentres(time_point now) const;

    member m_self;
    membership_policy m_policy;
    random_source m_random;
    std::map<member_id, record> m_records;
    std::map<data_centre_id, centre_record> m_centres;
    std::vector<pending_suspicion> m_suspicions;
    std::vector<member_id> m_ring; ///< instances that are not gone, by data centre and hash
    std::set<member_id> m_watched;
    std::size_t m_centreTurn = 0;
    time_point m_nextHeartbeat;
    time_point m_nextNews;
    time_point m_nextRepair;
    std::optional<member_id> m_repairAfter;
    bool m_digestsDiffer = false;
    membership_view m_view;
};

} // namespace sycamorespan

#endif
