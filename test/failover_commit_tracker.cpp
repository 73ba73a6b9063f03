#include "sycamorespan/Failover"

#include <algorithm>
#include <map>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

const std::vector<group_member> members{{server_id("s0"), "", data_centre_id("a")},
                                        {server_id("s1"), "", data_centre_id("b")},
                                        {server_id("s2"), "", data_centre_id("c")}};

group_view viewOf(term_number term, std::optional<log_position> base = {})
{
    const auto primary = members[term % members.size()].server;
    return {database_id("stock"), term, primary, members, base, group_state::served};
}

member_status statusOf(term_number term, std::uint64_t offset,
                       std::vector<follower_position> others)
{
    return {term, member_role::primary, {term, offset}, {}, std::move(others)};
}

template<typename Action>
std::vector<Action> actionsOfType(const std::vector<commit_tracker_action> &actions)
{
    std::vector<Action> result;
    for (const auto &action : actions) {
        if (const auto *matching = std::get_if<Action>(&action))
            result.push_back(*matching);
    }
    return result;
}

/** Reference model that stores every answer and counts the holders again for each wait. */
class reference_tracker
{
public:
    void answered(const server_id &server, const member_status &status)
    {
        m_answers.emplace_back(server, status);
    }
    bool isHeld(const log_position &position, term_number lowestTerm) const
    {
        return std::ranges::any_of(m_answers, [&](const auto &answer) {
            const auto &[server, status] = answer;
            const bool inTerm = status.term == position.term && status.term >= lowestTerm
                                && status.position.term == status.term
                                && status.role == member_role::primary;
            std::size_t holders = status.position.offset >= position.offset ? 1 : 0;
            for (const auto &member : members) {
                const auto holds = [&](const follower_position &follower) {
                    return follower.server == member.server && follower.position >= position
                           && follower.position.term == position.term;
                };
                const bool isFollower = member.server != server;
                holders += isFollower && std::ranges::any_of(status.followers, holds) ? 1 : 0;
            }
            return inTerm && 2 * holders > members.size();
        });
    }

private:
    std::vector<std::pair<server_id, member_status>> m_answers;
};

RC_GTEST_PROP(commit_tracker, releasesExactlyWhatTheReferenceModelHolds, ())
{
    constexpr int steps = 400;
    constexpr std::uint64_t offsets = 12;
    std::mt19937_64 random(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    const auto number = [&random](std::uint64_t bound) { return random() % bound; };
    commit_tracker tracker({}, viewOf(1));
    reference_tracker reference;
    term_number term = 1;
    std::map<waiter_id, log_position> waiting;
    time_point now;
    for (int step = 0; step < steps; ++step) {
        std::vector<commit_tracker_action> actions;
        const auto choice = number(20);
        if (choice < 8) {
            const log_position position{term, number(offsets)};
            waiting[static_cast<waiter_id>(step)] = position;
            actions = tracker.handle(
                    wait_started{static_cast<waiter_id>(step), position, now + 24h}, now);
        } else if (choice < 19) {
            const auto answerTerm = term + 1 - number(3);
            const auto server = members[answerTerm % members.size()].server;
            auto status = statusOf(answerTerm, number(offsets), {});
            for (const auto &member : members) {
                const log_position position{answerTerm - number(2), number(offsets)};
                if (member.server != server)
                    status.followers.push_back({member.server, position});
            }
            status.role = number(5) == 0 ? member_role::fenced : member_role::primary;
            reference.answered(server, status);
            actions = tracker.handle(status_answered{number(50), server, status}, now);
        } else {
            actions = tracker.handle(view_learned{viewOf(++term)}, now);
        }
        for (const auto &release : actionsOfType<release_waiter>(actions)) {
            RC_ASSERT(waiting.at(release.waiter) == release.position);
            RC_ASSERT(reference.isHeld(release.position, 0));
            waiting.erase(release.waiter);
        }
        for (const auto &unknown : actionsOfType<report_unknown>(actions)) {
            RC_ASSERT(waiting.at(unknown.waiter).term < term);
            waiting.erase(unknown.waiter);
        }
        for (const auto &[waiter, position] : waiting)
            RC_ASSERT(!reference.isHeld(position, term));
        RC_ASSERT(tracker.waiting() == waiting.size());
        RC_ASSERT(actionsOfType<request_status>(actions).size() <= 1U);
        now += 1ms;
    }
}

TEST(commit_tracker, continuesAWaitIfTheNewLogHoldsItsPosition)
{
    const time_point now;
    commit_tracker tracker({}, viewOf(1));
    tracker.handle(wait_started{1, {1, 7}, now + 5s}, now);
    tracker.handle(wait_started{2, {1, 8}, now + 5s}, now);
    const auto changed = tracker.handle(view_learned{viewOf(2, log_position{1, 7})}, now);
    const report_unknown lost{2, unknown_reason::termEnded};
    EXPECT_EQ(actionsOfType<report_unknown>(changed), std::vector{lost});
    // The entry of the promotion is at offset 8. No wait is released until a majority holds it.
    const auto alone = statusOf(2, 8, {{server_id("s0"), {1, 7}}});
    EXPECT_TRUE(actionsOfType<release_waiter>(
                        tracker.handle(status_answered{2, server_id("s2"), alone}, now))
                        .empty());
    // The follower confirms in the new term, but only up to the entries of the older term.
    const auto confirmed = statusOf(2, 8, {{server_id("s0"), {2, 7}}});
    const auto answer = tracker.handle(status_answered{3, server_id("s2"), confirmed}, now);
    EXPECT_TRUE(actionsOfType<release_waiter>(answer).empty());
    // After a second change the wait continues only because the base is in the term of the first
    // one.
    tracker.handle(view_learned{viewOf(3, log_position{2, 8})}, now);
    const auto held = statusOf(3, 9, {{server_id("s1"), {3, 9}}});
    const auto released = tracker.handle(status_answered{3, server_id("s0"), held}, now);
    EXPECT_EQ(actionsOfType<release_waiter>(released), (std::vector{release_waiter{1, {1, 7}}}));
}

TEST(commit_tracker, reportsUnknownAtTheDeadlineAndNeverReleasesLater)
{
    const time_point now;
    commit_tracker tracker({}, viewOf(1));
    tracker.handle(wait_started{1, {1, 7}, now + 5s}, now);
    ASSERT_TRUE(tracker.nextDeadline());
    const auto late = tracker.handle(time_passed{}, now + 5s);
    EXPECT_EQ(actionsOfType<report_unknown>(late),
              (std::vector{report_unknown{1, unknown_reason::deadlinePassed}}));
    const auto held = statusOf(1, 9, {{server_id("s2"), {1, 9}}});
    const auto answered = tracker.handle(status_answered{1, server_id("s1"), held}, now + 6s);
    EXPECT_TRUE(actionsOfType<release_waiter>(answered).empty());
}

TEST(commit_tracker, triesANewConnectionBeforeItSuspectsThePrimary)
{
    time_point now;
    commit_tracker tracker({}, viewOf(1));
    const auto first = tracker.handle(wait_started{1, {1, 7}, now + 5s}, now);
    EXPECT_EQ(actionsOfType<request_status>(first),
              (std::vector{request_status{1, server_id("s1"), false}}));
    std::vector<request_status> requests;
    std::vector<suspect_primary> suspicions;
    while (now < time_point() + 1s) {
        now = *tracker.nextDeadline();
        const auto actions = tracker.handle(time_passed{}, now);
        std::ranges::copy(actionsOfType<request_status>(actions), std::back_inserter(requests));
        std::ranges::copy(actionsOfType<suspect_primary>(actions), std::back_inserter(suspicions));
        if (!actionsOfType<suspect_primary>(actions).empty()) {
            EXPECT_EQ(requests.size(), 1U);
        }
    }
    EXPECT_TRUE(requests.front().freshConnection);
    EXPECT_EQ(suspicions, (std::vector{suspect_primary{server_id("s1"), 1}}));
}

TEST(commit_tracker, reportsAFencedPrimaryAndReleasesNothingOnItsAnswer)
{
    time_point now;
    commit_tracker tracker({}, viewOf(1));
    tracker.handle(wait_started{1, {1, 7}, now + 5s}, now);
    auto fenced = statusOf(1, 9, {{server_id("s2"), {1, 9}}});
    fenced.role = member_role::fenced;
    std::vector<suspect_primary> suspicions;
    for (std::uint64_t request = 1; request <= 2; ++request) {
        const auto actions = tracker.handle(status_answered{request, server_id("s1"), fenced}, now);
        EXPECT_TRUE(actionsOfType<release_waiter>(actions).empty());
        std::ranges::copy(actionsOfType<suspect_primary>(actions), std::back_inserter(suspicions));
        now = *tracker.nextDeadline();
        tracker.handle(time_passed{}, now);
    }
    EXPECT_EQ(suspicions, (std::vector{suspect_primary{server_id("s1"), 1}}));
}

TEST(commit_tracker, answersAReadOfAHeldPositionImmediately)
{
    const time_point now;
    commit_tracker tracker({}, viewOf(1));
    const auto held = statusOf(1, 9, {{server_id("s2"), {1, 9}}});
    tracker.handle(status_answered{0, server_id("s1"), held}, now);
    const auto actions = tracker.handle(wait_started{1, {1, 9}, now + 5s}, now);
    EXPECT_EQ(actions, (std::vector<commit_tracker_action>{release_waiter{1, {1, 9}}}));
}

} // namespace
} // namespace sycamorespan
