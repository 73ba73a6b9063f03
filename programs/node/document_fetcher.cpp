#include "programs/node/document_fetcher.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/clock.h"
#include "sycamorespan/src/Net/compression.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sycamorespan::node {

namespace {

/** Minimum time between two fetches. */
constexpr duration fetchInterval = 300ms;
/** Largest random delay of a fetch. It spreads the load on the instance that has the document. */
constexpr duration maxFetchDelay = 60ms;
/** Timeouts of a fetch. A large configuration takes a second over a link that callers use too. */
constexpr http_timeouts fetchTimeouts{500ms, 2500ms};
/** Greatest length of a document, 30 times a configuration of 2,000 routes. */
constexpr std::size_t maximumDocumentBytes = std::size_t{16} << 20;

} // namespace

document_fetcher::document_fetcher(ev::loop_ref loop, event_log &log, event_guard &guard,
                                   random_source random)
    : m_loop(loop)
    , m_log(log)
    , m_guard(guard)
    , m_random(std::move(random))
    , m_timer(loop, [this] { m_guard.run("fetch from another instance", [this] { fetch(); }); })
{ }

void document_fetcher::add(const std::string &path, handlers callbacks)
{
    m_documents.emplace(path, std::move(callbacks));
}

void document_fetcher::request(const std::string &path, const std::string &address)
{
    if (isTransferred(path))
        return;
    m_requested.insert_or_assign(path, address);
    if (m_timer.isActive())
        return;
    const auto earliest = m_lastFetchAt + fetchInterval - suspendAwareNow();
    const auto delay = fromSeconds(toSeconds(maxFetchDelay) * uniformUnit(m_random));
    m_timer.startOnce(std::max(earliest, delay));
}

void document_fetcher::fetch()
{
    m_lastFetchAt = suspendAwareNow();
    for (const auto &[path, address] : std::exchange(m_requested, {}))
        fetch(path, address);
}

void document_fetcher::fetch(const std::string &path, const std::string &address)
{
    auto &client = m_clients[path];
    client = std::make_unique<http_client>(m_loop, "http://" + address, fetchTimeouts.answer);
    client->send({"GET", path, ""}, fetchTimeouts,
                 [this, path, address](const http_outcome &outcome) {
                     m_guard.run("document of another instance",
                                 [&] { handle(path, address, outcome); });
                 });
}

bool document_fetcher::isTransferred(const std::string &path) const
{
    const auto client = m_clients.find(path);
    return client != m_clients.end() && client->second->pendingCount() > 0;
}

void document_fetcher::handle(const std::string &path, const std::string &address,
                              const http_outcome &outcome)
{
    const auto &document = m_documents.at(path);
    const auto *response = std::get_if<http_response>(&outcome);
    std::optional<std::string> body;
    std::string cause = response ? "status " + std::to_string(response->status) : "no answer";
    if (response && response->status == 200) {
        try {
            body = decompress(response->body, maximumDocumentBytes);
        } catch (const decode_error &failure) {
            cause = failure.what();
        }
    }
    if (body)
        return document.onDocument(*body);
    m_log.write(line_importance::failure,
                "fetch from another instance failed, reading from the store",
                {{"address", address}, {"path", path}, {"error", cause}}, suspendAwareNow());
    document.onFailure();
}

} // namespace sycamorespan::node
