#include "sycamorespan/src/Failover/supervisor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorespan {

namespace {

constexpr unsigned maximumBackoffDoublings = 10;

struct candidate
{
    std::uint64_t weight = 0;
    const agent_instance *agent = nullptr;

    const data_centre_id &dataCentre() const { return agent->dataCentre; }
};

bool precedes(const candidate &left, const candidate &right)
{
    return left.weight != right.weight ? left.weight > right.weight
                                       : left.agent->instance < right.agent->instance;
}

std::string describe(suspicion_cause cause)
{
    switch (cause) {
    case suspicion_cause::unresponsive:
        return "primary does not answer";
    case suspicion_cause::deposed:
        return "member reports that it is not primary of the term";
    case suspicion_cause::stalled:
        return "no majority confirms the primary's log";
    }
    return {};
}

failure_detector_settings detectorSettings(const supervisor_settings &settings, bool isFirst)
{
    auto result = settings.detector;
    if (!isFirst)
        result.probeInterval = settings.standbyProbeInterval;
    return result;
}

} // namespace

std::vector<instance_id> watchersOf(const database_id &database,
                                    const std::vector<agent_instance> &agents, std::size_t count)
{
    std::vector<candidate> firsts;
    std::vector<candidate> others;
    for (const auto &agent : agents) {
        candidate next{rendezvousWeight(database.str(), agent.instance.str()), &agent};
        const auto first = std::ranges::find(firsts, agent.dataCentre, &candidate::dataCentre);
        if (first == firsts.end()) {
            firsts.push_back(next);
            continue;
        }
        if (precedes(next, *first))
            std::swap(next, *first);
        others.push_back(next);
    }
    std::ranges::sort(firsts, precedes);
    if (firsts.size() < count)
        std::ranges::sort(others, precedes);
    std::ranges::copy(others, std::back_inserter(firsts));
    firsts.resize(std::min(count, firsts.size()));
    std::vector<instance_id> watchers;
    std::ranges::transform(firsts, std::back_inserter(watchers),
                           [](const candidate &watcher) { return watcher.agent->instance; });
    return watchers;
}

supervisor::supervisor(const supervisor_settings &settings, group_configuration group,
                       instance_id self, std::string boot, data_centre_id dataCentre,
                       random_source random)
    : m_settings(settings)
    , m_group(std::move(group))
    , m_self(std::move(self))
    , m_boot(std::move(boot))
    , m_dataCentre(std::move(dataCentre))
    , m_random(std::move(random))
{ }

std::vector<supervisor_action> supervisor::handle(const supervisor_event &event, time_point now)
{
    actions out;
    std::visit([&](const auto &alternative) { onEvent(alternative, now, out); }, event);
    return out;
}

std::optional<time_point> supervisor::nextDeadline() const
{
    if (m_state == supervisor_state::standby)
        return std::nullopt;
    std::vector<time_point> times;
    const auto add = [&times](const std::optional<time_point> &time) {
        if (time)
            times.push_back(*time);
    };
    add(m_detector ? m_detector->nextDeadline() : std::nullopt);
    add(m_change ? m_change->nextDeadline() : m_changeAt);
    add(m_nextUpkeep);
    return times.empty() ? std::nullopt : std::optional(std::ranges::min(times));
}

void supervisor::onEvent(const call_returned &event, time_point now, actions &out)
{
    if (m_detector)
        forward(m_detector->handle(event, now), now, out);
    if (m_change)
        forward(m_change->handle(event, now), now, out);
    const auto *status = std::get_if<member_status>(&event.answer);
    if (status && event.id.purpose == call_purpose::upkeep)
        onMemberStatus(event.server, *status, now, out);
}

void supervisor::onEvent(const observer_report &event, time_point now, actions &out)
{
    if (m_detector)
        forward(m_detector->handle(event, now), now, out);
}

void supervisor::onEvent(const instances_changed &event, time_point now, actions &out)
{
    auto live = event.live;
    if (std::ranges::find(live, m_self, &agent_instance::instance) == live.end())
        live.push_back(agent_instance{m_self, m_dataCentre});
    const auto watchers = watchersOf(m_group.database, live, m_settings.watcherCount);
    const auto own = std::ranges::find(watchers, m_self);
    const bool isWatcher = own != watchers.end();
    const auto place = static_cast<std::size_t>(own - watchers.begin());
    setRank(isWatcher ? std::optional(place) : std::nullopt, now, out);
}

void supervisor::onEvent(const suspicion_reported &event, time_point now, actions &out)
{
    const bool isCurrent = m_view && m_view->term == event.term && m_view->primary == event.server;
    if (isCurrent && m_detector)
        forward(m_detector->probeNow(now), now, out);
}

void supervisor::onEvent(const view_learned &event, time_point now, actions &out)
{
    const bool isNewer = !m_view || supersedes(event.view, *m_view);
    const bool namesUnknown = m_view && m_view->state == group_state::unserved
                              && event.view.term == m_view->term
                              && event.view.state == group_state::served;
    if (isNewer || namesUnknown)
        adoptView(event.view, now, out);
}

void supervisor::onEvent(const time_passed &event, time_point now, actions &out)
{
    if (m_state == supervisor_state::standby)
        return;
    if (m_detector)
        forward(m_detector->handle(event, now), now, out);
    if (m_change)
        forward(m_change->handle(event, now), now, out);
    if (m_changeAt && *m_changeAt <= now)
        startChange(now, out);
    if (m_nextUpkeep && *m_nextUpkeep <= now)
        queryMembers(now, out);
}

void supervisor::enterState(supervisor_state state, std::string reason, actions &out)
{
    if (state == m_state)
        return;
    m_state = state;
    out.emplace_back(log_state{state, std::move(reason)});
}

void supervisor::setRank(std::optional<std::size_t> rank, time_point now, actions &out)
{
    const bool wasWatcher = m_rank.has_value();
    const bool intervalChanges = (m_rank == 0U) != (rank == 0U);
    m_rank = rank;
    if (!rank) {
        m_detector.reset();
        m_change.reset();
        m_changeAt.reset();
        m_nextUpkeep.reset();
        return enterState(supervisor_state::standby, "other instances watch the group", out);
    }
    if (wasWatcher && !intervalChanges)
        return;
    enterState(supervisor_state::watching, "this instance watches the group", out);
    if (m_view)
        return startWatching(*m_view, now, out);
    if (!m_change)
        startChange(now, out);
}

void supervisor::startWatching(const group_view &view, time_point now, actions &out)
{
    const auto settings = detectorSettings(m_settings, m_rank == 0U);
    m_detector.emplace(settings, view, m_dataCentre, ++m_lastSeries);
    forward(m_detector->start(now), now, out);
    m_nextUpkeep = now + upkeepInterval();
}

void supervisor::adoptView(const group_view &view, time_point now, actions &out)
{
    m_view = view;
    m_view->members = m_group.members;
    m_highestTerm = std::max(m_highestTerm, view.term);
    m_change.reset();
    m_changeAt.reset();
    m_request = change_request{};
    m_strandedSince.clear();
    if (!m_rank)
        return;
    enterState(supervisor_state::watching, "primary is known", out);
    startWatching(*m_view, now, out);
}

void supervisor::scheduleChange(change_request request, time_point when)
{
    m_request = std::move(request);
    if (!m_changeAt && !m_change)
        m_changeAt = when;
}

void supervisor::suspect(suspicion_cause cause, time_point now, actions &out)
{
    if (m_change)
        return;
    const bool isStalled = cause == suspicion_cause::stalled;
    enterState(supervisor_state::waiting, describe(cause), out);
    const auto delay = m_settings.takeoverDelay * static_cast<int>(m_rank.value_or(0));
    scheduleChange(change_request{m_view->primary, std::nullopt, isStalled}, now + delay);
    if (m_changeAt && *m_changeAt <= now)
        startChange(now, out);
}

void supervisor::startChange(time_point now, actions &out)
{
    m_changeAt.reset();
    const auto series = ++m_lastSeries;
    const auto attempt = std::to_string(series) + '/' + std::to_string(m_random());
    const auto token = m_self.str() + '/' + m_boot + '/' + attempt;
    enterState(supervisor_state::changing, "starting an attempt to find or promote a primary", out);
    m_change.emplace(m_settings.change, m_group, m_request, token, m_highestTerm, series);
    forward(m_change->start(now), now, out);
}

void supervisor::forward(const std::vector<failure_detector_action> &from, time_point now,
                         actions &out)
{
    const overloaded visitor{
            [&](const primary_suspected &suspicion) { suspect(suspicion.cause, now, out); },
            [&](const primary_recovered &) {
                m_changeAt.reset();
                if (!m_change)
                    enterState(supervisor_state::watching, "primary answers again", out);
            },
            [&](const auto &action) { out.emplace_back(action); },
    };
    for (const auto &action : from)
        std::visit(visitor, action);
}

void supervisor::forward(const std::vector<primary_change_action> &from, time_point now,
                         actions &out)
{
    const overloaded visitor{
            [&](const call_member &call) { out.emplace_back(call); },
            [&](const change_result &result) {
                m_change.reset();
                std::visit([&](const auto &alternative) { onChangeResult(alternative, now, out); },
                           result);
            },
    };
    for (const auto &action : from)
        std::visit(visitor, action);
}

void supervisor::onChangeResult(const change_completed &result, time_point now, actions &out)
{
    m_consecutiveAbandoned = 0;
    out.emplace_back(publish_view{result.view});
    adoptView(result.view, now, out);
    for (const auto &member : m_group.members) {
        const auto *primary = findMember(m_group.members, result.view.primary);
        const follow_operation follow{result.view.term, primary->server, primary->address};
        if (member.server != primary->server)
            out.emplace_back(upkeepCall(member.server, follow, now));
    }
}

void supervisor::onChangeResult(const change_unnecessary &result, time_point now, actions &out)
{
    m_consecutiveAbandoned = 0;
    const bool isKnown =
            m_view && m_view->term == result.view.term && m_view->state == group_state::served;
    if (!isKnown)
        out.emplace_back(publish_view{result.view});
    adoptView(isKnown ? *m_view : result.view, now, out);
}

void supervisor::onChangeResult(const primary_unresponsive &result, time_point now, actions &out)
{
    m_consecutiveAbandoned = 0;
    adoptView(group_view{m_group.database, result.highestTerm, result.server, m_group.members,
                         std::nullopt, group_state::unserved},
              now, out);
}

void supervisor::onChangeResult(const change_abandoned &result, time_point now, actions &out)
{
    m_highestTerm = std::max(m_highestTerm, result.highestTerm);
    enterState(supervisor_state::waiting, "attempt to change the primary was abandoned", out);
    m_changeAt = now + nextBackoff();
}

duration supervisor::upkeepInterval() const
{
    return m_rank == 0U ? m_settings.upkeepInterval : m_settings.standbyUpkeepInterval;
}

void supervisor::queryMembers(time_point now, actions &out)
{
    m_nextUpkeep = now + upkeepInterval();
    if (m_state != supervisor_state::watching || !m_view)
        return;
    for (const auto &member : m_group.members) {
        if (member.server != m_view->primary)
            out.emplace_back(upkeepCall(member.server, status_operation{}, now));
    }
}

void supervisor::onMemberStatus(const server_id &server, const member_status &status,
                                time_point now, actions &out)
{
    const auto *primary = m_view ? findMember(m_group.members, m_view->primary) : nullptr;
    if (m_state != supervisor_state::watching || !primary || server == primary->server)
        return;
    if (status.term > m_view->term)
        return onStrandedMember(server, now);
    m_strandedSince.erase(server);
    const bool follows = status.term == m_view->term && status.role == member_role::replica;
    const bool primaryIsCertain = m_view->state == group_state::served;
    if (follows || !primaryIsCertain)
        return;
    const follow_operation follow{m_view->term, primary->server, primary->address};
    out.emplace_back(upkeepCall(server, follow, now));
}

void supervisor::onStrandedMember(const server_id &server, time_point now)
{
    const auto [since, isNew] = m_strandedSince.emplace(server, now);
    if (m_rank == 0U && now - since->second >= m_settings.strandedTimeout)
        scheduleChange(change_request{std::nullopt, m_view->primary, true}, now);
}

call_member supervisor::upkeepCall(const server_id &server, group_operation operation,
                                   time_point now)
{
    const call_id id{call_purpose::upkeep, 0, ++m_lastUpkeepCall};
    return call_member{id, server, std::move(operation), false, now + m_settings.upkeepInterval};
}

duration supervisor::nextBackoff()
{
    const auto doublings = std::min(m_consecutiveAbandoned++, maximumBackoffDoublings);
    const auto longest =
            std::min(m_settings.minimumBackoff * (1U << doublings), m_settings.maximumBackoff);
    return longest / 2 + fromSeconds(toSeconds(longest) / 2 * uniformUnit(m_random));
}

} // namespace sycamorespan
