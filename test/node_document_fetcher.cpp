#include "programs/node/document_fetcher.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/byte_stream.h"
#include "sycamorespan/src/Net/clock.h"
#include "sycamorespan/src/Net/compression.h"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/tcp_listener.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using namespace sycamorespan;
using node::document_fetcher;
using node::event_guard;
using node::event_log;
using node::node_metrics;

/** \returns an address of this machine whose TCP port is free. */
endpoint freeAddress()
{
    const file_descriptor probe(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof name;
    auto *generic = reinterpret_cast<sockaddr *>(&name);
    if (::bind(probe.get(), generic, size) != 0 || ::getsockname(probe.get(), generic, &size) != 0)
        throw error("no free TCP port");
    return {"127.0.0.1", ntohs(name.sin_port)};
}

/** \brief A fetcher, and an instance that sends a document slowly: the head of the answer at once
 * and the rest after \c transferTime, or never.
 */
class node_document_fetcher : public ::testing::Test
{
protected:
    node_document_fetcher()
        : fetcher(loop, log, guard, [] { return std::uint64_t{0}; })
        , listener(loop, address, [this](file_descriptor socket) { accept(std::move(socket)); })
        , requests(loop, [this] { requestAgain(); })
    {
        fetcher.add("/document", {[this](const std::string &body) { documents.push_back(body); },
                                  [this] { ++failures; }});
    }

    void accept(file_descriptor socket)
    {
        const auto index = connections.size();
        connections.push_back(std::make_unique<byte_stream>(
                loop, std::move(socket),
                byte_stream::handlers{[this, index](std::string_view) { answer(index); }, [] {}}));
    }

    void answer(std::size_t index)
    {
        const auto body = compress("text");
        connections[index]->write(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        if (!answersCompletely)
            return;
        timers.push_back(std::make_unique<loop_timer>(
                loop, [this, index, body] { connections[index]->write(body); }));
        timers.back()->startOnce(transferTime);
    }

    /** Reports of the instance with the newer document arrive all the time. */
    void requestAgain()
    {
        if (!documents.empty() || failures > 0)
            return;
        fetcher.request("/document", address.str());
        requests.startOnce(reportInterval);
    }

    void runFor(duration period)
    {
        loop_timer end(loop, [this] { loop.break_loop(ev::ALL); });
        end.startOnce(period);
        loop.run();
    }

    static constexpr duration reportInterval = 200ms;
    static constexpr duration transferTime = 900ms; ///< longer than two fetch intervals

    ev::dynamic_loop loop;
    event_log log{line_budget_policy{}, STDOUT_FILENO};
    node_metrics metrics;
    event_guard guard{log, metrics};
    const endpoint address = freeAddress();
    document_fetcher fetcher;
    std::vector<std::unique_ptr<byte_stream>> connections;
    std::vector<std::unique_ptr<loop_timer>> timers;
    std::vector<std::string> documents;
    int failures = 0;
    bool answersCompletely = true;
    tcp_listener listener;
    loop_timer requests;
};

/** Load pattern: the document comes over a link that is busy with callers' answers, while the
 * reports that announce it go on.
 */
TEST_F(node_document_fetcher, ASlowTransferIsNotRestartedByFurtherRequests)
{
    requestAgain();
    runFor(2s);
    EXPECT_EQ(documents, std::vector<std::string>{"text"});
    EXPECT_EQ(connections.size(), 1U);
    EXPECT_EQ(failures, 0);
}

/** The same, but the transfer stops halfway: the document is read from the store. */
TEST_F(node_document_fetcher, ATransferThatStopsFailsWhileItIsRequestedAgain)
{
    answersCompletely = false;
    requestAgain();
    runFor(4s);
    EXPECT_EQ(failures, 1);
    EXPECT_TRUE(documents.empty());
}

} // namespace
