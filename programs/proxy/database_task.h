#ifndef SYCAMORESPAN_PROGRAMS_PROXY_DATABASE_TASK_H
#define SYCAMORESPAN_PROGRAMS_PROXY_DATABASE_TASK_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "programs/proxy/member_pool.h"
#include "sycamorespan/Configuration"
#include "sycamorespan/Failover"
#include "sycamorespan/Logging"

namespace sycamorespan::proxy {

/** \brief Role, term and log position that a member reported on a connection. */
struct member_report
{
    member_role role = member_role::fenced;
    term_number term = 0;
    log_position position;
    std::optional<duration> staleness;
    /** Time just before the query was sent. */
    time_point queriedAt;
};

/** \brief Query that returns a member_report. */
sql_request reportQuery();

/** \brief Decodes the result of reportQuery().
 * \throws decode_error when the result is an error or malformed
 */
member_report parseReport(const sql_result &result, time_point queriedAt);

/** \brief Options that are the same for all databases of this proxy. */
struct database_options
{
    std::string backendPassword;
    /** "instance/boot": identifies the backend sessions of this incarnation of the proxy. */
    std::string applicationName;
    data_centre_id dataCentre;
    /** Number of slots and connections of this proxy at each member. */
    slot_budget budget{3, 3};
};

/** \brief Totals of one database since the process started. */
struct database_counters
{
    std::uint64_t statusRequests = 0;
    std::uint64_t commitsReleased = 0;
    std::uint64_t commitsUnknown = 0;
    std::uint64_t viewChanges = 0;
    std::uint64_t rejectedMembers = 0; ///< entries of members whose address can't be used
};

/** \brief Manages one database: its primary view, the connection pools of its members and the
 * commits that wait for a majority.
 */
class database_task
{
public:
    /** Called once: true when a majority has the position, false when this remains unknown. */
    using majority_handler = std::function<void(bool)>;
    using suspect_handler = std::function<void(const suspect_primary &)>;

    /** \param onSuspect  called when the primary does not answer this proxy */
    database_task(ev::loop_ref loop, database_id database, const database_options &options,
                  suspect_handler onSuspect, const random_source &random);
    ~database_task();

    void setMembers(const std::vector<configuration::member_entry> &members);
    /** \brief Takes over a newer primary view. */
    void updateView(const group_view &view);

    const group_view &view() const { return m_tracker.view(); }
    member_pool *pool(const server_id &server);

    /** \returns replicas to try for a read, in order of preference. Replicas in this data centre
     * and with fewer requests come first.
     */
    std::vector<server_id> replicaCandidates(const log_position &floor) const;
    /** \brief Excludes a member from reads for a short time after it gave no connection. */
    void noteUnreachable(const server_id &server);
    /** \brief Stores the newest report of a member, which replicaCandidates() uses. */
    void noteReport(const server_id &server, const member_report &report);

    /** \brief Waits until a majority has \a position.
     * \returns an identifier for abandonWait()
     */
    waiter_id waitForMajority(const log_position &position, time_point deadline,
                              majority_handler onDecided);
    void abandonWait(waiter_id waiter);

    const database_counters &counters() const noexcept { return m_counters; }
    nlohmann::json state() const;

private:
    struct member
    {
        configuration::member_entry entry;
        std::unique_ptr<member_pool> pool;
        std::optional<member_report> lastReport;
        time_point avoidUntil;
    };

    void openPool(member &target);
    void drainPool(member &target);
    void handle(const commit_tracker_event &event);
    void perform(const request_status &action);
    void perform(const release_waiter &action);
    void perform(const report_unknown &action);
    void perform(const suspect_primary &action);
    void queryStatus(const request_status &action);
    void handleStatusReply(const request_status &action, const backend_reply &reply);
    void scheduleTracker();
    void finishWait(waiter_id waiter, bool hasMajority);
    backend_connection::options connectionOptions(const member &target) const;

    ev::loop_ref m_loop;
    database_id m_database;
    database_options m_options;
    suspect_handler m_onSuspect;
    random_source m_random;
    logger m_log;
    std::map<server_id, member> m_members;
    std::vector<std::unique_ptr<member_pool>> m_drainingPools; ///< until all leases end
    commit_tracker m_tracker;
    std::map<waiter_id, majority_handler> m_majorityHandlers;
    waiter_id m_lastWaiter = 0;
    server_id m_monitoredServer;
    std::unique_ptr<backend_connection> m_monitor;
    std::vector<std::unique_ptr<backend_connection>> m_replacedMonitors;
    loop_timer m_trackerTimer;
    database_counters m_counters;
};

} // namespace sycamorespan::proxy

#endif
