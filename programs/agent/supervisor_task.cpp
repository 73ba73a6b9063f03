#include "programs/agent/supervisor_task.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorespan::agent {

namespace {

constexpr const char *rowPrefix = "group/";

std::string rowKey(const database_id &database)
{
    return rowPrefix + database.str();
}

group_configuration toGroupConfiguration(const database_id &database,
                                         const configuration::group_entry &entry)
{
    group_configuration group{database, {}};
    std::ranges::transform(
            entry.members, std::back_inserter(group.members),
            [](const configuration::member_entry &member) {
                return group_member{member.server, member.address, member.dataCentre};
            });
    return group;
}

messages::group_view_update toViewUpdate(const group_view &view)
{
    messages::group_view_update update{view.database, view.term, view.primary, {}, {}};
    std::ranges::transform(
            view.members, std::back_inserter(update.members), [](const group_member &member) {
                return messages::group_member{member.server, member.address, member.dataCentre};
            });
    if (view.base)
        update.base = messages::wire_position{view.base->term, view.base->offset};
    return update;
}

group_view toGroupView(const messages::group_view_update &update)
{
    group_view view{update.database, update.term, update.primary, {}, {}, group_state::served};
    std::ranges::transform(
            update.members, std::back_inserter(view.members),
            [](const messages::group_member &member) {
                return group_member{member.server, member.address, member.dataCentre};
            });
    if (update.base)
        view.base = log_position{update.base->term, update.base->offset};
    return view;
}

messages::primary_health toWireHealth(primary_health health)
{
    switch (health) {
    case primary_health::healthy:
        return messages::primary_health::healthy;
    case primary_health::deposed:
        return messages::primary_health::deposed;
    case primary_health::unresponsive:
        break;
    }
    return messages::primary_health::silent;
}

primary_health fromWireHealth(messages::primary_health health)
{
    switch (health) {
    case messages::primary_health::healthy:
        return primary_health::healthy;
    case messages::primary_health::deposed:
        return primary_health::deposed;
    case messages::primary_health::silent:
        break;
    }
    return primary_health::unresponsive;
}

std::string toText(supervisor_state state)
{
    switch (state) {
    case supervisor_state::standby:
        return "standby";
    case supervisor_state::watching:
        return "watching";
    case supervisor_state::waiting:
        return "waiting";
    case supervisor_state::changing:
        return "changing";
    }
    return "unknown";
}

std::string toText(const group_view &view)
{
    return view.primary.str() + " in term " + std::to_string(view.term);
}

std::optional<time_point> earliestDeadline(std::optional<time_point> left,
                                           std::optional<time_point> right)
{
    if (!left || !right)
        return left ? left : right;
    return std::min(*left, *right);
}

} // namespace

struct supervisor_task::supervised_group
{
    group_configuration configuration;
    supervisor failoverSupervisor;
    view_publisher publisher;
    session_cleanup cleanup;
    std::optional<group_view> view;
    loop_timer timer;
};

supervisor_task::supervisor_task(ev::loop_ref loop, const supervisor_settings &settings,
                                 identity self, const std::string &password,
                                 table_service_client &table, output_handlers outputs,
                                 random_source random)
    : m_loop(loop)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_table(table)
    , m_outputs(std::move(outputs))
    , m_random(std::move(random))
    , m_log("supervisor")
    , m_groupClient(loop, password, m_self.instance.str() + "/agent/" + m_self.incarnation)
{ }

supervisor_task::~supervisor_task() = default;

void supervisor_task::setGroups(const std::map<database_id, configuration::group_entry> &groups)
{
    std::erase_if(m_groups, [&](const auto &entry) {
        const auto configured = groups.find(entry.first);
        return configured == groups.end()
               || toGroupConfiguration(configured->first, configured->second)
                          != entry.second->configuration;
    });
    for (const auto &[database, entry] : groups) {
        if (m_groups.contains(database))
            continue;
        const auto configuration = toGroupConfiguration(database, entry);
        auto &group =
                *m_groups.emplace(database, std::unique_ptr<supervised_group>(new supervised_group{
                                                    configuration,
                                                    supervisor(m_settings, configuration,
                                                               m_self.instance, m_self.incarnation,
                                                               m_self.dataCentre, m_random),
                                                    view_publisher({}, m_random),
                                                    session_cleanup({}, configuration),
                                                    {},
                                                    loop_timer(m_loop,
                                                               [this, name = database] {
                                                                   handleTimeout(name);
                                                               })}))
                         .first->second;
        readRow(database, 0);
        perform(group, group.cleanup.setLive(m_proxies, monotonicNow()));
        handle(group, instances_changed{m_agents});
    }
}

void supervisor_task::setAgents(const std::vector<agent_instance> &live)
{
    m_agents = live;
    std::ranges::for_each(m_groups, [&](const auto &entry) {
        handle(*entry.second, instances_changed{m_agents});
    });
}

void supervisor_task::setProxies(const std::vector<proxy_incarnation> &live)
{
    m_proxies = live;
    std::ranges::for_each(m_groups, [&](const auto &entry) {
        perform(*entry.second, entry.second->cleanup.setLive(m_proxies, monotonicNow()));
        schedule(*entry.second);
    });
}

void supervisor_task::handleMessage(const messages::group_view_update &update)
{
    const auto group = m_groups.find(update.database);
    if (group == m_groups.end())
        return;
    adoptView(*group->second, toGroupView(update));
    handle(*group->second, view_learned{toGroupView(update)});
}

void supervisor_task::handleMessage(const messages::suspicion_report &report)
{
    const auto group = m_groups.find(report.database);
    if (group != m_groups.end())
        handle(*group->second, suspicion_reported{report.server, report.term});
}

void supervisor_task::handleMessage(const process_link &from,
                                    const messages::suspicion_query &query)
{
    const auto group = m_groups.find(query.database);
    if (group == m_groups.end())
        return;
    const auto *member = findMember(group->second->configuration.members, query.server);
    if (member == nullptr)
        return;
    const call_member probe{{},
                            query.server,
                            status_operation{},
                            true,
                            monotonicNow() + std::chrono::milliseconds(query.patienceMs)};
    m_groupClient.call(probe, *member, [from, query](const call_returned &returned) {
        const auto health = toWireHealth(healthOf(returned.answer, query.term));
        from.send(messages::suspicion_answer{query.database, query.round, health});
    });
}

void supervisor_task::handleMessage(const process_link &from,
                                    const messages::suspicion_answer &answer)
{
    const auto group = m_groups.find(answer.database);
    if (group != m_groups.end())
        handle(*group->second, observer_report{answer.round, from.remote().dataCentre,
                                               fromWireHealth(answer.health)});
}

std::vector<messages::group_view_update> supervisor_task::views() const
{
    std::vector<messages::group_view_update> result;
    for (const auto &[database, group] : m_groups) {
        if (group->view)
            result.push_back(toViewUpdate(*group->view));
    }
    return result;
}

nlohmann::json supervisor_task::state() const
{
    auto result = nlohmann::json::object();
    for (const auto &[database, group] : m_groups) {
        auto &entry = result[database.str()];
        entry["state"] = toText(group->failoverSupervisor.state());
        if (group->view) {
            entry["primary"] = group->view->primary.str();
            entry["term"] = group->view->term;
        }
    }
    return result;
}

void supervisor_task::handle(supervised_group &group, const supervisor_event &event)
{
    perform(group, group.failoverSupervisor.handle(event, monotonicNow()));
    schedule(group);
}

void supervisor_task::handleTimeout(const database_id &database)
{
    auto &group = *m_groups.at(database);
    const auto now = monotonicNow();
    perform(group, group.publisher.handle(time_passed{}, now));
    perform(group, group.cleanup.handle(time_passed{}, now));
    handle(group, time_passed{});
}

void supervisor_task::perform(supervised_group &group,
                              const std::vector<supervisor_action> &actions)
{
    const overloaded visitor{
            [&](const call_member &request) { callMember(group, request); },
            [&](const query_observers &observerQuery) {
                const auto timeout =
                        std::chrono::ceil<std::chrono::milliseconds>(observerQuery.timeout);
                m_outputs.queryObservers({group.configuration.database, observerQuery.round,
                                          observerQuery.server, observerQuery.term,
                                          static_cast<std::uint64_t>(timeout.count())});
            },
            [&](const publish_view &publish) {
                adoptView(group, publish.view);
                perform(group, group.publisher.publish(publish.view, monotonicNow()));
            },
            [&](const log_state &change) {
                m_log.write(log_level::info, "supervisor state changed",
                            {{"database", group.configuration.database.str()},
                             {"state", toText(change.state)},
                             {"reason", change.reason}});
            },
    };
    for (const auto &action : actions)
        std::visit(visitor, action);
}

void supervisor_task::perform(supervised_group &group,
                              const std::vector<view_publisher_action> &actions)
{
    const auto &database = group.configuration.database;
    const overloaded visitor{
            [&](const read_group_row &read) { readRow(database, read.request); },
            [&](const write_group_row &write) { writeRow(database, write); },
            [&](const view_learned &learned) {
                adoptView(group, learned.view);
                handle(group, learned);
            },
    };
    for (const auto &action : actions)
        std::visit(visitor, action);
}

void supervisor_task::perform(supervised_group &group, const std::vector<call_member> &calls)
{
    std::ranges::for_each(calls, [&](const call_member &request) { callMember(group, request); });
}

void supervisor_task::callMember(supervised_group &group, const call_member &request)
{
    const auto *member = findMember(group.configuration.members, request.server);
    if (member == nullptr)
        return;
    const auto database = group.configuration.database;
    m_groupClient.call(request, *member, [this, database](const call_returned &returned) {
        const auto found = m_groups.find(database);
        if (found == m_groups.end())
            return;
        perform(*found->second, found->second->cleanup.handle(returned, monotonicNow()));
        handle(*found->second, returned);
    });
}

void supervisor_task::adoptView(supervised_group &group, const group_view &view)
{
    if (group.view && !supersedes(view, *group.view))
        return;
    group.view = view;
    m_log.write(log_level::info, "primary view changed",
                {{"database", view.database.str()}, {"primary", toText(view)}});
    m_outputs.onViewChanged(toViewUpdate(view));
}

void supervisor_task::readRow(const database_id &database, std::uint64_t request)
{
    m_table.run({{}, {table_get{rowKey(database)}}, {}},
                [this, database, request](const auto &outcome) {
                    handleRow(database, request, outcome);
                });
}

void supervisor_task::writeRow(const database_id &database, const write_group_row &write)
{
    const auto key = rowKey(database);
    const table_transaction transaction{
            {{key, static_cast<table_revision>(write.expectedRevision)}},
            {table_put{key, groupViewToJson(write.view)}, table_get{key}},
            {table_get{key}}};
    m_table.run(transaction, [this, database, request = write.request](const auto &outcome) {
        handleRow(database, request, outcome);
    });
}

void supervisor_task::handleRow(const database_id &database, std::uint64_t request,
                                const table_service_client::outcome &outcome)
{
    const auto found = m_groups.find(database);
    if (found == m_groups.end())
        return;
    auto &group = *found->second;
    const auto *result = std::get_if<table_result>(&outcome);
    if (result == nullptr || result->results.empty()) {
        perform(group, group.publisher.handle(row_failed{request}, monotonicNow()));
        return schedule(group);
    }
    row_read row{request, 0, {}};
    if (!result->results.back().rows.empty()) {
        const auto &stored = result->results.back().rows.front();
        row.revision = static_cast<std::uint64_t>(stored.revision);
        try {
            row.view = groupViewFromJson(stored.value);
        } catch (const decode_error &failure) {
            m_log.write(log_level::error, "group row could not be decoded",
                        {{"key", stored.key}, {"reason", failure.what()}});
        }
    }
    if (row.view) {
        adoptView(group, *row.view);
        handle(group, view_learned{*row.view});
    }
    perform(group, group.publisher.handle(row, monotonicNow()));
    schedule(group);
}

void supervisor_task::schedule(supervised_group &group)
{
    const auto deadline = earliestDeadline(
            group.failoverSupervisor.nextDeadline(),
            earliestDeadline(group.publisher.nextDeadline(), group.cleanup.nextDeadline()));
    if (deadline)
        group.timer.startOnce(std::max(*deadline - monotonicNow(), duration::zero()));
    else
        group.timer.stop();
}

} // namespace sycamorespan::agent
