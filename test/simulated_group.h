#ifndef SYCAMORESPAN_TEST_SIMULATED_GROUP_H
#define SYCAMORESPAN_TEST_SIMULATED_GROUP_H

#include "sycamorespan/Failover"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>

namespace sycamorespan {

/** \brief Thrown when the simulated group violates a guarantee. */
class guarantee_violated : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** \brief Deliberately wrong rules that the schedules must detect. */
enum class wrong_rule {
    none,
    equalTermsAccepted, ///< a member accepts a fence of its own term with any token
    minorityFenced, ///< a supervisor knows and fences fewer members than a majority
    longestByOffset, ///< the term of positions is ignored when the longest log is chosen
    followersOfAnyTerm, ///< a follower's position of another term counts for a commit
    acknowledgedAtOnce, ///< a commit is acknowledged without waiting for a majority
    divergentTailKept, ///< a rejoining member keeps log entries that the new primary lacks
};

/** \brief Settings of a simulated_group. */
struct simulation_settings
{
    duration oneWay = 500us;
    duration connectTime = 12ms;
    duration writeInterval = 40ms;
    duration writeDeadline = 4s;
    double lossRate = 0;
    bool allSupervisorsFirst = false; ///< all agents act at once, without precedence
    wrong_rule wrongRule = wrong_rule::none;
    supervisor_settings supervising;
    commit_tracker_settings tracking;
};

/** \brief Simulates three members, four agents and two proxies in four data centres in virtual
 * time.
 *
 * The reference model is a single ordered log: the offset and value of every acknowledged write.
 */
class simulated_group
{
public:
    static constexpr std::size_t memberCount = 3;
    static constexpr std::size_t agentCount = 4;
    static constexpr std::size_t proxyCount = 2;
    static constexpr std::size_t nodeCount = memberCount + agentCount + proxyCount;
    static constexpr std::size_t dataCentreCount = 4;

    struct log_entry
    {
        term_number term = 0;
        std::uint64_t value = 0;
        bool operator==(const log_entry &) const = default;
    };
    using log = std::vector<log_entry>;

    simulated_group(const simulation_settings &settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(seed)
    {
        for (std::size_t number = 0; number < memberCount; ++number)
            m_group.members.push_back({serverAt(number), "address", dataCentreAt(number)});
        m_group.database = database_id("stock");
        for (auto &member : m_members)
            member = simulated_member{1, member_role::replica, "", 0, false, {{1, 0}}, {}};
        m_members[0].role = member_role::primary;
        m_primaries[1] = 0;
        for (std::size_t number = 0; number < agentCount; ++number)
            startAgent(number);
        for (std::size_t number = 0; number < proxyCount; ++number)
            startProxy(number);
        for (std::size_t number = 0; number < memberCount; ++number)
            replicateRepeatedly(number);
    }

    void runUntil(time_point end)
    {
        while (!m_queue.empty() && m_queue.top().time <= end) {
            const auto next = m_queue.top();
            m_queue.pop();
            m_now = next.time;
            next.run();
        }
        m_now = end;
    }

    void runFor(duration length) { runUntil(m_now + length); }

    // Fault injection.
    std::size_t agentNode(std::size_t number) const { return memberCount + number; }
    void kill(std::size_t node)
    {
        m_nodes[node].up = false;
        ++m_nodes[node].incarnation;
        m_nodes[node].deferred.clear();
        const auto reset = std::exchange(m_nodes[node].onReset, {});
        for (const auto &notify : reset)
            after(m_settings.oneWay, notify);
        for (std::size_t agent = 0; agent < agentCount && node < memberCount; ++agent)
            send(node, agentNode(agent), [=, this] { reportSuspicion(agent, node); });
    }
    void restart(std::size_t node)
    {
        if (m_nodes[node].up)
            return;
        m_nodes[node].up = true;
        if (node < memberCount)
            m_members[node].followers.clear();
        else if (node < memberCount + agentCount)
            startAgent(node - memberCount);
        else
            startProxy(node - memberCount - agentCount);
    }
    void freeze(std::size_t node) { m_nodes[node].frozen = true; }
    void thaw(std::size_t node)
    {
        m_nodes[node].frozen = false;
        for (const auto &run : std::exchange(m_nodes[node].deferred, {}))
            after(0us, run);
    }
    void slowDown(std::size_t node, duration delay) { m_nodes[node].delay = delay; }
    void setPartitioned(std::size_t left, std::size_t right, bool partitioned)
    {
        m_partitioned[left][right] = m_partitioned[right][left] = partitioned;
    }
    void setIsolated(std::size_t dataCentre, bool partitioned)
    {
        for (std::size_t other = 0; other < dataCentreCount; ++other) {
            if (other != dataCentre)
                setPartitioned(dataCentre, other, partitioned);
        }
    }
    /** \brief Makes existing connections between the nodes unresponsive. New ones work. */
    void makeConnectionsUnresponsive(std::size_t from, std::size_t to)
    {
        m_unresponsiveConnections.insert({from, to});
    }
    void setLossRate(double rate) { m_settings.lossRate = rate; }
    void healAll()
    {
        m_partitioned = {};
        m_settings.lossRate = 0;
        for (std::size_t node = 0; node < nodeCount; ++node) {
            m_nodes[node].delay = 0us;
            thaw(node);
            restart(node);
        }
    }

    // Observations.
    time_point now() const { return m_now; }
    std::uint64_t drawBelow(std::uint64_t bound) { return m_random() % bound; }
    std::size_t primaryOfHighestTerm() const { return m_primaries.rbegin()->second; }
    term_number highestTerm() const { return m_primaries.rbegin()->first; }
    std::size_t leadingAgent() const
    {
        std::vector<agent_instance> agents;
        for (std::size_t number = 0; number < agentCount; ++number)
            agents.push_back({instanceAt(number), dataCentreAt(number)});
        return static_cast<std::size_t>(watchersOf(m_group.database, agents, 1).front().str().back()
                                        - '0');
    }
    std::size_t acknowledgedCount() const { return m_acknowledged.size(); }
    const supervisor &supervisorAt(std::size_t agent) const { return *m_agents[agent].machine; }
    /** \returns when the first write sent after \a time was acknowledged. */
    std::optional<time_point> firstAcknowledgedAfter(time_point time) const
    {
        const auto found = std::ranges::find_if(
                m_acknowledgedTimes, [time](const auto &entry) { return entry.first > time; });
        return found == m_acknowledgedTimes.end() ? std::nullopt : std::optional(found->second);
    }
    std::map<std::string, time_point>
            firstSeen; ///< first time of each step of a change since the map was cleared
    std::size_t unknownCount = 0;

    /** \returns whether every member is primary or follower in the highest term. */
    bool allMembersFollow() const
    {
        return std::ranges::all_of(m_members, [this](const simulated_member &member) {
            const bool isPrimary = member.role == member_role::primary;
            const bool follows = member.role == member_role::replica
                                 && member.primary == primaryOfHighestTerm()
                                 && !member.hasUncheckedTail;
            return member.term == highestTerm() && (isPrimary || follows);
        });
    }

    /** \brief Checks the log of the primary against the reference model. */
    void checkAgainstModel() const { checkHoldsAcknowledged(primaryOfHighestTerm(), "the end"); }

private:
    struct simulated_member
    {
        term_number term = 0;
        member_role role = member_role::replica;
        std::string token;
        std::size_t primary = 0;
        bool hasUncheckedTail = false;
        log entries;
        std::map<std::size_t, log_position> followers;
    };
    struct node_state
    {
        bool up = true;
        bool frozen = false;
        std::uint64_t incarnation = 0;
        duration delay{0};
        std::vector<std::function<void()>> deferred;
        std::deque<std::function<void()>> onReset;
    };
    struct agent_state
    {
        std::unique_ptr<supervisor> machine;
        std::optional<time_point> timer;
    };
    struct proxy_state
    {
        std::unique_ptr<commit_tracker> machine;
        std::optional<time_point> timer;
        std::set<std::size_t> connected;
    };
    struct scheduled
    {
        time_point time;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const scheduled &other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };
    struct write
    {
        std::uint64_t value = 0;
        log_position position;
        time_point sentAt;
    };
    using answer_handler = std::function<void(const group_answer &)>;

    static server_id serverAt(std::size_t number)
    {
        return server_id("s" + std::to_string(number));
    }
    static std::size_t numberOf(const server_id &server) { return server.str().back() - '0'; }
    static data_centre_id dataCentreAt(std::size_t number)
    {
        return data_centre_id("dc" + std::to_string(number % dataCentreCount));
    }
    /** \returns the data centre of a node: that of their number for members and agents, and the
     * last ones for proxies.
     */
    static std::size_t zoneOf(std::size_t node)
    {
        if (node < memberCount)
            return node;
        if (node < memberCount + agentCount)
            return node - memberCount;
        return node - memberCount - agentCount + 2;
    }

    // Virtual time and message delivery.
    void after(duration delay, std::function<void()> run)
    {
        m_queue.push({m_now + delay, ++m_order, std::move(run)});
    }
    void deliver(std::size_t node, std::uint64_t incarnation, const std::function<void()> &run)
    {
        auto &state = m_nodes[node];
        if (!state.up || state.incarnation != incarnation)
            return;
        if (state.frozen)
            state.deferred.push_back(run);
        else
            run();
    }
    bool isBlocked(std::size_t from, std::size_t to) const
    {
        return m_partitioned[zoneOf(from)][zoneOf(to)];
    }
    duration latency(std::size_t from, std::size_t to)
    {
        constexpr std::uint64_t jitterMicroseconds = 200;
        const auto base = zoneOf(from) == zoneOf(to) ? 100us : m_settings.oneWay;
        const bool isLate = m_settings.lossRate > 0 && drawBelow(50) == 0;
        const duration late = isLate ? duration(drawBelow(800'000)) : 0us;
        return base + duration(drawBelow(jitterMicroseconds)) + late + m_nodes[to].delay;
    }
    void send(std::size_t from, std::size_t to, const std::function<void()> &run)
    {
        const bool isLost = static_cast<double>(drawBelow(1000)) < m_settings.lossRate * 1000;
        if (isLost || isBlocked(from, to))
            return;
        const auto incarnation = m_nodes[to].incarnation;
        after(latency(from, to), [=, this] {
            if (!isBlocked(from, to))
                deliver(to, incarnation, run);
        });
    }
    /** Calls a member on a connection. The call is refused if no process listens, and gets no
     * answer if the connection or node is unresponsive.
     */
    void callServer(std::size_t from, std::size_t to, bool fresh,
                    const std::function<group_answer()> &run, const answer_handler &reply)
    {
        if (fresh)
            m_unresponsiveConnections.erase({from, to});
        else if (m_unresponsiveConnections.contains({from, to}))
            return;
        const auto fail = [=, this] { send(to, from, [=] { reply(call_failed{}); }); };
        if (!m_nodes[to].up)
            return fail();
        remember(m_nodes[to].onReset, fail);
        after(fresh ? m_settings.connectTime : 0us, [=, this] {
            send(from, to, [=, this] {
                const auto answer = run();
                send(to, from, [=] { reply(answer); });
            });
        });
    }

    /** Stores the failure handler of a call. Only the latest calls can still be pending. */
    static void remember(std::deque<std::function<void()>> &calls, std::function<void()> fail)
    {
        constexpr std::size_t pendingCalls = 64;
        calls.push_back(std::move(fail));
        if (calls.size() > pendingCalls)
            calls.pop_front();
    }

    // Members.
    static log_position positionOf(const simulated_member &member)
    {
        return {member.entries.back().term, member.entries.size()};
    }
    member_status statusOf(std::size_t number) const
    {
        const auto &member = m_members[number];
        member_status status{member.term, member.role, positionOf(member), {}, {}};
        if (member.role != member_role::primary)
            return status;
        for (const auto &[follower, position] : member.followers)
            status.followers.push_back({serverAt(follower), position});
        return status;
    }
    group_answer run(std::size_t number, const status_operation &) { return statusOf(number); }
    group_answer run(std::size_t number, const fence_operation &operation)
    {
        auto &member = m_members[number];
        const bool isRepeated = operation.term == member.term && operation.token == member.token
                                && member.role != member_role::primary;
        const bool isEqual = m_settings.wrongRule == wrong_rule::equalTermsAccepted
                             && operation.term == member.term;
        if (operation.term <= member.term && !isRepeated && !isEqual)
            return call_refused{member.term};
        member.term = operation.term;
        member.token = operation.token;
        member.role = member_role::fenced;
        member.followers.clear();
        return position_answer{positionOf(member)};
    }
    group_answer run(std::size_t number, const promote_operation &operation)
    {
        auto &member = m_members[number];
        const bool isOwn = operation.term == member.term && operation.token == member.token;
        if (!isOwn || member.role == member_role::replica)
            return call_refused{member.term};
        if (member.role == member_role::primary)
            return position_answer{positionOf(member)};
        const auto [entry, isNew] = m_primaries.emplace(member.term, number);
        if (!isNew && entry->second != number)
            throw guarantee_violated("two primaries of one term");
        checkHoldsAcknowledged(number, "promotion");
        member.role = member_role::primary;
        member.hasUncheckedTail = false;
        member.entries.push_back({member.term, 0});
        return position_answer{positionOf(member)};
    }
    group_answer run(std::size_t number, const follow_operation &operation)
    {
        auto &member = m_members[number];
        const bool isPrimary = operation.term == member.term && member.role == member_role::primary;
        if (operation.term < member.term || isPrimary)
            return call_refused{member.term};
        if (member.term != operation.term || member.role != member_role::replica)
            member.hasUncheckedTail = true;
        member.term = operation.term;
        member.role = member_role::replica;
        member.primary = numberOf(operation.primary);
        confirm(number);
        return position_answer{positionOf(member)};
    }
    group_answer run(std::size_t, const end_sessions_operation &) { return sessions_ended{}; }

    void confirm(std::size_t follower)
    {
        const auto &member = m_members[follower];
        const auto term = member.term;
        // A checked log is a prefix of the primary's log, although its last entry may have an older
        // term.
        const auto position = member.hasUncheckedTail ? positionOf(member)
                                                      : log_position{term, member.entries.size()};
        const auto primary = member.primary;
        send(follower, primary, [=, this] {
            auto &target = m_members[primary];
            if (target.role == member_role::primary && target.term == term)
                target.followers[follower] = position;
        });
    }
    void receiveLog(std::size_t follower, std::size_t primary, term_number term, const log &entries)
    {
        auto &member = m_members[follower];
        const bool follows = member.role == member_role::replica && member.term == term
                             && member.primary == primary;
        if (!follows)
            return;
        const bool isLonger = entries.size() > member.entries.size();
        const auto kept = static_cast<std::ptrdiff_t>(member.entries.size());
        if (m_settings.wrongRule == wrong_rule::divergentTailKept && isLonger)
            std::copy(entries.begin() + kept, entries.end(), std::back_inserter(member.entries));
        else if (m_settings.wrongRule != wrong_rule::divergentTailKept
                 && (member.hasUncheckedTail || isLonger))
            member.entries = entries;
        member.hasUncheckedTail = false;
        confirm(follower);
    }
    void replicate(std::size_t number)
    {
        const auto &member = m_members[number];
        if (!m_nodes[number].up || m_nodes[number].frozen || member.role != member_role::primary)
            return;
        const auto entries = std::make_shared<const log>(member.entries);
        const auto term = member.term;
        for (std::size_t follower = 0; follower < memberCount; ++follower) {
            if (follower != number)
                send(number, follower, [=, this] { receiveLog(follower, number, term, *entries); });
        }
    }
    void replicateRepeatedly(std::size_t number)
    {
        replicate(number);
        after(50ms, [=, this] { replicateRepeatedly(number); });
    }

    // Agents.
    void startAgent(std::size_t number)
    {
        const auto boot = "b" + std::to_string(++m_order);
        auto group = m_group;
        if (m_settings.wrongRule == wrong_rule::minorityFenced)
            group.members.erase(group.members.begin() + static_cast<std::ptrdiff_t>(number % 3));
        if (m_settings.wrongRule == wrong_rule::minorityFenced)
            group.members.resize(1);
        m_agents[number].machine = std::make_unique<supervisor>(
                m_settings.supervising, group, instanceAt(number), boot, dataCentreAt(number),
                [this] { return m_random(); });
        m_agents[number].timer.reset();
        instances_changed membership;
        for (std::size_t other = 0; other < agentCount && !m_settings.allSupervisorsFirst; ++other)
            membership.live.push_back({instanceAt(other), dataCentreAt(other)});
        passToAgent(number, membership);
        shareViewRepeatedly(number, m_nodes[agentNode(number)].incarnation);
    }
    static instance_id instanceAt(std::size_t number)
    {
        return instance_id("i" + std::to_string(number));
    }
    void reportSuspicion(std::size_t agent, std::size_t server)
    {
        const auto &view = m_agents[agent].machine->view();
        if (view)
            passToAgent(agent, suspicion_reported{serverAt(server), view->term});
    }
    void passToAgent(std::size_t number, const supervisor_event &event)
    {
        auto &agent = m_agents[number];
        for (const auto &action : agent.machine->handle(event, m_now))
            std::visit([&](const auto &alternative) { performAgentAction(number, alternative); },
                       action);
        setTimer(agent.timer, agent.machine->nextDeadline(), agentNode(number), [this, number] {
            m_agents[number].timer.reset();
            passToAgent(number, time_passed{});
        });
    }
    void setTimer(std::optional<time_point> &current, std::optional<time_point> wanted,
                  std::size_t node, const std::function<void()> &run)
    {
        if (!wanted || (current && *current <= *wanted))
            return;
        current = wanted;
        const auto incarnation = m_nodes[node].incarnation;
        after(std::max(*wanted - m_now, duration(1)),
              [=, this] { deliver(node, incarnation, run); });
    }
    void performAgentAction(std::size_t number, const call_member &call)
    {
        const auto server = numberOf(call.server);
        if (std::holds_alternative<fence_operation>(call.operation))
            firstSeen.emplace("fencing", m_now);
        if (std::holds_alternative<promote_operation>(call.operation))
            firstSeen.emplace("promoting", m_now);
        const auto perform = [=, this] {
            return std::visit([&](const auto &op) { return run(server, op); }, call.operation);
        };
        const auto reply = [=, this](group_answer answer) {
            auto *position = std::get_if<position_answer>(&answer);
            if (position && m_settings.wrongRule == wrong_rule::longestByOffset)
                position->position.term = 1;
            passToAgent(number, call_returned{call.id, call.server, answer});
        };
        callServer(agentNode(number), server, call.freshConnection, perform, reply);
    }
    void performAgentAction(std::size_t number, const query_observers &query)
    {
        const auto server = numberOf(query.server);
        for (std::size_t observer = 0; observer < agentCount; ++observer) {
            if (observer == number)
                continue;
            const auto answered = std::make_shared<bool>(false);
            const auto report = [=, this](const group_answer &answer) {
                if (std::exchange(*answered, true))
                    return;
                const observer_report result{query.round, dataCentreAt(observer),
                                             healthOf(answer, query.term)};
                send(agentNode(observer), agentNode(number),
                     [=, this] { passToAgent(number, result); });
            };
            send(agentNode(number), agentNode(observer), [=, this] {
                callServer(
                        agentNode(observer), server, true,
                        [=, this] { return run(server, status_operation{}); }, report);
                after(query.timeout, [=, this] {
                    deliver(agentNode(observer), m_nodes[agentNode(observer)].incarnation,
                            [=] { report(call_failed{}); });
                });
            });
        }
    }
    void performAgentAction(std::size_t number, const publish_view &action)
    {
        firstSeen.emplace("published", m_now);
        shareView(number, action.view);
    }
    void performAgentAction(std::size_t, const log_state &change)
    {
        if (change.state == supervisor_state::changing)
            firstSeen.emplace("changing", m_now);
    }
    void shareView(std::size_t number, group_view view)
    {
        view.members = m_group.members;
        for (std::size_t other = 0; other < agentCount; ++other) {
            if (other != number)
                send(agentNode(number), agentNode(other),
                     [=, this] { passToAgent(other, view_learned{view}); });
        }
        for (std::size_t proxy = 0; proxy < proxyCount; ++proxy)
            send(agentNode(number), proxyNode(proxy),
                 [=, this] { passToProxy(proxy, view_learned{view}); });
    }
    void shareViewRepeatedly(std::size_t number, std::uint64_t incarnation)
    {
        if (m_nodes[agentNode(number)].incarnation != incarnation)
            return;
        const auto &view = m_agents[number].machine->view();
        if (view && view->state == group_state::served && !m_nodes[agentNode(number)].frozen)
            shareView(number, *view);
        after(500ms, [=, this] { shareViewRepeatedly(number, incarnation); });
    }

    // Proxies.
    std::size_t proxyNode(std::size_t number) const { return memberCount + agentCount + number; }
    void startProxy(std::size_t number)
    {
        group_view view;
        view.database = m_group.database;
        view.members = m_group.members;
        auto &proxy = m_proxies[number];
        proxy.machine = std::make_unique<commit_tracker>(m_settings.tracking, view);
        proxy.timer.reset();
        proxy.connected.clear();
        writeRepeatedly(number, m_nodes[proxyNode(number)].incarnation);
    }
    void passToProxy(std::size_t number, const commit_tracker_event &event)
    {
        auto &proxy = m_proxies[number];
        for (const auto &action : proxy.machine->handle(event, m_now))
            std::visit([&](const auto &alternative) { performProxyAction(number, alternative); },
                       action);
        setTimer(proxy.timer, proxy.machine->nextDeadline(), proxyNode(number), [this, number] {
            m_proxies[number].timer.reset();
            passToProxy(number, time_passed{});
        });
    }
    void performProxyAction(std::size_t number, const request_status &request)
    {
        const auto server = numberOf(request.server);
        const auto reply = [=, this](const group_answer &answer) {
            const auto *status = std::get_if<member_status>(&answer);
            if (!status)
                return passToProxy(number, status_failed{request.request});
            auto shown = *status;
            if (m_settings.wrongRule == wrong_rule::followersOfAnyTerm) {
                for (auto &follower : shown.followers)
                    follower.position.term = shown.term;
            }
            passToProxy(number, status_answered{request.request, request.server, shown});
        };
        callServer(
                proxyNode(number), server, request.freshConnection,
                [=, this] { return run(server, status_operation{}); }, reply);
    }
    void performProxyAction(std::size_t, const release_waiter &release)
    {
        acknowledge(m_writes.at(release.waiter));
    }
    void performProxyAction(std::size_t, const report_unknown &) { ++unknownCount; }
    void performProxyAction(std::size_t number, const suspect_primary &suspicion)
    {
        for (std::size_t agent = 0; agent < agentCount; ++agent)
            send(proxyNode(number), agentNode(agent), [=, this] {
                passToAgent(agent, suspicion_reported{suspicion.server, suspicion.term});
            });
    }
    void writeRepeatedly(std::size_t number, std::uint64_t incarnation)
    {
        if (m_nodes[proxyNode(number)].incarnation != incarnation)
            return;
        const auto &view = m_proxies[number].machine->view();
        if (!view.primary.empty() && !m_nodes[proxyNode(number)].frozen)
            startWrite(number, numberOf(view.primary));
        after(m_settings.writeInterval, [=, this] { writeRepeatedly(number, incarnation); });
    }
    void startWrite(std::size_t number, std::size_t server)
    {
        const auto sentAt = m_now;
        const auto value = ++m_lastValue;
        const bool fresh = m_proxies[number].connected.insert(server).second;
        const auto perform = [=, this]() -> group_answer {
            auto &member = m_members[server];
            if (member.role != member_role::primary)
                return call_refused{};
            member.entries.push_back({member.term, value});
            replicate(server);
            return position_answer{positionOf(member)};
        };
        callServer(proxyNode(number), server, fresh, perform,
                   [=, this](const group_answer &answer) {
                       const auto *position = std::get_if<position_answer>(&answer);
                       if (!position)
                           return;
                       m_writes[value] = write{value, position->position, sentAt};
                       if (m_settings.wrongRule == wrong_rule::acknowledgedAtOnce)
                           return acknowledge(m_writes[value]);
                       passToProxy(number, wait_started{value, position->position,
                                                        m_now + m_settings.writeDeadline});
                   });
    }

    // Reference model: a single ordered log.
    bool holds(std::size_t member, std::uint64_t offset, std::uint64_t value) const
    {
        const auto &entries = m_members[member].entries;
        return entries.size() >= offset && entries[offset - 1].value == value;
    }
    void acknowledge(const write &acknowledged)
    {
        const auto offset = acknowledged.position.offset;
        const auto [entry, isNew] = m_acknowledged.emplace(offset, acknowledged.value);
        if (!isNew)
            throw guarantee_violated("two acknowledged writes at the same log offset");
        std::size_t holders = 0;
        for (std::size_t member = 0; member < memberCount; ++member)
            holders += holds(member, offset, acknowledged.value) ? 1 : 0;
        if (holders < majorityOf(memberCount))
            throw guarantee_violated("acknowledged without a majority, or by an old primary");
        m_acknowledgedTimes.emplace(acknowledged.sentAt, m_now);
    }
    void checkHoldsAcknowledged(std::size_t member, const std::string &when) const
    {
        for (const auto &[offset, value] : m_acknowledged) {
            if (!holds(member, offset, value))
                throw guarantee_violated("an acknowledged write is lost at " + when);
        }
    }

    simulation_settings m_settings;
    std::mt19937_64 m_random;
    group_configuration m_group;
    time_point m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled> m_queue;
    std::array<node_state, nodeCount> m_nodes;
    std::array<std::array<bool, dataCentreCount>, dataCentreCount> m_partitioned{};
    std::set<std::pair<std::size_t, std::size_t>> m_unresponsiveConnections;
    std::array<simulated_member, memberCount> m_members;
    std::map<term_number, std::size_t> m_primaries;
    std::array<agent_state, agentCount> m_agents;
    std::array<proxy_state, proxyCount> m_proxies;
    std::uint64_t m_lastValue = 0;
    std::map<std::uint64_t, write> m_writes;
    std::map<std::uint64_t, std::uint64_t> m_acknowledged;
    std::multimap<time_point, time_point> m_acknowledgedTimes;
};

} // namespace sycamorespan

#endif
