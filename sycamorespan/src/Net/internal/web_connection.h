#ifndef SYCAMORESPAN_NET_INTERNAL_WEB_CONNECTION_H
#define SYCAMORESPAN_NET_INTERNAL_WEB_CONNECTION_H

#include "sycamorespan/src/Net/file_descriptor.h"
#include "sycamorespan/src/Net/internal/web_codec.h"
#include "sycamorespan/src/Net/web_session.h"

#include <ev++.h>

#include <string>

namespace sycamorespan::internal {

/** \brief TCP connection with the WebSocket or HTTP protocol on a libev loop.
 *
 * The sizes of its buffers and the duration of each phase are limited by web_limits.
 */
class web_connection : public std::enable_shared_from_this<web_connection>
{
public:
    /** \brief Construction parameters of a connection. */
    struct parameters
    {
        std::uint64_t id = 0;
        web_role role = web_role::server;
        endpoint remote;
        web_limits limits;
        std::shared_ptr<const web_handlers> handlers;
        std::shared_ptr<web_counters> counters;
        /** Called once, after all other handlers. */
        std::function<void(std::uint64_t id)> onEnded;
    };

    /** \param loop      event loop
     * \param fd         socket; connected for a server, connecting for a client
     * \param settings   identity, limits and event handlers
     */
    web_connection(ev::loop_ref loop, file_descriptor fd, parameters settings);

    /** \brief Starts the connection. Called once, after construction by make_shared. */
    void start();

    bool send(std::string_view message);
    void close(std::string_view reason);
    void respond(const http_response &response);
    bool isOpen() const;
    const endpoint &remote() const { return m_settings.remote; }

    /** \brief Ends the connection immediately, without a closing handshake. */
    void abort();

    /** \brief Removes the event handlers, then ends the connection immediately. */
    void detach();

private:
    enum class phase { connecting, handshake, open, request, closing, ended };

    /** Runs \a function. The outermost call then writes pending output, and ends the connection if
     * it was aborted.
     */
    template<typename Function>
    void process(Function function);
    void completeProcessing();
    web_counters &counters() { return *m_settings.counters; }
    std::size_t unsentBytes() const { return m_output.size() - m_outputSent; }

    web_codec_events codecEvents();
    void handleOpened();
    void handleMessage(std::string_view message);
    void handleRequest(const http_request &request);
    void handleWritable(ev::io &, int);
    void handleReadable(ev::io &, int);
    void handleTimer(ev::timer &, int);

    void finishConnecting();
    void receive();
    void flush();
    void finishWriting();
    void checkIdle();
    void enterPhase(phase next, duration timeout);
    void end();

    ev::io m_readable;
    ev::io m_writable;
    ev::timer m_timer;
    file_descriptor m_fd;
    parameters m_settings;
    web_codec m_codec;
    phase m_phase = phase::handshake;
    std::string m_output;
    std::size_t m_outputSent = 0;
    time_point m_lastReceived;
    int m_processDepth = 0;
    bool m_wasOpened = false;
    bool m_codecFinished = false;
    bool m_aborted = false;
};

} // namespace sycamorespan::internal

#endif
