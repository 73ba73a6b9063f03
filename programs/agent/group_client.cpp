#include "programs/agent/group_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sycamorespan::agent {

namespace {

constexpr const char *objectNotInPrerequisiteState = "55000";
constexpr std::string_view termPrefix = "term=";

template<typename Number>
Number readNumber(std::string_view text)
{
    Number value{};
    const auto *end = text.data() + text.size();
    const auto [last, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || last != end)
        throw decode_error("column or term is not a number: " + std::string(text));
    return value;
}

const std::string &column(const member_row &row, const std::string &name)
{
    const auto found = row.columns.find(name);
    if (found == row.columns.end())
        throw decode_error("missing or NULL column " + name);
    return found->second;
}

log_position readPosition(const member_row &row)
{
    return {readNumber<term_number>(column(row, "position_term")),
            readNumber<std::uint64_t>(column(row, "position_offset"))};
}

member_status readStatus(const member_row &row)
{
    member_status status;
    status.term = readNumber<term_number>(column(row, "term"));
    status.role = parseMemberRole(column(row, "role"));
    status.position = readPosition(row);
    const auto staleness = readNumber<std::int64_t>(column(row, "staleness_ms"));
    if (staleness >= 0)
        status.staleness = std::chrono::milliseconds(staleness);
    status.followers = parseFollowers(column(row, "followers"));
    return status;
}

group_answer readAnswer(const group_operation &operation, const member_row &row)
{
    if (std::holds_alternative<status_operation>(operation))
        return readStatus(row);
    if (std::holds_alternative<end_sessions_operation>(operation))
        return sessions_ended{readNumber<std::uint32_t>(column(row, "ended"))};
    return position_answer{readPosition(row)};
}

call_refused readRefusal(const member_error &failure)
{
    if (failure.sqlstate != objectNotInPrerequisiteState || !failure.detail.starts_with(termPrefix))
        return {};
    return {readNumber<term_number>(std::string_view(failure.detail).substr(termPrefix.size()))};
}

} // namespace

member_statement toStatement(const group_operation &operation)
{
    return std::visit(
            overloaded{
                    [](const status_operation &) {
                        return member_statement{"SELECT * FROM group_status()", {}};
                    },
                    [](const fence_operation &fence) {
                        return member_statement{"SELECT * FROM group_fence($1, $2)",
                                                {std::to_string(fence.term), fence.token}};
                    },
                    [](const promote_operation &promote) {
                        return member_statement{"SELECT * FROM group_promote($1, $2)",
                                                {std::to_string(promote.term), promote.token}};
                    },
                    [](const follow_operation &follow) {
                        return member_statement{"SELECT * FROM group_follow($1, $2, $3)",
                                                {std::to_string(follow.term), follow.primary.str(),
                                                 follow.address}};
                    },
                    [](const end_sessions_operation &end) {
                        return member_statement{"SELECT * FROM group_end_sessions($1, $2)",
                                                {end.instance.str(), end.boot}};
                    },
            },
            operation);
}

group_answer toGroupAnswer(const group_operation &operation, const member_answer &answer)
{
    try {
        return std::visit(overloaded{
                                  [&](const member_row &row) { return readAnswer(operation, row); },
                                  [](const member_error &failure) -> group_answer {
                                      return readRefusal(failure);
                                  },
                                  [](const member_connection_lost &) -> group_answer {
                                      return call_failed{};
                                  },
                          },
                          answer);
    } catch (const decode_error &) {
        return call_failed{};
    }
}

struct group_client::pending_call
{
    call_member request;
    group_member member;
    answer_handler onAnswer;
    std::unique_ptr<member_connection> connection;
    loop_timer deadline;
};

group_client::group_client(ev::loop_ref loop, std::string password, std::string applicationName)
    : m_loop(loop)
    , m_password(std::move(password))
    , m_applicationName(std::move(applicationName))
{ }

group_client::~group_client() = default;

void group_client::call(const call_member &request, const group_member &member,
                        answer_handler onAnswer)
{
    const auto callNumber = ++m_lastCallNumber;
    auto pending = std::unique_ptr<pending_call>(new pending_call{
            request, member, std::move(onAnswer), connectionTo(member, request.freshConnection),
            loop_timer(m_loop, [this, callNumber] { finish(callNumber, call_failed{}); })});
    pending->deadline.startOnce(std::max(request.deadline - monotonicNow(), duration::zero()));
    auto *connection = pending->connection.get();
    if (connection == nullptr)
        pending->deadline.startOnce(duration::zero());
    m_pendingCalls.emplace(callNumber, std::move(pending));
    if (connection == nullptr)
        return;
    connection->run(
            toStatement(request.operation),
            [this, callNumber](const member_answer &answer) { handleAnswer(callNumber, answer); });
}

std::unique_ptr<member_connection> group_client::connectionTo(const group_member &member,
                                                              bool freshConnection)
{
    const auto idle = m_idleConnections.extract(member.server);
    const bool isUsable = idle && !freshConnection && idle.mapped().address == member.address
                          && idle.mapped().connection->isIdle();
    if (isUsable)
        return std::move(idle.mapped().connection);
    try {
        return std::make_unique<member_connection>(
                m_loop, member_login{parseEndpoint(member.address), m_password, m_applicationName});
    } catch (const decode_error &) {
        return nullptr;
    }
}

void group_client::handleAnswer(std::uint64_t callNumber, const member_answer &answer)
{
    const auto &pending = *m_pendingCalls.at(callNumber);
    finish(callNumber, toGroupAnswer(pending.request.operation, answer));
}

void group_client::finish(std::uint64_t callNumber, const group_answer &answer)
{
    const auto call = m_pendingCalls.extract(callNumber);
    auto &finished = *call.mapped();
    finished.deadline.stop();
    if (finished.connection && finished.connection->isIdle())
        m_idleConnections.insert_or_assign(
                finished.member.server,
                idle_connection{finished.member.address, std::move(finished.connection)});
    finished.onAnswer({finished.request.id, finished.request.server, answer});
}

} // namespace sycamorespan::agent
