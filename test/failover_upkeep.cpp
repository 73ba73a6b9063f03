#include "sycamorespan/Failover"

#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan {
namespace {

const group_configuration group{database_id("stock"),
                                {{server_id("s0"), "127.0.0.1:1", data_centre_id("a")},
                                 {server_id("s1"), "127.0.0.1:2", data_centre_id("b")}}};

group_view viewOf(term_number term)
{
    const auto primary = group.members[term % group.members.size()].server;
    return {group.database,     term, primary, group.members, log_position{term, 4},
            group_state::served};
}

/** \brief Simulated store with one row. The test loses some of its requests and answers. */
struct simulated_store
{
    std::optional<group_view> row;
    std::uint64_t revision = 0;
    std::vector<term_number> written;

    void write(const write_group_row &request)
    {
        if (request.expectedRevision != revision)
            return;
        row = request.view;
        ++revision;
        written.push_back(request.view.term);
    }
};

RC_GTEST_PROP(view_publisher, theRowsTermOnlyRisesAndReachesTheHighest, ())
{
    constexpr std::size_t publisherCount = 3;
    constexpr int steps = 300;
    constexpr int faultlessSteps = 200;
    std::mt19937_64 random(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    const view_publisher_settings settings{2s, 500ms, 2s};
    std::vector<view_publisher> publishers(publisherCount, {settings, [&] { return random(); }});
    simulated_store store;
    time_point now;
    term_number highest = 0;
    for (int step = 0; step < steps + faultlessSteps; ++step) {
        const bool isFaulty = step < steps;
        now += duration(random() % 500'000);
        for (auto &publisher : publishers) {
            auto actions = publisher.handle(time_passed{}, now);
            if (isFaulty && random() % 8 == 0)
                std::ranges::copy(publisher.publish(viewOf(++highest), now),
                                  std::back_inserter(actions));
            while (!actions.empty()) {
                const auto action = actions.back();
                actions.pop_back();
                const auto *write = std::get_if<write_group_row>(&action);
                const auto *read = std::get_if<read_group_row>(&action);
                if (!write && !read)
                    continue;
                const auto outcome = isFaulty ? random() % 4 : 3;
                if (write && outcome != 0)
                    store.write(*write);
                const auto request = write ? write->request : read->request;
                const auto reply = outcome >= 2 ? publisher.handle(
                                           row_read{request, store.revision, store.row}, now)
                                                : publisher.handle(row_failed{request}, now);
                std::ranges::copy(reply, std::back_inserter(actions));
            }
        }
    }
    RC_ASSERT(std::ranges::is_sorted(store.written, std::ranges::less_equal()));
    RC_ASSERT(highest == 0U || store.row == viewOf(highest));
}

RC_GTEST_PROP(session_cleanup, endsSessionsOfFailedProxiesInTimeAndNoOthers, ())
{
    constexpr int steps = 300;
    const session_cleanup_settings settings;
    session_cleanup cleanup(settings, group);
    std::mt19937_64 random(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    const auto number = [&random](std::uint64_t bound) { return random() % bound; };
    std::map<proxy_incarnation, time_point> lastLive;
    std::map<proxy_incarnation, std::set<server_id>> remaining;
    std::vector<proxy_incarnation> live;
    std::vector<int> boots(3, 0);
    time_point now;
    const auto answer = [&](const std::vector<call_member> &calls) {
        for (const auto &call : calls) {
            const auto &operation = std::get<end_sessions_operation>(call.operation);
            const proxy_incarnation ended{operation.instance, operation.boot};
            RC_ASSERT(std::ranges::find(live, ended) == live.end());
            RC_ASSERT(now - lastLive.at(ended) >= settings.absenceTimeout);
            const bool answers = number(3) != 0;
            call_returned result{call.id, call.server, call_failed{}};
            if (answers) {
                result.answer = sessions_ended{1};
                remaining[ended].erase(call.server);
            }
            cleanup.handle(result, now);
        }
    };
    const auto wait = [&](time_point end) {
        for (auto next = cleanup.nextDeadline(); next && *next <= end;
             next = cleanup.nextDeadline()) {
            now = std::max(now, *next);
            answer(cleanup.handle(time_passed{}, now));
        }
        now = end;
    };
    for (int step = 0; step < steps; ++step) {
        live.clear();
        for (std::size_t instance = 0; instance < boots.size(); ++instance) {
            boots[instance] += number(8) == 0 ? 1 : 0;
            if (number(4) != 0)
                live.push_back(
                        {instance_id(std::to_string(instance)), std::to_string(boots[instance])});
        }
        for (const auto &incarnation : live) {
            lastLive[incarnation] = now;
            remaining[incarnation] = {server_id("s0"), server_id("s1")};
        }
        answer(cleanup.setLive(live, now));
        wait(now + duration(number(6'000'000)));
        for (const auto &incarnation : live)
            lastLive[incarnation] = now;
    }
    live.clear();
    answer(cleanup.setLive(live, now));
    wait(now + settings.absenceTimeout + 60 * settings.retryInterval);
    for (const auto &[incarnation, servers] : remaining)
        RC_ASSERT(servers.empty());
}

TEST(supervisor, watchersAreInDifferentDataCentresAndInRendezvousOrder)
{
    constexpr std::size_t wanted = 3;
    std::vector<agent_instance> agents;
    std::vector<instance_id> instances;
    for (int number = 0; number < 6; ++number) {
        instances.emplace_back(std::to_string(number));
        agents.push_back({instances.back(), data_centre_id(std::to_string(number / 2))});
    }
    for (int number = 0; number < 100; ++number) {
        const database_id database(std::to_string(number));
        const auto order = rendezvousOrder(database.str(), instances);
        const auto watchers = watchersOf(database, agents, wanted);
        std::set<int> dataCentres;
        for (const auto &watcher : watchers)
            dataCentres.insert(std::stoi(watcher.str()) / 2);
        EXPECT_EQ(dataCentres.size(), wanted);
        EXPECT_EQ(watchers.front(), order.front());
        const auto place = [&](const instance_id &id) { return std::ranges::find(order, id); };
        EXPECT_TRUE(std::ranges::is_sorted(watchers, {}, place));
        EXPECT_EQ(watchersOf(database, agents, 10).size(), agents.size());
    }
}

/** \returns the token with which a new supervisor fences a group that has no primary. */
std::string tokenOfNewSupervisor(const random_source &random)
{
    supervisor machine({}, group, instance_id("i"), "boot", data_centre_id("a"), random);
    const time_point now;
    std::string token;
    for (const auto &statusQuery : machine.handle(instances_changed{}, now)) {
        const auto *call = std::get_if<call_member>(&statusQuery);
        if (!call)
            continue;
        const member_status fenced{1, member_role::fenced, {1, 4}, {}, {}};
        for (const auto &action :
             machine.handle(call_returned{call->id, call->server, fenced}, now)) {
            const auto *fence = std::get_if<call_member>(&action);
            token = fence ? std::get<fence_operation>(fence->operation).token : token;
        }
    }
    return token;
}

TEST(supervisor, tokensDifferWithinOneIncarnation)
{
    std::mt19937_64 random(1);
    const auto source = [&random] { return random(); };
    const auto first = tokenOfNewSupervisor(source);
    EXPECT_FALSE(first.empty());
    EXPECT_NE(first, tokenOfNewSupervisor(source));
}

TEST(group_json, viewsAndFollowersSurviveARoundTrip)
{
    EXPECT_EQ(groupViewFromJson(groupViewToJson(viewOf(7))), viewOf(7));
    const std::vector expected{follower_position{server_id("a2"), {3, 17}}};
    EXPECT_EQ(parseFollowers(R"([{"server":"a2","term":3,"offset":17}])"), expected);
}

RC_GTEST_PROP(group_json, malformedTextGivesATypedError, (const std::string &randomText))
{
    const auto text = groupViewToJson(viewOf(7));
    const auto prefixLength = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto suffixStart = *rc::gen::inRange<std::size_t>(prefixLength, text.size());
    for (const auto &malformed :
         {text.substr(0, prefixLength), randomText,
          text.substr(0, prefixLength) + randomText + text.substr(suffixStart)}) {
        try {
            groupViewFromJson(malformed);
            parseFollowers(malformed);
        } catch (const decode_error &) {
            continue;
        }
    }
    RC_ASSERT_THROWS_AS(parseFollowers(R"([{"server":1,"term":3,"offset":17}])"), decode_error);
    RC_ASSERT_THROWS_AS(parseFollowers(R"([{"server":"a","term":-3,"offset":17}])"), decode_error);
}

} // namespace
} // namespace sycamorespan
