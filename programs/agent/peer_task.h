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

/** \brief Connections with other agents, and the heartbeats over them.
 *
 * Connections that this agent makes are made again after a jittered, doubling wait. Those that
 * another agent made carry messages too, so that one connection between two agents is enough.
 */
class peer_task
{
public:
    /** \brief What this agent says about itself, at the time of asking. */
    struct self_description
    {
        std::function<messages::hello()> hello;
        std::function<messages::heartbeat()> heartbeat;
    };

    peer_task(ev::loop_ref loop, const web_limits &limits, duration heartbeatInterval,
              self_description self, link_handlers handlers, random_source random);
    ~peer_task();

    /** \brief Keeps connections to exactly these agents. */
    void setPeers(const std::set<endpoint> &peers);

    /** \brief Another agent connected to this one. */
    void addInbound(const process_link &link);

    /** \brief The connection of addInbound() is gone. */
    void removeInbound(const process_link &link);

    /** \brief Sends to every connected agent, once. */
    void broadcast(const messages::message &message) const;

    /** \brief Sends to an agent.
     * \returns false when it isn't connected
     */
    bool send(const instance_id &instance, const messages::message &message) const;

    /** \returns a link to each connected agent. */
    std::map<instance_id, process_link> connected() const;

    /** \returns connections closed for what they sent. */
    std::uint64_t invalidMessages() const { return m_invalidMessages; }

private:
    struct peer;

    void drop(const endpoint &address);
    void connect(const endpoint &address);
    void handleMessage(const endpoint &address, std::string_view bytes);
    void handle(peer &other, const messages::message &message);
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
