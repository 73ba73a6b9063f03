#include "sycamorespan/Configuration"
#include "sycamorespan/Core"

#include <map>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::configuration {
namespace {

constexpr std::size_t dataCentreCount = 4;
constexpr std::size_t agentsPerDataCentre = 2;
constexpr std::size_t agentCount = dataCentreCount * agentsPerDataCentre;
constexpr duration tickInterval = 20ms;
constexpr duration inForceBound = 5s; // required time until an edit is in force everywhere
constexpr duration memberTimeout = 3s;

std::size_t dataCentreOf(std::size_t agent)
{
    return agent / agentsPerDataCentre;
}

data_centre_id dataCentreName(std::size_t number)
{
    return data_centre_id("dc" + std::to_string(number));
}

instance_id agentName(std::size_t number)
{
    return instance_id("agent" + std::to_string(number));
}

std::size_t agentNumber(const instance_id &name)
{
    return std::stoul(name.str().substr(5));
}

configuration_document documentOf(configuration_version version)
{
    configuration_document document;
    document.version = version;
    document.positionSecret = std::string(64, '0');
    document.recentEdits = {{version, "edit"}};
    auto &members = document.lists.groups[database_id("sales")].members;
    for (std::size_t number = 0; number < dataCentreCount; ++number)
        members.push_back({server_id("s" + std::to_string(number)),
                           "127.0.0.1:" + std::to_string(1000 + number), dataCentreName(number), 5,
                           30});
    return document;
}

/** Model of the accepted edits in order, on one clock, which the simulated fleet must agree with.
 */
struct edit_history
{
    configuration_version stored = 1; // version in the table
    std::vector<std::pair<time_point, configuration_version>> reported; // confirmed to operators

    configuration_version newestReportedBy(time_point time) const
    {
        configuration_version result = 0;
        for (const auto &[when, version] : reported) {
            if (when <= time)
                result = std::max(result, version);
        }
        return result;
    }
};

/** An agent and its proxy, which share a clock with an arbitrary offset. */
struct instance_process
{
    duration clockOffset;
    configuration_reader reader;
    configuration_follower proxy;
    bool isAlive = true;
    bool isPaused = false;
    std::uint64_t incarnation = 0;
    configuration_version highestSeen = 0;
    std::map<std::size_t, time_point> lastReached;
};

class fleet_simulation
{
public:
    explicit fleet_simulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (auto &row : m_isPartitioned)
            row.fill(false);
        m_isStoreUnreachable.fill(false);
        for (std::size_t number = 0; number < agentCount; ++number)
            m_processes.push_back(newProcess(number, 0));
    }

    void runFor(duration length)
    {
        const auto end = m_now + length;
        while (m_now < end) {
            m_now += tickInterval;
            deliverDue();
            for (std::size_t number = 0; number < agentCount; ++number)
                tick(number);
            checkProcesses();
        }
    }

    /** Runs with random faults and edits. */
    void runWithFaults(duration length)
    {
        const auto end = m_now + length;
        while (m_now < end) {
            runFor(fromSeconds(0.1 + 2.0 * randomUnit()));
            injectFaultOrEdit();
        }
    }

    bool edit(bool isReported = true)
    {
        if (m_isOutageForOperators)
            return false;
        ++m_history.stored;
        if (!isReported)
            return true;
        std::array<std::size_t, dataCentreCount> acknowledged{};
        for (std::size_t number = 0; number < agentCount; ++number)
            acknowledged[dataCentreOf(number)] += announceByOperator(number) ? 1 : 0;
        const bool isWitnessed =
                std::ranges::find(acknowledged, agentsPerDataCentre) != acknowledged.end();
        if (isWitnessed)
            m_history.reported.emplace_back(m_now, m_history.stored);
        return isWitnessed;
    }

    void isolateDataCentre(std::size_t dataCentre, bool isPartitioned)
    {
        for (std::size_t other = 0; other < dataCentreCount; ++other)
            partitionLink(dataCentre, other, isPartitioned);
        m_isStoreUnreachable[dataCentre] = isPartitioned;
        m_isOperatorUnreachable[dataCentre] = isPartitioned;
    }

    void partitionLink(std::size_t left, std::size_t right, bool isPartitioned)
    {
        m_isPartitioned[left][right] = isPartitioned && left != right;
        m_isPartitioned[right][left] = isPartitioned && left != right;
    }

    void setOutage(bool isOutage, bool isForOperators)
    {
        m_isStoreUnreachable.fill(isOutage);
        m_isOutageForOperators = isForOperators;
    }

    void setLossless() { m_lossShare = 0; }

    void restart(std::size_t number)
    {
        m_processes[number] = newProcess(number, m_processes[number].incarnation + 1);
    }

    void stop(std::size_t number) { m_processes[number].isAlive = false; }

    void pause(std::size_t number, bool isPaused) { m_processes[number].isPaused = isPaused; }

    void heal()
    {
        for (std::size_t number = 0; number < dataCentreCount; ++number)
            isolateDataCentre(number, false);
        m_isOutageForOperators = false;
        for (std::size_t number = 0; number < agentCount; ++number) {
            m_processes[number].isPaused = false;
            if (!m_processes[number].isAlive)
                restart(number);
        }
    }

    bool isFresh(std::size_t number) const
    {
        return m_processes[number].proxy.isFresh(localTime(number));
    }

    std::size_t freshProxies() const
    {
        std::size_t count = 0;
        for (std::size_t number = 0; number < agentCount; ++number)
            count += isFresh(number) ? 1 : 0;
        return count;
    }

    configuration_version inForce(std::size_t number) const
    {
        return m_processes[number].proxy.holder().version();
    }

    configuration_version lowestInForce() const
    {
        configuration_version lowest = m_history.stored;
        for (std::size_t number = 0; number < agentCount; ++number)
            lowest = std::min(lowest, inForce(number));
        return lowest;
    }

    const edit_history &history() const { return m_history; }
    std::size_t rowReads() const { return m_rowReads; }

private:
    double randomUnit() { return std::uniform_real_distribution<>()(m_random); }
    std::size_t randomBelow(std::size_t count) { return m_random() % count; }

    time_point localTime(std::size_t number) const
    {
        return m_now + m_processes[number].clockOffset;
    }

    instance_process newProcess(std::size_t number, std::uint64_t incarnation)
    {
        const auto offset = fromSeconds(randomUnit() * 1000);
        auto seeded = std::make_shared<std::mt19937_64>(m_random());
        return {offset,
                configuration_reader(
                        {agentName(number), dataCentreName(dataCentreOf(number))}, {},
                        [seeded] { return (*seeded)(); }, m_now + offset),
                configuration_follower(agentName(number), {}),
                true,
                false,
                incarnation,
                0,
                {}};
    }

    bool canReach(std::size_t from, std::size_t to) const
    {
        return !m_isPartitioned[dataCentreOf(from)][dataCentreOf(to)];
    }

    void at(time_point when, std::function<void()> event)
    {
        m_events.emplace(when, std::move(event));
    }

    void deliverDue()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            auto node = m_events.extract(m_events.begin());
            node.mapped()();
        }
    }

    /** Runs \a event on a process if its incarnation is still \a incarnation, after
     * the end of any pause.
     */
    void deliver(std::size_t number, std::uint64_t incarnation, const std::function<void()> &event)
    {
        const auto &process = m_processes[number];
        if (!process.isAlive || process.incarnation != incarnation)
            return;
        if (process.isPaused)
            at(m_now + tickInterval,
               [this, number, incarnation, event] { deliver(number, incarnation, event); });
        else
            event();
    }

    void tick(std::size_t number)
    {
        auto &process = m_processes[number];
        if (!process.isAlive || process.isPaused)
            return;
        process.reader.membersChanged(membersSeenBy(number));
        perform(number, process.reader.tick(localTime(number)));
        performProxy(number, process.proxy.tick(localTime(number)));
    }

    std::vector<agent_peer> membersSeenBy(std::size_t number)
    {
        auto &seen = m_processes[number].lastReached;
        std::vector<agent_peer> result;
        for (std::size_t other = 0; other < agentCount; ++other) {
            const auto &process = m_processes[other];
            if (process.isAlive && !process.isPaused && canReach(number, other))
                seen[other] = m_now;
            if (seen.contains(other) && m_now - seen[other] <= memberTimeout)
                result.push_back({agentName(other), dataCentreName(dataCentreOf(other))});
        }
        return result;
    }

    void perform(std::size_t number, const configuration_actions &actions)
    {
        for (const auto &action : actions) {
            std::visit(overloaded{
                               [&](const read_row &read) { readRow(number, read); },
                               [&](const read_body &read) { readBody(number, read); },
                               [&](const send_message &message) { send(number, message); },
                               [&](const put_in_force &) {},
                       },
                       action);
        }
    }

    /** Delivers the messages of a proxy, which go only to the agent of its instance. */
    void performProxy(std::size_t number, const configuration_actions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *message = std::get_if<send_message>(&action)) {
                const auto incarnation = m_processes[number].incarnation;
                const auto content = message->content;
                at(m_now + 1ms, [this, number, incarnation, content] {
                    deliver(number, incarnation,
                            [this, number, content] { agentReceived(number, content); });
                });
            }
        }
    }

    void agentReceived(std::size_t number, const messages::message &content)
    {
        auto &reader = m_processes[number].reader;
        const instance_id proxyName("proxy");
        if (const auto *query = std::get_if<messages::freshness_query>(&content))
            answerProxy(number, reader.received(localTime(number), proxyName, *query));
        if (const auto *request = std::get_if<messages::configuration_request>(&content))
            answerProxy(number, reader.received(localTime(number), proxyName, *request));
    }

    void answerProxy(std::size_t number, const configuration_actions &actions)
    {
        for (const auto &action : actions) {
            const auto content = std::get<send_message>(action).content;
            auto &proxy = m_processes[number].proxy;
            const auto now = localTime(number);
            if (const auto *answer = std::get_if<messages::freshness_answer>(&content))
                performProxy(number, proxy.received(now, *answer));
            if (const auto *body = std::get_if<messages::configuration_body>(&content))
                performProxy(number, proxy.received(now, *body));
        }
    }

    duration randomDelay()
    {
        return fromSeconds(0.001 + (randomBelow(20) == 0 ? 0.4 : 0.01) * randomUnit());
    }

    bool isLost() { return randomUnit() < m_lossShare; }

    void send(std::size_t from, const send_message &message)
    {
        const auto to = agentNumber(message.to);
        if (isLost() || !canReach(from, to))
            return;
        const auto incarnation = m_processes[to].incarnation;
        at(m_now + randomDelay(), [this, from, to, incarnation, message] {
            if (!canReach(from, to))
                return;
            deliver(to, incarnation,
                    [this, from, to, message] { agentMessageReceived(from, to, message.content); });
        });
    }

    void agentMessageReceived(std::size_t from, std::size_t to, const messages::message &content)
    {
        auto &reader = m_processes[to].reader;
        const auto now = localTime(to);
        const auto sender = agentName(from);
        std::visit(
                [&](const auto &message) {
                    if constexpr (requires { reader.received(now, sender, message); })
                        perform(to, reader.received(now, sender, message));
                },
                content);
    }

    bool isStoreReachable(std::size_t number) const
    {
        return !m_isStoreUnreachable[dataCentreOf(number)];
    }

    void readRow(std::size_t number, const read_row &read)
    {
        ++m_rowReads;
        if (isLost() || !isStoreReachable(number))
            return;
        const auto incarnation = m_processes[number].incarnation;
        at(m_now + randomDelay(), [this, number, incarnation, read] {
            const configuration_row row{m_history.stored, objectName(m_history.stored, "edit"),
                                        "edit"};
            at(m_now + randomDelay(), [this, number, incarnation, read, row] {
                deliver(number, incarnation, [this, number, read, row] {
                    auto &reader = m_processes[number].reader;
                    perform(number, reader.rowRead(localTime(number), read.request, row));
                });
            });
        });
    }

    void readBody(std::size_t number, const read_body &read)
    {
        if (isLost() || !isStoreReachable(number))
            return;
        const auto incarnation = m_processes[number].incarnation;
        at(m_now + randomDelay(), [this, number, incarnation, read] {
            deliver(number, incarnation, [this, number, read] {
                auto &reader = m_processes[number].reader;
                const auto body = serializeDocument(documentOf(read.version));
                perform(number, reader.bodyRead(localTime(number), read.version, body));
            });
        });
    }

    bool announceByOperator(std::size_t number)
    {
        auto &process = m_processes[number];
        if (!process.isAlive || process.isPaused || m_isOperatorUnreachable[dataCentreOf(number)])
            return false;
        const messages::configuration_announce announce{m_history.stored,
                                                        objectName(m_history.stored, "edit")};
        const instance_id sender("agent" + std::to_string(number)); // does not hold the body
        perform(number, process.reader.received(localTime(number), sender, announce));
        return true;
    }

    void injectFaultOrEdit()
    {
        const auto number = randomBelow(agentCount);
        const auto dataCentre = randomBelow(dataCentreCount);
        switch (randomBelow(12)) {
        case 0:
            return isolateDataCentre(dataCentre, true);
        case 1:
        case 2:
            return isolateDataCentre(dataCentre, false);
        case 3:
            return partitionLink(dataCentre, randomBelow(dataCentreCount), randomBelow(2) == 0);
        case 4:
            return setOutage(true, randomBelow(2) == 0);
        case 5:
            return setOutage(false, false);
        case 6:
            return restart(number);
        case 7:
            return stop(number);
        case 8:
            return pause(number, randomBelow(2) == 0);
        case 9:
            m_isStoreUnreachable[dataCentre] = randomBelow(2) == 0;
            return;
        default:
            edit();
        }
    }

    void checkProcesses()
    {
        const auto required = m_history.newestReportedBy(m_now - inForceBound);
        for (std::size_t number = 0; number < agentCount; ++number) {
            auto &process = m_processes[number];
            const auto version = inForce(number);
            RC_ASSERT(version >= process.highestSeen);
            RC_ASSERT(version <= m_history.stored);
            process.highestSeen = version;
            if (process.isAlive && !process.isPaused && isFresh(number))
                RC_ASSERT(version >= required);
        }
    }

    std::mt19937_64 m_random;
    time_point m_now{1h};
    edit_history m_history;
    std::vector<instance_process> m_processes;
    std::multimap<time_point, std::function<void()>> m_events;
    std::array<std::array<bool, dataCentreCount>, dataCentreCount> m_isPartitioned{};
    std::array<bool, dataCentreCount> m_isStoreUnreachable{};
    std::array<bool, dataCentreCount> m_isOperatorUnreachable{};
    bool m_isOutageForOperators = false;
    double m_lossShare = 0.01;
    std::size_t m_rowReads = 0;
};

RC_GTEST_PROP(configuration_distribution, noFreshProxyMissesAnEditAndAllConvergeAfterFaults, ())
{
    fleet_simulation fleet(*rc::gen::arbitrary<std::uint64_t>());
    fleet.runFor(3s);
    fleet.runWithFaults(60s);
    fleet.heal();
    fleet.runFor(10s);
    RC_ASSERT(fleet.freshProxies() == agentCount);
    RC_ASSERT(fleet.lowestInForce() == fleet.history().stored);
}

RC_GTEST_PROP(configuration_distribution, anEditIsInForceEverywhereWithinTheBound, ())
{
    fleet_simulation fleet(*rc::gen::arbitrary<std::uint64_t>());
    fleet.runFor(3s);
    constexpr int edits = 5;
    for (int number = 0; number < edits; ++number) {
        const bool isAnnounced = number % 2 == 0; // otherwise the tool is killed after its write
        fleet.edit(isAnnounced);
        fleet.runFor(inForceBound);
        RC_ASSERT(fleet.lowestInForce() == fleet.history().stored);
        RC_ASSERT(fleet.freshProxies() == agentCount);
    }
}

TEST(configuration_distribution, keyedRequestsContinueDuringALongStoreOutage)
{
    fleet_simulation fleet(1);
    fleet.runFor(3s);
    fleet.setOutage(true, true);
    constexpr int outageSeconds = 600;
    for (int second = 0; second < outageSeconds; ++second) {
        fleet.runFor(1s);
        ASSERT_EQ(fleet.freshProxies(), agentCount) << second;
    }
}

TEST(configuration_distribution, anOutageAddsNoStoreReadsDuringOrAfterIt)
{
    fleet_simulation fleet(2);
    fleet.runFor(3s);
    const auto start = fleet.rowReads();
    fleet.runFor(20s);
    const auto before = fleet.rowReads() - start;
    fleet.setOutage(true, true);
    fleet.runFor(20s);
    const auto during = fleet.rowReads() - start - before;
    fleet.setOutage(false, false);
    fleet.runFor(20s);
    const auto after = fleet.rowReads() - start - before - during;
    EXPECT_LE(during, before);
    EXPECT_LE(after, before + before / 10);
}

TEST(configuration_distribution, anIsolatedDataCentreStopsKeyedRequestsAndTheOthersContinue)
{
    fleet_simulation fleet(3);
    fleet.runFor(3s);
    fleet.isolateDataCentre(0, true);
    fleet.runFor(inForceBound);
    EXPECT_EQ(fleet.freshProxies(), agentCount - agentsPerDataCentre);
    EXPECT_FALSE(fleet.isFresh(0));
    EXPECT_TRUE(fleet.edit());
    fleet.runFor(inForceBound);
    EXPECT_EQ(fleet.inForce(0), 1U);
    EXPECT_EQ(fleet.inForce(agentCount - 1), 2U);
    fleet.isolateDataCentre(0, false);
    fleet.runFor(inForceBound);
    EXPECT_EQ(fleet.freshProxies(), agentCount);
    EXPECT_EQ(fleet.inForce(0), 2U);
}

TEST(configuration_distribution, aDataCentreThatReachesOtherDataCentresButNotTheStoreStaysFresh)
{
    fleet_simulation fleet(4);
    fleet.runFor(3s);
    fleet.setOutage(false, false);
    fleet.isolateDataCentre(0, true);
    for (std::size_t other = 1; other < dataCentreCount; ++other)
        fleet.partitionLink(0, other, false);
    fleet.runFor(20s);
    EXPECT_EQ(fleet.freshProxies(), agentCount);
    EXPECT_TRUE(fleet.edit());
    fleet.runFor(inForceBound);
    EXPECT_EQ(fleet.lowestInForce(), 2U);
}

TEST(configuration_distribution, aStoreOutageWithAnIsolatedDataCentreStopsKeyedRequestsEverywhere)
{
    fleet_simulation fleet(5);
    fleet.runFor(3s);
    fleet.setOutage(true, false);
    fleet.isolateDataCentre(0, true);
    fleet.runFor(inForceBound);
    EXPECT_EQ(fleet.freshProxies(), 0U);
}

TEST(configuration_distribution, anInstanceStartedDuringAnOutageLearnsFromItsPeers)
{
    fleet_simulation fleet(6);
    fleet.runFor(3s);
    EXPECT_TRUE(fleet.edit());
    fleet.runFor(inForceBound);
    fleet.setOutage(true, true);
    fleet.runFor(10s);
    fleet.restart(0);
    EXPECT_FALSE(fleet.isFresh(0));
    fleet.runFor(inForceBound);
    EXPECT_EQ(fleet.inForce(0), 2U);
    EXPECT_TRUE(fleet.isFresh(0));
}

TEST(configuration_distribution, aWholeFleetStartedDuringAnOutageRunsNoKeyedRequest)
{
    fleet_simulation fleet(7);
    fleet.runFor(3s);
    fleet.setOutage(true, true);
    for (std::size_t number = 0; number < agentCount; ++number)
        fleet.stop(number);
    for (std::size_t number = 0; number < agentCount; ++number)
        fleet.restart(number);
    fleet.runFor(20s);
    EXPECT_EQ(fleet.freshProxies(), 0U);
    fleet.setOutage(false, false);
    fleet.runFor(inForceBound);
    EXPECT_EQ(fleet.freshProxies(), agentCount);
}

} // namespace
} // namespace sycamorespan::configuration
