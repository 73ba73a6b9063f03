#ifndef SYCAMORESPAN_PROGRAMS_NODE_NODE_H
#define SYCAMORESPAN_PROGRAMS_NODE_NODE_H

#include "platform/documents.h"
#include "platform/settings.h"

#include "programs/node/brokerage.h"
#include "programs/node/caller_sessions.h"
#include "programs/node/document_fetcher.h"
#include "programs/node/fleet_link.h"
#include "programs/node/member_connections.h"
#include "programs/node/member_watch.h"
#include "programs/node/node_metrics.h"
#include "programs/node/operator_rows.h"
#include "programs/node/quota_gate.h"
#include "programs/node/rejected_entries.h"
#include "programs/node/shared_document.h"
#include "programs/node/table_follower.h"
#include "programs/node/view_keeper.h"

#include "sycamorespan/src/Membership/isolation_detector.h"
#include "sycamorespan/src/Membership/server_roster.h"
#include "sycamorespan/src/Net/admin_server.h"
#include "sycamorespan/src/Net/loop_timer.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace sycamorespan::node {

/** \brief The process of one instance on the users' platform. It runs callers' sessions,
 * connections to members, primary views, rate limits and peer reports in one event loop.
 */
class node
{
public:
    node(ev::loop_ref loop, platform::node_settings settings, std::string settingsFile,
         random_source random);

    /** \brief Begins a graceful shutdown, which ends the event loop when it is complete. */
    void stop();
    /** \brief Reads the settings file again. */
    void reload();
    /** \brief Writes the state of the instance to the log. */
    void logState();

private:
    // Callers and members.
    void apply(dispatch_outputs outputs);
    void perform(const dispatch_action::reply_to_caller &action);
    void perform(const dispatch_action::accept_caller &action);
    void perform(const dispatch_action::reject_caller &action);
    void perform(const dispatch_action::close_caller &action);
    void closeCaller(session_number session);
    void perform(const dispatch_action::open_member &action);
    void perform(const dispatch_action::send_to_member &action);
    void perform(const dispatch_action::close_member &action);
    void perform(const dispatch_action::request_admission &action);
    void perform(const dispatch_action::settle_admission &action);
    void perform(const dispatch_action::cancel_admission &action);
    void perform(const dispatch_action::hand_over &action);
    void perform(const dispatch_action::end_hand_over &action);
    void perform(const dispatch_action::answer_hand_over &action);
    void perform(const dispatch_action::record_outcome &action);
    void perform(const dispatch_action::record_step &action);
    void perform(const dispatch_action::record_withdrawal &action);

    // Rows of the store.
    void useConfiguration(const std::shared_ptr<const service_directory> &directory);
    void applyServerRows(const platform::store_rows &content, bool isSnapshot);
    std::optional<server_entry> decodeServerRow(const platform::store_row &row, time_point now);
    void setStoreAvailable(bool answered);
    void enterStoreEra(store_era era);
    void applyRoster();
    void useServers(time_point now);

    // Other instances.
    instance_flags ownFlags(time_point now) const;
    instance_report makeReport(time_point now) const;
    void applyNews(const instance_incarnation &sender, const fleet_news &news);
    void updateInstances(time_point now);
    bool isFollower(time_point now) const;
    bool isFollowingStore() const;
    void addFetchedDocuments();
    void applyServers(const std::string &document);
    void applyInstances(const std::string &document);
    void rejectDocument(const std::string &path, const std::string &cause);
    std::string instancesDocument() const;
    std::string serversDocument() const;
    endpoint peerAddress() const;

    // Readiness and shutdown.
    bool isReady(time_point now) const;
    isolation_evidence isolationEvidence(time_point now) const;
    void updateReadiness(time_point now);
    void advanceShutdown(time_point now);
    void closeIdleCallers(std::size_t count, time_point now);
    void closeAllCallers(time_point now);
    void deregister();
    void exit();

    void tick();
    void updateServers(time_point now);
    nlohmann::json state() const;
    web_handlers readinessHandlers();

    ev::loop_ref m_loop;
    platform::node_settings m_settings;
    std::string m_settingsFile;
    random_source m_random;
    time_point m_startedAt;
    instance_incarnation m_self;
    event_log m_log;
    node_metrics m_metrics;
    event_guard m_guard;
    rejected_entries m_rejectedEntries;
    dispatcher m_dispatcher;
    member_watch m_memberWatch;
    server_roster m_roster;
    std::vector<server_entry> m_serverEntries; ///< entries of the roster, as applied
    store_client m_store;
    fleet_link m_fleet;
    view_keeper m_views;
    quota_gate m_quota;
    answer_intake m_answerIntake;
    member_connections m_members;
    brokerage m_brokers;

    std::shared_ptr<const service_directory> m_directory;
    operator_rows m_operatorRows;
    std::map<std::string, std::string> m_encodedServers;
    store_revision m_serversRevision;
    table_follower m_configuration;
    table_follower m_servers;
    document_fetcher m_fetcher;
    shared_document m_configurationDocument;
    shared_document m_evacuationsDocument;
    shared_document m_serversDocument;
    shared_document m_instancesDocument;
    isolation_detector m_isolation;
    std::optional<bool> m_storeAvailable;
    std::optional<store_era> m_storeEra;

    session_number m_lastSession = 0;
    std::deque<dispatch_output> m_outputs;
    bool m_isPerformingActions = false;

    caller_sessions m_sessions;
    web_endpoint m_readiness;
    admin_server m_admin;
    loop_timer m_tickTimer;

    time_point m_instancesUpdatedAt;
    bool m_ready = false;
    bool m_isolated = false;
    std::optional<time_point> m_stopRequestedAt;
    bool m_isDeregistering = false;
    bool m_isDeregistered = false;
    bool m_isExiting = false;
};

} // namespace sycamorespan::node

#endif
