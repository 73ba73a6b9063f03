// Tests of synchronous_change and group_supervisor with a model of the members and the store.

#include "sycamorespan/src/Failover/supervision.h"

#include "sycamorespan/src/Core/overloaded.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <utility>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::change_action;

const database_id database("db");
const instance_id self("i1");
constexpr std::uint64_t incarnation = 7;

/** \brief State of one simulated member. */
struct member_model
{
    replication_role role = replication_role::replica;
    term_number term = 1;
    std::vector<std::uint64_t> log; ///< numbers of the commits that it holds
    term_number pausedFor = 0;
    bool isUp = true;
    bool isRemoved = false; ///< whether it has ended permanently
};

/** \brief Simulates the store, the members and one supervisor in steps of 20 ms. */
class change_simulation
{
public:
    change_simulation()
        : m_supervisor(newSupervisor())
    {
        for (const auto *id : {"s1", "s2", "s3"}) {
            server_entry entry;
            entry.id = server_id(id);
            entry.database = database;
            entry.slots = 5;
            servers.push_back(entry);
            members[entry.id];
        }
        servers[0].role = replication_role::primary;
        members[server_id("s1")].role = replication_role::primary;
        claim();
    }

    member_model &member(const std::string &id) { return members[server_id(id)]; }

    /** Commits on the member. Instances use a primary from the publication of its view until all of
     * them have released it.
     * \returns whether the commit was acknowledged
     */
    bool commit(const std::string &id)
    {
        auto &leader = member(id);
        if (!leader.isUp || leader.role != replication_role::primary
            || m_usedPrimary != std::pair(server_id(id), leader.term))
            return false;
        leader.log.push_back(++m_commits);
        bool held = false;
        for (auto &[other, each] : members) {
            if (&each == &leader || !each.isUp || each.pausedFor > 0 || notReceiving.contains(other)
                || each.role == replication_role::primary)
                continue;
            each.log = leader.log;
            held = true;
        }
        if (held) {
            acknowledged.push_back(m_commits);
            acknowledgedAt.push_back(now);
        }
        return held;
    }

    void advance(duration time)
    {
        const auto end = now + time;
        while (now < end) {
            now += 20ms;
            finishPromotions();
            releaseOldView();
            deliverAnswers();
            performAll(m_supervisor.tick(context(), now));
        }
    }

    /** Advances time until \a condition holds. */
    template<typename Condition>
    void advanceUntil(Condition condition)
    {
        while (!condition())
            advance(20ms);
    }

    /** Stops the primary s1 and waits until the supervisor has withdrawn its view. */
    void stopFirstPrimary()
    {
        const auto intents = intentTimes.size();
        member("s1").isUp = false;
        advanceUntil([&] { return intentTimes.size() > intents; });
    }

    /** Restarts a crashed member with its log, as a replica if there is a primary of a later term.
     */
    void restartMember(member_model &back)
    {
        back.isUp = true;
        if (back.term >= m_term)
            return;
        back.role = replication_role::replica;
        back.term = m_term;
        back.pausedFor = 0;
        copyLogOfLeader(back);
    }

    /** Replaces the supervisor by another one, which knows only what is in the store. */
    void replaceSupervisor()
    {
        m_supervisor = newSupervisor();
        claim();
    }

    /** Copies the content of the store. */
    void copyStore() { m_copy = {m_row, m_claim, m_recordedHolders}; }

    /** Lets the store return from the copy, in the next era. The supervisor claims again. */
    void returnStore()
    {
        ++m_era;
        m_row = m_copy.row;
        m_row.revision = {m_era, m_row.revision.number()};
        m_claim = m_copy.claim;
        m_recordedHolders = m_copy.holders;
        performAll(m_supervisor.onStoreEra(m_era));
        claim();
    }

    /** Replaces the supervisor as replaceSupervisor() does, and forgets what all instances know. */
    void restartAllInstances()
    {
        ledger = view_ledger(view_policy{});
        m_usedPrimary.reset();
        replaceSupervisor();
    }

    /** Marks the member as draining. */
    void drain(const std::string &id)
    {
        for (auto &entry : servers)
            if (entry.id.str() == id)
                entry.state = server_state::draining;
    }

    /** Requests or withdraws the evacuation of the members' data centres. */
    void evacuate(const std::set<std::string> &ids)
    {
        for (auto &entry : servers)
            entry.isEvacuated = ids.contains(entry.id.str());
    }

    /** Adds a new replica that holds the log of the current primary. */
    void join(const std::string &id)
    {
        server_entry entry;
        entry.id = server_id(id);
        entry.database = database;
        entry.slots = 5;
        servers.push_back(entry);
        auto &joined = member(id);
        joined.term = m_term;
        copyLogOfLeader(joined);
    }

    /** Ends the member permanently, together with its log. */
    void remove(const std::string &id)
    {
        member(id).isUp = false;
        member(id).isRemoved = true;
        std::erase_if(servers, [&](const server_entry &entry) { return entry.id.str() == id; });
    }

    /** Restarts a crashed member with its log under another id. */
    void renameMember(const std::string &id, const std::string &newId)
    {
        auto back = member(id);
        back.isUp = true;
        remove(id);
        members[server_id(newId)] = back;
        server_entry entry;
        entry.id = server_id(newId);
        entry.database = database;
        entry.slots = 5;
        entry.role = back.role;
        servers.push_back(entry);
    }

    /** Starts a new incarnation of the member with an empty log. */
    void restartEmpty(const std::string &id)
    {
        member(id).log.clear();
        member(id).isUp = true;
        for (auto &entry : servers)
            if (entry.id.str() == id)
                ++entry.startedAtMs;
    }

    /** \returns whether no commit beyond a floor was acknowledged in the time that the floor
     * covers.
     */
    bool floorsAreValid() const
    {
        return std::ranges::all_of(floors, [this](const freshness_floor &floor) {
            for (std::size_t index = 0; index < acknowledged.size(); ++index)
                if (acknowledgedAt[index] <= floor.coversCommitsUntil
                    && acknowledged[index] > floor.position.offset)
                    return false;
            return true;
        });
    }

    const primary_view *view() const { return ledger.find(database); }

    bool isSteadyAt(const std::string &id) const
    {
        return view() && view()->phase == view_phase::steady && view()->primary == server_id(id);
    }

    time_point now{1h};
    std::vector<server_entry> servers;
    std::map<server_id, member_model> members;
    std::set<server_id> notReceiving;
    std::vector<std::uint64_t> acknowledged;
    std::vector<time_point> acknowledgedAt;
    std::vector<freshness_floor> floors; ///< floors published during changes
    duration answerDelay{}; ///< delay of the answers of members
    std::size_t synchronousReplicas = 1;
    std::vector<server_id> promotedIncomplete; ///< promoted without an acknowledged commit
    view_ledger ledger{view_policy{}};
    std::vector<order_promotion> orders;
    std::vector<reference_time> orderTimes;
    std::vector<reference_time> intentTimes;
    std::size_t instances = 6;
    std::size_t recentUsers = 6; ///< instances that used the primary recently
    std::size_t falseReports = 0; ///< instances that get no answer although the primary is up
    bool allReleased = true;
    bool quorumReleased = true; ///< without a quorum, views are extended for some time
    bool storeReachable = true;
    bool hasAllServers = true; ///< whether the list of servers is known to be complete
    bool losesStoreAnswers = false;
    bool losesOrders = false;

    reference_time clock() const { return now.time_since_epoch(); }

private:
    struct delayed_answer
    {
        server_id server;
        replication_status status;
        time_point requestedAt;
        time_point arrives;
    };

    struct store_copy
    {
        primary_view row;
        supervisor_claim claim;
        std::vector<log_holder> holders;
    };

    struct promotion
    {
        server_id server;
        time_point takesEffect;
    };

    supervision newSupervisor() const
    {
        return {self, incarnation, election_policy{}, supervision_policy{}, view_policy{}, now};
    }

    /** Writes a claim for the present supervisor, which then reads the rows. */
    void claim()
    {
        performAll(m_supervisor.onStoreEra(m_era));
        const bool isFirst = eraOf(m_claim.fencingToken) < m_era;
        m_claim = {{m_era, ++m_revision},
                   self,
                   incarnation,
                   nextToken(m_claim.fencingToken, m_era),
                   isFirst ? clock() : m_claim.eraBegan};
        performAll(m_supervisor.onRowsRead(m_claim, presentRows(), clock(), now));
    }

    /** \returns the row, unless it was written in a former era. */
    std::vector<primary_view> presentRows() const
    {
        return m_row.isOfPresentEra() ? std::vector{m_row} : std::vector<primary_view>();
    }

    supervision_context context() const
    {
        return {{},
                false,
                {},
                servers,
                ledger,
                [this](const database_id &, row_revision) { return allReleased; },
                [this](const database_id &, row_revision) { return quorumReleased; },
                [this](const database_id &) {
                    const auto *known = view();
                    const bool missing = known && !members.at(known->primary).isUp;
                    const auto unreachable = missing ? recentUsers : falseReports;
                    return primary_reports{instances, recentUsers - unreachable, unreachable, 0};
                },
                [this](const database_id &) { return synchronousReplicas; },
                clock(),
                clock(),
                storeReachable,
                [this](const database_id &) { return m_recordedHolders; },
                hasAllServers,
                [this](const database_id &) {
                    return m_row.isOfPresentEra() ? std::nullopt : std::optional(m_row);
                }};
    }

    void performAll(const change_outputs &outputs)
    {
        for (const auto &output : outputs)
            std::visit([this](const auto &action) { perform(action); }, output);
    }

    void perform(const write_view &action)
    {
        if (!storeReachable) {
            performAll(m_supervisor.onViewWriteUnknown(action.view, now));
            return;
        }
        if (action.view.revision != m_row.revision || action.claimRevision != m_claim.revision) {
            performAll(m_supervisor.onViewConflict(action.view, now));
            return;
        }
        m_row = action.view;
        m_row.revision = {m_era, ++m_revision};
        ++m_revision; // of another writer, before the answer
        if (action.view.phase == view_phase::withdrawn)
            intentTimes.push_back(clock());
        else if (action.view.phase == view_phase::steady)
            m_usedPrimary = std::pair(action.view.primary, action.view.term);
        if (std::exchange(losesStoreAnswers, false)) {
            performAll(m_supervisor.onViewWriteUnknown(action.view, now));
            return;
        }
        performAll(m_supervisor.onViewWritten(action.view, clock(), context(), now));
    }

    void perform(const record_holders &action)
    {
        if (storeReachable && action.claimRevision == m_claim.revision)
            m_recordedHolders = action.holders;
    }

    void perform(const read_rows &)
    {
        if (!storeReachable)
            return;
        readRow();
        performAll(m_supervisor.onRowsRead(m_claim, presentRows(), clock(), now));
    }

    void perform(const read_views &)
    {
        if (!storeReachable)
            return;
        readRow();
        performAll(m_supervisor.tick(context(), now));
    }

    void readRow()
    {
        if (m_row.revision.number() > 0)
            ledger.applyRead(m_row, clock(), {m_era, m_revision});
    }

    void perform(const send_statement &action)
    {
        if (!hasAllServers && !std::ranges::count(servers, action.server, &server_entry::id))
            return; // the address of a server that was never listed is not known
        auto &target = members[action.server];
        if (target.isRemoved)
            m_supervisor.onMemberEnded(database, action.server, now);
        if (!target.isUp) {
            performAll(m_supervisor.onMemberAnswered(database, action.server, std::nullopt, now,
                                                     context(), now));
            return;
        }
        std::visit(overloaded{
                           [&](const member_statement::pause &each) {
                               if (target.role == replication_role::replica)
                                   target.pausedFor = each.term;
                           },
                           [&](const member_statement::resume &) { target.pausedFor = 0; },
                           [&](const member_statement::step_down &each) {
                               if (each.term > target.term)
                                   target.role = replication_role::replica;
                           },
                           [](const auto &) {},
                   },
                   action.statement);
        const auto length = target.log.empty() ? 0 : target.log.back();
        const replication_status status{
                target.role, target.term, {target.term, length}, target.pausedFor};
        if (answerDelay > duration::zero()) {
            m_answers.push_back({action.server, status, now, now + answerDelay});
            return;
        }
        performAll(m_supervisor.onMemberAnswered(database, action.server, status, now, context(),
                                                 now));
    }

    void releaseOldView()
    {
        if (m_row.phase == view_phase::steady)
            return;
        if (quorumReleased && m_quorumReleasedFor != intentTimes.size()) {
            m_quorumReleasedFor = intentTimes.size();
            m_quorumReleasedAt = clock();
        }
        const auto extendedUntil = m_quorumReleasedFor == intentTimes.size()
                                           ? m_quorumReleasedAt
                                           : intentTimes.back() + view_policy{}.quorumExtension;
        const bool isExpired = clock() > extendedUntil + view_policy{}.validity;
        if (allReleased || isExpired)
            m_usedPrimary.reset();
    }

    /** Copies the log of the primary of the newest term, if there is one. */
    void copyLogOfLeader(member_model &to)
    {
        for (const auto &[id, each] : members)
            if (each.role == replication_role::primary && each.term == m_term)
                to.log = each.log;
    }

    void deliverAnswers()
    {
        std::vector<delayed_answer> due;
        std::erase_if(m_answers, [&](const delayed_answer &each) {
            if (each.arrives > now)
                return false;
            due.push_back(each);
            return true;
        });
        for (const auto &each : due)
            performAll(m_supervisor.onMemberAnswered(database, each.server, each.status,
                                                     each.requestedAt, context(), now));
    }

    void perform(const publish_floor &action) { floors.push_back(action.floor); }

    void perform(const order_promotion &action)
    {
        orders.push_back(action);
        orderTimes.push_back(clock());
        if (losesOrders)
            return;
        if (!members[action.server].isUp) {
            performAll(m_supervisor.onOrderAnswered(action, false, context(), now));
            return;
        }
        m_promotions.push_back({action.server, now + 600ms});
        performAll(m_supervisor.onOrderAnswered(action, true, context(), now));
    }

    void perform(const log_event &) { }

    void finishPromotions()
    {
        for (const auto &each : m_promotions) {
            if (each.takesEffect > now || !members[each.server].isUp)
                continue;
            auto &promoted = members[each.server];
            promoted.role = replication_role::primary;
            promoted.term = ++m_term;
            const bool complete = std::ranges::all_of(acknowledged, [&](std::uint64_t commit) {
                return std::ranges::find(promoted.log, commit) != promoted.log.end();
            });
            if (!complete)
                promotedIncomplete.push_back(each.server);
            for (auto &[id, other] : members)
                if (id != each.server && other.isUp) {
                    other.role = replication_role::replica;
                    other.pausedFor = 0;
                    other.log = promoted.log;
                    other.term = m_term;
                }
        }
        std::erase_if(m_promotions,
                      [this](const promotion &each) { return each.takesEffect <= now; });
    }

    supervision m_supervisor;
    supervisor_claim m_claim;
    std::uint64_t m_commits = 0;
    term_number m_term = 1;
    primary_view m_row{database, 0, {}, 0, view_phase::steady, false, 0, {}};
    std::uint64_t m_revision = 0;
    store_era m_era = 0;
    store_copy m_copy;
    std::vector<log_holder> m_recordedHolders; ///< in the store
    std::vector<promotion> m_promotions;
    std::vector<delayed_answer> m_answers;
    std::optional<std::pair<server_id, term_number>> m_usedPrimary;
    std::size_t m_quorumReleasedFor = 0; ///< number of the intent that a quorum has released
    reference_time m_quorumReleasedAt{};
};

TEST(FailoverSynchronous, AFirstPrimaryIsFoundAndNotReplaced)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.isSteadyAt("s1"));
    EXPECT_TRUE(simulation.orders.empty());
}

TEST(FailoverSynchronous, ADeadPrimaryIsReplacedByTheLongestLog)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.notReceiving = {server_id("s2")};
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.member("s1").isUp = false;
    simulation.advance(3s);
    EXPECT_TRUE(simulation.isSteadyAt("s3"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** A change waits for an isolated instance, but reads must not wait: floors are published. */
TEST(FailoverSynchronous, FloorsArePublishedWhileAChangeWaitsForAnInstance)
{
    constexpr duration smallestBound = 1500ms; // smallest staleness bound in use
    constexpr duration spread = 500ms; // interval of an instance's peer reports
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.allReleased = false;
    simulation.stopFirstPrimary();
    simulation.advance(100ms);
    ASSERT_FALSE(simulation.floors.empty());
    while (!simulation.isSteadyAt("s2") && !simulation.isSteadyAt("s3")) {
        simulation.advance(20ms);
        if (simulation.view()->phase == view_phase::steady)
            break;
        EXPECT_EQ(simulation.floors.back().position.offset, 1U);
        const bool isPromoted = simulation.member("s2").role == replication_role::primary
                                || simulation.member("s3").role == replication_role::primary;
        if (!isPromoted) {
            EXPECT_LT(simulation.now - simulation.floors.back().coversCommitsUntil,
                      smallestBound - spread);
        }
    }
    EXPECT_GE(simulation.now - time_point(simulation.intentTimes.front()), view_policy{}.validity);
    EXPECT_TRUE(simulation.floorsAreValid());
}

/** A floor covers the time up to the status query on which it is based, even if the answer is late.
 */
TEST(FailoverSynchronous, AFloorCoversNoTimeAfterItsStatusQuery)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.member("s1").isUp = false;
    simulation.allReleased = false;
    simulation.answerDelay = 300ms;
    simulation.advance(3s);
    ASSERT_FALSE(simulation.floors.empty());
    for (const auto &floor : simulation.floors)
        EXPECT_LE(floor.coversCommitsUntil, simulation.now - simulation.answerDelay);
}

/** A primary that needs no replica can acknowledge commits even while replicas are paused. */
TEST(FailoverSynchronous, NoFloorIsPublishedWithoutSynchronousReplicas)
{
    change_simulation simulation;
    simulation.synchronousReplicas = 0;
    simulation.advance(1s);
    simulation.member("s1").isUp = false;
    simulation.allReleased = false;
    simulation.advance(2s);
    EXPECT_TRUE(simulation.floors.empty());
}

/** A replica that doesn't answer may have confirmed commits that the other replica lacks. */
TEST(FailoverSynchronous, NoFloorIsPublishedWhileAReplicaIsNotFenced)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.member("s1").isUp = false;
    simulation.member("s2").isUp = false;
    simulation.advance(2s);
    EXPECT_TRUE(simulation.floors.empty());
}

/** A network partition isolates a data centre with the primary and a replica, and ends. No member
 * can be promoted during the partition, and none needs to be afterwards.
 */
TEST(FailoverSynchronous, APrimaryThatAnswersAgainBeforeAnyOrderIsKept)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.member("s1").isUp = false;
    simulation.member("s2").isUp = false;
    simulation.advance(5s);
    ASSERT_EQ(simulation.view()->phase, view_phase::withdrawn);
    simulation.restartMember(simulation.member("s1"));
    simulation.restartMember(simulation.member("s2"));
    simulation.advance(200ms);
    EXPECT_TRUE(simulation.isSteadyAt("s1"));
    EXPECT_EQ(simulation.view()->term, 1U);
    EXPECT_TRUE(simulation.orders.empty());
    simulation.advance(200ms);
    EXPECT_EQ(simulation.member("s2").pausedFor, 0U);
    EXPECT_EQ(simulation.member("s3").pausedFor, 0U);
    EXPECT_TRUE(simulation.commit("s1"));
}

/** A change waits for the lease of a lost instance. Meanwhile the primary restarts with its log
 * under another id, and leads its term again, so that no other member can be promoted.
 */
TEST(FailoverSynchronous, APrimaryThatRestartsUnderAnotherIdDuringAChangeIsKept)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.allReleased = false;
    simulation.stopFirstPrimary();
    simulation.advance(200ms);
    simulation.renameMember("s1", "s4");
    simulation.advance(1s);
    EXPECT_TRUE(simulation.isSteadyAt("s4"));
    EXPECT_TRUE(simulation.orders.empty());
    EXPECT_TRUE(simulation.commit("s4"));
    simulation.advance(1s);
    EXPECT_EQ(simulation.member("s2").pausedFor, 0U);
    // The next change does not wait for the id that is gone.
    simulation.allReleased = true;
    simulation.member("s4").isUp = false;
    simulation.advance(5s);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_FALSE(simulation.isSteadyAt("s4"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, APrimaryThatFailsSoonAfterItWasKeptIsReplaced)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.allReleased = false;
    simulation.stopFirstPrimary();
    simulation.restartMember(simulation.member("s1"));
    simulation.advance(200ms);
    ASSERT_TRUE(simulation.isSteadyAt("s1"));
    simulation.stopFirstPrimary();
    simulation.restartMember(simulation.member("s1"));
    simulation.advance(4s);
    EXPECT_FALSE(simulation.isSteadyAt("s1"));
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** The server list may still contain the entry of the primary's former incarnation. */
TEST(FailoverSynchronous, APrimaryThatRestartsWithAnEmptyLogIsNotKept)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.member("s1").isUp = false;
    simulation.member("s2").isUp = false;
    simulation.advance(3s);
    simulation.member("s1").log.clear();
    simulation.member("s1").isUp = true;
    simulation.advance(1s);
    EXPECT_NE(simulation.view()->phase, view_phase::steady);
    simulation.restartMember(simulation.member("s2"));
    simulation.advance(4s);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_FALSE(simulation.isSteadyAt("s1"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** The answer to a pause statement may be lost although the replica is paused. */
TEST(FailoverSynchronous, AReplicaWhoseAnswerWasLostIsResumed)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.answerDelay = 10s;
    simulation.stopFirstPrimary();
    simulation.advance(200ms);
    EXPECT_GT(simulation.member("s3").pausedFor, 0U);
    simulation.answerDelay = 0ms;
    simulation.restartMember(simulation.member("s1"));
    simulation.advance(1s);
    ASSERT_TRUE(simulation.isSteadyAt("s1"));
    EXPECT_EQ(simulation.member("s3").pausedFor, 0U);
}

/** The supervisor ends after it has sent an order and before it publishes the new view. */
TEST(FailoverSynchronous, AnOrderThatTookEffectIsPublishedByTheNextSupervisor)
{
    constexpr duration promotion = 600ms; // duration of a promotion in the model
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.member("s1").isUp = false;
    simulation.advanceUntil([&] { return !simulation.orders.empty(); });
    simulation.replaceSupervisor();
    simulation.advance(promotion + 200ms);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_EQ(simulation.view()->term, 2U);
    EXPECT_EQ(simulation.orders.size(), 1U);
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** The order was written but never sent. All views have been released since. */
TEST(FailoverSynchronous, AnOrderWithoutEffectIsReplacedWithoutWaitingForViewsToExpireAgain)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.member("s1").isUp = false;
    simulation.losesOrders = true;
    simulation.advanceUntil([&] { return !simulation.orders.empty(); });
    simulation.losesOrders = false;
    simulation.allReleased = false; // an instance is isolated from now on
    simulation.replaceSupervisor();
    const auto limit = change_policy{}.foreignOrderTimeout + change_policy{}.expectedPromotionTime;
    simulation.advance(limit + 200ms);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, WithoutOneReplicaAChangeWaits)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.notReceiving = {server_id("s2")};
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.member("s1").isUp = false;
    simulation.member("s3").isUp = false;
    simulation.advance(5s);
    EXPECT_TRUE(simulation.orders.empty()) << "s3 alone may hold the commit";
    simulation.restartMember(simulation.member("s3"));
    simulation.advance(3s);
    EXPECT_TRUE(simulation.isSteadyAt("s3"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** The only replica that confirmed a commit is removed while the primary is unreachable, and the
 * next supervisor has never seen the replica in the list.
 */
TEST(FailoverSynchronous, AReplicaRemovedDuringAChangeIsKnownToTheNextSupervisor)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.notReceiving = {server_id("s3")};
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.member("s1").isUp = false;
    simulation.member("s2").isUp = false;
    simulation.advance(2s);
    simulation.remove("s2");
    simulation.replaceSupervisor();
    simulation.advance(20s);
    EXPECT_TRUE(simulation.orders.empty()) << "s1 is listed and alone holds the commit";
    simulation.member("s1").isUp = true;
    simulation.advance(5s);
    EXPECT_TRUE(simulation.isSteadyAt("s1"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** Guards against acknowledged commits that are lost because a supervisor starts after an outage of
 * the store, in which entries expired, and replaces a working primary that is not listed yet.
 */
TEST(FailoverSynchronous, AWorkingPrimaryThatAnIncompleteListLacksIsNotReplaced)
{
    change_simulation simulation;
    simulation.advance(1s);
    const auto servers = simulation.servers;
    simulation.servers = {servers[2]};
    simulation.hasAllServers = false;
    simulation.replaceSupervisor();
    simulation.notReceiving = {server_id("s3")};
    for (int step = 0; step < 100; ++step) {
        EXPECT_TRUE(simulation.commit("s1"));
        simulation.advance(20ms);
    }
    simulation.servers = servers;
    simulation.hasAllServers = true;
    simulation.advance(3s);
    EXPECT_TRUE(simulation.orders.empty());
    EXPECT_TRUE(simulation.intentTimes.empty());
    EXPECT_TRUE(simulation.isSteadyAt("s1"));
}

/** Guards against a promotion while a replica that confirmed commits is not listed yet. */
TEST(FailoverSynchronous, AFailedPrimaryIsNotReplacedBeforeTheListOfReplicasIsComplete)
{
    change_simulation simulation;
    simulation.advance(1s);
    const auto servers = simulation.servers;
    simulation.servers = {servers[2]};
    simulation.hasAllServers = false;
    simulation.replaceSupervisor();
    simulation.notReceiving = {server_id("s3")};
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.stopFirstPrimary();
    simulation.advance(5s);
    EXPECT_TRUE(simulation.orders.empty()) << "s2 may hold commits that s3 lacks";
    EXPECT_TRUE(simulation.floors.empty());
    simulation.servers = servers;
    simulation.hasAllServers = true;
    simulation.advance(3s);
    EXPECT_TRUE(simulation.isSteadyAt("s2"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** A draining replica alone confirms a commit and ends. Its supervisor is lost before a change of
 * primary begins, and the next one has never seen the replica.
 */
TEST(FailoverSynchronous, AReplicaRemovedBeforeAChangeIsKnownToTheNextSupervisor)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.drain("s2");
    simulation.advance(500ms);
    simulation.notReceiving = {server_id("s3")};
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.remove("s2");
    simulation.advance(200ms);
    simulation.replaceSupervisor();
    simulation.advance(200ms);
    simulation.member("s1").isUp = false;
    simulation.advance(5s);
    EXPECT_TRUE(simulation.orders.empty()) << "s1 alone holds the commit";
    simulation.restartMember(simulation.member("s1"));
    simulation.advance(2s);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** A deployment replaces a member shortly before the primary fails. */
TEST(FailoverSynchronous, AReplicaThatEndedIsNotNeededOnceAnotherHasEverything)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.drain("s2");
    simulation.advance(100ms);
    simulation.notReceiving = {server_id("s3")};
    EXPECT_TRUE(simulation.commit("s1")); // held by the draining replica only
    simulation.notReceiving.clear();
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.remove("s2");
    simulation.advance(500ms);
    simulation.member("s1").isUp = false;
    simulation.advance(3s);
    EXPECT_TRUE(simulation.isSteadyAt("s3"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, AReplicaThatEndedIsNeededWhileNoOtherHasItsCommits)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.drain("s2");
    simulation.advance(100ms);
    simulation.notReceiving = {server_id("s3")};
    EXPECT_TRUE(simulation.commit("s1")); // held by the draining replica only
    simulation.remove("s2");
    simulation.advance(500ms);
    simulation.member("s1").isUp = false;
    simulation.advance(5s);
    EXPECT_TRUE(simulation.orders.empty());
    simulation.restartMember(simulation.member("s1"));
    simulation.advance(2s);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, AChangeContinuesOnceThePrimaryHasBeenRemovedForLong)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.remove("s1");
    simulation.remove("s2");
    simulation.advance(20s);
    EXPECT_TRUE(simulation.isSteadyAt("s3"));
}

TEST(FailoverSynchronous, AReplicaThatRestartedDoesNotCountForItsFormerLog)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.notReceiving = {server_id("s3")};
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.notReceiving = {server_id("s2"), server_id("s3")};
    simulation.member("s1").isUp = false;
    simulation.restartEmpty("s2");
    simulation.advance(5s);
    EXPECT_TRUE(simulation.orders.empty());
    simulation.member("s1").isUp = true;
    simulation.advance(5s);
    EXPECT_TRUE(simulation.isSteadyAt("s1"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, APrimaryThatRestartedDoesNotCountAsComplete)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.notReceiving = {server_id("s3")};
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.restartEmpty("s1");
    simulation.member("s1").role = replication_role::replica;
    simulation.member("s2").isUp = false;
    simulation.falseReports = 6;
    simulation.advance(5s);
    EXPECT_TRUE(simulation.orders.empty()) << "s2 alone holds the commit";
    simulation.member("s2").isUp = true;
    simulation.advance(5s);
    EXPECT_TRUE(simulation.isSteadyAt("s2"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, AnOrderWaitsForAnInstanceThatDoesNotReleaseItsView)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.allReleased = false;
    simulation.member("s1").isUp = false;
    simulation.advance(5s);
    ASSERT_EQ(simulation.orders.size(), 1U);
    ASSERT_FALSE(simulation.intentTimes.empty());
    EXPECT_GE(simulation.orderTimes.front() - simulation.intentTimes.front(),
              view_policy{}.validity + view_policy{}.margin);
}

/** Most instances are on the other side of a partition, where they may extend their views. */
TEST(FailoverSynchronous, AnOrderWithoutAQuorumWaitsUntilNoViewCanBeExtended)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.allReleased = false;
    simulation.quorumReleased = false;
    simulation.stopFirstPrimary();
    const auto intentAt = simulation.intentTimes.back();
    const view_policy views;
    simulation.advance(views.quorumExtension + views.validity);
    EXPECT_TRUE(simulation.orders.empty());
    simulation.advance(1s);
    ASSERT_EQ(simulation.orders.size(), 1U);
    EXPECT_GT(simulation.orderTimes.front(), intentAt + views.quorumExtension + views.validity);
}

/** The quorum is reached late, for example when a partition heals. */
TEST(FailoverSynchronous, TheValidityCountsFromTheQuorum)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.allReleased = false;
    simulation.quorumReleased = false;
    simulation.stopFirstPrimary();
    simulation.advance(4s);
    simulation.quorumReleased = true;
    const view_policy views;
    simulation.advance(views.validity);
    EXPECT_TRUE(simulation.orders.empty());
    simulation.advance(1s);
    EXPECT_EQ(simulation.orders.size(), 1U);
}

TEST(FailoverSynchronous, OneInstanceWithoutAnAnswerCausesNoChange)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.falseReports = 1;
    simulation.advance(3s);
    EXPECT_TRUE(simulation.isSteadyAt("s1"));
    EXPECT_TRUE(simulation.intentTimes.empty());
}

/** Among many instances, only a few use a given primary at the same time. */
TEST(FailoverSynchronous, FewRecentUsersAmongManyInstancesSufficeIfNoneGetsAnAnswer)
{
    change_simulation simulation;
    simulation.instances = 77;
    simulation.recentUsers = 3;
    simulation.advance(1s);
    simulation.member("s1").isUp = false;
    simulation.advance(1s);
    EXPECT_FALSE(simulation.intentTimes.empty());
    simulation.advance(2s);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_FALSE(simulation.isSteadyAt("s1"));
}

/** Connections of a data centre may get no answers for some time after a network partition ends. */
TEST(FailoverSynchronous, APrimaryThatAnswersTheSupervisorIsKeptIfOneDataCentreGetsNoAnswer)
{
    change_simulation simulation;
    simulation.instances = 77;
    simulation.recentUsers = 25;
    simulation.advance(1s);
    simulation.falseReports = 20;
    simulation.advance(3s);
    EXPECT_TRUE(simulation.intentTimes.empty());
    simulation.falseReports = 40;
    simulation.recentUsers = 50;
    simulation.advance(1s);
    EXPECT_FALSE(simulation.intentTimes.empty()) << "half of all instances get no answer";
}

TEST(FailoverSynchronous, ADrainingPrimaryIsReplacedEarly)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.servers[0].state = server_state::draining;
    simulation.advance(2s);
    EXPECT_FALSE(simulation.isSteadyAt("s1"));
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, ADrainingReplicaIsNotPromotedWhileAnotherHasEverything)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.servers[0].state = server_state::draining;
    simulation.servers[1].state = server_state::draining;
    simulation.advance(2s);
    EXPECT_TRUE(simulation.isSteadyAt("s3"));
}

TEST(FailoverSynchronous, ThePrimaryOfAnEvacuatedDataCentreIsReplacedByAMemberElsewhere)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.evacuate({"s1", "s2"}); // two data centres at once
    simulation.advance(2s);
    EXPECT_TRUE(simulation.isSteadyAt("s3"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
    simulation.evacuate({"s3"});
    simulation.advance(2s);
    EXPECT_FALSE(simulation.isSteadyAt("s3")) << "the next one follows";
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
}

TEST(FailoverSynchronous, APrimaryWithoutAMemberElsewhereKeepsItsViewWhileItIsEvacuated)
{
    change_simulation simulation;
    simulation.advance(1s);
    const auto intents = simulation.intentTimes.size();
    simulation.evacuate({"s1", "s2", "s3"});
    simulation.advance(3s);
    EXPECT_EQ(simulation.intentTimes.size(), intents);
    EXPECT_TRUE(simulation.isSteadyAt("s1"));
    simulation.evacuate({"s2", "s3"});
    simulation.member("s1").isUp = false;
    simulation.advance(3s);
    EXPECT_EQ(simulation.intentTimes.size(), intents) << "nobody elsewhere can take over";
}

TEST(FailoverSynchronous, ARequestAndItsWithdrawalInQuickSuccessionLeaveOnePrimary)
{
    for (const auto pause : {20ms, 60ms, 100ms, 200ms, 400ms, 700ms}) {
        change_simulation simulation;
        simulation.advance(1s);
        EXPECT_TRUE(simulation.commit("s1"));
        for (int round = 0; round < 4; ++round) {
            simulation.evacuate({"s1"});
            simulation.advance(pause);
            simulation.evacuate({});
            simulation.advance(pause);
        }
        simulation.advance(3s);
        EXPECT_EQ(simulation.view()->phase, view_phase::steady);
        EXPECT_TRUE(simulation.promotedIncomplete.empty());
        EXPECT_TRUE(simulation.commit(simulation.view()->primary.str()));
    }
}

TEST(FailoverSynchronous, TheOldPrimaryReturnsWhenItsEvacuationIsWithdrawnAndNobodyElseAnswers)
{
    for (const bool supervisorIsLost : {false, true}) {
        change_simulation simulation;
        simulation.advance(1s);
        EXPECT_TRUE(simulation.commit("s1"));
        simulation.member("s2").isUp = false;
        simulation.member("s3").isUp = false;
        simulation.evacuate({"s1"});
        simulation.advance(5s);
        EXPECT_FALSE(simulation.isSteadyAt("s1"));
        if (supervisorIsLost)
            simulation.replaceSupervisor();
        simulation.evacuate({});
        simulation.advance(6s);
        EXPECT_TRUE(simulation.isSteadyAt("s1"));
        EXPECT_TRUE(simulation.promotedIncomplete.empty());
    }
}

TEST(FailoverSynchronous, APrimaryThatIsEvacuatedTooServesForAWhileBeforeTheNextChange)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.member("s3").isUp = false;
    simulation.evacuate({"s1", "s2"});
    simulation.advanceUntil([&] { return simulation.isSteadyAt("s2"); });
    const auto intents = simulation.intentTimes.size();
    simulation.advance(change_policy{}.catchUpTimeout - 40ms);
    EXPECT_EQ(simulation.intentTimes.size(), intents);
    simulation.member("s3").isUp = true;
    simulation.advance(5s);
    EXPECT_TRUE(simulation.isSteadyAt("s3"));
}

TEST(FailoverSynchronous, ASupervisorLostDuringAnEvacuationLeavesItToTheNext)
{
    for (const auto lostAfter : {40ms, 100ms, 160ms, 300ms, 500ms, 700ms}) {
        change_simulation simulation;
        simulation.advance(1s);
        EXPECT_TRUE(simulation.commit("s1"));
        simulation.evacuate({"s1", "s2"});
        simulation.advance(lostAfter);
        simulation.replaceSupervisor();
        simulation.advance(6s);
        EXPECT_TRUE(simulation.isSteadyAt("s3"));
        EXPECT_TRUE(simulation.promotedIncomplete.empty());
    }
}

TEST(FailoverSynchronous, AnEvacuationDuringAStoreOutageIsCarriedOutAfterIt)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.storeReachable = false;
    simulation.evacuate({"s1"});
    simulation.advance(3s);
    EXPECT_TRUE(simulation.orders.empty());
    simulation.storeReachable = true;
    simulation.advance(3s);
    EXPECT_FALSE(simulation.isSteadyAt("s1"));
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
}

/** Guards against a former primary that leads again because the store has forgotten its successor.
 */
TEST(FailoverSynchronous, APrimaryThatTheStoreHasForgottenIsFoundAgain)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.copyStore();
    simulation.stopFirstPrimary();
    simulation.advance(3s);
    ASSERT_TRUE(simulation.isSteadyAt("s2"));
    simulation.restartMember(simulation.member("s1"));
    simulation.returnStore();
    simulation.restartAllInstances();
    simulation.advance(1s);
    EXPECT_TRUE(simulation.isSteadyAt("s2"));
    EXPECT_EQ(simulation.view()->term, 2U);
    EXPECT_EQ(simulation.orders.size(), 1U);
}

/** Guards against a change of primary that never ends after the store returned from a copy. */
TEST(FailoverSynchronous, AChangeThatBecomesDueAfterTheStoreReturnedEnds)
{
    change_simulation simulation;
    simulation.copyStore();
    simulation.advance(1s);
    ASSERT_TRUE(simulation.isSteadyAt("s1"));
    simulation.returnStore();
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.drain("s1");
    simulation.advance(6s);
    EXPECT_TRUE(simulation.view()->phase == view_phase::steady && !simulation.isSteadyAt("s1"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

/** Guards against views of instances that the store has forgotten: they are not waited for, and may
 * be in use for as long as a view can be extended.
 */
TEST(FailoverSynchronous, AnOrderSoonAfterTheStoreReturnedWaitsUntilFormerViewsHaveExpired)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.copyStore();
    simulation.returnStore();
    simulation.advance(1s);
    simulation.drain("s1");
    simulation.advanceUntil([&] { return !simulation.orders.empty(); });
    EXPECT_GT(simulation.orderTimes.front() - simulation.intentTimes.front(),
              view_policy{}.validity);
}

/** Guards against a database without a primary after the store has forgotten the last change, and
 * all instances and the primary are lost.
 */
TEST(FailoverSynchronous, APrimaryThatNobodyKnowsAnyMoreIsReplaced)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.copyStore();
    simulation.stopFirstPrimary();
    simulation.advance(3s);
    ASSERT_TRUE(simulation.isSteadyAt("s2"));
    EXPECT_TRUE(simulation.commit("s2"));
    simulation.restartMember(simulation.member("s1"));
    simulation.member("s2").isUp = false;
    simulation.returnStore();
    simulation.restartAllInstances();
    simulation.advance(4s);
    EXPECT_EQ(simulation.orders.size(), 1U) << "s2 may hold commits that the others lack";
    simulation.remove("s2");
    simulation.advance(20s);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_FALSE(simulation.isSteadyAt("s2"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, APrimaryThatFailsAsTheStoreReturnsIsReplaced)
{
    change_simulation simulation;
    simulation.advance(1s);
    EXPECT_TRUE(simulation.commit("s1"));
    simulation.copyStore();
    simulation.member("s1").isUp = false;
    simulation.returnStore();
    simulation.restartAllInstances();
    simulation.advance(10s);
    EXPECT_TRUE(simulation.view()->phase == view_phase::steady && !simulation.isSteadyAt("s1"));
    EXPECT_TRUE(simulation.promotedIncomplete.empty());
}

TEST(FailoverSynchronous, ALostAnswerOfTheStoreIsResolvedByReading)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.member("s1").isUp = false;
    simulation.losesStoreAnswers = true;
    simulation.advance(4s);
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
    EXPECT_FALSE(simulation.isSteadyAt("s1"));
    EXPECT_EQ(simulation.orders.size(), 1U);
}

TEST(FailoverSynchronous, NothingIsOrderedDuringAStoreOutage)
{
    change_simulation simulation;
    simulation.advance(1s);
    simulation.storeReachable = false;
    simulation.member("s1").isUp = false;
    simulation.advance(4s);
    EXPECT_TRUE(simulation.orders.empty());
    simulation.storeReachable = true;
    simulation.advance(3s);
    EXPECT_FALSE(simulation.isSteadyAt("s1"));
    EXPECT_EQ(simulation.view()->phase, view_phase::steady);
}

constexpr std::uint32_t randomSchedules = 300;
/** Probability of the loss of the supervisor in each step of 60 ms. */
constexpr double supervisorLossProbability = 0.03;

/** Injects random faults. No promotion may lose an acknowledged commit, no floor may be wrong, and
 * there must be a primary again once all members are up.
 */
void injectRandomFaults(std::uint32_t seed, double lossProbability)
{
    std::mt19937 random(seed);
    const auto chance = [&](double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random) < probability;
    };
    change_simulation simulation;
    simulation.advance(1s);
    std::optional<std::string> drainingMember;
    for (int step = 0; step < 200; ++step) {
        for (auto &[id, member] : simulation.members) {
            if (member.isRemoved)
                continue;
            if (member.isUp && chance(0.01))
                member.isUp = false;
            else if (!member.isUp && chance(0.05))
                simulation.restartMember(member);
            if (chance(0.02))
                simulation.notReceiving.insert(id);
            else if (chance(0.1))
                simulation.notReceiving.erase(id);
        }
        // Members are replaced one after the other, and only while there is a primary.
        const bool isSteady = simulation.view() && simulation.view()->phase == view_phase::steady;
        if (chance(0.03) && !drainingMember && isSteady) {
            const auto &entry = simulation.servers[step % simulation.servers.size()];
            if (simulation.members[entry.id].role == replication_role::replica) {
                drainingMember = entry.id.str();
                simulation.drain(*drainingMember);
            }
        } else if (drainingMember && chance(0.1)) {
            const bool isReplica =
                    simulation.member(*drainingMember).role == replication_role::replica;
            if (isReplica && simulation.storeReachable) {
                simulation.remove(*drainingMember);
                simulation.join("new" + std::to_string(step));
                drainingMember.reset();
            }
        }
        if (chance(0.02))
            simulation.storeReachable = !simulation.storeReachable;
        if (lossProbability > 0 && simulation.storeReachable && chance(lossProbability))
            simulation.replaceSupervisor();
        simulation.losesStoreAnswers = chance(0.05);
        simulation.allReleased = chance(0.7);
        simulation.quorumReleased = simulation.allReleased || chance(0.8);
        simulation.answerDelay = chance(0.3) ? 160ms : 0ms;
        for (const auto &[id, member] : simulation.members)
            if (member.role == replication_role::primary)
                simulation.commit(id.str());
        simulation.advance(60ms);
        ASSERT_TRUE(simulation.promotedIncomplete.empty()) << "seed " << seed << " step " << step;
        ASSERT_TRUE(simulation.floorsAreValid()) << "seed " << seed << " step " << step;
    }
    for (auto &member : simulation.members)
        if (!member.second.isUp && !member.second.isRemoved)
            simulation.restartMember(member.second);
    simulation.notReceiving.clear();
    simulation.storeReachable = true;
    simulation.losesStoreAnswers = false;
    simulation.answerDelay = 0ms;
    simulation.allReleased = true;
    simulation.advance(12s);
    ASSERT_TRUE(simulation.view() && simulation.view()->phase == view_phase::steady)
            << "seed " << seed;
    ASSERT_TRUE(simulation.promotedIncomplete.empty()) << "seed " << seed;
}

TEST(FailoverSynchronous, NoAcknowledgedCommitIsLostUnderRandomFaults)
{
    for (std::uint32_t seed = 1; seed <= randomSchedules; ++seed)
        injectRandomFaults(seed, 0);
    injectRandomFaults(6117, 0); // a promotion took effect after its member was fenced again
}

TEST(FailoverSynchronous, NoAcknowledgedCommitIsLostIfSupervisorsAreReplaced)
{
    for (std::uint32_t seed = 1; seed <= randomSchedules; ++seed)
        injectRandomFaults(seed, supervisorLossProbability);
    injectRandomFaults(9714,
                       supervisorLossProbability); // the primary of an unfinished change is back
}

} // namespace
