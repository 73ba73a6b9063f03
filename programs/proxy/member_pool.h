#ifndef SYCAMORESPAN_PROGRAMS_PROXY_MEMBER_POOL_H
#define SYCAMORESPAN_PROGRAMS_PROXY_MEMBER_POOL_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "programs/proxy/backend_connection.h"
#include "sycamorespan/Pooling"

namespace sycamorespan::proxy {

/** \brief Identifier of a request for a connection and of the lease that follows. */
using lease_number = request_id;

/** \brief Whether the server session may have changed during a lease, and has to be reset. */
enum class lease_use { readOnly, mayHaveChangedSession };

/** \brief Pool of connections to one backend server. Each connection is leased to one statement or
 * transaction at a time; slot_scheduler decides which request comes next.
 */
class member_pool
{
public:
    struct options
    {
        backend_connection::options connection;
        slot_budget budget{3, 3};
    };
    /** Receives the connection, or nullptr and the reason; in that case nothing was sent to the
     * server.
     */
    using granted_handler = std::function<void(backend_connection *, slot_refusal)>;

    member_pool(ev::loop_ref loop, options settings, const random_source &random);
    member_pool(const member_pool &) = delete;
    member_pool &operator=(const member_pool &) = delete;
    ~member_pool();

    /** \brief Requests a connection, until \a deadline. The handler is called from the loop. */
    lease_number acquire(const workspace_id &workspace, time_point deadline,
                         granted_handler onGranted);

    /** \brief Cancels a waiting request or returns a leased connection to the pool. */
    void release(lease_number lease, lease_use use);

    /** \brief Closes all leased connections, for a server that is known to complete no work. */
    void abortLeased();

    std::size_t openConnections() const noexcept { return m_scheduler.connections(); }
    std::size_t leasedConnections() const noexcept { return m_leases.size(); }
    std::size_t waiting() const noexcept { return m_waiting.size(); }

private:
    struct waiting_request
    {
        workspace_id workspace;
        granted_handler onGranted;
    };
    using actions = std::vector<slot_action>;

    void perform(const actions &list);
    void perform(const open_connection &action);
    void perform(const run_on_connection &action);
    void perform(const reset_connection &action);
    void perform(const ping_connection &action);
    void perform(const close_connection &action);
    void perform(const refuse_request &action);
    void perform(const abandon_request &action);
    void onConnected(connection_id id, bool success);
    void handleTimer();
    std::vector<connection_id> closedUnleasedConnections() const;
    void defer(std::function<void()> work);
    void runDeferred();

    ev::loop_ref m_loop;
    options m_options;
    slot_scheduler m_scheduler;
    lease_number m_lastLease = 0;
    std::map<lease_number, waiting_request> m_waiting;
    std::map<lease_number, connection_id> m_leases;
    std::map<connection_id, std::unique_ptr<backend_connection>> m_connections;
    std::vector<std::unique_ptr<backend_connection>> m_closed; ///< destroyed from the loop
    std::vector<std::function<void()>> m_deferred;
    loop_timer m_timer;
    loop_timer m_deferredTimer;
};

} // namespace sycamorespan::proxy

#endif
