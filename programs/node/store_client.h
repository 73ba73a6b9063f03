#ifndef SYCAMORESPAN_PROGRAMS_NODE_STORE_CLIENT_H
#define SYCAMORESPAN_PROGRAMS_NODE_STORE_CLIENT_H

#include "platform/store_protocol.h"
#include "programs/node/event_guard.h"

#include "sycamorespan/src/Core/reference_clock.h"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/http_client.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace sycamorespan::node {

/** \brief Answer of the platform's store to one call. */
struct store_answer
{
    /** HTTP status. 0 means no answer: the store may have performed the call or still perform it.
     */
    int status = 0;
    platform::store_rows content; ///< filled for the statuses ok and conflict
    time_point sent;

    bool operator==(const store_answer &) const = default;

    bool succeeded() const { return status == platform::store_status::ok; }
};

/** \brief HTTP client of the platform's store. A process has one.
 *
 * Each answer also updates the reference clock and tells the era of the store. An answer of an era
 * before the newest known one counts as no answer: the store may have lost what it told or
 * accepted.
 */
class store_client
{
public:
    using answer_handler = std::function<void(const store_answer &)>;
    using era_handler = std::function<void(store_era)>;

    store_client(ev::loop_ref loop, const endpoint &address, event_guard &guard);

    /** \brief Sends \a request and calls \a onAnswer once, also after a failure.
     *  \param timeouts  timeouts; that of the answer includes the time for which the store may
     *                   hold the request back
     *  \param heldBack  time for which the store may hold the request back
     */
    void call(const http_request &request, const http_timeouts &timeouts, answer_handler onAnswer,
              duration heldBack = duration::zero());

    /** \brief Rows of a table whose keys are not before \c first and before \c end. An empty bound
     * does not limit the range.
     */
    struct row_range
    {
        std::string table;
        std::string first = {};
        std::string end = {};

        auto operator<=>(const row_range &) const = default;
    };

    /** \brief Reads all rows of \a range, page by page, and calls \a onAnswer once. The answer has
     * the revision and the clock of the first page, so that a change during the read is newer.
     * \param timeouts  timeouts of each page
     */
    void readAll(const row_range &range, const http_timeouts &timeouts, answer_handler onAnswer);

    /** \brief Sets what is called with each newer era, before the answer that named it is handled.
     */
    void onEra(era_handler handler) { m_onEra = std::move(handler); }
    /** \returns the newest known era of the store; 0 if it has named none. */
    store_era era() const { return m_era.value_or(0); }

    const reference_clock &clock() const { return m_clock; }

    /** \returns when the last valid answer arrived; nothing before the first one. */
    std::optional<time_point> lastAnswered() const { return m_lastAnswered; }

    /** \returns for how long calls have been without an answer, apart from the time for which the
     * store may hold a call back; nothing if no call waits and the last one was answered.
     */
    std::optional<duration> unansweredFor(time_point now) const;

    std::uint64_t calls() const { return m_calls; }
    std::uint64_t failures() const { return m_failures; }

private:
    void readPage(const row_range &range, const http_timeouts &timeouts, store_answer collected,
                  answer_handler onAnswer);
    bool noteEra(const http_response &response);
    void finish(const http_outcome &outcome, time_point sent, const answer_handler &onAnswer);

    event_guard &m_guard;
    http_client m_client;
    std::multiset<time_point> m_pendingSince;
    std::optional<time_point> m_unansweredSince; ///< start of the first call without an answer
    reference_clock m_clock;
    std::optional<store_era> m_era;
    era_handler m_onEra;
    std::optional<time_point> m_lastAnswered;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

} // namespace sycamorespan::node

#endif
