#ifndef SYCAMORESPAN_TEST_DISPATCH_HARNESS_H
#define SYCAMORESPAN_TEST_DISPATCH_HARNESS_H

#include "platform/caller_codec.h"

#include "sycamorespan/Dispatch"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace sycamorespan::test {

/** \brief A dispatcher with three members, whose answers the test provides. */
class dispatch_harness
{
public:
    static constexpr const char *callerKey = "key";
    const database_id database{"db"};
    const workspace_id workspace{"shop"};
    const server_id primary{"s1"};

    /** \brief Whether the instance knows the primary, or has just started. */
    enum class start_state { knowsPrimary, starting };

    explicit dispatch_harness(consistency reads = consistency::latest,
                              const dispatch_policy &policy = {},
                              start_state state = start_state::knowsPrimary)
        : subject(policy, data_centre_id("a"),
                  state == start_state::starting ? time_point(1h) : time_point())
    {
        directory.version = 1;
        service_route route;
        route.database = database;
        route.reads = reads;
        route.statementTimeout = 1s;
        route.latencyObjective = 400ms;
        if (reads != consistency::latest)
            route.maxStaleness = 1500ms;
        directory.routes.emplace("sales", route);
        directory.keyOwners.emplace(callerKey, workspace);
        directory.workspaces[workspace] = {100, 100};
        directory.databases[database] = {32, 1};
        directory.transactionIdleTimeout = 3s;
        applyDirectory();
        servers = {entry("s1", "a"), entry("s2", "b"), entry("s3", "c")};
        servers.front().role = replication_role::primary;
        collect(subject.setServers(servers, now));
        if (state == start_state::knowsPrimary)
            collect(subject.setPrimary(database, usable_primary{primary, 1, now + 1h}, now));
    }

    server_entry entry(const std::string &id, const std::string &dataCentre) const
    {
        server_entry result;
        result.id = server_id(id);
        result.database = database;
        result.address = "127.0.0.1:1";
        result.dataCentre = data_centre_id(dataCentre);
        result.slots = 5;
        return result;
    }

    /** \brief Brings the changed directory into force. */
    void applyDirectory()
    {
        collect(subject.setDirectory(std::make_shared<service_directory>(directory), now));
    }

    void connect(session_number session)
    {
        collect(subject.callerConnected(session, "sales", callerKey, now));
    }

    /** \brief Opens a transaction of session 1 and answers its first statement.
     * \returns the transaction's connection
     */
    connection_id openTransaction(const std::string &first = "READ x")
    {
        connect(1);
        request(1, "BEGIN");
        request(1, first);
        const auto connection = lastSent().connection;
        answer(connection, session_state::inTransaction);
        answer(connection, session_state::inTransaction);
        return connection;
    }

    void request(session_number session, const std::string &text)
    {
        const auto message = platform::decodeCallerLine("QUERY r" + std::to_string(++m_lastRequest)
                                                        + ' ' + text);
        collect(subject.requestArrived(session, std::get<caller_request>(message), now));
    }

    /** \brief Collects outputs, and by default admits every operation and opens every connection at
     * once.
     */
    void collect(dispatch_outputs added)
    {
        for (auto &output : added) {
            const auto *admission = std::get_if<dispatch_action::request_admission>(&output);
            const auto *opening = std::get_if<dispatch_action::open_member>(&output);
            const auto session = admission ? admission->session : 0;
            const auto connection = opening ? opening->connection : 0;
            outputs.push_back(std::move(output));
            if (admission && admitsAutomatically)
                collect(subject.admitted(session, now));
            if (opening && opensAutomatically)
                collect(subject.opened(connection, log_position{1, 10}, now));
        }
    }

    /** \returns all collected outputs of one type. */
    template<typename Action>
    std::vector<Action> outputsOf() const
    {
        std::vector<Action> result;
        for (const auto &output : outputs)
            if (const auto *action = std::get_if<Action>(&output))
                result.push_back(*action);
        return result;
    }

    /** \returns the last statements sent to a member. */
    dispatch_action::send_to_member lastSent() const
    {
        return outputsOf<dispatch_action::send_to_member>().back();
    }

    std::size_t sentCount() const { return outputsOf<dispatch_action::send_to_member>().size(); }

    statement_answer lastReply() const
    {
        return outputsOf<dispatch_action::reply_to_caller>().back().answer;
    }

    std::size_t replyCount() const { return outputsOf<dispatch_action::reply_to_caller>().size(); }

    /** \returns the server to which \a connection was opened. */
    server_id serverOf(connection_id connection) const
    {
        const auto opened = outputsOf<dispatch_action::open_member>();
        return std::ranges::find(opened, connection, &dispatch_action::open_member::connection)
                ->server;
    }

    void answer(connection_id connection, session_state state = session_state::idle,
                log_position position = {1, 10})
    {
        collect(subject.answered(connection, {{"row"}, completed{"receipt"}, state, position},
                                 now));
    }

    void refuse(connection_id connection, statement_error code,
                session_state state = session_state::idle)
    {
        collect(subject.answered(connection, {{}, rejected{code, ""}, state, log_position{1, 10}},
                                 now));
    }

    /** \brief Advances the time, with a tick every 20 ms. */
    void advance(duration time)
    {
        const auto end = now + time;
        while (now < end) {
            now += std::min<duration>(20ms, end - now);
            collect(subject.tick(now));
        }
    }

    static statement_error codeOf(const statement_answer &answer)
    {
        return std::get<rejected>(answer.result).code;
    }

    time_point now{1h};
    dispatcher subject;
    service_directory directory;
    std::vector<server_entry> servers;
    std::vector<dispatch_output> outputs;
    bool admitsAutomatically = true;
    bool opensAutomatically = true;

private:
    int m_lastRequest = 0;
};

} // namespace sycamorespan::test

#endif
