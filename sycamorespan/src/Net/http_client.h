#ifndef SYCAMORESPAN_NET_HTTP_CLIENT_H
#define SYCAMORESPAN_NET_HTTP_CLIENT_H

#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Net/http_message.h"

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan {

/** \brief No byte of the request was sent. */
struct http_not_sent
{
    std::string reason;

    bool operator==(const http_not_sent &) const = default;
};

/** \brief The request was sent, in part at least, and has no complete answer. */
struct http_unanswered
{
    std::string reason;

    bool operator==(const http_unanswered &) const = default;
};

/** \brief How an HTTP request ended. */
using http_outcome = std::variant<http_response, http_not_sent, http_unanswered>;

/** \brief HTTP client by libcurl on a libev loop.
 *
 * Each request has a connection of its own: libcurl may repeat a request by itself on a connection
 * that it reuses, and a request that may not be repeated would run twice.
 */
class http_client
{
public:
    using outcome_handler = std::function<void(const http_outcome &)>;

    /** \param loop       event loop
     * \param baseUrl     scheme, address and port, such as "http://127.0.0.1:7000"
     * \param timeout     bound on a whole request, connecting included
     */
    http_client(ev::loop_ref loop, std::string baseUrl, duration timeout);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** \brief Sends \a request; \a onOutcome is called once, later, from the loop. Nothing is
     * called any more once the client is destroyed.
     */
    void send(const http_request &request, outcome_handler onOutcome);

    /** \brief As above, with a bound of its own on this request. */
    void send(const http_request &request, duration timeout, outcome_handler onOutcome);

    /** \returns requests without an outcome yet. */
    std::size_t pendingCount() const { return m_requests.size(); }

private:
    struct socket_watcher;
    struct pending_request;
    struct callbacks;
    struct multi_handle;

    void handleTimer(ev::timer &, int);
    void advance(int socket, int events);
    void reportFinished();

    ev::loop_ref m_loop;
    ev::timer m_timer;
    std::string m_baseUrl;
    duration m_timeout;
    std::map<int, std::unique_ptr<socket_watcher>> m_sockets;
    std::unique_ptr<multi_handle> m_multi;
    std::map<void *, std::unique_ptr<pending_request>> m_requests;
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

} // namespace sycamorespan

#endif
