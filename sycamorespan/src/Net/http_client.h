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

/** \brief Outcome of an HTTP request of which no byte was sent. */
struct http_not_sent
{
    std::string reason;

    bool operator==(const http_not_sent &) const = default;
};

/** \brief Outcome of an HTTP request that was sent at least in part and got no complete answer. */
struct http_unanswered
{
    std::string reason;

    bool operator==(const http_unanswered &) const = default;
};

/** \brief Outcome of an HTTP request. */
using http_outcome = std::variant<http_response, http_not_sent, http_unanswered>;

/** \brief Timeouts of an HTTP request. */
struct http_timeouts
{
    /** Not explicit, as most requests have only one timeout. */
    constexpr http_timeouts(duration answerTimeout, duration transferTimeout = {})
        : answer(answerTimeout)
        , transfer(transferTimeout)
    { }

    duration answer; ///< until the answer begins, including the connection attempt
    /** Additional time in which an answer that has begun must be complete. Large answers over
     * narrow links need it.
     */
    duration transfer;

    auto operator<=>(const http_timeouts &) const = default;
};

/** \brief HTTP client that runs libcurl on a libev loop.
 *
 * Each request uses a new connection. On a reused connection, libcurl may repeat a request without
 * being told to, so that a request that is not idempotent would run twice.
 */
class http_client
{
public:
    using outcome_handler = std::function<void(const http_outcome &)>;

    /** \param loop       event loop
     * \param baseUrl     scheme, address and port, such as "http://127.0.0.1:7000"
     * \param timeout     timeout of a whole request, including the connection attempt
     */
    http_client(ev::loop_ref loop, std::string baseUrl, duration timeout);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** \brief Sends \a request. \a onOutcome is called once, later, from the loop, unless the
     * client is destroyed before.
     */
    void send(const http_request &request, outcome_handler onOutcome);

    /** \brief Sends \a request with \a timeouts in place of the client's timeout. */
    void send(const http_request &request, const http_timeouts &timeouts,
              outcome_handler onOutcome);

    /** \returns the number of requests that have no outcome yet. */
    std::size_t pendingCount() const { return m_requests.size(); }

private:
    struct socket_watcher;
    struct pending_request;
    struct callbacks;
    struct multi_handle;

    void handleTimer(ev::timer &, int);
    void processTransfers(int socket, int events);
    void reportFinishedRequests();
    void report(void *request, int code);

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
