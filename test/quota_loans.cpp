#include "test/quota_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::test {
namespace {

constexpr quota_limit limit{token_rate::tokensPerSecond(100), token_amount::tokens(20)};
const workspace_id workspace("gronda");
const holder_incarnation borrower{holder_id("a"), 1};
const holder_incarnation lender{holder_id("b"), 1};

/** \brief A holder with half of the limit, and the requests that it admitted. */
class half_share_holder
{
public:
    half_share_holder(const holder_incarnation &self, const holder_id &peer)
        : m_holder(workspace, self, {}, time_point{})
    {
        constexpr duration longTime = 1h;
        handle(quota_event::share_changed{limit.share(1, 2), time_point(longTime)}, {});
        handle(quota_event::peers_changed{{peer}}, {});
    }

    std::vector<quota_message> handle(const quota_input &input, duration now)
    {
        std::vector<quota_message> sent;
        for (const auto &action : m_holder.handle(input, time_point(now))) {
            if (std::holds_alternative<quota_action::admit>(action))
                admittedWork.push_back({now, token_amount::tokens(1)});
            if (const auto *message = std::get_if<quota_action::send_message>(&action))
                sent.push_back(message->message);
        }
        return sent;
    }
    void requestTwiceTheBurst(duration now)
    {
        for (int request = 0; request < 2 * limit.burst.asTokens(); ++request)
            handle(quota_event::request_arrived{++m_lastRequest}, now);
    }
    /** \brief Sends requests until the holder requests a loan. \returns the loan requests */
    std::vector<quota_message> borrow(duration now)
    {
        std::vector<quota_message> sent;
        while (sent.empty() && m_lastRequest < 1'000)
            sent = handle(quota_event::request_arrived{++m_lastRequest}, now);
        handle(quota_event::request_cancelled{m_lastRequest}, now);
        return sent;
    }

    std::vector<admission> admittedWork;

private:
    quota_holder m_holder;
    std::uint64_t m_lastRequest = 0;
};

/** \returns the excess over the limit if the borrower keeps a loan for \a holdTime, after which
 * both holders spend all their tokens.
 */
std::int64_t excessAfterLoan(duration requestDelay, duration grantDelay, duration holdTime)
{
    half_share_holder first(borrower, lender.holder);
    half_share_holder second(lender, borrower.holder);
    constexpr duration filledAt = 1s;
    const auto request = first.borrow(filledAt);
    const auto grants =
            second.handle(quota_event::message_received{request.at(0)}, filledAt + requestDelay);
    const auto granted = filledAt + requestDelay + grantDelay;
    for (const auto &grant : grants)
        first.handle(quota_event::message_received{grant}, granted);
    first.requestTwiceTheBurst(granted + holdTime);
    second.requestTwiceTheBurst(granted + holdTime);
    auto admittedWork = first.admittedWork;
    std::ranges::copy(second.admittedWork, std::back_inserter(admittedWork));
    std::ranges::stable_sort(admittedWork, {}, &admission::when);
    return excessOf(admittedWork, limit);
}

RC_GTEST_PROP(quota_loans, aLoanIsSpentOnlyWhileTheLenderCountsIt, ())
{
    const duration requestDelay(*rc::gen::inRange(0, 100'000));
    const duration grantDelay(*rc::gen::inRange(0, 1'500'000));
    const duration holdTime(*rc::gen::inRange(0, 1'500'000));
    RC_ASSERT(excessAfterLoan(requestDelay, grantDelay, holdTime) == 0);
}

/** Load pattern: a database cannot be served for a while, so that admitted requests of a workspace
 * that lives on loans are refused without having run.
 */
TEST(quota_loans, aBorrowedTokenIsSpentAgainIfItsRequestDidNotRun)
{
    constexpr token_amount loan = token_amount::tokens(3);
    half_share_holder holder(borrower, lender.holder);
    holder.requestTwiceTheBurst(1s);
    holder.handle(quota_event::share_changed{{}, time_point(1h)}, 1s); // lives on loans from here
    holder.handle(quota_event::peers_changed{{lender.holder}, limit.share(1, 2)}, 1s);
    holder.admittedWork.clear();
    const auto requests = holder.borrow(6s);
    ASSERT_EQ(requests.size(), 1U);
    const auto sequence = std::get<loan_request>(requests.front()).sequence;
    holder.handle(quota_event::message_received{loan_grant{workspace, lender, borrower, sequence, 1,
                                                           loan, token_amount::tokens(5)}},
                  6s + 1ms);
    for (std::uint64_t id = 5001; id <= 5100; ++id) {
        holder.handle(quota_event::request_arrived{id}, 6s + 2ms);
        holder.handle(quota_event::request_not_run{id}, 6s + 2ms);
    }
    EXPECT_EQ(holder.admittedWork.size(), 100U);
    for (std::uint64_t id = 6001; id <= 6100; ++id) {
        holder.handle(quota_event::request_arrived{id}, 6s + 3ms);
        holder.handle(quota_event::request_sent{id}, 6s + 3ms);
    }
    EXPECT_EQ(holder.admittedWork.size(), 103U) << "sent requests use up the loan";
}

TEST(quota_loans, theLenderHasTheLentTokensBackAfterTheirValidity)
{
    constexpr duration afterValidity = 2s;
    EXPECT_EQ(excessAfterLoan(1ms, 1ms, afterValidity), 0);
    half_share_holder holder(lender, borrower.holder);
    holder.handle(quota_event::message_received{loan_request{
                          workspace, borrower, 1, token_amount::tokens(10), 0, {}}},
                  1s);
    holder.requestTwiceTheBurst(1s + afterValidity);
    EXPECT_EQ(holder.admittedWork.size(), 10U);
}

/** \brief Sends one request to a holder that has no tokens yet and knows no lender.
 * \returns whether it is admitted in the end; nothing if it waits for ever
 */
std::optional<bool> isAdmittedByNewHolder(const quota_limit &share)
{
    quota_holder holder(workspace, borrower, {}, time_point{});
    holder.handle(quota_event::share_changed{share, time_point(1h)}, time_point{});
    auto outputs = holder.handle(quota_event::request_arrived{1}, time_point{});
    while (outputs.empty() && holder.nextDeadline())
        outputs = holder.handle(quota_event::tick{}, *holder.nextDeadline());
    if (outputs.empty())
        return std::nullopt;
    return std::holds_alternative<quota_action::admit>(outputs.front());
}

/** Guards against refusals of the first requests of an instance: its share earns a token at once,
 * but no other instance is known that could lend one.
 */
TEST(quota_loans, aRequestWaitsForTheOwnShareWhileNoLenderIsKnown)
{
    EXPECT_EQ(isAdmittedByNewHolder(limit), true);
    EXPECT_EQ(isAdmittedByNewHolder({token_rate::tokensPerSecond(10), limit.burst}), false);
}

RC_GTEST_PROP(quota_loans, messagesSurviveTheirEncoding, ())
{
    const auto text = *rc::gen::arbitrary<std::string>();
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const token_amount amount{*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000)};
    const loan_request request{workspace_id("w"), {holder_id("h"), number}, number, amount, number,
                               {{number, amount}}};
    const loan_grant grant{workspace_id("w"), lender, borrower, number, number, amount, amount};
    RC_ASSERT(decodeQuotaMessage(encodeQuotaMessage(request)) == quota_message(request));
    RC_ASSERT(decodeQuotaMessage(encodeQuotaMessage(grant)) == quota_message(grant));
    const std::vector<std::uint8_t> garbage(text.begin(), text.end());
    RC_ASSERT_THROWS_AS(decodeQuotaMessage(garbage), decode_error);
    RC_ASSERT_THROWS_AS(allotment::decode(text), decode_error);
}

} // namespace
} // namespace sycamorespan::test
