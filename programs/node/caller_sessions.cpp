#include "programs/node/caller_sessions.h"

#include "sycamorespan/src/Core/map_projections.h"
#include "sycamorespan/src/Net/clock.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include <sys/socket.h>

namespace sycamorespan::node {

namespace {

/** Part of the memory of the process that is held for callers at most. */
constexpr std::size_t memoryPart = 4;

/** Descriptors of the process that are reserved for files. */
constexpr std::size_t reservedDescriptors = 200;

/** Interval at which time limits are checked. */
constexpr duration expiryInterval = 1s;

} // namespace

intake_policy intakePolicy(const platform::node_settings &settings)
{
    intake_policy policy;
    if (settings.memoryBytes > 0)
        policy.budgetBytes = settings.memoryBytes / memoryPart;
    if (settings.maxDescriptors > reservedDescriptors) {
        // A quarter is left for members, the store and other instances.
        policy.maxSessions = (settings.maxDescriptors - reservedDescriptors) * 3 / 4;
        policy.maxUnidentified = std::max<std::size_t>(policy.maxSessions / 4, 1);
    }
    return policy;
}

caller_sessions::caller_sessions(ev::loop_ref loop, const endpoint &address,
                                 const intake_policy &policy, event_log &log, node_metrics &metrics,
                                 event_guard &guard, handlers callbacks)
    : m_loop(loop)
    , m_log(log)
    , m_metrics(metrics)
    , m_guard(guard)
    , m_handlers(std::move(callbacks))
    , m_channelHandlers{[this](session_number session, const platform::caller_message &message) {
                            const bool succeeded = m_guard.run("message of a caller", [&] {
                                handleMessage(session, message);
                            });
                            if (!succeeded)
                                disconnect(session);
                        },
                        [this](session_number session) { updateLoad(session); },
                        [this](session_number session, std::string_view) { disconnect(session); },
                        [this](session_number session) { return m_budget.mustPause(session); }}
    , m_budget(policy)
    , m_listener(loop, address, [this](file_descriptor socket) {
        m_guard.run("connection of a caller", [&] { acceptConnection(std::move(socket)); });
    })
{ }

void caller_sessions::acceptConnection(file_descriptor socket)
{
    const auto session = m_handlers.newSession();
    const auto ends = m_budget.opened(session, suspendAwareNow());
    if (!ends.empty() && ends.front().session == session) {
        const auto line = platform::encodeRejected(
                {statement_error::busy, "the instance has too many sessions"});
        // The error is for information: the end of the connection is the refusal.
        static_cast<void>(::send(socket.get(), line.data(), line.size(), MSG_NOSIGNAL));
        return logEnd(ends.front());
    }
    m_active.emplace(session, std::make_unique<caller_channel>(m_loop, std::move(socket), session,
                                                               m_channelHandlers));
    end(ends);
}

void caller_sessions::handleMessage(session_number session, const platform::caller_message &message)
{
    std::visit([&](const auto &each) { handle(session, each); }, message);
}

void caller_sessions::handle(session_number session, const platform::connect_message &message)
{
    m_budget.identified(session);
    if (m_isServing)
        return m_handlers.onConnect(session, message);
    if (!m_waiting.try_emplace(session, waiting_caller{message, {}}).second) {
        reject(session, {statement_error::malformed, "the session is already connected"});
        disconnect(session);
    }
}

void caller_sessions::handle(session_number session, const caller_request &request)
{
    const auto waiting = m_waiting.find(session);
    if (waiting == m_waiting.end())
        m_handlers.onRequest(session, request);
    else
        waiting->second.requests.push_back(request);
}

void caller_sessions::handle(session_number session, const platform::quit_message &)
{
    disconnect(session);
}

void caller_sessions::startServing()
{
    m_isServing = true;
    for (const auto &[session, waiting] : std::exchange(m_waiting, {})) {
        m_delivering = session;
        m_handlers.onConnect(session, waiting.message);
        for (const auto &request : waiting.requests)
            m_handlers.onRequest(session, request);
        m_delivering.reset();
        takeMessages(session);
    }
}

void caller_sessions::accept(session_number session)
{
    if (auto *channel = findOpen(session))
        channel->answer(platform::encodeAccepted());
    takeMessages(session);
}

/** Takes messages that the channel holds back, unless earlier ones are still to be handed over. */
void caller_sessions::takeMessages(session_number session)
{
    auto *channel = findOpen(session);
    if (channel && m_delivering != session)
        channel->takeMessages();
    updateLoad(session);
}

void caller_sessions::answer(session_number session, const statement_answer &answer)
{
    if (auto *channel = findOpen(session))
        channel->answer(platform::encodeAnswer(answer));
    updateLoad(session);
    takeMessages(session);
}

void caller_sessions::reject(session_number session, const rejected &error)
{
    if (auto *channel = findOpen(session))
        channel->write(platform::encodeRejected(error));
}

bool caller_sessions::close(session_number session)
{
    m_waiting.erase(session);
    const auto found = m_active.find(session);
    if (found == m_active.end())
        return false;
    auto &channel = *found->second;
    // Closing the channel must not find it among the active ones.
    m_retired.insert(m_active.extract(found));
    channel.closeAfterWrite();
    m_watched.insert(session); // before updateLoad(), which may end the session
    updateLoad(session);
    return true;
}

bool caller_sessions::hasMessages(session_number session)
{
    auto *channel = findOpen(session);
    return channel && channel->hasMessages();
}

void caller_sessions::closeAll()
{
    std::vector<session_number> open;
    std::ranges::transform(m_active, std::back_inserter(open), keyOf);
    std::ranges::for_each(open, [this](session_number session) {
        if (auto *channel = findOpen(session))
            channel->takeAllMessages();
        updateLoad(session);
    });
    while (!m_active.empty())
        close(m_active.begin()->first);
}

void caller_sessions::rejectWaiting(const rejected &error)
{
    for (const auto &[session, waiting] : std::exchange(m_waiting, {})) {
        reject(session, error);
        close(session);
    }
}

/** Ends the session of a caller whose connection has ended, or who has quit. */
void caller_sessions::disconnect(session_number session)
{
    if (close(session))
        m_guard.run("end of a caller's connection", [&] { m_handlers.onDisconnected(session); });
}

void caller_sessions::tick(time_point now)
{
    m_ended.clear();
    for (const auto session : std::vector(m_watched.begin(), m_watched.end()))
        takeMessages(session);
    std::erase_if(m_retired, [this](const auto &each) {
        if (each.second->isOpen())
            return false;
        m_budget.closed(each.first);
        m_watched.erase(each.first);
        return true;
    });
    if (now - m_expiryCheckedAt < expiryInterval)
        return;
    m_expiryCheckedAt = now;
    end(m_budget.expired(now));
}

void caller_sessions::updateLoad(session_number session)
{
    const auto *channel = find(session);
    if (!channel)
        return;
    auto load = channel->load();
    load.kept = m_handlers.keptBytes(session);
    if (channel->isPaused() || load.unsent > 0)
        m_watched.insert(session);
    else if (m_active.contains(session))
        m_watched.erase(session);
    end(m_budget.changed(session, load, suspendAwareNow()));
}

void caller_sessions::end(const intake_budget::ends &ends)
{
    std::ranges::for_each(ends, [this](const intake_end &each) { end(each); });
}

/** Closes a session at once, without delivering its answers. */
void caller_sessions::end(const intake_end &ended)
{
    logEnd(ended);
    m_watched.erase(ended.session);
    m_waiting.erase(ended.session);
    const bool wasActive = m_active.contains(ended.session);
    auto &channels = wasActive ? m_active : m_retired;
    const auto found = channels.find(ended.session);
    if (found == channels.end())
        return;
    found->second->abandon();
    m_ended.push_back(std::move(found->second));
    channels.erase(found);
    if (wasActive)
        m_guard.run("end of a caller's session", [&] { m_handlers.onDisconnected(ended.session); });
}

void caller_sessions::logEnd(const intake_end &ended)
{
    const std::string cause(nameOf(ended.cause));
    m_metrics.countClosedSession(cause);
    m_log.write(line_importance::failure, "session closed by a limit",
                {{"session", std::to_string(ended.session)},
                 {"cause", cause},
                 {"unfinished_bytes", std::to_string(ended.load.unfinished)},
                 {"untaken_bytes", std::to_string(ended.load.untaken)},
                 {"waiting_bytes", std::to_string(ended.load.waiting)},
                 {"unsent_bytes", std::to_string(ended.load.unsent)},
                 {"kept_bytes", std::to_string(ended.load.kept)},
                 {"spare_bytes", std::to_string(ended.load.spare)},
                 {"held_bytes", std::to_string(m_budget.heldBytes())},
                 {"sessions", std::to_string(m_budget.sessionCount())}},
                suspendAwareNow());
}

std::size_t caller_sessions::undeliveredBytes() const
{
    return std::accumulate(
            m_retired.begin(), m_retired.end(), std::size_t{0},
            [](std::size_t sum, const auto &each) { return sum + each.second->pendingBytes(); });
}

caller_channel *caller_sessions::findOpen(session_number session)
{
    const auto found = m_active.find(session);
    return found == m_active.end() ? nullptr : found->second.get();
}

caller_channel *caller_sessions::find(session_number session)
{
    if (auto *open = findOpen(session))
        return open;
    const auto found = m_retired.find(session);
    return found == m_retired.end() ? nullptr : found->second.get();
}

} // namespace sycamorespan::node
