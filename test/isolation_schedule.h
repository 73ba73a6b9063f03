#ifndef SYCAMORESPAN_TEST_ISOLATION_SCHEDULE_H
#define SYCAMORESPAN_TEST_ISOLATION_SCHEDULE_H

#include "dispatch_harness.h"
#include "strict_member.h"

#include "platform/member_codec.h"

#include <deque>
#include <functional>
#include <random>
#include <set>

#include <rapidcheck.h>

namespace sycamorespan::test {

/** \brief Probabilities of the faults of a schedule. */
struct fault_rates
{
    double busySetup = 0; ///< SET, PREPARE, DEALLOC, DISCARD or BEGIN refused with BUSY
    double failedSetup = 0; ///< the same answered with FAILED, at times after it took effect
    double busyStatement = 0;
    double lostAnswer = 0; ///< the connection delivers nothing any more
    double closing = 0; ///< the member closes the connection
    double slowness = 0; ///< a member does not act when it might
    double numberedShapes = 0; ///< a shape is one of many, so that connections run out of names
    double leaving = 0; ///< a caller closes its session instead of sending a statement
};

/** \brief Legal texts of callers, from the whole range of the protocol. */
class caller_texts
{
public:
    explicit caller_texts(std::mt19937_64 &random)
        : m_random(random)
    { }

    std::size_t below(std::size_t bound) { return m_random() % bound; }
    bool happens(double probability)
    {
        return std::uniform_real_distribution<>()(m_random) < probability;
    }

    /** \returns a field that isn't the last one of its line. */
    std::string field(std::size_t maximumBytes)
    {
        static const std::vector<std::string> usual{"s1", "s2",  "a",     "READ", "WRITE",
                                                    "-",  "wq1", "AFTER", "\xff", "\t"};
        if (below(3) > 0)
            return usual.at(below(usual.size()));
        std::string result = bytes(1 + below(maximumBytes));
        std::ranges::replace(result, ' ', '_');
        return result;
    }

    /** \returns the last field of a line, which isn't empty. */
    std::string lastField()
    {
        static const std::vector<std::string> usual{"q14",
                                                    "q14 WRITE in",
                                                    "q14 READ in",
                                                    "q23 WRITE jy",
                                                    "q27 READ bmto",
                                                    "q27 WRITE bmto",
                                                    "q16 is  lqj",
                                                    " leading",
                                                    "trailing ",
                                                    "two  blanks",
                                                    "q14 ",
                                                    "READ",
                                                    "AFTER 1.2 READ x",
                                                    "\x80\x01\xfe",
                                                    " "};
        return below(3) > 0 ? usual.at(below(usual.size())) : bytes(1 + below(40));
    }

    /** \returns item and data of a statement. */
    std::string arguments()
    {
        const std::string item = "i" + std::to_string(below(9));
        return item + ' ' + lastField();
    }

private:
    std::string bytes(std::size_t count)
    {
        std::string result(count, ' ');
        std::ranges::generate(result, [&] {
            const auto byte = static_cast<char>(below(256));
            return byte == '\0' || byte == '\r' || byte == '\n' ? ' ' : byte;
        });
        return result;
    }

    std::mt19937_64 &m_random;
};

/** \brief One caller, with what has been acknowledged to it. */
struct caller_model
{
    struct prepared
    {
        std::string access;
        std::string shape;
    };

    session_state state = session_state::idle;
    bool isReadOnly = false;
    std::uint64_t transaction = 0; ///< 0: none is open
    std::size_t statementsOfTransaction = 0;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared> statements;
    std::optional<std::string> waitingFor; ///< id of the request without an answer
    std::function<void(caller_model &)> onSuccess;
};

/** \brief What a request may run as. */
struct expected_run
{
    std::string word;
    std::string arguments;
    std::optional<std::string> shape;
    std::map<std::string, std::string> values;
    std::uint64_t transaction = 0;
    bool isFirstOfTransaction = false;
};

/** \brief Callers, a dispatcher and strict members, whose messages are delivered in a random order.
 */
class isolation_schedule
{
public:
    static constexpr std::size_t callerCount = 6;

    isolation_schedule(std::uint64_t seed, const fault_rates &faults)
        : m_random(seed)
        , m_text(m_random)
        , m_faults(faults)
        , m_harness(seed % 2 == 0 ? consistency::latest : consistency::boundedStaleness)
    {
        for (session_number number = 1; number <= callerCount; ++number)
            connect(number);
    }

    void run(std::size_t steps)
    {
        for (std::size_t step = 0; step < steps; ++step) {
            m_harness.subject.addFloor(m_harness.database, {{1, 5}, m_harness.now - 1s},
                                       m_harness.now);
            switch (m_text.below(8)) {
            case 0:
            case 1:
            case 2:
                callerActs();
                break;
            case 3:
                m_harness.advance(1ms * (1 + static_cast<int>(m_text.below(20))));
                break;
            default:
                memberActs();
            }
            handleOutputs();
        }
        m_faults = {};
        for (int round = 0; round < 400; ++round) {
            m_harness.advance(20ms);
            handleOutputs();
            while (deliverOne())
                handleOutputs();
        }
        for (const auto &[number, each] : m_callers)
            if (each.waitingFor)
                findings.push_back("no answer to " + *each.waitingFor);
    }

    std::vector<std::string> findings;
    std::size_t completed = 0; ///< statements that members ran
    std::size_t rejectedCount = 0;
    std::size_t deallocated = 0; ///< lines with DEALLOC that members were sent
    std::size_t malformedCount = 0; ///< lines that members refused as malformed
    std::map<std::string, std::size_t> outcomes;

private:
    struct link
    {
        strict_member_connection member;
        std::deque<std::string> lines; ///< sent, not handled by the member
        platform::answer_reader answers;
        bool isLost = false; ///< delivers nothing any more
        std::uint64_t transaction = 0; ///< of the caller whose statements it runs
        std::size_t checkedRuns = 0;
    };

    void connect(session_number number)
    {
        m_callers[number] = {};
        m_harness.connect(number);
    }

    std::string expect(caller_model &from, const std::string &word, const std::string &arguments,
                       std::optional<std::string> shape)
    {
        auto id = "r" + std::to_string(++m_lastRequest);
        m_expected[id] = {word,
                          arguments,
                          std::move(shape),
                          from.values,
                          from.transaction,
                          from.transaction != 0 && from.statementsOfTransaction == 0};
        if (from.transaction != 0)
            ++from.statementsOfTransaction;
        return id;
    }

    void send(session_number number, const std::string &id, const std::string &text)
    {
        m_callers.at(number).waitingFor = id;
        const auto message = platform::decodeCallerLine("QUERY " + id + ' ' + text);
        m_harness.collect(m_harness.subject.requestArrived(
                number, std::get<caller_request>(message), m_harness.now));
    }

    /** Sends a statement that the system answers itself. */
    void sendLocal(session_number number, const std::string &text,
                   std::function<void(caller_model &)> onSuccess)
    {
        m_callers.at(number).onSuccess = std::move(onSuccess);
        send(number, "r" + std::to_string(++m_lastRequest), text);
    }

    void callerActs()
    {
        const session_number number = 1 + m_text.below(callerCount);
        auto &from = m_callers.at(number);
        if (m_text.happens(m_faults.leaving)) {
            m_harness.collect(m_harness.subject.callerDisconnected(number, m_harness.now));
            const session_number fresh = number; // numbers of sessions that left may be used again
            if (!m_harness.subject.hasSession(fresh))
                connect(fresh);
            else
                m_leaving.insert(fresh);
            return;
        }
        if (from.waitingFor || m_leaving.contains(number))
            return;
        if (from.state == session_state::failedTransaction)
            return sendLocal(number, "ROLLBACK", endTransaction);
        const bool inTransaction = from.state == session_state::inTransaction;
        auto choice = m_text.below(inTransaction ? 10 : 8);
        if (choice == 0 && m_text.happens(m_faults.numberedShapes))
            choice = 1; // values of other sessions are discarded, and all names with them
        switch (choice) {
        case 0: {
            const auto name = m_text.field(30);
            const auto value = m_text.lastField();
            return sendLocal(number, "SET " + name + ' ' + value,
                             [=](caller_model &to) { to.values[name] = value; });
        }
        case 1:
        case 2: {
            const auto name = m_text.field(m_text.below(20) == 0 ? 1000 : 30);
            const std::string access = m_text.below(2) == 0 ? "READ" : "WRITE";
            const bool isNumbered = m_text.happens(m_faults.numberedShapes);
            const auto shape = m_text.lastField()
                               + (isNumbered ? std::to_string(m_text.below(200)) : std::string());
            return sendLocal(number, "PREPARE " + name + ' ' + access + ' ' + shape,
                             [=](caller_model &to) {
                                 to.statements[name] = {access, shape};
                             });
        }
        case 3:
            if (!inTransaction) {
                const bool readOnly = m_text.below(3) == 0;
                const auto transaction = ++m_lastTransaction;
                return sendLocal(number, readOnly ? "BEGIN READ" : "BEGIN", [=](caller_model &to) {
                    to.transaction = transaction;
                    to.statementsOfTransaction = 0;
                    to.isReadOnly = readOnly;
                });
            }
            [[fallthrough]];
        case 4:
        case 5:
            if (!from.statements.empty()) {
                auto chosen = from.statements.begin();
                std::advance(chosen,
                             static_cast<std::ptrdiff_t>(m_text.below(from.statements.size())));
                if (from.isReadOnly && inTransaction && chosen->second.access == "WRITE")
                    return;
                const auto arguments = m_text.arguments();
                const auto name = chosen->first;
                return send(number,
                            expect(from, chosen->second.access, arguments, chosen->second.shape),
                            "EXECUTE " + name + ' ' + arguments);
            }
            [[fallthrough]];
        case 6:
        case 7: {
            const bool writes = m_text.below(2) == 0 && !(from.isReadOnly && inTransaction);
            const std::string word = writes ? "WRITE" : "READ";
            const auto arguments = m_text.arguments();
            return send(number, expect(from, word, arguments, std::nullopt),
                        word + ' ' + arguments);
        }
        case 8:
            return sendLocal(number, "ROLLBACK", endTransaction);
        default:
            from.onSuccess = endTransaction;
            return send(number, expect(from, "COMMIT", {}, std::nullopt), "COMMIT");
        }
    }

    static void endTransaction(caller_model &of)
    {
        of.transaction = 0;
        of.isReadOnly = false;
    }

    std::string refusalOf(const std::string &line)
    {
        const bool isSetup = line.starts_with("QUERY - ") && !line.starts_with("QUERY - ROLLBACK");
        if (m_text.happens(isSetup ? m_faults.busySetup : m_faults.busyStatement))
            return "BUSY";
        return isSetup && m_text.happens(m_faults.failedSetup) ? "FAILED" : "";
    }

    /** A random member handles the next line of a connection, or a fault occurs there. */
    void memberActs()
    {
        if (m_links.empty() || m_text.happens(m_faults.slowness))
            return;
        auto chosen = m_links.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(m_text.below(m_links.size())));
        const auto connection = chosen->first;
        auto &each = chosen->second;
        if (m_text.happens(m_faults.lostAnswer))
            each.isLost = true;
        if (m_text.happens(m_faults.closing)) {
            check(connection, each);
            m_links.erase(chosen);
            m_harness.collect(m_harness.subject.closed(connection, std::nullopt, m_harness.now));
            return;
        }
        deliver(connection);
    }

    /** \returns whether there was a line to deliver. */
    bool deliverOne()
    {
        const auto waiting = std::ranges::find_if(
                m_links, [](const auto &each) { return !each.second.lines.empty(); });
        return waiting != m_links.end() && deliver(waiting->first);
    }

    bool deliver(connection_id connection)
    {
        auto &each = m_links.at(connection);
        if (each.lines.empty())
            return false;
        const auto line = std::move(each.lines.front());
        each.lines.pop_front();
        deallocated += line.starts_with("QUERY - DEALLOC ") ? 1 : 0;
        const auto refusal = refusalOf(line);
        if (refusal == "FAILED" && m_text.below(2) == 0)
            each.member.handle(line, ""); // a statement that failed may have taken effect
        const auto answer = each.member.handle(line, refusal);
        check(connection, each);
        if (each.isLost)
            return true;
        each.answers.append(answer);
        while (const auto decoded = each.answers.next()) {
            m_harness.collect(m_harness.subject.answered(connection, *decoded, m_harness.now));
            if (!m_links.contains(connection))
                break;
        }
        return true;
    }

    /** Compares what the member ran with what callers sent. */
    void check(connection_id connection, link &of)
    {
        std::ranges::copy(of.member.violations, std::back_inserter(findings));
        of.member.violations.clear();
        malformedCount += of.member.malformed.size();
        of.member.malformed.clear();
        for (; of.checkedRuns < of.member.runs.size(); ++of.checkedRuns)
            checkRun(connection, of, of.member.runs[of.checkedRuns]);
    }

    void checkRun(connection_id connection, link &of, const member_run &run)
    {
        ++completed;
        const auto found = m_expected.find(run.id);
        if (found == m_expected.end()) {
            findings.push_back("unasked: " + run.id + " " + run.word);
            return;
        }
        const auto &sent = found->second;
        const auto report = [&](const std::string &rule) {
            findings.push_back(rule + ": " + run.id + " sent " + sent.word + " <"
                               + sent.shape.value_or("") + "> <" + sent.arguments + ">, ran "
                               + run.word + " <" + run.shape.value_or("") + "> <" + run.arguments
                               + ">");
        };
        if (run.word != sent.word || run.shape != sent.shape)
            report("another shape");
        if (run.arguments != sent.arguments)
            report("other arguments");
        if (run.values != sent.values)
            report("other values");
        if (run.isInTransaction != (sent.transaction != 0))
            report("transaction");
        if (run.word == "WRITE" && !run.isInTransaction && !m_written.insert(run.id).second)
            report("twice");
        if (run.word == "WRITE" && run.isInTransaction)
            m_writtenTransactions.insert(sent.transaction);
        const bool keepsWrite =
                run.isInTransaction
                        ? run.word == "COMMIT" && m_writtenTransactions.contains(sent.transaction)
                        : run.word == "WRITE";
        if (keepsWrite) {
            m_kept.insert(run.id);
            if (m_promised.contains(run.id))
                report("kept in spite of a promise");
        }
        if (!run.isInTransaction)
            return;
        const auto owner = m_connectionOf.find(sent.transaction);
        const bool continues = owner != m_connectionOf.end() && owner->second == connection
                               && of.transaction == sent.transaction;
        if (!continues && !sent.isFirstOfTransaction)
            report("another connection");
        m_connectionOf[sent.transaction] = connection;
        of.transaction = sent.transaction;
    }

    void handleOutputs()
    {
        const auto outputs = std::exchange(m_harness.outputs, {});
        std::ranges::for_each(outputs, [&](const dispatch_output &output) {
            if (const auto *open = std::get_if<dispatch_action::open_member>(&output)) {
                m_links.emplace(open->connection,
                                link{strict_member_connection(open->server == m_harness.primary),
                                     {},
                                     {},
                                     false,
                                     0,
                                     0});
            } else if (const auto *closing = std::get_if<dispatch_action::close_member>(&output)) {
                closeLink(closing->connection);
            } else if (const auto *sent = std::get_if<dispatch_action::send_to_member>(&output)) {
                const auto to = m_links.find(sent->connection);
                std::ranges::for_each(sent->statements, [&](const outgoing_statement &each) {
                    if (to != m_links.end())
                        to->second.lines.push_back(platform::encodeStatement(each));
                });
            } else if (const auto *reply = std::get_if<dispatch_action::reply_to_caller>(&output)) {
                onReply(*reply);
            }
        });
        const auto leaving = std::exchange(m_leaving, {});
        std::ranges::for_each(leaving, [&](session_number number) {
            if (m_harness.subject.hasSession(number))
                m_leaving.insert(number);
            else
                connect(number);
        });
        if (!m_harness.outputs.empty())
            handleOutputs();
    }

    /** Lines that were on their way may still reach the member. */
    void closeLink(connection_id connection)
    {
        const auto found = m_links.find(connection);
        if (found == m_links.end())
            return;
        auto &each = found->second;
        for (auto arriving = m_text.below(each.lines.size() + 1); arriving > 0; --arriving) {
            each.member.handle(each.lines.front(), refusalOf(each.lines.front()));
            each.lines.pop_front();
        }
        check(connection, each);
        m_links.erase(found);
    }

    static bool promisesThatNothingIsKept(statement_error code)
    {
        return code == statement_error::busy || code == statement_error::aborted
               || code == statement_error::lagging || code == statement_error::readOnly
               || code == statement_error::moved || code == statement_error::connectionLimit;
    }

    void onReply(const dispatch_action::reply_to_caller &reply)
    {
        auto &to = m_callers.at(reply.session);
        if (!to.waitingFor || m_leaving.contains(reply.session))
            return;
        const auto id = *std::exchange(to.waitingFor, std::nullopt);
        const auto action = std::exchange(to.onSuccess, nullptr);
        to.state = reply.answer.state;
        if (const auto *error = std::get_if<rejected>(&reply.answer.result)) {
            ++rejectedCount;
            ++outcomes[std::string(nameOf(error->code))];
            if (promisesThatNothingIsKept(error->code)) {
                m_promised.insert(id);
                if (m_kept.contains(id))
                    findings.push_back("kept in spite of a promise: " + id);
            }
        } else {
            const auto receipt = std::get<completed_answer>(reply.answer.result).receipt;
            if (receipt != "-" && receipt != "receipt-" + id)
                findings.push_back("mixed: " + id + " got " + receipt);
            if (action)
                action(to);
        }
        if (to.state == session_state::idle)
            endTransaction(to);
    }

    using completed_answer = sycamorespan::completed;

    std::mt19937_64 m_random;
    caller_texts m_text;
    fault_rates m_faults;
    dispatch_harness m_harness;
    std::map<session_number, caller_model> m_callers;
    std::set<session_number> m_leaving;
    std::map<connection_id, link> m_links;
    std::map<std::string, expected_run> m_expected;
    std::set<std::string> m_written;
    std::set<std::uint64_t> m_writtenTransactions;
    std::set<std::string> m_kept; ///< writes and commits that took effect
    std::set<std::string> m_promised; ///< requests of which their caller was told nothing is kept
    std::map<std::uint64_t, connection_id> m_connectionOf;
    std::uint64_t m_lastTransaction = 0;
    int m_lastRequest = 0;
};

/** \brief Plays random schedules, whose seeds follow from RC_PARAMS.
 * \returns whether \a holds succeeds on each of them
 */
inline bool holdsOnEverySchedule(const fault_rates &faults,
                                 const std::function<void(isolation_schedule &)> &holds,
                                 std::size_t steps = 10'000)
{
    return rc::check([&] {
        const auto seed = *rc::gen::noShrink(
                rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        isolation_schedule played(seed, faults);
        played.run(steps);
        RC_ASSERT(played.completed > 100U);
        holds(played);
    });
}

/** \brief Fails if a member ran anything but what its caller had sent. */
inline void runsAsSent(const isolation_schedule &played)
{
    if (played.findings.empty())
        return;
    std::string text = std::to_string(played.findings.size()) + " findings";
    std::for_each_n(played.findings.begin(), std::min<std::size_t>(played.findings.size(), 5),
                    [&](const std::string &each) { text += "\n  " + each.substr(0, 200); });
    RC_FAIL(text);
}

} // namespace sycamorespan::test

#endif
