// Replays load patterns against the limit of one member: a model of a member with slots, a queue
// and a speed that depends on what it runs.

#include "sycamorespan/Pooling"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

namespace {

using namespace sycamorespan;

constexpr std::size_t slots = 10;

/** Sends statements to a member at its limit, one every 5 ms, and gives the limit their outcomes.
 */
class limit_replay
{
public:
    /** \returns the sample of a statement that is sent with \a inFlight statements at the member.
     */
    using member_model = std::function<member_sample(std::size_t inFlight, double noise)>;

    void run(const member_model &model, std::size_t statements)
    {
        std::lognormal_distribution<double> noise(0, 0.5);
        for (std::size_t index = 0; index < statements; ++index) {
            m_now += 5ms;
            // Fewer are in flight at times, as with a load that varies.
            const auto most = std::max<std::size_t>(
                    static_cast<std::size_t>(subject.capacity(m_now).limit), 1);
            const auto inFlight = std::uniform_int_distribution<std::size_t>(1, most)(m_random);
            subject.add(model(inFlight, noise(m_random)), m_now);
        }
    }

    double limit() const { return subject.capacity(m_now).limit; }
    double slowness() const { return subject.capacity(m_now).slowness; }
    time_point now() const { return m_now; }
    void pass(duration time) { m_now += time; }

    member_limit subject{slots};

private:
    time_point m_now{1h};
    std::mt19937 m_random{20261206};
};

member_sample answeredIn(double time, std::size_t inFlight)
{
    const double waiting = inFlight > slots ? static_cast<double>(inFlight) / slots : 1;
    return {member_outcome::answered, time * waiting, inFlight};
}

member_sample usual(std::size_t inFlight, double noise)
{
    return answeredIn(noise, inFlight);
}

TEST(MemberLimit, AMemberThatRunsItsSlotsWellKeepsThem)
{
    limit_replay replay;
    replay.run(usual, 5000);
    EXPECT_GE(replay.limit(), slots);
    EXPECT_NEAR(replay.slowness(), 1, 0.4);
}

TEST(MemberLimit, AMemberThatSlowsAtHalfOfItsSlotsGetsAboutHalf)
{
    limit_replay replay;
    replay.run(
            [](std::size_t inFlight, double noise) {
                return answeredIn(noise * (inFlight > slots / 2 ? 4 : 1), inFlight);
            },
            3000);
    EXPECT_LT(replay.limit(), slots * 0.8);
    EXPECT_GE(replay.limit(), slots * 0.4);
}

/** A member that is slower at any load keeps its slots: less of it is used because it is slow. */
TEST(MemberLimit, AMemberThatTurnsSlowIsKnownAsSlowAndKeepsItsSlots)
{
    limit_replay replay;
    replay.run(usual, 500);
    replay.run([](std::size_t n, double noise) { return answeredIn(5 * noise, n); }, 2000);
    EXPECT_GT(replay.slowness(), 3);
    EXPECT_GE(replay.limit(), slots * 0.8);
    replay.run(usual, 500);
    EXPECT_LT(replay.slowness(), 1.5);
    EXPECT_GE(replay.limit(), slots);
}

TEST(MemberLimit, AFastFailureDoesNotLookQuick)
{
    limit_replay replay;
    replay.run(usual, 500);
    int number = 0;
    replay.run(
            [&number](std::size_t n, double noise) {
                return ++number % 2 == 0 ? member_sample{member_outcome::failed, 0.01, n}
                                         : answeredIn(noise, n);
            },
            500);
    EXPECT_GT(replay.slowness(), 0.6);
    EXPECT_GT(replay.subject.failureShare(), 0.3);
    EXPECT_TRUE(replay.subject.isUnusual());
    replay.run(usual, 100);
    EXPECT_LT(replay.subject.failureShare(), 0.01);
}

TEST(MemberLimit, AReadThatIsLongByNatureDoesNotLookLikeASlowMember)
{
    limit_replay replay;
    replay.run(usual, 500);
    const auto before = replay.slowness();
    replay.subject.add(answeredIn(15, 1), replay.now());
    EXPECT_LT(replay.slowness(), before * 1.5);
    EXPECT_FALSE(replay.subject.isUnusual());
}

TEST(MemberLimit, RefusalsOfAFullMemberLowerTheLimitAndOneBurstCountsOnce)
{
    limit_replay replay;
    const auto before = replay.limit();
    for (int index = 0; index < 30; ++index)
        replay.subject.add({member_outcome::refused, std::nullopt, 2 * slots}, replay.now());
    EXPECT_NEAR(replay.limit(), before * 0.7, 1e-9);
    replay.run(
            [](std::size_t, double) {
                return member_sample{member_outcome::refused, 1, 20};
            },
            5000);
    EXPECT_EQ(replay.limit(), 1);
    replay.run(usual, 1000);
    EXPECT_GE(replay.limit(), slots);
}

/** Only writes run at a primary, and they give no times. */
TEST(MemberLimit, ALimitThatRefusalsLoweredRisesWithAnswersThatGiveNoTimes)
{
    limit_replay replay;
    for (int index = 0; index < 30; ++index) {
        replay.subject.add({member_outcome::refused, std::nullopt, 2 * slots}, replay.now());
        replay.pass(100ms);
    }
    EXPECT_LT(replay.limit(), 2);
    replay.run(
            [](std::size_t inFlight, double) {
                return member_sample{member_outcome::answered, std::nullopt, inFlight};
            },
            1000);
    EXPECT_GE(replay.limit(), slots);
}

/** Others' statements keep the member above half of its slots, and its times rose for good. */
TEST(MemberLimit, ALimitThatFellUnderTheLoadOfOthersRisesWhenTimesStayAsTheyAre)
{
    limit_replay replay;
    replay.run(usual, 500);
    const auto loaded = [](std::size_t, double noise) {
        return member_sample{member_outcome::answered, 4 * noise, slots};
    };
    replay.run(loaded, 200);
    EXPECT_LT(replay.limit(), slots / 2);
    replay.run(loaded, 2000);
    EXPECT_GE(replay.limit(), slots);
}

TEST(MemberLimit, AnInstanceThatHearsAnUnusualMemberKnowsIt)
{
    limit_replay replay;
    EXPECT_FALSE(replay.subject.isHeardUnusual());
    replay.subject.hear(member_capacity{2 * slots, 5, 100});
    EXPECT_TRUE(replay.subject.isHeardUnusual());
    replay.subject.hear(member_capacity{2 * slots, 1, 100});
    EXPECT_FALSE(replay.subject.isHeardUnusual()) << "otherwise reports would sustain themselves";
}

TEST(MemberLimit, AnIdleMemberIsNotForgottenAndIsProbed)
{
    limit_replay replay;
    replay.run([](std::size_t n, double noise) { return answeredIn(5 * noise, n); }, 500);
    const auto slowness = replay.slowness();
    EXPECT_FALSE(replay.subject.isProbeDue(1, replay.now()));
    replay.pass(10min);
    EXPECT_EQ(replay.slowness(), slowness);
    EXPECT_TRUE(replay.subject.isProbeDue(1, replay.now()));
    replay.subject.recordSent(replay.now());
    EXPECT_FALSE(replay.subject.isProbeDue(1, replay.now()));
    replay.pass(1s);
    EXPECT_TRUE(replay.subject.isProbeDue(1, replay.now()));
    EXPECT_FALSE(replay.subject.isProbeDue(3, replay.now())) << "the other two may also probe";
}

TEST(MemberLimit, WithoutSamplesWhatOthersFoundCounts)
{
    limit_replay replay;
    replay.subject.hear(member_capacity{4, 5, 100});
    EXPECT_EQ(replay.limit(), 4);
    EXPECT_EQ(replay.slowness(), 5);
    replay.run(usual, 500);
    EXPECT_LT(replay.slowness(), 4);
    replay.pass(1min);
    EXPECT_EQ(replay.limit(), 4) << "old samples weigh less than others' recent ones";
    replay.subject.hear(std::nullopt);
    EXPECT_GT(replay.limit(), slots * 0.8);
}

RC_GTEST_PROP(MemberLimit, TheLimitStaysInItsBoundsAndRecoversAfterAnyHistory, ())
{
    limit_replay replay;
    const member_limit_policy policy;
    const auto history = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 1 << 20));
    for (const int each : history) {
        replay.pass(std::chrono::milliseconds(each % 200));
        const auto outcome = static_cast<member_outcome>(each / 200 % 3);
        const auto time = static_cast<double>(each % 997) / 10;
        replay.subject.add({outcome, time, static_cast<std::size_t>(each % 41)}, replay.now());
        RC_ASSERT(replay.limit() >= 1);
        RC_ASSERT(replay.limit() <= slots * policy.largestLimitPerSlot);
    }
    replay.run(usual, 2000);
    RC_ASSERT(replay.limit() >= slots);
    RC_ASSERT(replay.slowness() < 2);
}

} // namespace
