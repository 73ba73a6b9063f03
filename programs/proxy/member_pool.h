#ifndef SYCAMORESPAN_PROGRAMS_PROXY_MEMBER_POOL_H
#define SYCAMORESPAN_PROGRAMS_PROXY_MEMBER_POOL_H

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "programs/proxy/backend_connection.h"

namespace sycamorespan::proxy {

/** \brief Number of a request for a connection. */
using lease_number = std::uint64_t;

/** \brief Why no connection could be had; nothing was sent to the backend server. */
enum class pool_refusal { deadline, unreachable };

/** \brief Connections to one backend server, lent to one statement or transaction at a time. */
class member_pool
{
public:
    struct options
    {
        backend_connection::options connection;
        std::size_t maximumConnections = 4;
        std::size_t maximumWaiting = 1000;
    };
    /** Gets the connection, or nullptr and the reason. */
    using granted_handler = std::function<void(backend_connection *, pool_refusal)>;

    member_pool(ev::loop_ref loop, options settings);
    ~member_pool();

    /** \brief Asks for a connection until \a deadline. The handler is called from the loop. */
    lease_number acquire(const workspace_id &workspace, time_point deadline,
                         granted_handler onGranted);

    /** \brief Withdraws a request, or gives a granted connection back. */
    void release(lease_number lease);

    std::size_t openConnections() const noexcept { return m_connections.size(); }
    std::size_t leasedConnections() const noexcept { return m_leases.size(); }
    std::size_t waiting() const noexcept { return m_waiting.size(); }

private:
    struct request
    {
        lease_number lease = 0;
        time_point deadline;
        granted_handler onGranted;
    };
    struct pooled_connection
    {
        std::unique_ptr<backend_connection> connection;
        lease_number lease = 0;
        bool failed = false;
    };

    void serve();
    void openConnection();
    void connected(pooled_connection &entry, bool success);
    void removeClosed();
    void refuseAll(pool_refusal reason);
    void refuseOverdue();
    void scheduleNow();

    ev::loop_ref m_loop;
    options m_options;
    lease_number m_lastLease = 0;
    std::deque<request> m_waiting;
    std::list<pooled_connection> m_connections;
    std::map<lease_number, pooled_connection *> m_leases;
    loop_timer m_timer;
};

} // namespace sycamorespan::proxy

#endif
