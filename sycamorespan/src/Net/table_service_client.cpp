#include "sycamorespan/src/Net/table_service_client.h"

#include "sycamorespan/src/Net/internal/platform_answer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace sycamorespan {

table_service_client::table_service_client(http_client &client)
    : m_client(client)
{ }

void table_service_client::run(const table_transaction &transaction,
                               std::function<void(const outcome &)> onOutcome)
{
    const auto decode = [](const http_response &response) {
        return nlohmann::json::parse(response.body).get<table_result>();
    };
    m_client.send({"POST", "/v1/transactions", nlohmann::json(transaction).dump()},
                  [decode, handler = std::move(onOutcome)](const http_outcome &result) {
                      handler(internal::toPlatformOutcome<table_result>(result, decode));
                  });
}

} // namespace sycamorespan
