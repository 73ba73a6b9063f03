#ifndef SYCAMORESPAN_NET_INTERNAL_WEB_CODEC_H
#define SYCAMORESPAN_NET_INTERNAL_WEB_CODEC_H

// Shared with a translation unit that is compiled as C++17: standard types of C++17 only.
#include "sycamorespan/src/Net/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sycamorespan::internal {

/** \brief Side of a WebSocket connection. */
enum class web_role { server, client };

/** \brief What a web_codec reports. Called from within the codec's own functions, which therefore
 * must not be called back from here, except for send(), respond() and close().
 */
struct web_codec_events
{
    /** Bytes for the other side. */
    std::function<void(std::string_view)> write;
    /** The codec is done: close the connection once everything is written. */
    std::function<void()> finished;
    /** The WebSocket handshake succeeded. */
    std::function<void()> opened;
    /** A binary message arrived. */
    std::function<void(std::string_view)> message;
    /** A plain HTTP request arrived: answer it by respond(), now or later. */
    std::function<void(const http_request &)> request;
};

/** \brief WebSocket and HTTP/1.1 framing of one connection, by websocketpp, without I/O.
 *
 * Bytes go in by receive() and come out through web_codec_events::write. The only translation unit
 * that includes websocketpp.
 */
class web_codec
{
public:
    /** \param role             which side of the connection this is
     * \param host              ip:port of the other side, for the client's handshake
     * \param maxMessageBytes   bound on a message or HTTP body; more ends the connection
     * \param events            receiver of what happens
     */
    web_codec(web_role role, const std::string &host, std::size_t maxMessageBytes,
              web_codec_events events);
    ~web_codec();
    web_codec(const web_codec &) = delete;
    web_codec &operator=(const web_codec &) = delete;

    /** \brief Begins: a client writes its handshake. */
    void start();

    /** \brief Takes received bytes.
     * \returns how many were used; fewer than given means that no more are wanted
     */
    std::size_t receive(std::string_view bytes);

    /** \brief Sends one binary message.
     * \returns false when the WebSocket isn't open
     */
    bool send(std::string_view message);

    /** \brief Sends a WebSocket ping. */
    void ping();

    /** \brief Answers the HTTP request. */
    void respond(const http_response &response);

    /** \brief Begins the closing handshake. */
    void close(std::string_view reason);

    /** \returns whether the WebSocket is open in both directions. */
    bool isOpen() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace sycamorespan::internal

#endif
