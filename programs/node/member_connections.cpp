#include "programs/node/member_connections.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/clock.h"

#include <utility>

namespace sycamorespan::node {

member_connections::member_connections(ev::loop_ref loop, dispatcher &statements, event_log &log,
                                       node_metrics &metrics, event_guard &guard,
                                       answer_intake &intake,
                                       std::function<void(dispatch_outputs)> apply)
    : m_loop(loop)
    , m_dispatcher(statements)
    , m_log(log)
    , m_metrics(metrics)
    , m_guard(guard)
    , m_intake(intake)
    , m_apply(std::move(apply))
{ }

/** Handles a message of a member. After an unexpected error the state of the connection is unknown,
 * so that it is closed.
 */
void member_connections::handle(connection_id connection,
                                const std::function<dispatch_outputs(time_point)> &handler)
{
    const auto now = suspendAwareNow();
    if (m_guard.run("message of a member", [&] { m_apply(handler(now)); }))
        return;
    perform(dispatch_action::close_member{connection});
    reportLoss(connection, {});
}

void member_connections::reportLoss(connection_id connection, const channel_end &end)
{
    m_guard.run("loss of a connection to a member",
                [&] { m_apply(m_dispatcher.closed(connection, end.refusal, suspendAwareNow())); });
}

void member_connections::lose(connection_id connection, const server_id &server,
                              const channel_end &end)
{
    const auto found = m_channels.find(connection);
    if (found == m_channels.end())
        return;
    m_log.write(line_importance::failure, "connection to member lost",
                {{"server", server.str()},
                 {"connection", std::to_string(connection)},
                 {"error", end.refusal ? std::string(nameOf(*end.refusal)) : "closed"}},
                suspendAwareNow());
    m_closed.push_back(std::move(found->second));
    m_channels.erase(found);
    reportLoss(connection, end);
}

void member_connections::perform(const dispatch_action::open_member &action)
{
    m_metrics.countOpening();
    const auto connection = action.connection;
    const member_channel::handlers handlers{
            [this, connection](std::optional<log_position> position) {
                handle(connection, [&](time_point now) {
                    return m_dispatcher.opened(connection, position, now);
                });
            },
            [this, connection](const statement_answer &answer) {
                handle(connection, [&](time_point now) {
                    return m_dispatcher.answered(connection, answer, now);
                });
            },
            [this, connection, server = action.server](const channel_end &end) {
                lose(connection, server, end);
            }};
    try {
        m_channels.emplace(connection,
                           std::make_unique<member_channel>(m_loop, parseEndpoint(action.address),
                                                            action.database, action.workspace,
                                                            action.server, handlers, &m_intake));
    } catch (const error &failure) {
        m_log.write(line_importance::failure, "opening a connection to a member failed",
                    {{"server", action.server.str()},
                     {"connection", std::to_string(connection)},
                     {"error", failure.what()}},
                    suspendAwareNow());
        reportLoss(connection, {});
    }
}

void member_connections::perform(const dispatch_action::send_to_member &action)
{
    const auto found = m_channels.find(action.connection);
    if (found != m_channels.end())
        found->second->send(action.statements);
}

void member_connections::perform(const dispatch_action::close_member &action)
{
    const auto found = m_channels.find(action.connection);
    if (found == m_channels.end())
        return;
    found->second->close();
    m_closed.push_back(std::move(found->second));
    m_channels.erase(found);
}

} // namespace sycamorespan::node
