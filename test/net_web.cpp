#include "sycamorespan/Core"
#include "sycamorespan/Net"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <string>
#include <vector>

namespace sycamorespan {
namespace {

constexpr duration testTimeout = 10s;

/** Server that echoes messages and records its connections and deferred requests. */
class echo_server
{
public:
    echo_server(ev::loop_ref loop, const web_limits &limits)
        : m_endpoint(loop, {"127.0.0.1", 0}, limits, handlers())
    { }

    web_endpoint &endpoint() { return m_endpoint; }
    const std::vector<web_session> &sessions() const { return m_sessions; }
    int closed() const { return m_closed; }
    const std::vector<http_responder> &deferred() const { return m_deferred; }

private:
    web_handlers handlers()
    {
        web_handlers result;
        result.opened = [this](const web_session &session) { m_sessions.push_back(session); };
        result.message = [](const web_session &session, std::string_view message) {
            if (message == "throw")
                throw std::runtime_error("from a handler");
            session.send(message);
        };
        result.closed = [this](const web_session &) { ++m_closed; };
        result.request = [this](const http_request &request, const http_responder &respond) {
            if (request.path == "/later")
                m_deferred.push_back(respond);
            else
                respond({200, "text/plain", request.method + request.path + request.body});
        };
        return result;
    }

    std::vector<web_session> m_sessions;
    std::vector<http_responder> m_deferred;
    int m_closed = 0;
    web_endpoint m_endpoint;
};

class net_web : public testing::Test
{
protected:
    /** Runs the loop until \a isDone returns true or \a timeout expires.
     * \returns whether \a isDone returns true
     */
    template<typename Predicate>
    bool runUntil(Predicate isDone, duration timeout = testTimeout)
    {
        ev::timer poll(loop);
        poll.set<net_web, &net_web::ignore>(this);
        poll.start(0.005, 0.005);
        const auto deadline = monotonicNow() + timeout;
        while (!isDone() && monotonicNow() < deadline)
            loop.run(ev::ONCE);
        return isDone();
    }

    void ignore(ev::timer &, int) { }

    web_client_handlers recordingHandlers()
    {
        web_client_handlers handlers;
        handlers.opened = [this] { ++opened; };
        handlers.message = [this](std::string_view text) { received.emplace_back(text); };
        handlers.closed = [this] { ++closed; };
        return handlers;
    }

    /** Connects a TCP socket and waits until \a endpoint has accepted the connection. */
    file_descriptor connectSocket(const web_endpoint &endpoint)
    {
        auto fd = connectTo(endpoint.address());
        const auto before = endpoint.counters().connections;
        EXPECT_TRUE(runUntil([&] { return endpoint.counters().connections > before; }));
        return fd;
    }

    static void write(const file_descriptor &fd, std::string_view bytes)
    {
        ASSERT_EQ(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }

    /** Reads until the server closes the connection. */
    std::string readAll(const file_descriptor &fd)
    {
        std::string result;
        EXPECT_TRUE(runUntil([&] {
            char buffer[4096];
            const auto size = ::recv(fd.get(), buffer, sizeof(buffer), 0);
            if (size > 0)
                result.append(buffer, static_cast<std::size_t>(size));
            return size == 0 || (size < 0 && errno != EAGAIN);
        }));
        return result;
    }

    ev::dynamic_loop loop;
    int opened = 0;
    int closed = 0;
    std::vector<std::string> received;
};

TEST_F(net_web, echoesMessagesOfEverySizeInOrder)
{
    echo_server server(loop, {});
    web_client client(loop, {}, recordingHandlers());
    client.connect(server.endpoint().address());
    ASSERT_TRUE(runUntil([&] { return client.isOpen(); }));
    const std::vector<std::string> messages{"",
                                            "a",
                                            std::string(125, 'b'),
                                            std::string(126, 'c'),
                                            std::string(70000, 'd'),
                                            std::string(std::size_t{3} << 20, 'e')};
    for (const auto &message : messages)
        EXPECT_TRUE(client.send(message));
    EXPECT_TRUE(runUntil([&] { return received.size() == messages.size(); }));
    EXPECT_EQ(received, messages);
}

TEST_F(net_web, answersHttpOnTheSamePort)
{
    echo_server server(loop, {});
    const auto fd = connectSocket(server.endpoint());
    write(fd, "PUT /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo");
    write(fd, "dy");
    const auto answer = readAll(fd);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nPUT/a?b=cbody")) << answer;
}

TEST_F(net_web, answersADeferredHttpRequest)
{
    echo_server server(loop, {});
    const auto fd = connectSocket(server.endpoint());
    write(fd, "GET /later HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return server.deferred().size() == 1; }));
    server.deferred().front()({503, "text/plain", "later"});
    EXPECT_TRUE(readAll(fd).starts_with("HTTP/1.1 503"));
}

TEST_F(net_web, closesAConnectionWithoutAnswering)
{
    echo_server server(loop, {});
    const auto fd = connectSocket(server.endpoint());
    write(fd, "GET /later HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return server.deferred().size() == 1; }));
    server.deferred().front().drop();
    EXPECT_EQ(readAll(fd), "");
    server.deferred().front()({});
    EXPECT_EQ(server.endpoint().connectionCount(), 0);
}

TEST_F(net_web, closesAfterAnOversizedMessage)
{
    web_limits limits;
    limits.maxMessageBytes = 1000;
    echo_server server(loop, limits);
    web_client client(loop, {}, recordingHandlers());
    client.connect(server.endpoint().address());
    ASSERT_TRUE(runUntil([&] { return client.isOpen(); }));
    EXPECT_TRUE(client.send(std::string(1000, 'a')));
    EXPECT_TRUE(client.send(std::string(1001, 'b')));
    EXPECT_TRUE(runUntil([&] { return closed == 1 && server.closed() == 1; }));
    EXPECT_EQ(received, std::vector<std::string>{std::string(1000, 'a')});
}

TEST_F(net_web, refusesAnOversizedHttpBody)
{
    web_limits limits;
    limits.maxMessageBytes = 1000;
    echo_server server(loop, limits);
    const auto fd = connectSocket(server.endpoint());
    write(fd, "PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n");
    EXPECT_TRUE(readAll(fd).starts_with("HTTP/1.1 413"));
}

TEST_F(net_web, closesAConnectionWhoseReceiverDoesNotRead)
{
    web_limits limits;
    limits.maxWriteBufferBytes = 100000;
    echo_server server(loop, limits);
    const auto fd = connectSocket(server.endpoint());
    write(fd, "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return server.sessions().size() == 1; }));
    const std::string message(50000, 'x');
    const auto maxSentBytes = std::size_t{64} << 20;
    std::size_t sentBytes = 0;
    while (sentBytes < maxSentBytes && server.sessions().front().send(message))
        sentBytes += message.size();
    EXPECT_LT(sentBytes, maxSentBytes);
    EXPECT_TRUE(runUntil([&] { return server.closed() == 1; }));
    EXPECT_EQ(server.endpoint().counters().writeOverflows, 1);
}

TEST_F(net_web, closesConnectionsWithInvalidInput)
{
    echo_server server(loop, {});
    const std::vector<std::string> inputs{
            std::string(100000, '\xff'),
            "\r\n\r\n",
            "GET / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n\r\n",
            std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8) + "\r\n\r\n",
            "PUT / HTTP/1.1\r\nHost: [\r\nContent-Length: -1\r\n\r\n"};
    for (const auto &input : inputs) {
        const auto fd = connectSocket(server.endpoint());
        ::send(fd.get(), input.data(), input.size(), MSG_NOSIGNAL);
        ::shutdown(fd.get(), SHUT_WR);
        readAll(fd);
    }
    EXPECT_TRUE(runUntil([&] { return server.endpoint().connectionCount() == 0; }));
    EXPECT_TRUE(server.sessions().empty());
}

TEST_F(net_web, closesOnAnInvalidFrame)
{
    echo_server server(loop, {});
    const auto fd = connectSocket(server.endpoint());
    write(fd, "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    write(fd, std::string(1000, '\x7f'));
    readAll(fd);
    EXPECT_TRUE(runUntil([&] { return server.closed() == 1; }));
}

TEST_F(net_web, closesTheConnectionWhoseHandlerThrows)
{
    echo_server server(loop, {});
    web_client client(loop, {}, recordingHandlers());
    web_client other(loop, {}, {});
    client.connect(server.endpoint().address());
    other.connect(server.endpoint().address());
    ASSERT_TRUE(runUntil([&] { return client.isOpen() && other.isOpen(); }));
    client.send("throw");
    EXPECT_TRUE(runUntil([&] { return closed == 1; }));
    EXPECT_TRUE(other.isOpen());
    EXPECT_EQ(server.endpoint().counters().handlerErrors, 1);
}

TEST_F(net_web, closesAConnectionThatSendsNoHandshake)
{
    web_limits limits;
    limits.handshakeTimeout = 50ms;
    echo_server server(loop, limits);
    const auto fd = connectSocket(server.endpoint());
    EXPECT_EQ(readAll(fd), "");
    EXPECT_EQ(server.endpoint().counters().timeouts, 1);
}

TEST_F(net_web, closesAnUnresponsiveWebSocketAndKeepsAnIdleOne)
{
    web_limits limits;
    limits.pingInterval = 20ms;
    limits.idleTimeout = 100ms;
    echo_server server(loop, limits);
    web_client client(loop, {}, recordingHandlers());
    client.connect(server.endpoint().address());
    const auto unresponsive = connectSocket(server.endpoint());
    write(unresponsive,
          "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
          "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    EXPECT_TRUE(runUntil([&] { return server.closed() == 1; }));
    runUntil([] { return false; }, 300ms);
    EXPECT_TRUE(client.isOpen());
    EXPECT_EQ(server.closed(), 1);
}

TEST_F(net_web, refusesMoreConnectionsThanAllowed)
{
    web_limits limits;
    limits.maxConnections = 1;
    echo_server server(loop, limits);
    web_client first(loop, {}, {});
    first.connect(server.endpoint().address());
    ASSERT_TRUE(runUntil([&] { return first.isOpen(); }));
    web_client second(loop, {}, recordingHandlers());
    second.connect(server.endpoint().address());
    EXPECT_TRUE(runUntil([&] { return closed == 1; }));
    EXPECT_TRUE(first.isOpen());
}

TEST_F(net_web, clientReportsAClosedConnectionAndReconnects)
{
    web_client client(loop, {}, recordingHandlers());
    endpoint address;
    {
        echo_server server(loop, {});
        address = server.endpoint().address();
        client.connect(address);
        ASSERT_TRUE(runUntil([&] { return client.isOpen(); }));
    }
    EXPECT_TRUE(runUntil([&] { return closed == 1; }));
    client.connect(address);
    EXPECT_TRUE(runUntil([&] { return closed == 2; }));
    EXPECT_FALSE(client.isActive());
    web_endpoint again(loop, address, {}, {});
    client.connect(address);
    EXPECT_TRUE(runUntil([&] { return client.isOpen(); }));
    EXPECT_EQ(opened, 2);
}

TEST_F(net_web, closesGracefully)
{
    echo_server server(loop, {});
    web_client client(loop, {}, recordingHandlers());
    client.connect(server.endpoint().address());
    ASSERT_TRUE(runUntil([&] { return server.sessions().size() == 1 && client.isOpen(); }));
    client.send("last");
    client.close("done");
    EXPECT_FALSE(client.send("after"));
    EXPECT_TRUE(runUntil([&] { return closed == 1 && server.closed() == 1; }));
    EXPECT_EQ(server.endpoint().counters().messagesReceived, 1);
}

TEST_F(net_web, clientCanBeDestroyedByItsOwnHandler)
{
    echo_server server(loop, {});
    std::unique_ptr<web_client> client;
    web_client_handlers handlers;
    bool destroyed = false;
    handlers.opened = [&] { client->send("a"); };
    handlers.message = [&](std::string_view) {
        client.reset();
        destroyed = true;
    };
    client = std::make_unique<web_client>(loop, web_limits{}, std::move(handlers));
    client->connect(server.endpoint().address());
    EXPECT_TRUE(runUntil([&] { return destroyed && server.closed() == 1; }));
}

TEST(endpoint, parsesItsOwnTextAndRejectsOtherForms)
{
    EXPECT_EQ(parseEndpoint("127.0.0.1:7001"), (endpoint{"127.0.0.1", 7001}));
    EXPECT_EQ((endpoint{"127.0.0.1", 7001}).str(), "127.0.0.1:7001");
    for (const auto *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "localhost:1"})
        EXPECT_THROW(parseEndpoint(text), decode_error) << text;
}

} // namespace
} // namespace sycamorespan
