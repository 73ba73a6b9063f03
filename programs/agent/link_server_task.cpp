#include "programs/agent/link_server_task.h"

#include "sycamorespan/Core"

#include <utility>

namespace sycamorespan::agent {

link_server_task::link_server_task(ev::loop_ref loop, const endpoint &address,
                                   const web_limits &limits,
                                   std::function<messages::hello()> makeHello,
                                   link_handlers handlers)
    : m_makeHello(std::move(makeHello))
    , m_handlers(std::move(handlers))
    , m_log("links")
    , m_endpoint(loop, address, limits, webHandlers())
{ }

void link_server_task::stop()
{
    m_endpoint.stopAccepting();
    m_endpoint.closeSessions("shutdown");
}

web_handlers link_server_task::webHandlers()
{
    web_handlers result;
    result.opened = [this](const web_session &session) {
        m_links.emplace(session, std::nullopt);
        sendMessage(session, m_makeHello());
    };
    result.message = [this](const web_session &session, std::string_view bytes) {
        handleMessage(session, bytes);
    };
    result.closed = [this](const web_session &session) { handleClosed(session); };
    return result;
}

void link_server_task::handleMessage(const web_session &session, std::string_view bytes)
{
    try {
        handle(session, decodeLinkMessage(bytes));
    } catch (const decode_error &failure) {
        ++m_invalidMessages;
        m_log.write(log_level::warning, "connection closed for an invalid message",
                    {{"remote", session.remote().str()}, {"reason", failure.what()}});
        session.close("invalid message");
    }
}

void link_server_task::handle(const web_session &session, const messages::message &message)
{
    auto &link = m_links.at(session);
    if (link) {
        const auto openLink = *link;
        m_handlers.onMessage(openLink, message);
        return;
    }
    const auto *hello = std::get_if<messages::hello>(&message);
    if (hello == nullptr)
        throw decode_error("the first message is not hello");
    link.emplace(*hello, session);
    const auto openLink = *link;
    m_handlers.onConnected(openLink);
}

void link_server_task::handleClosed(const web_session &session)
{
    const auto link = m_links.extract(session);
    if (link && link.mapped())
        m_handlers.onDisconnected(*link.mapped());
}

} // namespace sycamorespan::agent
