#include "programs/node/store_client.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/clock.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorespan::node {

namespace {

/** Timeout of calls that give none. */
constexpr duration defaultTimeout = 1s;

} // namespace

store_client::store_client(ev::loop_ref loop, const endpoint &address, event_guard &guard)
    : m_guard(guard)
    , m_client(loop, "http://" + address.str(), defaultTimeout)
{ }

void store_client::call(const http_request &request, const http_timeouts &timeouts,
                        answer_handler onAnswer, duration heldBack)
{
    ++m_calls;
    const auto sent = suspendAwareNow();
    const auto pending = m_pendingSince.insert(sent + heldBack);
    m_client.send(
            request, timeouts,
            [this, sent, pending, handler = std::move(onAnswer)](const http_outcome &outcome) {
                const auto waitingSince = *pending;
                m_pendingSince.erase(pending);
                if (std::holds_alternative<http_response>(outcome))
                    m_unansweredSince.reset();
                else if (!m_unansweredSince)
                    m_unansweredSince = waitingSince;
                finish(outcome, sent, handler);
            });
}

void store_client::readAll(const row_range &range, const http_timeouts &timeouts,
                           answer_handler onAnswer)
{
    readPage(range, timeouts, {}, std::move(onAnswer));
}

/** Reads the page that follows the rows of \a collected. */
void store_client::readPage(const row_range &range, const http_timeouts &timeouts,
                            store_answer collected, answer_handler onAnswer)
{
    const bool isFirst = collected.content.rows.empty();
    const auto from = isFirst ? range.first : collected.content.rows.back().key;
    call(platform::readRows(range.table, from, range.end), timeouts,
         [this, range, timeouts, isFirst, from, collected = std::move(collected),
          handler = std::move(onAnswer)](const store_answer &page) mutable {
             if (!page.succeeded())
                 return handler(page);
             if (isFirst) {
                 collected = page;
             } else {
                 // The range of a request includes its first key, which the last page ended with.
                 std::ranges::copy_if(
                         page.content.rows, std::back_inserter(collected.content.rows),
                         [&](const platform::store_row &row) { return row.key > from; });
             }
             auto &rows = collected.content.rows;
             const bool hasMore = page.content.more && !rows.empty() && rows.back().key > from;
             if (hasMore)
                 return readPage(range, timeouts, std::move(collected), std::move(handler));
             handler(collected);
         });
}

std::optional<duration> store_client::unansweredFor(time_point now) const
{
    auto since = m_unansweredSince;
    if (!since && !m_pendingSince.empty())
        since = *m_pendingSince.begin();
    return since && now >= *since ? std::optional(now - *since) : std::nullopt;
}

/** \returns whether the answer is of the newest era. */
bool store_client::noteEra(const http_response &response)
{
    const auto era = platform::decodeEra(response);
    if (!era)
        return !m_era; // a store that names eras names one in each answer
    if (m_era && *era <= *m_era)
        return *era == *m_era;
    m_era = era;
    if (m_onEra)
        m_guard.run("era of the store", [&] { m_onEra(*era); });
    return true;
}

void store_client::finish(const http_outcome &outcome, time_point sent,
                          const answer_handler &onAnswer)
{
    store_answer answer;
    answer.sent = sent;
    if (const auto *response = std::get_if<http_response>(&outcome)) {
        const bool isOfNewestEra = noteEra(*response);
        const bool carriesRows = response->status == platform::store_status::ok
                                 || response->status == platform::store_status::conflict;
        answer.status = carriesRows && !isOfNewestEra ? 0 : response->status;
        try {
            if (carriesRows && isOfNewestEra) {
                answer.content = platform::decodeRows(response->body, era());
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
    m_guard.run("answer of the store", [&] { onAnswer(answer); });
}

} // namespace sycamorespan::node
