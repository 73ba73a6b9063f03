#ifndef SYCAMORESPAN_PROGRAMS_AGENT_QUOTA_RELAY_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_QUOTA_RELAY_TASK_H

#include <functional>

#include "programs/agent/proxy_link_task.h"

#include "sycamorespan/Net"

namespace sycamorespan::agent {

/** \brief Reads and writes share rows for the connected proxies and forwards their loans. */
class quota_relay_task
{
public:
    using broadcast_handler = std::function<void(const messages::message &)>;

    /** \param table             client of the table that holds the rows; must outlive this object
     * \param proxies            the connected proxies; must outlive this object
     * \param broadcastToAgents  sends a message to every other agent
     */
    quota_relay_task(table_service_client &table, const proxy_link_task &proxies,
                     broadcast_handler broadcastToAgents);

    /** \brief Reads a share row and answers; a key that is not of a share row is ignored. */
    void handleMessage(const process_link &from, const messages::share_read &request);
    /** \brief Writes a share row and answers; a key that is not of a share row is ignored. */
    void handleMessage(const process_link &from, const messages::share_write &request);
    /** \brief Forwards a loan to its borrower.
     *
     * If the borrower isn't connected to this agent and a proxy sent the loan, it is forwarded to
     * all other agents.
     */
    void handleMessage(const process_link &from, const messages::loan_transfer &transfer);

private:
    table_service_client &m_table;
    const proxy_link_task &m_proxies;
    broadcast_handler m_broadcastToAgents;
};

} // namespace sycamorespan::agent

#endif
