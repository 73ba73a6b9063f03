#include "sycamorespan/Failover"

#include <gtest/gtest.h>

namespace sycamorespan {
namespace {

const group_configuration group{database_id("stock"),
                                {{server_id("s0"), "", data_centre_id("a")},
                                 {server_id("s1"), "", data_centre_id("b")},
                                 {server_id("s2"), "", data_centre_id("c")}}};

/** Runs one primary_change step by step and records its calls. */
class attempt
{
public:
    explicit attempt(change_request request)
        : m_change({}, group, std::move(request), "token", 1, 1)
    {
        record(m_change.start(m_now));
    }

    /** Answers the pending call to \a server. */
    void answer(const std::string &server, const group_answer &answer)
    {
        const auto call = m_calls.at(server_id(server));
        record(m_change.handle(call_returned{call.id, call.server, answer}, m_now));
    }
    void wait(duration time)
    {
        m_now += time;
        record(m_change.handle(time_passed{}, m_now));
    }
    template<typename Operation>
    std::vector<std::string> calledServers() const
    {
        std::vector<std::string> servers;
        for (const auto &call : m_allCalls) {
            if (std::holds_alternative<Operation>(call.operation))
                servers.push_back(call.server.str());
        }
        return servers;
    }
    const std::optional<change_result> &result() const { return m_result; }

private:
    void record(const std::vector<primary_change_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *call = std::get_if<call_member>(&action)) {
                m_calls.insert_or_assign(call->server, *call);
                m_allCalls.push_back(*call);
            } else {
                m_result = std::get<change_result>(action);
            }
        }
    }

    primary_change m_change;
    time_point m_now;
    std::map<server_id, call_member> m_calls;
    std::vector<call_member> m_allCalls;
    std::optional<change_result> m_result;
};

member_status primaryOf(term_number term)
{
    return {term, member_role::primary, {term, 9}, {}, {}};
}

member_status replicaOf(term_number term)
{
    return {term, member_role::replica, {term, 9}, {}, {}};
}

using servers = std::vector<std::string>;

TEST(primary_change, fencesNoMemberIfThePrimaryAnswersTheStatusQuery)
{
    attempt attempt({server_id("s0"), {}, false});
    attempt.answer("s1", replicaOf(3));
    attempt.answer("s0", primaryOf(3));
    ASSERT_TRUE(attempt.result());
    const auto unnecessary = std::get<change_unnecessary>(*attempt.result());
    EXPECT_EQ(unnecessary.view.primary, server_id("s0"));
    EXPECT_EQ(unnecessary.view.term, 3U);
    EXPECT_TRUE(attempt.calledServers<fence_operation>().empty());
}

TEST(primary_change, doesNotTreatAPrimaryOfAnOlderTermAsServing)
{
    attempt attempt({server_id("s0"), {}, false});
    attempt.answer("s1", replicaOf(4));
    attempt.answer("s0", primaryOf(3));
    attempt.answer("s2", replicaOf(3));
    EXPECT_FALSE(attempt.result());
    EXPECT_EQ(attempt.calledServers<fence_operation>(), (servers{"s0", "s1", "s2"}));
}

TEST(primary_change, fencesNoMemberWithoutAMajority)
{
    attempt attempt({server_id("s0"), {}, false});
    attempt.answer("s1", replicaOf(3));
    attempt.wait(2s);
    EXPECT_TRUE(std::holds_alternative<change_abandoned>(attempt.result().value()));
    EXPECT_TRUE(attempt.calledServers<fence_operation>().empty());
}

TEST(primary_change, leavesAnUnresponsiveMemberToTheDetectorIfItIsNotSuspected)
{
    attempt attempt(change_request{});
    attempt.answer("s1", replicaOf(3));
    attempt.answer("s2", replicaOf(3));
    attempt.wait(200ms);
    EXPECT_EQ(std::get<primary_unresponsive>(attempt.result().value()).server, server_id("s0"));
    EXPECT_TRUE(attempt.calledServers<fence_operation>().empty());
}

TEST(primary_change, repeatsAPromotionOnTheSameMemberOnly)
{
    attempt attempt({server_id("s0"), {}, false});
    attempt.answer("s0", call_failed{});
    attempt.answer("s1", replicaOf(3));
    attempt.answer("s2", replicaOf(3));
    attempt.answer("s1", position_answer{{3, 9}});
    attempt.answer("s2", position_answer{{3, 11}});
    for (int failure = 0; failure < 2; ++failure) {
        attempt.answer("s2", call_failed{});
        attempt.wait(60ms);
    }
    EXPECT_EQ(attempt.calledServers<promote_operation>(), (servers{"s2", "s2", "s2"}));
    attempt.answer("s2", call_failed{});
    EXPECT_TRUE(std::holds_alternative<change_abandoned>(attempt.result().value()));
}

} // namespace
} // namespace sycamorespan
