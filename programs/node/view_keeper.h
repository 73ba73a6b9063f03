#ifndef SYCAMORESPAN_PROGRAMS_NODE_VIEW_KEEPER_H
#define SYCAMORESPAN_PROGRAMS_NODE_VIEW_KEEPER_H

#include "programs/node/event_log.h"
#include "programs/node/member_channel.h"
#include "programs/node/store_client.h"

#include "sycamorespan/src/Dispatch/dispatcher.h"
#include "sycamorespan/src/Failover/group_supervisor.h"
#include "sycamorespan/src/Failover/supervisor_election.h"
#include "sycamorespan/src/Membership/peer_table.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace sycamorespan::node {

/** \brief Keeps the views of who is primary: reads them from the store, confirms them, hands them
 * to the dispatcher, takes them back from it, and supervises primaries while it holds the duty.
 */
class view_keeper
{
public:
    struct handlers
    {
        std::function<void(dispatch_outputs)> onDispatch;
        /** Something that other instances wait for has changed. */
        std::function<void()> onNews;
    };

    view_keeper(ev::loop_ref loop, const instance_run &self, store_client &store,
                const endpoint &duties, dispatcher &statements, peer_table &peers, event_log &log,
                random_source random, handlers callbacks);

    void setServers(const std::vector<server_entry> &servers, time_point now);
    void received(const peer_report &report, time_point now);
    void tick(time_point now);

    /** \brief This instance is about to end: no duty is taken on any more. */
    void leave() { m_leaving = true; }
    /** \brief Drops the row that registers this instance; \a done is called in any case. */
    void deregister(std::function<void()> done);

    /** \brief Adds what this part knows to a report. */
    void fill(peer_report &report, time_point now) const;

    /** The store counts as out of reach without an answer for so long: the holder misses two
     * confirmations.
     */
    static constexpr duration storeSilence = 2s;

    bool storeReachable(time_point now) const;
    /** \returns whether the rows were read, so that the other instances are known. */
    bool hasReadRows() const { return m_rowsRead.has_value(); }
    bool isRegistered() const { return m_registeredRevision != 0; }
    /** \returns whether every known database has a usable primary. */
    bool allUsable(time_point now) const;
    bool anyUsable(time_point now) const;
    const view_ledger &ledger() const { return m_ledger; }
    const supervisor_claim &claim() const { return m_election.claim(); }
    bool isHolder() const { return m_election.isHolder(); }

private:
    /** How far this instance has dropped former views of a database. */
    struct release_state
    {
        std::uint64_t released = 0;
        std::uint64_t seen = 0; ///< newest revision that was acted upon
        time_point since; ///< of the withdrawal
        time_point limit; ///< work at the old primary is broken off then
        bool cutIdle = false;
        bool isUsable = false;
        std::optional<time_point> usableUntil;
    };

    struct listed_entry
    {
        server_entry entry;
        time_point listed; ///< when it was in the list last
    };

    struct control_connection
    {
        std::unique_ptr<member_channel> channel;
        std::optional<outgoing_statement> asked;
        time_point askedAt;
        time_point repeatAt; ///< after a refusal for want of a slot
        time_point used;
        database_id database;
        bool open = false;
    };

    supervision_surroundings surroundings(time_point now) const;
    void registerInstance(time_point now);
    void readRows(time_point now);
    void takeRows(const store_answer &answer);
    void elect(time_point now);
    void supervise(time_point now);
    void refreshFloors(time_point now);
    void carryOut(const change_outputs &outputs, time_point now);
    void perform(const change_action::write_view &action, time_point now);
    void perform(const change_action::read_views &action, time_point now);
    void perform(const change_action::ask_member &action, time_point now);
    void perform(const change_action::order_promotion &action, time_point now);
    void perform(const change_action::state_floor &action, time_point now);
    void perform(const change_action::note &action, time_point now);
    void ask(const server_id &server, const outgoing_statement &statement, time_point now);
    void finishAsk(const server_id &server, std::optional<replication_status> status);
    void checkAsked(time_point now);
    void applyViews(time_point now);
    void applyView(const primary_view &view, time_point now);
    void releaseOld(const primary_view &view, release_state &state, time_point now);
    std::optional<time_point> toLocal(reference_time until, time_point now) const;
    void dropForgotten(time_point now);
    primary_votes votesOn(const database_id &database, time_point now) const;
    bool suspects(const database_id &database, const server_id &primary, time_point now) const;
    bool sawDemotion(const database_id &database, time_point now) const;
    bool hears(const server_id &primary, time_point now) const;
    void reportSuspicions(time_point now);

    ev::loop_ref m_loop;
    instance_run m_self;
    store_client &m_store;
    http_client m_duties;
    dispatcher &m_dispatcher;
    peer_table &m_peers;
    event_log &m_log;
    random_source m_random;
    handlers m_handlers;
    std::vector<server_entry> m_servers;
    std::map<server_id, listed_entry> m_lastEntries; ///< also of members that left lately
    view_ledger m_ledger;
    supervisor_election m_election;
    group_supervisor m_supervisor;
    std::map<database_id, release_state> m_releases;
    std::map<server_id, control_connection> m_controls;
    std::vector<std::unique_ptr<member_channel>> m_closed;
    std::uint64_t m_registeredRevision = 0;
    bool m_registering = false;
    bool m_reading = false;
    bool m_claiming = false;
    bool m_wasHolder = false;
    bool m_leaving = false;
    std::optional<time_point> m_storeSince; ///< the store has been in reach
    std::set<database_id> m_suspected; ///< databases whose primary this instance misses
    time_point m_lastRead;
    std::optional<time_point> m_rowsRead; ///< last successful reading
    time_point m_registerAfter;
    double m_readOrder; ///< this instance's place among those that read for themselves, 0 to 1
    duration m_promotionTook;
};

} // namespace sycamorespan::node

#endif
