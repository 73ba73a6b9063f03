#ifndef SYCAMORESPAN_PROGRAMS_AGENT_PEER_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_PEER_TASK_H

#include "programs/agent/process_link.h"

#include "sycamorespan/Core"
#include "sycamorespan/Logging"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sycamorespan::agent {

/** \brief Maintains the connections with other agents and sends heartbeats over them.
 *
 * An outbound connection that failed is opened again after a jittered exponential backoff. Inbound
 * connections carry messages too, so that one connection between two agents is enough.
 */
class peer_task
{
public:
    /** \brief Functions that return the current hello and heartbeat of this agent. */
    struct self_description
    {
        std::function<messages::hello()> hello;
        std::function<messages::heartbeat()> heartbeat;
    };

    peer_task(ev::loop_ref loop, const web_limits &limits, duration heartbeatInterval,
              self_description self, link_handlers handlers, random_source random);
    ~peer_task();

    /** \brief Sets the agents to which this agent keeps outbound connections. */
    void setPeers(const std::set<endpoint> &peers);

    /** \brief Adds the link of another agent that connected to this one. */
    void addInbound(const process_link &link);

    /** \brief Removes a link of addInbound() whose connection was closed. */
    void removeInbound(const process_link &link);

    /** \brief Sends \a message once to every connected agent. */
    void broadcast(const messages::message &message) const;

    /** \brief Sends \a message to the agent of \a instance.
     * \returns false when the agent isn't connected
     */
    bool send(const instance_id &instance, const messages::message &message) const;

    /** \returns one link to each connected agent. */
    std::map<instance_id, process_link> connectedPeers() const;

    /** \returns the number of connections that were closed because of an invalid message. */
    std::uint64_t invalidMessages() const { return m_invalidMessages; }

private:
    struct peer;

    void removePeer(const endpoint &address);
    void connect(const endpoint &address);
    void handleMessage(const endpoint &address, std::string_view bytes);
    void handle(peer &remotePeer, const messages::message &message);
    void handleClosed(const endpoint &address);
    void sendHeartbeats();

    ev::loop_ref m_loop;
    web_limits m_limits;
    self_description m_self;
    link_handlers m_handlers;
    random_source m_random;
    logger m_log;
    std::uint64_t m_invalidMessages = 0;
    std::map<endpoint, std::unique_ptr<peer>> m_peers;
    std::map<std::uint64_t, process_link> m_inbound;
    loop_timer m_heartbeats;
};

} // namespace sycamorespan::agent

#endif
