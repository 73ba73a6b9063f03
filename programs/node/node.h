#ifndef SYCAMORESPAN_PROGRAMS_NODE_NODE_H
#define SYCAMORESPAN_PROGRAMS_NODE_NODE_H

#include "platform/documents.h"
#include "platform/settings.h"

#include "programs/node/broker_link.h"
#include "programs/node/caller_channel.h"
#include "programs/node/document_fetcher.h"
#include "programs/node/fleet_link.h"
#include "programs/node/member_watch.h"
#include "programs/node/node_metrics.h"
#include "programs/node/quota_gate.h"
#include "programs/node/rejected_entries.h"
#include "programs/node/table_follower.h"
#include "programs/node/view_keeper.h"

#include "sycamorespan/src/Membership/isolation_detector.h"
#include "sycamorespan/src/Membership/server_roster.h"
#include "sycamorespan/src/Net/admin_server.h"
#include "sycamorespan/src/Net/loop_timer.h"
#include "sycamorespan/src/Net/tcp_listener.h"

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
    /** What a caller sent before the first configuration is known. */
    struct pending_connect
    {
        platform::connect_message message;
        std::vector<caller_request> requests;
    };

    // Callers and members.
    void accept(file_descriptor socket);
    void handleCaller(session_number session, const platform::caller_message &message);
    void connectCaller(session_number session, const platform::connect_message &message);
    void connectPendingCallers();
    void handleRequest(session_number session, const caller_request &request);
    void rejectCaller(session_number session, statement_error code, std::string reason);
    void closeCaller(session_number session, std::string_view reason);
    void retireChannel(
            std::unordered_map<session_number, std::unique_ptr<caller_channel>>::iterator caller);
    void apply(dispatch_outputs outputs);
    void handleMember(connection_id connection,
                      const std::function<dispatch_outputs(time_point)> &handle);
    void perform(const dispatch_action::reply_to_caller &action);
    void perform(const dispatch_action::accept_caller &action);
    void perform(const dispatch_action::reject_caller &action);
    void perform(const dispatch_action::close_caller &action);
    void perform(const dispatch_action::open_member &action);
    void perform(const dispatch_action::send_to_member &action);
    void perform(const dispatch_action::close_member &action);
    void perform(const dispatch_action::request_admission &action);
    void perform(const dispatch_action::settle_admission &action);
    void perform(const dispatch_action::cancel_admission &action);
    void perform(const dispatch_action::hand_over &action);
    void perform(const dispatch_action::end_hand_over &action);
    void perform(const dispatch_action::answer_hand_over &action);
    void updateBrokers(time_point now);
    void perform(const dispatch_action::record_outcome &action);
    void perform(const dispatch_action::record_step &action);

    // Rows of the store.
    void applyConfiguration(const platform::store_rows &content);
    void applyServerRows(const platform::store_rows &content, bool isSnapshot);
    std::optional<server_entry> decodeServerRow(const platform::store_row &row, time_point now);
    void setStoreAvailable(bool answered);
    void applyRoster();

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
    broker_link m_brokers;
    std::map<instance_id, endpoint> m_brokerAddresses;
    std::map<instance_id, time_point> m_lostBrokers;

    std::shared_ptr<const service_directory> m_directory;
    std::string m_encodedConfiguration;
    std::map<std::string, std::string> m_encodedServers;
    std::uint64_t m_serversRevision = 0;
    table_follower m_configuration;
    table_follower m_servers;
    document_fetcher m_fetcher;
    isolation_detector m_isolation;
    std::optional<bool> m_storeAvailable;

    caller_channel::handlers m_callerHandlers;
    std::unordered_map<session_number, std::unique_ptr<caller_channel>> m_callers;
    std::unordered_map<connection_id, std::unique_ptr<member_channel>> m_members;
    std::vector<std::unique_ptr<caller_channel>> m_closedCallers; ///< until answers are delivered
    std::vector<std::unique_ptr<member_channel>> m_closedMembers;
    std::map<session_number, pending_connect> m_pendingConnects;
    session_number m_lastSession = 0;
    std::deque<dispatch_output> m_outputs;
    bool m_isPerformingActions = false;

    tcp_listener m_callerListener;
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
