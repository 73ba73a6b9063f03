#ifndef SYCAMORESPAN_NET_INTERNAL_WEB_CODEC_H
#define SYCAMORESPAN_NET_INTERNAL_WEB_CODEC_H

// Included by a translation unit that is compiled as C++17, so that only standard types of C++17
// may be used here.
#include "sycamorespan/src/Net/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sycamorespan::internal {

/** \brief Role of the local side of a connection. */
enum class web_role { server, client };

/** \brief Event handlers of a web_codec.
 *
 * They are called from within the codec's functions. Of these, handlers may call only send(),
 * respond() and close().
 */
struct web_codec_events
{
    /** Bytes have to be sent to the peer. */
    std::function<void(std::string_view)> write;
    /** The codec has finished. The connection has to be closed once all bytes are written. */
    std::function<void()> finished;
    /** The WebSocket handshake succeeded. */
    std::function<void()> opened;
    /** A binary message arrived. */
    std::function<void(std::string_view)> message;
    /** A plain HTTP request arrived. It has to be answered by respond(), immediately or later. */
    std::function<void(const http_request &)> request;
};

/** \brief WebSocket and HTTP/1.1 protocol of one connection, based on websocketpp and without I/O.
 *
 * Received bytes are passed to receive(), and bytes to send to web_codec_events::write. Only the
 * translation unit of this class includes websocketpp.
 */
class web_codec
{
public:
    /** \param role             role of the local side
     * \param host              IP:PORT of the peer, for the client's handshake
     * \param maxMessageBytes   size limit of a message or HTTP body; exceeding it is an error that
     *                          ends the connection
     * \param events            event handlers
     */
    web_codec(web_role role, const std::string &host, std::size_t maxMessageBytes,
              web_codec_events events);
    ~web_codec();
    web_codec(const web_codec &) = delete;
    web_codec &operator=(const web_codec &) = delete;

    /** \brief Starts the codec. A client writes its handshake request. */
    void start();

    /** \brief Processes received bytes.
     * \returns the number of processed bytes; if fewer than given, the codec accepts no more
     */
    std::size_t receive(std::string_view bytes);

    /** \brief Sends one binary message.
     * \returns false if the WebSocket is not open
     */
    bool send(std::string_view message);

    /** \brief Sends a WebSocket ping. */
    void ping();

    /** \brief Answers the HTTP request. */
    void respond(const http_response &response);

    /** \brief Starts the closing handshake. */
    void close(std::string_view reason);

    /** \returns whether the WebSocket is open in both directions. */
    bool isOpen() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace sycamorespan::internal

#endif
