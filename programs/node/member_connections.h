#ifndef SYCAMORESPAN_PROGRAMS_NODE_MEMBER_CONNECTIONS_H
#define SYCAMORESPAN_PROGRAMS_NODE_MEMBER_CONNECTIONS_H

#include "programs/node/event_guard.h"
#include "programs/node/event_log.h"
#include "programs/node/member_channel.h"
#include "programs/node/node_metrics.h"

#include "sycamorespan/src/Dispatch/dispatcher.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sycamorespan::node {

/** \brief Connections of this instance to members, as the dispatcher asks for them. */
class member_connections
{
public:
    /** \param apply  called with outputs of the dispatcher */
    member_connections(ev::loop_ref loop, dispatcher &statements, event_log &log,
                       node_metrics &metrics, event_guard &guard, answer_intake &intake,
                       std::function<void(dispatch_outputs)> apply);

    void perform(const dispatch_action::open_member &action);
    void perform(const dispatch_action::send_to_member &action);
    void perform(const dispatch_action::close_member &action);

    /** \brief Destroys connections that have ended. Must be called from the event loop only. */
    void removeClosed() { m_closed.clear(); }

private:
    void handle(connection_id connection,
                const std::function<dispatch_outputs(time_point)> &handler);
    void lose(connection_id connection, const server_id &server, const channel_end &end);
    void reportLoss(connection_id connection, const channel_end &end);

    ev::loop_ref m_loop;
    dispatcher &m_dispatcher;
    event_log &m_log;
    node_metrics &m_metrics;
    event_guard &m_guard;
    answer_intake &m_intake;
    std::function<void(dispatch_outputs)> m_apply;
    std::unordered_map<connection_id, std::unique_ptr<member_channel>> m_channels;
    std::vector<std::unique_ptr<member_channel>> m_closed;
};

} // namespace sycamorespan::node

#endif
