// Change of primary of a group with synchronous replicas, over a model of its members and the
// store.

#include "sycamorespan/src/Failover/group_supervisor.h"

#include "sycamorespan/src/Core/overloaded.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <utility>

namespace {

using namespace sycamorespan;
using namespace sycamorespan::change_action;

const database_id database("db");

struct member_model
{
    replication_role role = replication_role::replica;
    term_number term = 1;
    std::vector<std::uint64_t> log; ///< numbers of commits
    term_number pausedFor = 0;
    bool isUp = true;
    bool isGone = false; ///< it ended for good
};

/** \brief Store, members and duties under one supervisor, in steps of 20 ms. */
class change_world
{
public:
    change_world()
        : m_supervisor({}, {})
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
        m_supervisor.setHolder(true);
    }

    member_model &member(const std::string &id) { return members[server_id(id)]; }

    /** Instances use a primary from when its view is published until all have dropped it.
     * \returns whether a commit was acknowledged
     */
    bool commit(const std::string &id)
    {
        auto &leader = member(id);
        if (!leader.isUp || leader.role != replication_role::primary
            || m_inUse != std::pair(server_id(id), leader.term))
            return false;
        leader.log.push_back(++m_commits);
        bool held = false;
        for (auto &[other, each] : members) {
            if (&each == &leader || !each.isUp || each.pausedFor > 0 || deaf.contains(other)
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

    void pass(duration time)
    {
        const auto end = now + time;
        while (now < end) {
            now += 20ms;
            finishPromotions();
            dropOldView();
            deliverAnswers();
            carryOut(m_supervisor.tick(surroundings(), now));
        }
    }

    /** Passes time until \a condition holds. */
    template<typename Condition>
    void passUntil(Condition condition)
    {
        while (!condition())
            pass(20ms);
    }

    /** The primary s1 ends, and the supervisor withdraws its view. */
    void loseFirstPrimary()
    {
        const auto intents = intentTimes.size();
        member("s1").isUp = false;
        passUntil([&] { return intentTimes.size() > intents; });
    }

    /** A crashed member comes back with its log, as a replica if another one leads by now. */
    void comeBack(member_model &back)
    {
        back.isUp = true;
        if (back.term >= m_term)
            return;
        back.role = replication_role::replica;
        back.term = m_term;
        back.pausedFor = 0;
        copyLogOfLeader(back);
    }

    /** Another supervisor takes over: all that it knows is in the store. */
    void replaceSupervisor()
    {
        m_supervisor = group_supervisor({}, {});
        m_supervisor.setHolder(true);
    }

    /** The member announces that it will end. */
    void drain(const std::string &id)
    {
        for (auto &entry : servers)
            if (entry.id.str() == id)
                entry.state = server_state::draining;
    }

    /** A new replica with all that the present primary has. */
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

    /** The member ends for good, with its log. */
    void remove(const std::string &id)
    {
        member(id).isUp = false;
        member(id).isGone = true;
        std::erase_if(servers, [&](const server_entry &entry) { return entry.id.str() == id; });
    }

    /** The process of a member is another one under the same name, with an empty log. */
    void restartEmpty(const std::string &id)
    {
        member(id).log.clear();
        member(id).isUp = true;
        for (auto &entry : servers)
            if (entry.id.str() == id)
                ++entry.startedAtMs;
    }

    /** \returns whether no commit beyond a floor was acknowledged in the time that it covers. */
    bool floorsHold() const
    {
        return std::ranges::all_of(floors, [this](const freshness_floor &floor) {
            for (std::size_t index = 0; index < acknowledged.size(); ++index)
                if (acknowledgedAt[index] <= floor.coversUntil
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
    std::set<server_id> deaf;
    std::vector<std::uint64_t> acknowledged;
    std::vector<time_point> acknowledgedAt;
    std::vector<freshness_floor> floors; ///< as stated during changes
    duration answerDelay{}; ///< of members
    std::size_t synchronousReplicas = 1;
    std::vector<server_id> lost; ///< promoted without an acknowledged commit
    view_ledger ledger{view_policy{}};
    std::vector<order_promotion> orders;
    std::vector<reference_time> orderTimes;
    std::vector<reference_time> intentTimes;
    std::size_t instances = 6;
    std::size_t witnesses = 6; ///< instances that had to do with the primary lately
    std::size_t falseVotes = 0; ///< of instances that miss a living primary
    bool allRelease = true;
    bool storeReachable = true;
    bool losesAnswers = false;
    bool losesOrders = false;

    reference_time clock() const { return now.time_since_epoch(); }

private:
    struct delayed_answer
    {
        server_id server;
        replication_status status;
        time_point asked;
        time_point arrives;
    };

    struct promotion
    {
        server_id server;
        time_point takesEffect;
    };

    supervision_surroundings surroundings() const
    {
        return {1,
                servers,
                ledger,
                [this](const database_id &, std::uint64_t) { return allRelease; },
                [this](const database_id &) {
                    const auto *known = view();
                    const bool missing = known && !members.at(known->primary).isUp;
                    const auto unreachable = missing ? witnesses : falseVotes;
                    return primary_votes{instances, witnesses - unreachable, unreachable, 0};
                },
                [this](const database_id &) { return synchronousReplicas; },
                clock(),
                clock(),
                storeReachable};
    }

    void carryOut(const change_outputs &outputs)
    {
        for (const auto &output : outputs)
            std::visit([this](const auto &action) { perform(action); }, output);
    }

    void perform(const write_view &action)
    {
        if (!storeReachable) {
            carryOut(m_supervisor.viewUnknown(database, now));
            return;
        }
        if (action.view.revision != m_row.revision) {
            carryOut(m_supervisor.viewConflict(database, now));
            return;
        }
        m_row = action.view;
        m_row.revision = ++m_revision;
        if (action.view.phase == view_phase::withdrawn)
            intentTimes.push_back(clock());
        else if (action.view.phase == view_phase::steady)
            m_inUse = std::pair(action.view.primary, action.view.term);
        if (std::exchange(losesAnswers, false)) {
            carryOut(m_supervisor.viewUnknown(database, now));
            return;
        }
        ledger.applyWritten(m_row, clock());
        carryOut(m_supervisor.viewWritten(database, m_row.revision, clock(), surroundings(), now));
    }

    void perform(const read_views &)
    {
        if (storeReachable && m_row.revision > 0)
            ledger.applySnapshot({m_row}, clock());
    }

    void perform(const ask_member &action)
    {
        auto &asked = members[action.server];
        if (asked.isGone)
            m_supervisor.memberEnded(database, action.server, now);
        if (!asked.isUp) {
            carryOut(m_supervisor.memberAnswered(database, action.server, std::nullopt, now,
                                                 surroundings(), now));
            return;
        }
        std::visit(overloaded{
                           [&](const member_statement::pause &each) {
                               if (asked.role == replication_role::replica)
                                   asked.pausedFor = each.term;
                           },
                           [&](const member_statement::resume &) { asked.pausedFor = 0; },
                           [&](const member_statement::step_down &each) {
                               if (each.term > asked.term)
                                   asked.role = replication_role::replica;
                           },
                           [](const auto &) {},
                   },
                   action.statement);
        const auto length = asked.log.empty() ? 0 : asked.log.back();
        const replication_status status{
                asked.role, asked.term, {asked.term, length}, asked.pausedFor};
        if (answerDelay > duration::zero()) {
            m_answers.push_back({action.server, status, now, now + answerDelay});
            return;
        }
        carryOut(m_supervisor.memberAnswered(database, action.server, status, now, surroundings(),
                                             now));
    }

    void dropOldView()
    {
        if (m_row.phase == view_phase::steady)
            return;
        const bool lapsed = clock() > intentTimes.back() + view_policy{}.validity;
        if (allRelease || lapsed)
            m_inUse.reset();
    }

    /** Nothing if nobody leads the newest term. */
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
            carryOut(m_supervisor.memberAnswered(database, each.server, each.status, each.asked,
                                                 surroundings(), now));
    }

    void perform(const state_floor &action) { floors.push_back(action.floor); }

    void perform(const order_promotion &action)
    {
        orders.push_back(action);
        orderTimes.push_back(clock());
        if (losesOrders)
            return;
        if (!members[action.server].isUp) {
            carryOut(m_supervisor.orderAnswered(database, false, surroundings(), now));
            return;
        }
        m_promotions.push_back({action.server, now + 600ms});
        carryOut(m_supervisor.orderAnswered(database, true, surroundings(), now));
    }

    void perform(const note &) { }

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
                lost.push_back(each.server);
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

    group_supervisor m_supervisor;
    std::uint64_t m_commits = 0;
    term_number m_term = 1;
    primary_view m_row{database, 0, {}, 0, view_phase::steady, false, 0, {}};
    std::uint64_t m_revision = 0;
    std::vector<promotion> m_promotions;
    std::vector<delayed_answer> m_answers;
    std::optional<std::pair<server_id, term_number>> m_inUse;
};

TEST(FailoverSynchronous, AFirstPrimaryIsFoundAndNotReplaced)
{
    change_world world;
    world.pass(1s);
    EXPECT_TRUE(world.isSteadyAt("s1"));
    EXPECT_TRUE(world.orders.empty());
}

TEST(FailoverSynchronous, ADeadPrimaryIsReplacedByTheLongestLog)
{
    change_world world;
    world.pass(1s);
    world.deaf = {server_id("s2")};
    EXPECT_TRUE(world.commit("s1"));
    world.member("s1").isUp = false;
    world.pass(3s);
    EXPECT_TRUE(world.isSteadyAt("s3"));
    EXPECT_TRUE(world.lost.empty());
}

/** An instance that is cut off holds a change up; reads needn't wait for it. */
TEST(FailoverSynchronous, FloorsAreStatedWhileAChangeWaitsForAnInstance)
{
    constexpr duration smallestBound = 1500ms; // of the users' routes
    constexpr duration spread = 500ms; // between two reports of an instance
    change_world world;
    world.pass(1s);
    EXPECT_TRUE(world.commit("s1"));
    world.allRelease = false;
    world.loseFirstPrimary();
    world.pass(100ms);
    ASSERT_FALSE(world.floors.empty());
    while (!world.isSteadyAt("s2") && !world.isSteadyAt("s3")) {
        world.pass(20ms);
        if (world.view()->phase == view_phase::steady)
            break;
        EXPECT_EQ(world.floors.back().position.offset, 1U);
        const bool isPromoted = world.member("s2").role == replication_role::primary
                                || world.member("s3").role == replication_role::primary;
        if (!isPromoted) {
            EXPECT_LT(world.now - world.floors.back().coversUntil, smallestBound - spread);
        }
    }
    EXPECT_GE(world.now - time_point(world.intentTimes.front()), view_policy{}.validity);
    EXPECT_TRUE(world.floorsHold());
}

/** A floor holds for the time of the question, however late its answer comes. */
TEST(FailoverSynchronous, AFloorCoversNothingAfterTheQuestionItRestsOn)
{
    change_world world;
    world.pass(1s);
    world.member("s1").isUp = false;
    world.allRelease = false;
    world.answerDelay = 300ms;
    world.pass(3s);
    ASSERT_FALSE(world.floors.empty());
    for (const auto &floor : world.floors)
        EXPECT_LE(floor.coversUntil, world.now - world.answerDelay);
}

/** A primary that needs no replica may go on acknowledging, paused replicas or not. */
TEST(FailoverSynchronous, NoFloorIsStatedWithoutSynchronousReplicas)
{
    change_world world;
    world.synchronousReplicas = 0;
    world.pass(1s);
    world.member("s1").isUp = false;
    world.allRelease = false;
    world.pass(2s);
    EXPECT_TRUE(world.floors.empty());
}

/** A replica that doesn't answer may have confirmed commits that the other one lacks. */
TEST(FailoverSynchronous, NoFloorIsStatedWhileAReplicaIsNotFenced)
{
    change_world world;
    world.pass(1s);
    world.member("s1").isUp = false;
    world.member("s2").isUp = false;
    world.pass(2s);
    EXPECT_TRUE(world.floors.empty());
}

/** A data centre with the primary and a replica is cut off and comes back: nothing can be promoted
 * meanwhile, and nothing needs to be afterwards.
 */
TEST(FailoverSynchronous, APrimaryThatAnswersAgainBeforeAnyOrderIsKept)
{
    change_world world;
    world.pass(1s);
    EXPECT_TRUE(world.commit("s1"));
    world.member("s1").isUp = false;
    world.member("s2").isUp = false;
    world.pass(5s);
    ASSERT_EQ(world.view()->phase, view_phase::withdrawn);
    world.comeBack(world.member("s1"));
    world.comeBack(world.member("s2"));
    world.pass(200ms);
    EXPECT_TRUE(world.isSteadyAt("s1"));
    EXPECT_EQ(world.view()->term, 1U);
    EXPECT_TRUE(world.orders.empty());
    world.pass(200ms);
    EXPECT_EQ(world.member("s2").pausedFor, 0U);
    EXPECT_EQ(world.member("s3").pausedFor, 0U);
    EXPECT_TRUE(world.commit("s1"));
}

TEST(FailoverSynchronous, APrimaryThatIsMissedSoonAfterItWasKeptIsReplaced)
{
    change_world world;
    world.pass(1s);
    world.allRelease = false;
    world.loseFirstPrimary();
    world.comeBack(world.member("s1"));
    world.pass(200ms);
    ASSERT_TRUE(world.isSteadyAt("s1"));
    world.loseFirstPrimary();
    world.comeBack(world.member("s1"));
    world.pass(4s);
    EXPECT_FALSE(world.isSteadyAt("s1"));
    EXPECT_EQ(world.view()->phase, view_phase::steady);
    EXPECT_TRUE(world.lost.empty());
}

/** Its entry in the list may still be the one of its former run. */
TEST(FailoverSynchronous, APrimaryThatComesBackEmptyIsNotKept)
{
    change_world world;
    world.pass(1s);
    EXPECT_TRUE(world.commit("s1"));
    world.member("s1").isUp = false;
    world.member("s2").isUp = false;
    world.pass(3s);
    world.member("s1").log.clear();
    world.member("s1").isUp = true;
    world.pass(1s);
    EXPECT_NE(world.view()->phase, view_phase::steady);
    world.comeBack(world.member("s2"));
    world.pass(4s);
    EXPECT_EQ(world.view()->phase, view_phase::steady);
    EXPECT_FALSE(world.isSteadyAt("s1"));
    EXPECT_TRUE(world.lost.empty());
}

/** An answer to a pause may be lost though the replica is paused. */
TEST(FailoverSynchronous, AReplicaWhoseAnswerWasLostIsResumedToo)
{
    change_world world;
    world.pass(1s);
    world.answerDelay = 10s;
    world.loseFirstPrimary();
    world.pass(200ms);
    EXPECT_GT(world.member("s3").pausedFor, 0U);
    world.answerDelay = 0ms;
    world.comeBack(world.member("s1"));
    world.pass(1s);
    ASSERT_TRUE(world.isSteadyAt("s1"));
    EXPECT_EQ(world.member("s3").pausedFor, 0U);
}

/** All processes end between an order and its publication. */
TEST(FailoverSynchronous, AnOrderThatTookEffectIsPublishedByTheNextSupervisor)
{
    constexpr duration promotion = 600ms; // of the model
    change_world world;
    world.pass(1s);
    EXPECT_TRUE(world.commit("s1"));
    world.member("s1").isUp = false;
    world.passUntil([&] { return !world.orders.empty(); });
    world.replaceSupervisor();
    world.pass(promotion + 200ms);
    EXPECT_EQ(world.view()->phase, view_phase::steady);
    EXPECT_EQ(world.view()->term, 2U);
    EXPECT_EQ(world.orders.size(), 1U);
    EXPECT_TRUE(world.lost.empty());
}

/** The order was written but never sent; views are out of use since. */
TEST(FailoverSynchronous, AnOrderWithoutEffectIsReplacedWithoutWaitingForViewsAgain)
{
    change_world world;
    world.pass(1s);
    world.member("s1").isUp = false;
    world.losesOrders = true;
    world.passUntil([&] { return !world.orders.empty(); });
    world.losesOrders = false;
    world.allRelease = false; // an instance is cut off now
    world.replaceSupervisor();
    const auto limit = change_policy{}.foreignOrderTimeout + change_policy{}.expectedPromotionTime;
    world.pass(limit + 200ms);
    EXPECT_EQ(world.view()->phase, view_phase::steady);
    EXPECT_TRUE(world.lost.empty());
}

TEST(FailoverSynchronous, WithoutOneReplicaAChangeWaits)
{
    change_world world;
    world.pass(1s);
    world.deaf = {server_id("s2")};
    EXPECT_TRUE(world.commit("s1"));
    world.member("s1").isUp = false;
    world.member("s3").isUp = false;
    world.pass(5s);
    EXPECT_TRUE(world.orders.empty()) << "s3 alone may hold the commit";
    world.comeBack(world.member("s3"));
    world.pass(3s);
    EXPECT_TRUE(world.isSteadyAt("s3"));
    EXPECT_TRUE(world.lost.empty());
}

/** The only replica that confirmed a commit leaves while the primary can't be reached, and the next
 * supervisor never saw it listed.
 */
TEST(FailoverSynchronous, AReplicaThatLeftDuringAChangeIsRememberedByTheNextSupervisor)
{
    change_world world;
    world.pass(1s);
    world.deaf = {server_id("s3")};
    EXPECT_TRUE(world.commit("s1"));
    world.member("s1").isUp = false;
    world.member("s2").isUp = false;
    world.pass(2s);
    world.remove("s2");
    world.replaceSupervisor();
    world.pass(20s);
    EXPECT_TRUE(world.orders.empty()) << "s1 is listed and alone holds the commit";
    world.member("s1").isUp = true;
    world.pass(5s);
    EXPECT_TRUE(world.isSteadyAt("s1"));
    EXPECT_TRUE(world.lost.empty());
}

/** A release replaces a member shortly before the primary is cut off. */
TEST(FailoverSynchronous, AReplicaThatEndedIsNotNeededOnceAnotherHasEverything)
{
    change_world world;
    world.pass(1s);
    world.drain("s2");
    world.pass(100ms);
    world.deaf = {server_id("s3")};
    EXPECT_TRUE(world.commit("s1")); // on the leaving replica only
    world.deaf.clear();
    EXPECT_TRUE(world.commit("s1"));
    world.remove("s2");
    world.pass(500ms);
    world.member("s1").isUp = false;
    world.pass(3s);
    EXPECT_TRUE(world.isSteadyAt("s3"));
    EXPECT_TRUE(world.lost.empty());
}

TEST(FailoverSynchronous, AReplicaThatEndedIsNeededWhileNoOtherHasItsCommits)
{
    change_world world;
    world.pass(1s);
    world.drain("s2");
    world.pass(100ms);
    world.deaf = {server_id("s3")};
    EXPECT_TRUE(world.commit("s1")); // on the leaving replica only
    world.remove("s2");
    world.pass(500ms);
    world.member("s1").isUp = false;
    world.pass(5s);
    EXPECT_TRUE(world.orders.empty());
    world.comeBack(world.member("s1"));
    world.pass(2s);
    EXPECT_EQ(world.view()->phase, view_phase::steady);
    EXPECT_TRUE(world.lost.empty());
}

TEST(FailoverSynchronous, AChangeGoesOnOnceThePrimaryIsGoneTooForLong)
{
    change_world world;
    world.pass(1s);
    world.remove("s1");
    world.remove("s2");
    world.pass(20s);
    EXPECT_TRUE(world.isSteadyAt("s3"));
}

TEST(FailoverSynchronous, AReplicaThatStartedAnewIsNoWitnessOfItsFormerLog)
{
    change_world world;
    world.pass(1s);
    world.deaf = {server_id("s3")};
    EXPECT_TRUE(world.commit("s1"));
    world.deaf = {server_id("s2"), server_id("s3")};
    world.member("s1").isUp = false;
    world.restartEmpty("s2");
    world.pass(5s);
    EXPECT_TRUE(world.orders.empty());
    world.member("s1").isUp = true;
    world.pass(5s);
    EXPECT_TRUE(world.isSteadyAt("s1"));
    EXPECT_TRUE(world.lost.empty());
}

TEST(FailoverSynchronous, APrimaryThatStartedAnewDoesNotCountAsComplete)
{
    change_world world;
    world.pass(1s);
    world.deaf = {server_id("s3")};
    EXPECT_TRUE(world.commit("s1"));
    world.restartEmpty("s1");
    world.member("s1").role = replication_role::replica;
    world.member("s2").isUp = false;
    world.falseVotes = 6;
    world.pass(5s);
    EXPECT_TRUE(world.orders.empty()) << "s2 alone holds the commit";
    world.member("s2").isUp = true;
    world.pass(5s);
    EXPECT_TRUE(world.isSteadyAt("s2"));
    EXPECT_TRUE(world.lost.empty());
}

TEST(FailoverSynchronous, AnInstanceThatDoesNotReleaseIsWaitedFor)
{
    change_world world;
    world.pass(1s);
    world.allRelease = false;
    world.member("s1").isUp = false;
    world.pass(5s);
    ASSERT_EQ(world.orders.size(), 1U);
    ASSERT_FALSE(world.intentTimes.empty());
    EXPECT_GE(world.orderTimes.front() - world.intentTimes.front(),
              view_policy{}.validity + view_policy{}.margin);
}

TEST(FailoverSynchronous, OneInstanceWithoutAnAnswerIsNoReason)
{
    change_world world;
    world.pass(1s);
    world.falseVotes = 1;
    world.pass(3s);
    EXPECT_TRUE(world.isSteadyAt("s1"));
    EXPECT_TRUE(world.intentTimes.empty());
}

/** In a large fleet few instances have a statement at one primary at a time. */
TEST(FailoverSynchronous, FewWitnessesOfALargeFleetSufficeIfNoneHearsThePrimary)
{
    change_world world;
    world.instances = 77;
    world.witnesses = 3;
    world.pass(1s);
    world.member("s1").isUp = false;
    world.pass(1s);
    EXPECT_FALSE(world.intentTimes.empty());
    world.pass(2s);
    EXPECT_EQ(world.view()->phase, view_phase::steady);
    EXPECT_FALSE(world.isSteadyAt("s1"));
}

/** The connections of a data centre that was cut off stay silent for a while after it is back. */
TEST(FailoverSynchronous, APrimaryThatAnswersTheSupervisorIsKeptAfterOneDataCentreMissedIt)
{
    change_world world;
    world.instances = 77;
    world.witnesses = 25;
    world.pass(1s);
    world.falseVotes = 20;
    world.pass(3s);
    EXPECT_TRUE(world.intentTimes.empty());
    world.falseVotes = 40;
    world.witnesses = 50;
    world.pass(1s);
    EXPECT_FALSE(world.intentTimes.empty()) << "half of all instances miss it";
}

TEST(FailoverSynchronous, ALeavingPrimaryHandsOverEarly)
{
    change_world world;
    world.pass(1s);
    EXPECT_TRUE(world.commit("s1"));
    world.servers[0].state = server_state::draining;
    world.pass(2s);
    EXPECT_FALSE(world.isSteadyAt("s1"));
    EXPECT_EQ(world.view()->phase, view_phase::steady);
    EXPECT_TRUE(world.lost.empty());
}

TEST(FailoverSynchronous, ALeavingReplicaIsNotPromotedWhileAnotherHasEverything)
{
    change_world world;
    world.pass(1s);
    EXPECT_TRUE(world.commit("s1"));
    world.servers[0].state = server_state::draining;
    world.servers[1].state = server_state::draining;
    world.pass(2s);
    EXPECT_TRUE(world.isSteadyAt("s3"));
}

TEST(FailoverSynchronous, ALostAnswerOfTheStoreIsResolvedByReading)
{
    change_world world;
    world.pass(1s);
    world.member("s1").isUp = false;
    world.losesAnswers = true;
    world.pass(4s);
    EXPECT_EQ(world.view()->phase, view_phase::steady);
    EXPECT_FALSE(world.isSteadyAt("s1"));
    EXPECT_EQ(world.orders.size(), 1U);
}

TEST(FailoverSynchronous, NothingIsOrderedWhileTheStoreIsDown)
{
    change_world world;
    world.pass(1s);
    world.storeReachable = false;
    world.member("s1").isUp = false;
    world.pass(4s);
    EXPECT_TRUE(world.orders.empty());
    world.storeReachable = true;
    world.pass(3s);
    EXPECT_FALSE(world.isSteadyAt("s1"));
    EXPECT_EQ(world.view()->phase, view_phase::steady);
}

/** Random faults: whatever happens, no promotion loses an acknowledged commit, and once all members
 * are back there is a primary.
 */
TEST(FailoverSynchronous, NoAcknowledgedCommitIsLostUnderRandomFaults)
{
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        const auto chance = [&](double probability) {
            return std::uniform_real_distribution<double>(0, 1)(random) < probability;
        };
        change_world world;
        world.pass(1s);
        std::optional<std::string> leaving;
        for (int step = 0; step < 200; ++step) {
            for (auto &[id, member] : world.members) {
                if (member.isGone)
                    continue;
                if (member.isUp && chance(0.01))
                    member.isUp = false;
                else if (!member.isUp && chance(0.05))
                    world.comeBack(member);
                if (chance(0.02))
                    world.deaf.insert(id);
                else if (chance(0.1))
                    world.deaf.erase(id);
            }
            // Members are replaced one after the other, while there is a primary.
            const bool isSteady = world.view() && world.view()->phase == view_phase::steady;
            if (chance(0.03) && !leaving && isSteady) {
                const auto &entry = world.servers[step % world.servers.size()];
                if (world.members[entry.id].role == replication_role::replica) {
                    leaving = entry.id.str();
                    world.drain(*leaving);
                }
            } else if (leaving && chance(0.1)) {
                const bool isReplica = world.member(*leaving).role == replication_role::replica;
                if (isReplica && world.storeReachable) {
                    world.remove(*leaving);
                    world.join("new" + std::to_string(step));
                    leaving.reset();
                }
            }
            if (chance(0.02))
                world.storeReachable = !world.storeReachable;
            world.losesAnswers = chance(0.05);
            world.allRelease = chance(0.7);
            world.answerDelay = chance(0.3) ? 160ms : 0ms;
            for (const auto &[id, member] : world.members)
                if (member.role == replication_role::primary)
                    world.commit(id.str());
            world.pass(60ms);
            ASSERT_TRUE(world.lost.empty()) << "seed " << seed << " step " << step;
            ASSERT_TRUE(world.floorsHold()) << "seed " << seed << " step " << step;
        }
        for (auto &member : world.members)
            if (!member.second.isUp && !member.second.isGone)
                world.comeBack(member.second);
        world.deaf.clear();
        world.storeReachable = true;
        world.losesAnswers = false;
        world.answerDelay = 0ms;
        world.allRelease = true;
        world.pass(12s);
        ASSERT_TRUE(world.view() && world.view()->phase == view_phase::steady) << "seed " << seed;
        ASSERT_TRUE(world.lost.empty()) << "seed " << seed;
    }
}

} // namespace
