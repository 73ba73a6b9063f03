#include "programs/agent/peer_task.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamorespan::agent {

namespace {

constexpr duration firstReconnect = 100ms;
constexpr duration longestReconnect = 2s;

} // namespace

struct peer_task::peer
{
    peer(peer_task &owner, const endpoint &address)
        : client(owner.m_loop, owner.m_limits, handlers(owner, address))
        , backoff(firstReconnect, longestReconnect, owner.m_random)
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
    std::vector<endpoint> former;
    for (const auto &entry : m_peers) {
        if (!peers.contains(entry.first))
            former.push_back(entry.first);
    }
    std::ranges::for_each(former, [this](const endpoint &address) { drop(address); });
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
    std::ranges::for_each(connected(), [&](const auto &entry) { entry.second.send(message); });
}

bool peer_task::send(const instance_id &instance, const messages::message &message) const
{
    const auto links = connected();
    const auto found = links.find(instance);
    return found != links.end() && found->second.send(message);
}

std::map<instance_id, process_link> peer_task::connected() const
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

void peer_task::drop(const endpoint &address)
{
    const auto former = m_peers.extract(address);
    if (former.mapped()->link)
        m_handlers.disconnected(*former.mapped()->link);
}

void peer_task::connect(const endpoint &address)
{
    m_peers.at(address)->client.connect(address);
}

void peer_task::handleMessage(const endpoint &address, std::string_view bytes)
{
    auto &other = *m_peers.at(address);
    try {
        handle(other, receivedMessage(bytes));
    } catch (const decode_error &failure) {
        ++m_invalidMessages;
        m_log.write(log_level::warning, "connection closed for an invalid message",
                    {{"peer", address.str()}, {"reason", failure.what()}});
        other.client.close("invalid message");
    }
}

void peer_task::handle(peer &other, const messages::message &message)
{
    if (other.link) {
        const auto known = *other.link;
        m_handlers.received(known, message);
        return;
    }
    const auto *hello = std::get_if<messages::hello>(&message);
    if (hello == nullptr)
        throw decode_error("the first message is not hello");
    other.backoff.reset();
    other.link.emplace(*hello, other.client.session());
    m_log.write(log_level::info, "peer connected",
                {{"peer", hello->instance.str()}, {"data_centre", hello->dataCentre.str()}});
    const auto known = *other.link;
    m_handlers.connected(known);
}

void peer_task::handleClosed(const endpoint &address)
{
    auto &other = *m_peers.at(address);
    other.reconnect.startOnce(other.backoff.next());
    const auto link = std::exchange(other.link, std::nullopt);
    if (!link)
        return;
    m_log.write(log_level::warning, "peer disconnected", {{"peer", link->remote().instance.str()}});
    m_handlers.disconnected(*link);
}

void peer_task::sendHeartbeats()
{
    broadcast(m_self.heartbeat());
}

} // namespace sycamorespan::agent
