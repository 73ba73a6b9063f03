#include "programs/agent/peer_task.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamorespan::agent {

namespace {

constexpr duration minReconnectDelay = 100ms;
constexpr duration maxReconnectDelay = 2s;

} // namespace

struct peer_task::peer
{
    peer(peer_task &owner, const endpoint &address)
        : client(owner.m_loop, owner.m_limits, handlers(owner, address))
        , backoff(minReconnectDelay, maxReconnectDelay, owner.m_random)
        , reconnect(owner.m_loop, [&owner, address] { owner.connect(address); })
    { }

    static web_client_handlers handlers(peer_task &owner, const endpoint &address)
    {
        return {[&owner, address] {
                    sendMessage(owner.m_peers.at(address)->client.session(), owner.m_self.hello());
                },
                [&owner, address](std::string_view bytes) { owner.handleMessage(address, bytes); },
                [&owner, address] { owner.handleClosed(address); }};
    }

    web_client client;
    retry_backoff backoff;
    loop_timer reconnect;
    std::optional<process_link> link;
};

peer_task::peer_task(ev::loop_ref loop, const web_limits &limits, duration heartbeatInterval,
                     self_description self, link_handlers handlers, random_source random)
    : m_loop(loop)
    , m_limits(limits)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
    , m_random(std::move(random))
    , m_log("peers")
    , m_heartbeats(loop, [this] { sendHeartbeats(); })
{
    m_heartbeats.startRepeating(heartbeatInterval);
}

peer_task::~peer_task() = default;

void peer_task::setPeers(const std::set<endpoint> &peers)
{
    std::vector<endpoint> removed;
    for (const auto &entry : m_peers) {
        if (!peers.contains(entry.first))
            removed.push_back(entry.first);
    }
    std::ranges::for_each(removed, [this](const endpoint &address) { removePeer(address); });
    std::ranges::for_each(peers, [this](const endpoint &address) {
        if (m_peers.contains(address))
            return;
        m_peers.emplace(address, std::make_unique<peer>(*this, address));
        connect(address);
    });
}

void peer_task::addInbound(const process_link &link)
{
    m_inbound.insert_or_assign(link.id(), link);
}

void peer_task::removeInbound(const process_link &link)
{
    m_inbound.erase(link.id());
}

void peer_task::broadcast(const messages::message &message) const
{
    std::ranges::for_each(connectedPeers(), [&](const auto &entry) { entry.second.send(message); });
}

bool peer_task::send(const instance_id &instance, const messages::message &message) const
{
    const auto links = connectedPeers();
    const auto found = links.find(instance);
    return found != links.end() && found->second.send(message);
}

std::map<instance_id, process_link> peer_task::connectedPeers() const
{
    std::map<instance_id, process_link> result;
    std::ranges::for_each(m_peers, [&](const auto &entry) {
        if (entry.second->link)
            result.emplace(entry.second->link->remote().instance, *entry.second->link);
    });
    std::ranges::for_each(m_inbound, [&](const auto &entry) {
        result.emplace(entry.second.remote().instance, entry.second);
    });
    return result;
}

void peer_task::removePeer(const endpoint &address)
{
    const auto removed = m_peers.extract(address);
    if (removed.mapped()->link)
        m_handlers.onDisconnected(*removed.mapped()->link);
}

void peer_task::connect(const endpoint &address)
{
    m_peers.at(address)->client.connect(address);
}

void peer_task::handleMessage(const endpoint &address, std::string_view bytes)
{
    auto &remotePeer = *m_peers.at(address);
    try {
        handle(remotePeer, decodeLinkMessage(bytes));
    } catch (const decode_error &failure) {
        ++m_invalidMessages;
        m_log.write(log_level::warning, "connection closed for an invalid message",
                    {{"peer", address.str()}, {"reason", failure.what()}});
        remotePeer.client.close("invalid message");
    }
}

void peer_task::handle(peer &remotePeer, const messages::message &message)
{
    if (remotePeer.link) {
        const auto openLink = *remotePeer.link;
        m_handlers.onMessage(openLink, message);
        return;
    }
    const auto *hello = std::get_if<messages::hello>(&message);
    if (hello == nullptr)
        throw decode_error("the first message is not hello");
    remotePeer.backoff.reset();
    remotePeer.link.emplace(*hello, remotePeer.client.session());
    m_log.write(log_level::info, "peer connected",
                {{"peer", hello->instance.str()}, {"data_centre", hello->dataCentre.str()}});
    const auto openLink = *remotePeer.link;
    m_handlers.onConnected(openLink);
}

void peer_task::handleClosed(const endpoint &address)
{
    auto &remotePeer = *m_peers.at(address);
    remotePeer.reconnect.startOnce(remotePeer.backoff.next());
    const auto link = std::exchange(remotePeer.link, std::nullopt);
    if (!link)
        return;
    m_log.write(log_level::warning, "peer disconnected", {{"peer", link->remote().instance.str()}});
    m_handlers.onDisconnected(*link);
}

void peer_task::sendHeartbeats()
{
    broadcast(m_self.heartbeat());
}

} // namespace sycamorespan::agent
