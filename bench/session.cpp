#include "sycamorespan/Session"

#include <malloc.h>

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <benchmark/benchmark.h>

namespace sycamorespan {
namespace {

constexpr std::size_t lengthFieldBytes = 4;

std::string bigEndianBytes(std::size_t value)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    return bytes;
}

std::string startupBytes()
{
    using namespace std::string_view_literals;
    const std::string payload =
            bigEndianBytes(3UL << 16U) + std::string("user\0counter\0database\0cribs\0\0"sv);
    return bigEndianBytes(payload.size() + lengthFieldBytes) + payload;
}

std::string typedMessage(char type, std::string_view text)
{
    return type + bigEndianBytes(text.size() + 1 + lengthFieldBytes) + std::string(text) + '\0';
}

/** \returns an accepted session that has not run a statement. */
std::unique_ptr<caller_session> acceptedSession(statement_classifier &classifier)
{
    auto session = std::make_unique<caller_session>(session_limits{}, classifier);
    session->handle(caller_bytes{startupBytes()});
    session->handle(caller_bytes{typedMessage('p', "0123456789ab.secret")});
    session->handle(caller_accepted{});
    return session;
}

sql_result resultWithRows(std::int64_t rows)
{
    sql_result result;
    result.columns = {{"id"}, {"state"}};
    backend_writer writer;
    for (std::int64_t row = 0; row < rows; ++row)
        writer.dataRow({"1234567", "free"});
    result.rows = writer.release();
    result.tag = "SELECT " + std::to_string(rows);
    return result;
}

/** One simple query through a session, from the query's bytes to the answer's bytes; the argument
 * is the number of rows. */
void simpleQuery(benchmark::State &state)
{
    statement_classifier classifier;
    const auto session = acceptedSession(classifier);
    const auto query = typedMessage('Q', "SELECT id, state FROM cribs WHERE counter = 7");
    const auto result = resultWithRows(state.range(0));
    for (auto _ : state) {
        const auto actions = session->handle(caller_bytes{query});
        if (!std::holds_alternative<start_statement>(actions.back())) {
            state.SkipWithError("the session started no statement");
            return;
        }
        benchmark::DoNotOptimize(
                session->handle(statement_finished{result, log_position{3, 17}, "token"}));
    }
}
BENCHMARK(simpleQuery)->Arg(1)->Arg(10)->Arg(100);

/** Heap memory of an idle session; the argument is the number of sessions. */
void idleSessions(benchmark::State &state)
{
    statement_classifier classifier;
    double heapBytes = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        std::vector<std::unique_ptr<caller_session>> sessions;
        sessions.reserve(static_cast<std::size_t>(state.range(0)));
        for (std::int64_t number = 0; number < state.range(0); ++number)
            sessions.push_back(acceptedSession(classifier));
        heapBytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes_per_session"] = heapBytes / static_cast<double>(state.range(0));
}
BENCHMARK(idleSessions)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace sycamorespan
