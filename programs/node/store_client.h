#ifndef SYCAMORESPAN_PROGRAMS_NODE_STORE_CLIENT_H
#define SYCAMORESPAN_PROGRAMS_NODE_STORE_CLIENT_H

#include "platform/store_protocol.h"

#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/http_client.h"

#include <functional>
#include <optional>
#include <string>

namespace sycamorespan::node {

/** \brief An answer of the platform's store. */
struct store_answer
{
    int status = 0; ///< HTTP status; 0: no answer, the call may have been performed or may yet be
    platform::store_rows content; ///< of statuses that carry rows
    time_point sent;

    bool operator==(const store_answer &) const = default;

    bool succeeded() const { return status == platform::store_status::ok; }
};

/** \brief The platform's store over HTTP: the process's only client for it.
 *
 * Each answer also sets the reference clock.
 */
class store_client
{
public:
    using answer_handler = std::function<void(const store_answer &)>;

    store_client(ev::loop_ref loop, const endpoint &address);

    /** \param timeout  bound on the call, beyond what the store itself waits */
    void call(const http_request &request, duration timeout, answer_handler onAnswer);

    const reference_clock &clock() const { return m_clock; }

    /** \returns when the last answer arrived; nothing before the first. */
    std::optional<time_point> lastAnswered() const { return m_lastAnswered; }

    std::uint64_t calls() const { return m_calls; }
    std::uint64_t failures() const { return m_failures; }

private:
    void finish(const http_outcome &outcome, time_point sent, const answer_handler &onAnswer);

    http_client m_client;
    reference_clock m_clock;
    std::optional<time_point> m_lastAnswered;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

} // namespace sycamorespan::node

#endif
