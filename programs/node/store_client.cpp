#include "programs/node/store_client.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/clock.h"

#include <utility>

namespace sycamorespan::node {

namespace {

/** Timeout of calls that give none. */
constexpr duration defaultTimeout = 1s;

} // namespace

store_client::store_client(ev::loop_ref loop, const endpoint &address)
    : m_client(loop, "http://" + address.str(), defaultTimeout)
{ }

void store_client::call(const http_request &request, duration timeout, answer_handler onAnswer)
{
    ++m_calls;
    const auto sent = suspendAwareNow();
    m_client.send(request, timeout,
                  [this, sent, handler = std::move(onAnswer)](const http_outcome &outcome) {
                      finish(outcome, sent, handler);
                  });
}

void store_client::finish(const http_outcome &outcome, time_point sent,
                          const answer_handler &onAnswer)
{
    store_answer answer;
    answer.sent = sent;
    if (const auto *response = std::get_if<http_response>(&outcome)) {
        answer.status = response->status;
        const bool carriesRows = response->status == platform::store_status::ok
                                 || response->status == platform::store_status::conflict;
        try {
            if (carriesRows) {
                answer.content = platform::decodeRows(response->body);
                const auto now = suspendAwareNow();
                m_clock.observe(sent, now, answer.content.clock);
                m_lastAnswered = now;
            }
        } catch (const decode_error &) {
            answer.status = 0; // truncated answer: the store may have performed the call
        }
    }
    if (answer.status == 0 || answer.status >= 500
        || answer.status == platform::store_status::tooManyRequests)
        ++m_failures;
    onAnswer(answer);
}

} // namespace sycamorespan::node
