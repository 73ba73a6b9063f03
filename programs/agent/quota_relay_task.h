#ifndef SYCAMORESPAN_PROGRAMS_AGENT_QUOTA_RELAY_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_QUOTA_RELAY_TASK_H

#include <functional>

#include "programs/agent/proxy_link_task.h"

#include "sycamorespan/Net"

namespace sycamorespan::agent {

/** \brief Reads and writes rows of shares for the connected proxies, and hands their loans on. */
class quota_relay_task
{
public:
    using broadcast_handler = std::function<void(const messages::message &)>;

    /** \param table    holds the rows; outlives this object
     * \param proxies   the connected proxies; outlives this object
     * \param toAgents  sends to every other agent
     */
    quota_relay_task(table_service_client &table, const proxy_link_task &proxies,
                     broadcast_handler toAgents);

    void received(const process_link &from, const messages::share_read &request);
    void received(const process_link &from, const messages::share_write &request);
    /** \brief Hands a loan on: to a proxy here, else to the other agents if a proxy sent it. */
    void received(const process_link &from, const messages::loan_transfer &transfer);

private:
    table_service_client &m_table;
    const proxy_link_task &m_proxies;
    broadcast_handler m_toAgents;
};

} // namespace sycamorespan::agent

#endif
