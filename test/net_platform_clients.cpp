#include "sycamorespan/Core"
#include "sycamorespan/Net"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cerrno>
#include <optional>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>

namespace sycamorespan {
namespace {

constexpr duration testTimeout = 10s;
constexpr duration requestTimeout = 200ms;

/** Fixture with a server that answers a request, closes its connection or leaves it unanswered. */
class net_platform_clients : public testing::Test
{
protected:
    enum class server_reaction { answer, closeConnection, leaveUnanswered };

    template<typename Outcome>
    Outcome waitForOutcome(const std::optional<Outcome> &result)
    {
        loop_timer poll(loop, [] {});
        poll.startRepeating(5ms);
        const auto deadline = monotonicNow() + testTimeout;
        while (!result && monotonicNow() < deadline)
            loop.run(ev::ONCE);
        return result.value();
    }

    http_outcome send(http_client &client, const http_request &request)
    {
        std::optional<http_outcome> result;
        client.send(request, [&](const http_outcome &outcome) { result = outcome; });
        return waitForOutcome(result);
    }

    table_service_client::outcome run(const table_transaction &transaction)
    {
        http_client http(loop, url(), requestTimeout);
        table_service_client client(http);
        std::optional<table_service_client::outcome> result;
        client.run(transaction, [&](const auto &outcome) { result = outcome; });
        return waitForOutcome(result);
    }

    object_store_client::get_outcome getObject(const std::string &name)
    {
        http_client http(loop, url(), requestTimeout);
        object_store_client client(http);
        std::optional<object_store_client::get_outcome> result;
        client.get(name, [&](const auto &outcome) { result = outcome; });
        return waitForOutcome(result);
    }

    std::string url() const { return "http://" + server.address().str(); }

    web_handlers handlers()
    {
        web_handlers result;
        result.request = [this](const http_request &request, const http_responder &respond) {
            received = request;
            if (nextReaction == server_reaction::answer)
                respond(response);
            if (nextReaction == server_reaction::closeConnection)
                respond.drop();
        };
        return result;
    }

    ev::dynamic_loop loop;
    std::unique_ptr<byte_stream> slowConnection;
    server_reaction nextReaction = server_reaction::answer;
    http_response response;
    http_request received;
    web_endpoint server{loop, {"127.0.0.1", 0}, {}, handlers()};
};

TEST_F(net_platform_clients, deliversRequestAndResponse)
{
    http_client client(loop, url(), requestTimeout);
    response = {201, "text/plain", std::string(300000, 'a')};
    const http_request request{"PUT", "/a?b=c", std::string(3000000, 'b')};
    EXPECT_EQ(send(client, request), http_outcome(response));
    EXPECT_EQ(received, request);
}

TEST_F(net_platform_clients, reportsNotSentOnlyWhenNothingListens)
{
    endpoint unusedAddress;
    {
        web_endpoint closed(loop, {"127.0.0.1", 0}, {}, {});
        unusedAddress = closed.address();
    }
    http_client client(loop, "http://" + unusedAddress.str(), requestTimeout);
    EXPECT_TRUE(std::holds_alternative<http_not_sent>(send(client, {"GET", "/", ""})));
}

TEST_F(net_platform_clients, reportsUnansweredAfterAClosedConnectionAndAfterTheTimeout)
{
    http_client client(loop, url(), requestTimeout);
    nextReaction = server_reaction::closeConnection;
    EXPECT_TRUE(std::holds_alternative<http_unanswered>(send(client, {"POST", "/", "a"})));
    nextReaction = server_reaction::leaveUnanswered;
    const auto start = monotonicNow();
    EXPECT_TRUE(std::holds_alternative<http_unanswered>(send(client, {"POST", "/", "a"})));
    EXPECT_GE(monotonicNow() - start, requestTimeout);
    EXPECT_EQ(server.counters().requests, 2);
}

/** After an orderly close the kernel would deliver a request later that a partition holds up. */
TEST_F(net_platform_clients, resetsTheConnectionOfAnUnansweredRequest)
{
    const file_descriptor listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    ASSERT_EQ(bind(listener.get(), reinterpret_cast<sockaddr *>(&address), length), 0);
    ASSERT_EQ(listen(listener.get(), 1), 0);
    getsockname(listener.get(), reinterpret_cast<sockaddr *>(&address), &length);
    http_client client(loop, "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)),
                       requestTimeout);
    EXPECT_TRUE(std::holds_alternative<http_unanswered>(send(client, {"POST", "/order", "{}"})));
    const file_descriptor accepted(accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    std::array<char, 4096> bytes{};
    ssize_t received = 0;
    while ((received = recv(accepted.get(), bytes.data(), bytes.size(), 0)) > 0) { }
    EXPECT_EQ(received, -1);
    EXPECT_EQ(errno, ECONNRESET);
}

/** A large answer over a narrow link takes longer than the store or an instance needs to begin it.
 */
TEST_F(net_platform_clients, waitsForTheRestOfAnAnswerThatHasBegun)
{
    tcp_listener listener(loop, {"127.0.0.1", 0}, [this](file_descriptor socket) {
        slowConnection = std::make_unique<byte_stream>(
                loop, std::move(socket),
                byte_stream::handlers{[this](std::string_view) {
                                          slowConnection->write("HTTP/1.1 200 OK\r\n"
                                                                "Content-Length: 2\r\n\r\na");
                                      },
                                      [] {}});
    });
    loop_timer rest(loop, [this] { slowConnection->write("b"); });
    rest.startOnce(2 * requestTimeout);
    http_client client(loop, "http://127.0.0.1:" + std::to_string(listener.port()), requestTimeout);
    std::optional<http_outcome> result;
    client.send({"GET", "/", ""}, {requestTimeout, testTimeout},
                [&](const http_outcome &outcome) { result = outcome; });
    const auto outcome = waitForOutcome(result);
    ASSERT_TRUE(std::holds_alternative<http_response>(outcome));
    EXPECT_EQ(std::get<http_response>(outcome).body, "ab");
}

TEST_F(net_platform_clients, doesNotWaitLongerForAnAnswerThatHasNotBegun)
{
    http_client client(loop, url(), requestTimeout);
    nextReaction = server_reaction::leaveUnanswered;
    std::optional<http_outcome> result;
    client.send({"GET", "/", ""}, {requestTimeout, 2 * testTimeout},
                [&](const http_outcome &outcome) { result = outcome; });
    EXPECT_TRUE(std::holds_alternative<http_unanswered>(waitForOutcome(result)));
    EXPECT_EQ(client.pendingCount(), 0);
}

TEST_F(net_platform_clients, doesNotCallTheHandlerAfterDestruction)
{
    nextReaction = server_reaction::leaveUnanswered;
    bool called = false;
    {
        http_client client(loop, url(), requestTimeout);
        client.send({"GET", "/", ""}, [&](const auto &) { called = true; });
        loop.run(ev::ONCE);
    }
    loop_timer stopTimer(loop, [this] { loop.break_loop(ev::ALL); });
    stopTimer.startOnce(2 * requestTimeout);
    loop.run();
    EXPECT_FALSE(called);
}

TEST_F(net_platform_clients, canBeDestroyedByItsOwnHandler)
{
    auto client = std::make_unique<http_client>(loop, url(), requestTimeout);
    int calls = 0;
    const auto handler = [&](const auto &) {
        ++calls;
        client.reset();
        loop.break_loop(ev::ALL);
    };
    client->send({"GET", "/", ""}, handler);
    client->send({"GET", "/", ""}, handler);
    loop.run();
    EXPECT_EQ(calls, 1);
}

TEST_F(net_platform_clients, readsTheResultOfATransaction)
{
    const table_result result{true, 9, {{{{"k", "v", 9}}}, {}}};
    const table_transaction transaction{{{"k", 4}},
                                        {table_put{"k", "v"}, table_delete{"l"}},
                                        {table_list{"p"}, table_get{"k"}}};
    response.body = nlohmann::json(result).dump();
    EXPECT_EQ(run(transaction), table_service_client::outcome(result));
    EXPECT_EQ(received.path, "/v1/transactions");
    EXPECT_EQ(nlohmann::json::parse(received.body).get<table_transaction>(), transaction);
}

TEST_F(net_platform_clients, distinguishesRefusedFromUnknown)
{
    for (const int status : {400, 404, 503}) {
        response.status = status;
        EXPECT_TRUE(std::holds_alternative<platform_refused>(run({}))) << status;
    }
    for (const int status : {302, 500, 502, 504}) {
        response.status = status;
        EXPECT_TRUE(std::holds_alternative<platform_unknown>(run({}))) << status;
    }
    response.status = 200;
    for (const auto *body : {"", "{", "{}", "[]", R"({"succeeded":1})"}) {
        response.body = body;
        EXPECT_TRUE(std::holds_alternative<platform_unknown>(run({}))) << body;
    }
    nextReaction = server_reaction::closeConnection;
    EXPECT_TRUE(std::holds_alternative<platform_unknown>(run({})));
}

TEST_F(net_platform_clients, readsObjects)
{
    response.body = std::string("\0\xff", 2);
    EXPECT_EQ(getObject("o"), object_store_client::get_outcome(stored_object{response.body}));
    EXPECT_EQ(received.path, "/v1/objects/o");
    response.status = 404;
    EXPECT_EQ(getObject("o"), object_store_client::get_outcome(stored_object{}));
}

TEST_F(net_platform_clients, readsTheInstanceList)
{
    const listed_instance entry{instance_id("i1"), data_centre_id("regina"),
                                endpoint{"127.0.0.1", 7101}, instance_state::leaving};
    response.body = R"({"instances":[{"instance":"i1","data_centre":"regina",
                        "address":"127.0.0.1:7101","state":"leaving"}]})";
    http_client http(loop, url(), requestTimeout);
    instance_list_client client(http);
    std::optional<instance_list_client::outcome> result;
    client.get([&](const auto &outcome) { result = outcome; });
    EXPECT_EQ(waitForOutcome(result), instance_list_client::outcome(instance_list{{entry}, {}}));
}

// Guards against one odd entry that hides all instances of the list.
TEST_F(net_platform_clients, anOddEntryOfTheInstanceListCostsOnlyThatEntry)
{
    const std::string deep = std::string(20'000, '[') + std::string(20'000, ']');
    response.body = R"({"instances":[7,{},{"instance":)" + deep + R"(},
        {"instance":"p","data_centre":"regina","address":"127.0.0.1:70000","state":"live"},
        {"instance":"z","data_centre":"regina","address":"127.0.0.1:0","state":"live"},
        {"instance":"s","data_centre":"regina","address":"127.0.0.1:1","state":"asleep"},
        {"instance":"i1","data_centre":"regina","address":"127.0.0.1:7101","state":"live"}]})";
    http_client http(loop, url(), requestTimeout);
    instance_list_client client(http);
    std::optional<instance_list_client::outcome> result;
    client.get([&](const auto &outcome) { result = outcome; });
    const auto list = std::get<instance_list>(waitForOutcome(result));
    ASSERT_EQ(list.instances.size(), 1U);
    EXPECT_EQ(list.instances[0].instance, instance_id("i1"));
    EXPECT_EQ(list.rejected.size(), 6U);
}

} // namespace
} // namespace sycamorespan
