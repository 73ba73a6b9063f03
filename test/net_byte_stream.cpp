// Tests that queued bytes reach the peer before a stream closes its connection.

#include "sycamorespan/Net"

#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <string>

#include <sys/socket.h>

namespace {

using namespace sycamorespan;

constexpr std::size_t answerBytes = std::size_t{8} << 20; // more than the socket buffers hold
constexpr duration testTimeout = 20s;

/** \brief A stream and the socket of its peer, which the test reads and writes. */
class byte_stream_test : public testing::Test
{
protected:
    byte_stream_test()
        : m_timeout(loop, [this] { loop.break_loop(ev::ALL); })
        , m_readTimer(loop, [this] { readSome(); })
        , listener(loop, {"127.0.0.1", 0},
                   [this](file_descriptor socket) {
                       stream.emplace(loop, std::move(socket),
                                      byte_stream::handlers{
                                              [this](std::string_view bytes) { received += bytes; },
                                              [this] { isClosed = true; }});
                       loop.break_loop(ev::ALL);
                   })
        , peer(connectTo({"127.0.0.1", listener.port()}))
    {
        m_timeout.startOnce(testTimeout);
        loop.run();
    }

    /** Reads a little at intervals, as a caller behind a slow link does, until the connection ends.
     */
    void readSlowly()
    {
        m_readTimer.startRepeating(2ms);
        loop.run();
    }

    void readSome()
    {
        std::array<char, 65536> chunk; // NOLINT: filled by recv
        const auto count = ::recv(peer.get(), chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count > 0) {
            readByPeer += static_cast<std::size_t>(count);
            return;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        endOfConnection = count == 0 ? 0 : errno;
        m_readTimer.stop();
        loop.break_loop(ev::ALL);
    }

    void sendFromPeer(std::string_view bytes) const
    {
        ASSERT_EQ(::send(peer.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }

    void runFor(duration time)
    {
        loop_timer timer(loop, [this] { loop.break_loop(ev::ALL); });
        timer.startOnce(time);
        loop.run();
    }

    ev::dynamic_loop loop;

private:
    loop_timer m_timeout;
    loop_timer m_readTimer;

protected:
    tcp_listener listener;
    file_descriptor peer;
    std::optional<byte_stream> stream;
    std::string received;
    bool isClosed = false;
    std::size_t readByPeer = 0;
    std::optional<int> endOfConnection; ///< errno; 0 after an orderly close
};

TEST_F(byte_stream_test, aClosedStreamDeliversAllQueuedBytesToASlowPeer)
{
    stream->write(std::string(answerBytes, 'a'));
    stream->closeAfterWrite();
    ASSERT_TRUE(stream->isOpen());
    readSlowly();
    EXPECT_EQ(readByPeer, answerBytes);
    EXPECT_EQ(endOfConnection, 0);
}

// Closing a socket with unread bytes resets the connection, and the peer loses what it has not
// read.
TEST_F(byte_stream_test, aPeerThatGoesOnSendingStillReceivesTheWholeAnswer)
{
    stream->write(std::string(answerBytes, 'a'));
    stream->closeAfterWrite();
    sendFromPeer(std::string(100, 'b'));
    readSlowly();
    EXPECT_EQ(readByPeer, answerBytes);
    EXPECT_EQ(endOfConnection, 0);
    EXPECT_EQ(received, "") << "the stream is closing";
}

TEST_F(byte_stream_test, aRequestOnTheWayWhenAnAnswerIsClosedDoesNotResetTheConnection)
{
    stream->write("answer");
    sendFromPeer("request on the way");
    stream->closeAfterWrite();
    runFor(50ms);
    sendFromPeer("another");
    readSlowly();
    EXPECT_EQ(readByPeer, 6U);
    EXPECT_EQ(endOfConnection, 0);
    runFor(50ms);
    EXPECT_FALSE(isClosed) << "the peer has not closed its side";
    peer = file_descriptor();
    runFor(50ms);
    EXPECT_TRUE(isClosed);
}

TEST_F(byte_stream_test, aPeerThatNeverClosesIsDroppedAfterATimeout)
{
    stream->write("answer");
    stream->closeAfterWrite();
    runFor(500ms);
    EXPECT_FALSE(isClosed);
    runFor(1s);
    EXPECT_TRUE(isClosed);
}

TEST_F(byte_stream_test, aPeerThatStopsSendingStillReceivesTheQueuedBytes)
{
    stream->write(std::string(answerBytes, 'a'));
    ASSERT_EQ(::shutdown(peer.get(), SHUT_WR), 0);
    readSlowly();
    EXPECT_EQ(readByPeer, answerBytes);
    EXPECT_EQ(endOfConnection, 0);
    runFor(10ms);
    EXPECT_TRUE(isClosed);
}

} // namespace
