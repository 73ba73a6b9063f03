#include "sycamorespan/Routing"

#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

constexpr std::size_t memberCount = 3;
constexpr std::size_t proxyCount = 2;
constexpr std::size_t sessionCount = 4;
constexpr duration readDeadline = 200ms;
/** Accepts more lag and staleness than is allowed, so that some answers are not new enough and must
 * be discarded after their proof is checked.
 */
constexpr selection_policy permissivePolicy{
        .maximumCatchUpWait = 1s, .primaryPenalty = 100ms, .stalenessMargin = -1s};
const database_id database("sales");

server_id serverOf(std::size_t index)
{
    return server_id("member-" + std::to_string(index));
}

struct log_entry
{
    term_number term = 0;
    int value = 0;
    bool operator==(const log_entry &) const = default;
};

/** Model of a member of the group, as described in docs/design/0001. */
struct member
{
    std::vector<log_entry> log;
    term_number term = 1;
    reported_role role = reported_role::replica;
    std::size_t upstream = 0;
    std::optional<time_point> syncedAt;
    int connectionEpoch = 0; // incremented when a change of role closes all connections

    log_position position() const
    {
        return log.empty() ? log_position{} : log_position{log.back().term, log.size()};
    }
};

struct pending_write
{
    std::size_t session;
    std::size_t server;
    term_number term;
    std::size_t length; // length of the log including the entry
    int value;
};

struct acknowledged_write
{
    std::size_t session;
    int value;
    time_point at;
};

struct running_read
{
    std::unique_ptr<read_attempt> attempt;
    read_request request;
    std::size_t session = 0;
    std::size_t proxy = 0;
    std::size_t server = 0;
    execution_id execution = 0;
    std::optional<member_report> proof = {};
    std::optional<std::vector<log_entry>> answer = {};
    int connectionEpoch = 0;
    bool isSent = false;
    time_point sentAt = {};
};

struct read_counts
{
    int delivered = 0;
    int byReplica = 0;
    int refused = 0;
};

/** Model of a group, of proxies whose views are outdated by any amount, and of sessions that move
 * between proxies. Answers are compared with the list of acknowledged writes in their order, as a
 * read on the actual primary would return them.
 */
class read_model
{
public:
    read_model()
        : m_selector(permissivePolicy)
        , m_codec({"secret"})
    {
        m_members[0].role = reported_role::primary;
        for (auto &view : m_views) {
            view.database = database;
            for (std::size_t index = 0; index < memberCount; ++index)
                view.members.push_back(
                        {.server = serverOf(index), .distance = 1ms, .slots = 5, .report = {}});
        }
    }

    void step(int kind, std::size_t a, std::size_t b, std::size_t c)
    {
        m_now += 1us + std::chrono::milliseconds(c % 3);
        constexpr int kinds = 60;
        kind %= kinds;
        if (kind == 0)
            fenceMajority(a % memberCount);
        else if (kind <= 4)
            promoteLongest();
        else if (kind <= 9)
            follow(a % memberCount);
        else if (kind == 10)
            removeOrForgeToken(b % sessionCount, c);
        else if (kind == 11)
            m_now += std::chrono::milliseconds(c);
        else if (kind == 12)
            m_isPartitioned[a % proxyCount][b % memberCount] ^= true;
        else if (kind <= 15)
            write(a % memberCount, b % sessionCount);
        else if (kind <= 23)
            poll(a % proxyCount, b % memberCount, c);
        else if (kind <= 35)
            replicate(a % memberCount, b);
        else if (kind <= 40)
            startRead(a % proxyCount, b % sessionCount, c);
        else
            advanceRead(a, c);
        acknowledgeWrites();
    }

    const read_counts &counts() const { return m_counts; }

private:
    void write(std::size_t server, std::size_t session)
    {
        auto &target = m_members[server];
        if (target.role != reported_role::primary)
            return;
        target.log.push_back({target.term, ++m_lastValue});
        m_pending.push_back({session, server, target.term, target.log.size(), m_lastValue});
    }

    bool holds(const member &each, const pending_write &write) const
    {
        return each.term == write.term && each.log.size() >= write.length
               && each.log[write.length - 1] == log_entry{write.term, write.value};
    }

    void acknowledgeWrites()
    {
        std::erase_if(m_pending, [this](const pending_write &write) {
            const auto holders = std::ranges::count_if(
                    m_members, [&](const member &each) { return holds(each, write); });
            if (holders < 2 || m_members[write.server].role != reported_role::primary)
                return false;
            m_acknowledged.push_back({write.session, write.value, m_now});
            auto &token = m_tokens[write.session];
            const auto floor = floorOf(token).raisedTo({write.term, write.length}, m_now);
            token = m_codec.encode({database, *floor.position});
            return true;
        });
    }

    session_floor floorOf(const std::string &token) const
    {
        const auto decoded = m_codec.decode(token, database);
        const auto *position = std::get_if<session_position>(&decoded);
        return position ? session_floor{position->position, m_now}
                        : session_floor{std::nullopt, m_now};
    }

    void removeOrForgeToken(std::size_t session, std::size_t choice)
    {
        auto &token = m_tokens[session];
        token = choice % 2 == 0 ? "" : "sales:1:0:" + std::string(32, '0');
    }

    void fenceMajority(std::size_t excluded)
    {
        if (m_electionTerm)
            return;
        m_electionTerm = ++m_highestTerm;
        m_fenced.clear();
        for (std::size_t index = 0; index < memberCount; ++index) {
            if (index == excluded)
                continue;
            m_members[index].term = *m_electionTerm;
            m_members[index].role = reported_role::fenced;
            ++m_members[index].connectionEpoch;
            m_fenced.push_back(index);
        }
    }

    void promoteLongest()
    {
        if (!m_electionTerm)
            return;
        const auto longest = *std::ranges::max_element(
                m_fenced, {}, [this](std::size_t index) { return m_members[index].position(); });
        m_members[longest].role = reported_role::primary;
        m_primary = longest;
        m_electionTerm.reset();
    }

    void follow(std::size_t index)
    {
        auto &follower = m_members[index];
        const auto &primary = m_members[m_primary];
        if (m_electionTerm || index == m_primary || follower.term > primary.term)
            return;
        const auto [end, ignored] = std::ranges::mismatch(follower.log, primary.log);
        follower.log.erase(end, follower.log.end());
        follower.term = primary.term;
        follower.role = reported_role::replica;
        follower.upstream = m_primary;
        follower.syncedAt.reset();
        ++follower.connectionEpoch;
    }

    void replicate(std::size_t index, std::size_t count)
    {
        auto &follower = m_members[index];
        const auto &source = m_members[follower.upstream];
        if (follower.role != reported_role::replica || source.role != reported_role::primary
            || source.term != follower.term)
            return;
        const auto end = std::min(source.log.size(), follower.log.size() + 1 + count % 8);
        follower.log.assign(source.log.begin(),
                            source.log.begin() + static_cast<std::ptrdiff_t>(end));
        if (end == source.log.size())
            follower.syncedAt = m_now;
    }

    member_report report(std::size_t index, duration delay) const
    {
        const auto &each = m_members[index];
        std::optional<duration> staleness;
        if (each.role == reported_role::primary)
            staleness = duration{0};
        else if (each.syncedAt)
            staleness = m_now - *each.syncedAt;
        return {serverOf(index), each.role, each.term, each.position(), staleness, m_now - delay};
    }

    void poll(std::size_t proxy, std::size_t index, std::size_t delay)
    {
        if (m_isPartitioned[proxy][index])
            return;
        m_views[proxy] =
                m_views[proxy].withReport(report(index, std::chrono::milliseconds(delay % 3)));
    }

    void startRead(std::size_t proxy, std::size_t session, std::size_t choice)
    {
        const std::array<duration, 4> allowed = {0ms, 50ms, 1s, 10s};
        const read_request request{session_id(std::to_string(session)), floorOf(m_tokens[session]),
                                   allowed[choice % allowed.size()], m_now, m_now + readDeadline};
        m_reads.push_back({std::make_unique<read_attempt>(m_selector, read_policy{}, request),
                           request, session, proxy});
        auto &read = m_reads.back();
        perform(read, read.attempt->start(m_views[proxy], m_now));
    }

    /** Performs the next step of a read: the member evaluates the proof or the read, the answer
     * arrives, the timer expires, or the view changes.
     */
    void advanceRead(std::size_t index, std::size_t choice)
    {
        if (m_reads.empty())
            return;
        auto &read = m_reads[index % m_reads.size()];
        const auto &view = m_views[read.proxy];
        if (!read.isSent || choice % 5 == 0)
            perform(read, choice % 2 == 0 ? read.attempt->onTimer(view, m_now)
                                          : read.attempt->onViewChanged(view, m_now));
        else if (!read.proof)
            evaluateProof(read);
        else if (!read.answer)
            evaluateRead(read);
        else {
            read.isSent = false;
            perform(read, read.attempt->onAnswer(read.execution, *read.proof, view, m_now));
        }
        std::erase_if(m_reads, [](const running_read &each) { return each.attempt->isFinished(); });
    }

    void evaluateProof(running_read &read)
    {
        const auto &server = m_members[read.server];
        if (server.role == reported_role::fenced || m_isPartitioned[read.proxy][read.server])
            return fail(read, read_failure::notSent);
        read.proof = report(read.server, 0ms);
        read.proof->queriedAt = read.sentAt;
        read.connectionEpoch = server.connectionEpoch;
    }

    void evaluateRead(running_read &read)
    {
        if (read.connectionEpoch != m_members[read.server].connectionEpoch)
            return fail(read, read_failure::connectionLost);
        read.answer = m_members[read.server].log;
    }

    void fail(running_read &read, read_failure failure)
    {
        read.isSent = false;
        perform(read, read.attempt->onFailure(read.execution, failure, m_views[read.proxy], m_now));
    }

    void perform(running_read &read, const std::vector<read_action> &actions)
    {
        for (const auto &action : actions)
            std::visit(overloaded{[&](const run_read &run) { send(read, run); },
                                  [&](const deliver_answer &deliver) { check(read, deliver); },
                                  [&](const refuse_read &) { ++m_counts.refused; },
                                  [](const auto &) {}},
                       action);
    }

    void send(running_read &read, const run_read &run)
    {
        read.server = 0;
        while (serverOf(read.server) != run.server)
            ++read.server;
        read.execution = run.execution;
        read.proof.reset();
        read.answer.reset();
        read.isSent = true;
        read.sentAt = m_now;
    }

    void check(const running_read &read, const deliver_answer &deliver)
    {
        RC_ASSERT(deliver.execution == read.execution);
        const auto &request = read.request;
        const time_point since = request.floor.position
                                         ? request.arrivedAt - request.allowedStaleness
                                         : request.arrivedAt;
        for (const auto &write : m_acknowledged) {
            const bool isOwn = write.session == read.session && write.at <= read.request.arrivedAt;
            if (isOwn || write.at < since)
                RC_ASSERT(std::ranges::find(*read.answer, write.value, &log_entry::value)
                          != read.answer->end());
        }
        ++m_counts.delivered;
        m_counts.byReplica += read.proof->role == reported_role::replica ? 1 : 0;
        auto &token = m_tokens[read.session];
        token = m_codec.encode({database, *floorOf(token).after(deliver.proof, m_now).position});
    }

    replica_selector m_selector;
    session_position_codec m_codec;
    time_point m_now{1h};
    std::array<member, memberCount> m_members;
    std::array<routing_view, proxyCount> m_views;
    std::array<std::array<bool, memberCount>, proxyCount> m_isPartitioned{};
    std::array<std::string, sessionCount> m_tokens;
    std::vector<pending_write> m_pending;
    std::vector<acknowledged_write> m_acknowledged;
    std::vector<running_read> m_reads;
    std::vector<std::size_t> m_fenced;
    std::optional<term_number> m_electionTerm;
    term_number m_highestTerm = 1;
    std::size_t m_primary = 0;
    int m_lastValue = 0;
    read_counts m_counts;
};

using model_step = std::array<std::uint8_t, 4>;

TEST(routing_reads, answersIncludeOwnWritesAndAllWritesOlderThanTheStalenessBound)
{
    constexpr std::size_t stepCount = 20000;
    constexpr int minimumDelivered = 1000; // ten in each execution of the model
    read_counts total;
    const bool holds = rc::check([&total] {
        const auto steps = *rc::gen::noShrink(rc::gen::resize(
                rc::kNominalSize, rc::gen::container<std::vector<model_step>>(
                                          stepCount, rc::gen::container<model_step>(
                                                             rc::gen::arbitrary<std::uint8_t>()))));
        read_model model;
        for (const auto &[kind, a, b, c] : steps)
            model.step(kind, a, b, c);
        total.delivered += model.counts().delivered;
        total.byReplica += model.counts().byReplica;
        total.refused += model.counts().refused;
    });
    EXPECT_TRUE(holds);
    EXPECT_GT(total.byReplica, minimumDelivered);
    EXPECT_GT(total.delivered - total.byReplica, minimumDelivered);
    EXPECT_GT(total.refused, 0);
    RecordProperty("delivered", total.delivered);
    RecordProperty("by_replica", total.byReplica);
}

} // namespace
} // namespace sycamorespan
