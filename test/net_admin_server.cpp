#include "sycamorespan/Core"
#include "sycamorespan/Net"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>

namespace sycamorespan {
namespace {

class net_admin_server : public testing::Test
{
protected:
    http_response get(const std::string &path, const std::string &method = "GET")
    {
        http_client client(loop, "http://" + server.address().str(), 5s);
        http_outcome result;
        client.send({method, path, ""}, [&](const auto &outcome) {
            result = outcome;
            loop.break_loop(ev::ALL);
        });
        loop.run();
        return std::get<http_response>(result);
    }

    admin_sources sources()
    {
        return {registry,
                [this] {
                    return nlohmann::json{{"version", version()}};
                },
                [this] { return isHealthy; }};
    }

    int version() const
    {
        if (!isHealthy)
            throw error("no state");
        return 7;
    }

    ev::dynamic_loop loop;
    bool isHealthy = true;
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    admin_server server{loop, {"127.0.0.1", 0}, sources()};
};

TEST_F(net_admin_server, returnsMetrics)
{
    prometheus::BuildCounter().Name("test_total").Register(*registry).Add({}).Increment(3);
    const auto answer = get("/metrics");
    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(answer.body.find("\ntest_total 3\n"), std::string::npos) << answer.body;
}

TEST_F(net_admin_server, returnsState)
{
    EXPECT_EQ(nlohmann::json::parse(get("/state").body), (nlohmann::json{{"version", 7}}));
}

TEST_F(net_admin_server, answersAnErrorWhenTheStateFunctionThrows)
{
    isHealthy = false;
    EXPECT_EQ(get("/state").status, 500);
    EXPECT_EQ(get("/healthz").status, 503);
}

TEST_F(net_admin_server, returnsHealthAndRejectsOtherRequests)
{
    EXPECT_EQ(get("/healthz").status, 200);
    EXPECT_EQ(get("/other").status, 404);
    EXPECT_EQ(get("/state", "PUT").status, 405);
}

} // namespace
} // namespace sycamorespan
