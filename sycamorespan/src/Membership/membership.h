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

/** \brief Constants of membership. */
struct membership_policy
{
    duration heartbeatInterval = 1s;
    std::size_t monitors = 3; ///< instances that watch an instance
    std::size_t suspecting = 2; ///< monitors that must agree
    duration suspectAfter = 2500ms; ///< silence of a watched instance
    duration suspectAloneAfter = 12s; ///< the same if no other monitor agrees
    duration reportInterval = 5s; ///< a silence that lasts is reported again after it
    duration goneAfter = 5s; ///< after the suspicion
    duration forgetAfter = 10min; ///< a gone member that the platform doesn't list
    duration dataCentreSilentAfter = 15s;
    duration viewInterval = 100ms; ///< least time between two changes of the view
    duration lazyViewInterval = 2s; ///< the same where no state changed
    duration newsInterval = 100ms; ///< least time between two rounds of news
    std::size_t newsFanOut = 4; ///< receivers in a round
    std::int64_t newsBytesPerSecond = 200; ///< on average, for news that isn't urgent
    std::int64_t newsBytesBurst = 12'000;
    std::size_t urgentRounds = 5; ///< the same for a member that leaves or is suspected
    std::size_t newsRounds = 3; ///< rounds in which a piece of news is sent
    std::size_t recordsPerMessage = 8;
    duration repairInterval = 2s; ///< between two requests for records while digests differ
    std::size_t recordsPerPage = 8;

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

    struct member_record
    {
        member known;
        bool listed = false; ///< in the platform's list
        std::set<member_id> reporters; ///< of suspicions of this version
        time_point changed; ///< when state or version changed here
        time_point heard; ///< last message from it, if this instance watches it
        time_point reported; ///< when this instance last reported its silence
        std::size_t newsLeft = 0; ///< times that the record is still to be sent as news
    };
    struct pending_suspicion
    {
        suspicion news;
        std::size_t newsLeft = 0;
    };

    void on(const membership_event::list_read &event, time_point now, outputs &actions);
    void on(const membership_event::message_received &event, time_point now, outputs &actions);
    void on(const membership_event::server_reported &event, time_point now, outputs &actions);
    void on(const membership_event::leave &event, time_point now, outputs &actions);
    void on(const membership_event::left &event, time_point now, outputs &actions);
    void on(const membership_event::tick &event, time_point now, outputs &actions);

    void learn(const member &update, bool isNews, time_point now);
    void learnOfSelf(const member &update);
    void learn(const suspicion &news, time_point now);
    void passOn(const suspicion &news);
    void learn(const data_centre_silence &news, time_point now);
    void learnListed(const member &listed, time_point now);
    void learnUnlisted(member_record &of, time_point now);
    void replace(member_record &of, const member &update, time_point now);
    void setState(member_record &of, member_state state, time_point now);
    void announce(const member_id &id, member_record &of);
    void raiseSelf(std::uint64_t boot, std::uint64_t version, member_state state);
    void answer(const membership_message &message, time_point now, outputs &actions);
    void learnOfSender(const membership_message &message, time_point now);
    void answerPage(const membership_message &request, outputs &actions);
    void watch(time_point now);
    void expire(time_point now);
    void sendHeartbeats(time_point now, outputs &actions);
    void requestPage(time_point now, outputs &actions);
    void sendNews(time_point now, outputs &actions);
    void send(const member_id &to, membership_message message, outputs &actions) const;
    membership_message newMessage(bool withSilences) const;
    membership_message messageWithNews(bool withSilences);
    token_amount newsCost(std::size_t receivers) const;
    void publish(time_point now, outputs &actions);
    void updateRings(time_point now);
    std::vector<member_id> randomReceivers(std::size_t count);
    std::optional<member_id> randomInstance() const;
    /** \brief A listed instance that is gone here, perhaps only because of a cut. */
    std::optional<member_id> lostInstance() const;
    std::size_t suspecting() const;
    bool hasUrgentNews() const;
    bool hasNews() const { return !m_news.empty() || !m_suspicions.empty(); }
    void changeView(duration delay);
    void forget(const member &known);
    void remember(const member &known);
    std::vector<data_centre_id> silentCentres(time_point now) const;

    member m_self;
    membership_policy m_policy;
    random_source m_random;
    std::map<member_id, member_record> m_records;
    std::map<data_centre_id, time_point> m_centreHeard;
    time_point m_resumed; ///< end of the last pause of this process
    std::set<member_id> m_news; ///< records with newsLeft
    std::vector<pending_suspicion> m_suspicions;
    std::vector<member_id> m_instances; ///< other instances that are not gone
    std::vector<member_id> m_monitors; ///< get this instance's heartbeats
    std::vector<member_id> m_watched; ///< whose heartbeats this instance expects
    bool m_ringsChanged = true;
    time_point m_nextHeartbeat;
    time_point m_nextNews;
    token_bucket m_newsBudget; ///< in bytes
    time_point m_nextRepair;
    time_point m_handled;
    member_id m_repairAfter;
    std::uint64_t m_digest = 0; ///< of all records that are not gone
    bool m_digestsDiffer = false;
    std::optional<time_point> m_viewDue;
    time_point m_lastView;
    membership_view m_view;
};

} // namespace sycamorespan

#endif
