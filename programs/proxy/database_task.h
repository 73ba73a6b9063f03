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

namespace sycamorespan::proxy {

/** \brief What a member said of itself on a connection. */
struct member_proof
{
    member_role role = member_role::fenced;
    term_number term = 0;
    log_position position;
    std::optional<duration> staleness;
    /** Before the question was sent. */
    time_point queriedAt;
};

/** \brief The statement that asks for a member_proof. */
sql_request proofStatement();

/** \brief Reads the result of proofStatement().
 * \throws decode_error
 */
member_proof parseProof(const sql_result &result, time_point queriedAt);

/** \brief What this proxy shares with each of its databases. */
struct database_options
{
    std::string backendPassword;
    /** instance/boot: names the sessions of this start of the proxy. */
    std::string applicationName;
    data_centre_id dataCentre;
    /** Slots and connections of this proxy at each member. */
    slot_budget budget{3, 3};
};

/** \brief Totals since the start. */
struct database_counters
{
    std::uint64_t statusRequests = 0;
    std::uint64_t commitsReleased = 0;
    std::uint64_t commitsUnknown = 0;
    std::uint64_t viewChanges = 0;
};

/** \brief One database: the view of its group, pools for its members, and the commits that wait
 * for a majority.
 */
class database_task
{
public:
    /** Called once: true when a majority holds the position, false when that stays unknown. */
    using held_handler = std::function<void(bool)>;
    using suspect_handler = std::function<void(const suspect_primary &)>;

    /** \param onSuspect  the primary gave no answer to this proxy */
    database_task(ev::loop_ref loop, database_id database, const database_options &options,
                  suspect_handler onSuspect, const random_source &random);
    ~database_task();

    void setMembers(const std::vector<configuration::member_entry> &members);
    void learnView(const group_view &view);

    const group_view &view() const { return m_tracker.view(); }
    member_pool *pool(const server_id &server);

    /** \returns replicas that may be worth trying for a read, the preferred one first. */
    std::vector<server_id> replicaCandidates(const log_position &floor) const;
    /** \brief The member gave this proxy no connection: it is passed over for a while. */
    void noteUnreachable(const server_id &server);
    void noteProof(const server_id &server, const member_proof &proof);

    /** \brief Waits until a majority holds \a position. \returns a number to abandon the wait. */
    waiter_id waitUntilHeld(const log_position &position, time_point deadline, held_handler onHeld);
    void abandonWait(waiter_id waiter);

    const database_counters &counters() const noexcept { return m_counters; }
    nlohmann::json state() const;

private:
    struct member
    {
        configuration::member_entry entry;
        std::unique_ptr<member_pool> pool;
        std::optional<member_proof> hint;
        time_point avoidUntil;
    };

    void retire(member &target);
    void step(const commit_tracker_event &event);
    void perform(const request_status &action);
    void perform(const release_waiter &action);
    void perform(const report_unknown &action);
    void perform(const suspect_primary &action);
    void askStatus(const request_status &action);
    void takeStatus(const request_status &action, const backend_reply &reply);
    void scheduleTracker();
    void finishWait(waiter_id waiter, bool isHeld);
    backend_connection::options connectionOptions(const member &target) const;

    ev::loop_ref m_loop;
    database_id m_database;
    database_options m_options;
    suspect_handler m_onSuspect;
    random_source m_random;
    std::map<server_id, member> m_members;
    std::vector<std::unique_ptr<member_pool>> m_leavingPools; ///< until their last lease ends
    commit_tracker m_tracker;
    std::map<waiter_id, held_handler> m_waits;
    waiter_id m_lastWaiter = 0;
    server_id m_monitoredServer;
    std::unique_ptr<backend_connection> m_monitor;
    std::vector<std::unique_ptr<backend_connection>> m_retired;
    loop_timer m_trackerTimer;
    database_counters m_counters;
};

} // namespace sycamorespan::proxy

#endif
