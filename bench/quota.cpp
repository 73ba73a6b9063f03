#include "sycamorespan/Quota"

#include <random>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

const workspace_id workspace("workspace");
const holder_incarnation self{holder_id("proxy-self"), 1};
constexpr quota_limit limit{token_rate::tokensPerSecond(1'000'000),
                            token_amount::tokens(1'000'000)};
constexpr duration validity = 12h;

std::vector<holder_id> holderIds(std::int64_t count)
{
    std::vector<holder_id> result;
    for (std::int64_t number = 0; number < count; ++number)
        result.emplace_back("proxy-" + std::to_string(number));
    return result;
}

quota_holder holderWithPeers(std::int64_t count, const quota_limit &share)
{
    quota_holder holder(workspace, self, {}, time_point{});
    holder.handle(quota_event::share_changed{share, time_point(validity)}, time_point{});
    holder.handle(quota_event::peers_changed{holderIds(count)}, time_point{});
    return holder;
}

/** \brief Admission of one request from the holder's own share; the argument is the number of other
 * holders. */
void spendOwnShare(benchmark::State &state)
{
    auto holder = holderWithPeers(state.range(0), limit);
    time_point now{};
    std::uint64_t id = 0;
    for (auto _ : state) {
        now += 10us;
        benchmark::DoNotOptimize(holder.handle(quota_event::request_arrived{++id}, now));
        benchmark::DoNotOptimize(holder.handle(quota_event::request_sent{id}, now));
    }
}
BENCHMARK(spendOwnShare)->Arg(6)->Arg(30)->Arg(90);

/** \brief Refusal of one request when no holder has tokens; the argument is the number of other
 * holders. */
void refuseWithoutTokens(benchmark::State &state)
{
    auto holder = holderWithPeers(state.range(0), {});
    time_point now{};
    std::uint64_t id = 0;
    for (auto _ : state) {
        now += 10us;
        benchmark::DoNotOptimize(holder.handle(quota_event::request_arrived{++id}, now));
    }
}
BENCHMARK(refuseWithoutTokens)->Arg(6)->Arg(30)->Arg(90);

/** \brief One loan request and its answer, including the encoding and decoding of messages; the
 * argument is the number of other holders. */
void lendToBorrower(benchmark::State &state)
{
    auto holder = holderWithPeers(state.range(0), limit);
    time_point now{};
    std::uint64_t sequence = 0;
    std::size_t bytes = 0;
    for (auto _ : state) {
        now += 1ms;
        const loan_request request{workspace,  {holder_id("proxy-0"), 1},
                                   ++sequence, token_amount::tokens(1),
                                   1,          {{sequence, {}}}};
        const auto encoded = encodeQuotaMessage(request);
        const auto actions =
                holder.handle(quota_event::message_received{decodeQuotaMessage(encoded)}, now);
        const auto &sent = std::get<quota_action::send_message>(actions.at(0));
        bytes = encoded.size() + encodeQuotaMessage(sent.message).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(lendToBorrower)->Arg(6)->Arg(30)->Arg(90);

/** \brief One poll of an unchanged allotment row; the argument is the number of holders in the row.
 */
void pollRow(benchmark::State &state)
{
    constexpr std::int64_t total = 5'040;
    std::mt19937_64 random(1);
    std::vector<allotment_share> shares;
    for (const auto &holder : holderIds(state.range(0)))
        shares.push_back({{holder, 1}, total / state.range(0), total, {}});
    const auto value = allotment(total, shares, "unique").encode();
    time_point now{};
    allotment_lease lease(
            "quota/rate/w", total, {holder_id("proxy-0"), 1}, {}, [&] { return random(); }, now);
    std::uint64_t request = 0;
    for (auto _ : state) {
        now += 1min;
        lease.handle(allotment_event::tick{}, now);
        ++request;
        benchmark::DoNotOptimize(lease.handle(allotment_event::row_read{request, 1, value}, now));
    }
    state.counters["bytes"] = static_cast<double>(value.size());
}
BENCHMARK(pollRow)->Arg(6)->Arg(30)->Arg(90);

} // namespace
} // namespace sycamorespan
