#include "sycamorespan/Configuration"
#include "sycamorespan/Core"

#include <deque>
#include <map>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::configuration {
namespace {

constexpr std::size_t operatorCount = 6;
constexpr std::size_t editsPerOperator = 5;
constexpr duration stepLength = 20ms;
constexpr duration editDeadline = 20s;
const std::string secret(64, '0');

configuration_document firstDocument()
{
    configuration_document document;
    document.version = 1;
    document.positionSecret = secret;
    document.recentEdits = {{1, "init"}};
    document.lists.groups[database_id("sales")].members = {
            {server_id("a"), "127.0.0.1:1", data_centre_id("regina"), 5, 30}};
    document.lists.plans["gold"] = {{database_id("sales")}, 0ms, 1, 1};
    document.lists.workspaces[workspace_id("shop")] = {"gold"};
    return document;
}

struct table_row
{
    std::uint64_t revision = 0;
    std::string value;
};

/** Model of the platform that logs every applied write in order. */
class platform_model
{
public:
    platform_model()
    {
        const auto document = firstDocument();
        const auto object = objectName(1, "init");
        m_objects[object] = serializeDocument(document);
        compareAndSet(0, serializeRow({1, object, "init"}));
    }

    bool compareAndSet(std::uint64_t revision, const std::string &value)
    {
        if (m_row.revision != revision)
            return false;
        m_row = {m_row.revision + 3, value};
        m_log.push_back(parseRow(value));
        return true;
    }

    void store(const std::string &object, const std::string &body) { m_objects[object] = body; }

    const table_row &row() const { return m_row; }
    const std::string &object(const std::string &name) const { return m_objects.at(name); }
    const std::vector<configuration_row> &log() const { return m_log; }

private:
    table_row m_row;
    std::map<std::string, std::string> m_objects;
    std::vector<configuration_row> m_log;
};

enum class delivery { answered, lostRequest, lostAnswer, delayed };

struct simulated_edit
{
    std::string request;
    bool isGrant;
    double burst;
    configuration_editor editor;
    edit_action action;
    time_point wakeAt;

    bool isOver() const
    {
        return action.index() >= 5;
    } // the results follow the requests in the variant
};

/** Simulates concurrent edits on a platform that loses and delays requests and answers. */
class editing_simulation
{
public:
    explicit editing_simulation(std::uint64_t seed)
        : m_random(seed)
    { }

    void run()
    {
        while (m_started < operatorCount * editsPerOperator || !m_running.empty()) {
            m_now += stepLength;
            if (m_running.size() < operatorCount && m_started < operatorCount * editsPerOperator)
                startEdit();
            applyDelayedWrites();
            advance(m_running[pick(m_running.size())]);
            finishEdits();
        }
        while (!m_delayedWrites.empty())
            applyDelayedWrites();
    }

    void check() const
    {
        std::map<std::string, int> timesAccepted;
        for (std::size_t index = 0; index < m_platform.log().size(); ++index) {
            RC_ASSERT(m_platform.log()[index].version == index + 1);
            ++timesAccepted[m_platform.log()[index].request];
        }
        for (const auto &edit : m_finished)
            checkResult(edit, timesAccepted[edit.request]);
        checkFinalDocument();
    }

    std::map<std::size_t, int> resultCounts() const
    {
        std::map<std::size_t, int> result;
        for (const auto &edit : m_finished)
            ++result[edit.action.index()];
        return result;
    }

private:
    std::size_t pick(std::size_t count) { return m_random() % count; }

    delivery randomDelivery()
    {
        constexpr std::size_t answeredShare = 7; // out of 10
        const auto drawn = pick(10);
        if (drawn < answeredShare)
            return delivery::answered;
        return static_cast<delivery>(drawn - answeredShare + 1);
    }

    void startEdit()
    {
        const auto request = "edit-" + std::to_string(m_started++);
        const bool isGrant = pick(2) == 0;
        const double burst = 1 + static_cast<double>(m_started);
        edit_request edit{request, {}, std::nullopt};
        if (isGrant) {
            edit.change = [request](const configuration_document &current) {
                const key_entry entry{request, std::string(32, 'a'), std::string(64, 'b')};
                return withKeyGranted(current, workspace_id("shop"), entry);
            };
        } else {
            edit.expectedVersion = m_platform.log().back().version - pick(2);
            edit.change = [burst](configuration_document current) {
                current.lists.plans["gold"].burst = burst;
                return current;
            };
        }
        configuration_editor editor(std::move(edit), m_now + editDeadline);
        auto action = editor.start(m_now);
        m_running.push_back({request, isGrant, burst, std::move(editor), std::move(action), m_now});
    }

    void applyDelayedWrites()
    {
        if (m_delayedWrites.empty() || pick(4) != 0)
            return;
        const auto [revision, value] = m_delayedWrites.front();
        m_delayedWrites.pop_front();
        m_platform.compareAndSet(revision, value);
    }

    void advance(simulated_edit &edit)
    {
        if (edit.wakeAt > m_now)
            return;
        const auto drawn = randomDelivery();
        edit.action = std::visit(
                overloaded{
                        [&](const fetch_row &) { return answerRow(edit, drawn); },
                        [&](const fetch_body &fetch) -> edit_action {
                            if (drawn != delivery::answered)
                                return edit.editor.bodyFetched(m_now, std::nullopt);
                            return edit.editor.bodyFetched(m_now, m_platform.object(fetch.object));
                        },
                        [&](const store_body &body) { return answerStore(edit, body, drawn); },
                        [&](const compare_and_set_row &write) {
                            return answerWrite(edit, write, drawn);
                        },
                        [&](const wait_before_retry &) { return edit.editor.tick(m_now); },
                        [](const auto &result) -> edit_action { return result; },
                },
                edit.action);
        if (const auto *wait = std::get_if<wait_before_retry>(&edit.action))
            edit.wakeAt = m_now + wait->delay;
    }

    edit_action answerRow(simulated_edit &edit, delivery drawn)
    {
        if (drawn != delivery::answered)
            return edit.editor.rowFetched(m_now, store_result::noAnswer, std::nullopt);
        const auto &row = m_platform.row();
        return edit.editor.rowFetched(m_now, store_result::done,
                                      fetched_row{row.revision, parseRow(row.value)});
    }

    edit_action answerStore(simulated_edit &edit, const store_body &body, delivery drawn)
    {
        if (drawn == delivery::answered || drawn == delivery::lostAnswer)
            m_platform.store(body.object, body.body);
        const bool isAnswered = drawn == delivery::answered;
        return edit.editor.bodyStored(m_now,
                                      isAnswered ? store_result::done : store_result::noAnswer);
    }

    edit_action answerWrite(simulated_edit &edit, const compare_and_set_row &write, delivery drawn)
    {
        if (drawn == delivery::delayed)
            m_delayedWrites.emplace_back(write.revision, write.value);
        const bool isApplied = (drawn == delivery::answered || drawn == delivery::lostAnswer)
                               && m_platform.compareAndSet(write.revision, write.value);
        if (drawn != delivery::answered)
            return edit.editor.rowCompared(m_now, store_result::noAnswer);
        return edit.editor.rowCompared(m_now,
                                       isApplied ? store_result::done : store_result::refused);
    }

    void finishEdits()
    {
        const auto over = std::stable_partition(m_running.begin(), m_running.end(),
                                                [](const auto &edit) { return !edit.isOver(); });
        std::move(over, m_running.end(), std::back_inserter(m_finished));
        m_running.erase(over, m_running.end());
    }

    void checkResult(const simulated_edit &edit, int timesAccepted) const
    {
        if (const auto *accepted = std::get_if<edit_accepted>(&edit.action)) {
            RC_ASSERT(timesAccepted == 1);
            RC_ASSERT(m_platform.log()[accepted->version - 1].request == edit.request);
        } else if (std::holds_alternative<edit_outcome_unknown>(edit.action)) {
            RC_ASSERT(timesAccepted <= 1);
        } else {
            RC_ASSERT(timesAccepted == 0);
        }
        if (const auto *conflict = std::get_if<edit_conflict>(&edit.action)) {
            RC_ASSERT(conflict->current > conflict->expected);
            RC_ASSERT(!conflict->changes.empty());
        }
    }

    void checkFinalDocument() const
    {
        auto expected = firstDocument();
        for (const auto &row : m_platform.log()) {
            const auto edit = std::ranges::find(m_finished, row.request, &simulated_edit::request);
            if (edit == m_finished.end())
                continue; // the initial version
            if (edit->isGrant)
                expected.keys[workspace_id("shop")].push_back(
                        {edit->request, std::string(32, 'a'), std::string(64, 'b')});
            else
                expected.lists.plans["gold"].burst = edit->burst;
        }
        const auto actual = parseDocument(m_platform.object(m_platform.log().back().object));
        RC_ASSERT(actual.lists == expected.lists);
        RC_ASSERT(actual.keys == expected.keys);
        RC_ASSERT(actual.version == m_platform.log().size());
    }

    std::mt19937_64 m_random;
    time_point m_now;
    platform_model m_platform;
    std::size_t m_started = 0;
    std::vector<simulated_edit> m_running;
    std::vector<simulated_edit> m_finished;
    std::deque<std::pair<std::uint64_t, std::string>> m_delayedWrites;
};

RC_GTEST_PROP(configuration_editor, concurrentEditsOnAnUnreliableStoreAreAppliedOnceOrReported, ())
{
    editing_simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    simulation.run();
    simulation.check();
}

TEST(configuration_editor, theSimulationReachesAcceptedAndConflictingEdits)
{
    constexpr std::uint64_t seeds = 20;
    std::map<std::size_t, int> counts;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        editing_simulation simulation(seed);
        simulation.run();
        for (const auto &[result, count] : simulation.resultCounts())
            counts[result] += count;
    }
    EXPECT_GT(counts[edit_action(edit_accepted()).index()], 0);
    EXPECT_GT(counts[edit_action(edit_conflict()).index()], 0);
}

configuration_editor burstEdit(const std::string &request, time_point deadline)
{
    return configuration_editor({request,
                                 [](configuration_document current) {
                                     current.lists.plans["gold"].burst = 7;
                                     return current;
                                 },
                                 configuration_version(1)},
                                deadline);
}

/** Advances an edit until its write is sent. */
compare_and_set_row sendWrite(configuration_editor &editor, const platform_model &platform)
{
    editor.start({});
    const auto row = fetched_row{platform.row().revision, parseRow(platform.row().value)};
    editor.rowFetched({}, store_result::done, row);
    editor.bodyFetched({}, platform.object(row.row.object));
    return std::get<compare_and_set_row>(editor.bodyStored({}, store_result::done));
}

TEST(configuration_editor, aConflictReportsTheChangesOfTheOtherEdit)
{
    platform_model platform;
    auto second = burstEdit("loser", time_point(1s));
    sendWrite(second, platform);
    auto document = firstDocument();
    document.version = 2;
    document.recentEdits.push_back({2, "winner"});
    document.lists.workspaces[workspace_id("desk")] = {"gold"};
    const auto object = objectName(2, "winner");
    platform.store(object, serializeDocument(document));
    platform.compareAndSet(platform.row().revision, serializeRow({2, object, "winner"}));

    second.rowCompared({}, store_result::refused);
    const fetched_row row{platform.row().revision, parseRow(platform.row().value)};
    second.rowFetched({}, store_result::done, row);
    const auto fetch = std::get<fetch_body>(second.bodyFetched({}, platform.object(object)));
    const auto result = second.bodyFetched({}, platform.object(fetch.object));
    const edit_conflict expected{1, 2, {{"/lists/workspaces/desk/plan", "", "\"gold\""}}};
    EXPECT_EQ(std::get<edit_conflict>(result), expected);
}

TEST(configuration_editor, aDeadlineBeforeTheWriteMeansNotRunAndAfterItUnknown)
{
    platform_model platform;
    auto early = burstEdit("early", time_point(1s));
    early.start({});
    EXPECT_TRUE(std::holds_alternative<edit_not_run>(
            early.rowFetched(time_point(2s), store_result::noAnswer, std::nullopt)));
    auto delayed = burstEdit("late", time_point(1s));
    sendWrite(delayed, platform);
    EXPECT_EQ(std::get<edit_outcome_unknown>(
                      delayed.rowCompared(time_point(2s), store_result::noAnswer)),
              edit_outcome_unknown{"late"});
}

TEST(configuration_editor, anInvalidOrEmptyEditIsRefused)
{
    platform_model platform;
    const auto resultOf = [&platform](auto change) {
        configuration_editor editor({"edit", change, std::nullopt}, time_point(1s));
        editor.start({});
        const fetched_row row{platform.row().revision, parseRow(platform.row().value)};
        editor.rowFetched({}, store_result::done, row);
        return std::get<edit_refused>(editor.bodyFetched({}, platform.object(row.row.object)))
                .reason;
    };
    EXPECT_EQ(resultOf([](const configuration_document &current) { return current; }),
              "the edit changes nothing");
    EXPECT_EQ(resultOf([](configuration_document current) {
                  current.lists.plans.clear();
                  return current;
              }),
              "lists.workspaces.shop.plan: unknown plan: gold");
}

} // namespace
} // namespace sycamorespan::configuration
