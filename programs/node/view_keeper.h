#ifndef SYCAMORESPAN_PROGRAMS_NODE_VIEW_KEEPER_H
#define SYCAMORESPAN_PROGRAMS_NODE_VIEW_KEEPER_H

#include "programs/node/event_guard.h"
#include "programs/node/event_log.h"
#include "programs/node/member_channel.h"
#include "programs/node/store_client.h"

#include "sycamorespan/src/Dispatch/dispatcher.h"
#include "sycamorespan/src/Failover/row_read_schedule.h"
#include "sycamorespan/src/Failover/supervision.h"
#include "sycamorespan/src/Membership/fleet_table.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace sycamorespan::node {

/** \brief Maintains the primary views of this instance. It reads them from the store, confirms
 * them, passes them to the dispatcher, withdraws them when they expire or change, and supervises
 * the primaries while this instance is the supervisor.
 */
class view_keeper
{
public:
    struct handlers
    {
        /** Called with the actions that the dispatcher has returned. */
        std::function<void(dispatch_outputs)> onDispatch;
        /** Called when something has changed that other instances need to know at once. */
        std::function<void(report_cause)> onUpdate;
        /** Called with a row that could not be decoded. */
        std::function<void(const platform::store_row &)> onRejectedRow;
        /** \returns whether the list of servers has every running one. */
        std::function<bool()> hasAllServers;
    };

    view_keeper(ev::loop_ref loop, const instance_incarnation &self, store_client &store,
                const endpoint &promotionService, dispatcher &statementDispatcher,
                fleet_table &fleet, event_log &log, event_guard &guard, random_source random,
                handlers callbacks);

    void setServers(const std::vector<server_entry> &servers, time_point now);
    /** \brief Applies what another instance knows of views, floors and the supervisor. */
    void applyNews(const fleet_news &news, time_point now);
    void tick(time_point now);
    /** \brief The store has answered in a newer era, in which rows of the former one may be lost.
     */
    void onStoreEra(store_era era, time_point now);

    /** \brief Keeps this instance from claiming the role of supervisor while it shuts down. */
    void stopElections() { m_isStopping = true; }
    /** \brief Deletes the row of this instance, then calls \a done, also after a failure. */
    void deregister(std::function<void()> done);

    /** \brief Adds the primary views and the state of supervision to a report. */
    void addToReport(instance_report &report, time_point now) const;
    /** \returns what this instance can serve as at present. */
    instance_flags flags(time_point now) const;

    /** \brief Time without an answer after which the store counts as unavailable. The supervisor
     * misses two confirmations in it.
     */
    static constexpr duration storeOutageTimeout = 2s;

    bool storeReachable(time_point now) const;
    /** \returns whether the rows have been read at least once, so that the other instances are
     * known. */
    bool hasReadRows() const { return m_rowsReadAt.has_value(); }
    /** \brief Has the rows read from the store soon. */
    void requestRows() { m_rowsRequested = true; }
    /** \returns whether the store is known to hold the row of this instance. */
    bool isRegistered() const
    {
        return m_registeredAtRevision != store_revision{}
               && m_registeredAtRevision.era() == m_store.era();
    }
    /** \returns whether every known database has a usable primary. */
    bool allViewsUsable(time_point now) const;
    /** \returns whether at least one known database has a usable primary. */
    bool anyViewUsable(time_point now) const;
    const view_ledger &ledger() const { return m_ledger; }
    const supervisor_claim &claim() const { return m_supervision.newestClaim(); }
    bool isSupervisor() const { return m_supervision.isSupervisor(); }

private:
    /** Progress of this instance in releasing former views of a database. */
    struct release_state
    {
        row_revision released; ///< all views before this revision are out of use here
        row_revision seen; ///< newest revision that has been processed
        time_point startedAt; ///< when the release of the former view started
        time_point deadline; ///< when work at the former primary is abandoned
        bool idleTransactionsEnded = false;
        bool isUsable = false;
        std::optional<time_point> usableUntil;
        server_id primary; ///< primary that was usable last
        term_number term = 0; ///< its term
    };

    /** Entry of a server that is in the list or was removed from it recently. */
    struct listed_entry
    {
        server_entry entry;
        time_point lastListed; ///< when the server was last in the list
    };

    /** Supervision connection to a member; it carries one request at a time. */
    struct control_connection
    {
        std::unique_ptr<member_channel> channel;
        std::optional<outgoing_statement> request; ///< request that has not been answered
        time_point requestedAt;
        time_point retryAt; ///< when the request is repeated; set after the member had no free slot
        time_point lastUsed;
        database_id database;
        bool open = false;
    };

    /** Record of the members of one database that may hold commits, with the row's revision. */
    struct recorded_holders
    {
        std::optional<row_revision> revision; ///< none: not known since the last write
        std::vector<log_holder> holders;
    };

    supervision_context supervisionContext(time_point now) const;
    void registerInstance(time_point now);
    void handleExistingRegistration(const store_answer &answer);
    void noteRegistration(store_revision revision, reference_time clock);
    void readRows(time_point now);
    void applyRows(const store_answer &answer);
    void updateRegistration(bool hasOwnRow, const store_answer &answer);
    supervisor_claim replaceableClaim(row_revision revision,
                                      const std::vector<primary_view> &views) const;
    void applyAttestations(time_point now);
    row_revision releasedThrough() const;
    void applyClaimRow(const store_answer &answer);
    void elect(time_point now);
    void handleClaimAnswer(const store_answer &answer);
    void supervise(time_point now);
    void refreshFloors(time_point now);
    void performAll(const change_outputs &outputs, time_point now);
    void perform(const change_action::write_view &action, time_point now);
    void perform(const change_action::record_holders &action, time_point now);
    void perform(const change_action::read_rows &action, time_point now);
    void perform(const change_action::read_views &action, time_point now);
    void applyViewRows(const store_answer &answer, time_point now);
    void readHolders(const database_id &database);
    recorded_holders decodeHolders(const platform::store_row &row);
    void removeRegistration(const instance_incarnation &incarnation, std::function<void()> done);
    void perform(const change_action::send_statement &action, time_point now);
    void perform(const change_action::order_promotion &action, time_point now);
    void perform(const change_action::publish_floor &action, time_point now);
    void perform(const change_action::log_event &action, time_point now);
    void query(const server_id &server, const outgoing_statement &statement, time_point now);
    void finishQuery(const server_id &server, std::optional<replication_status> status);
    void checkQueries(time_point now);
    void applyViews(time_point now);
    void applyView(const primary_view &view, time_point now);
    void releaseFormerView(const primary_view &view, release_state &state, time_point now);
    std::optional<time_point> toLocalTime(reference_time until, time_point now) const;
    void removeExpiredInstances(time_point now);
    primary_reports countPrimaryReports(const database_id &database) const;
    bool suspectsPrimary(const database_id &database, const server_id &primary,
                         time_point now) const;
    bool sawDemotion(const database_id &database, time_point now) const;
    bool heardRecently(const server_id &primary, time_point now) const;
    void reportSuspicions(time_point now);

    ev::loop_ref m_loop;
    instance_incarnation m_self;
    store_client &m_store;
    http_client m_promotionService;
    dispatcher &m_dispatcher;
    fleet_table &m_fleet;
    event_log &m_log;
    event_guard &m_guard;
    random_source m_random;
    handlers m_handlers;
    std::vector<server_entry> m_servers;
    std::map<server_id, listed_entry> m_knownServers; ///< also of recently removed members
    view_ledger m_ledger;
    std::map<database_id, recorded_holders> m_recordedHolders; ///< as last read or written
    /** Rows of views that were written in a former era, as last read in the present one. */
    std::map<database_id, primary_view> m_formerRows;
    supervision m_supervision;
    std::map<database_id, release_state> m_releases;
    std::map<server_id, control_connection> m_controls;
    std::vector<std::unique_ptr<member_channel>> m_closedChannels;
    /** Revision at which the store is known to have held the row of this instance; none if it isn't
     * known to hold it.
     */
    store_revision m_registeredAtRevision;
    time_point m_registeredAt;
    /** Whether the store had no row of this instance at its start; nothing while not known. */
    std::optional<bool> m_isNewInstance;
    time_point m_attestationsAppliedAt;
    bool m_isRegistering = false;
    bool m_rowsRequested = true; ///< the rows are to be read soon, whatever the age of the views
    bool m_isClaiming = false;
    bool m_isStopping = false;
    bool m_isReadingViews = false;
    bool m_viewsRequested = false; ///< the views are to be read again, after the present read
    std::optional<time_point> m_storeReachableSince; ///< empty during a store outage
    std::set<database_id> m_suspectedDatabases; ///< their primaries are suspected to have failed
    row_read_schedule m_reads;
    std::optional<time_point> m_rowsReadAt; ///< when the rows were last read successfully
    store_revision m_rowsReadRevision; ///< newest revision in the store at that time
    time_point m_nextRegistrationAt;
    time_point m_startedAt;
    duration m_promotionTime;
};

} // namespace sycamorespan::node

#endif
