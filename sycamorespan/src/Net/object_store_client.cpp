#include "sycamorespan/src/Net/object_store_client.h"

#include "sycamorespan/src/Net/internal/platform_answer.h"

#include <utility>

namespace sycamorespan {

namespace {

bool isNotFound(const http_outcome &outcome)
{
    const auto *response = std::get_if<http_response>(&outcome);
    return response != nullptr && response->status == internal::httpNotFound;
}

object_store_client::get_outcome toGetOutcome(const http_outcome &outcome)
{
    if (isNotFound(outcome))
        return stored_object{};
    return internal::toPlatformOutcome<stored_object>(
            outcome, [](const http_response &response) { return stored_object{response.body}; });
}

object_store_client::put_outcome toPutOutcome(const http_outcome &outcome)
{
    return internal::toPlatformOutcome<object_stored>(
            outcome, [](const http_response &) { return object_stored{}; });
}

} // namespace

object_store_client::object_store_client(http_client &client)
    : m_client(client)
{ }

void object_store_client::get(const std::string &name,
                              std::function<void(const get_outcome &)> onOutcome)
{
    m_client.send({"GET", "/v1/objects/" + name, ""},
                  [handler = std::move(onOutcome)](const http_outcome &outcome) {
                      handler(toGetOutcome(outcome));
                  });
}

void object_store_client::put(const std::string &name, const std::string &bytes,
                              std::function<void(const put_outcome &)> onOutcome)
{
    m_client.send({"PUT", "/v1/objects/" + name, bytes},
                  [handler = std::move(onOutcome)](const http_outcome &outcome) {
                      handler(toPutOutcome(outcome));
                  });
}

} // namespace sycamorespan
