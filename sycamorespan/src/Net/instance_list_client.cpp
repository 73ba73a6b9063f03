#include "sycamorespan/src/Net/instance_list_client.h"

#include "sycamorespan/src/Net/internal/platform_answer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace sycamorespan {

namespace {

instance_state stateFromText(const std::string &text)
{
    if (text == "live")
        return instance_state::live;
    if (text == "leaving")
        return instance_state::leaving;
    throw decode_error("unknown instance state in the instance list: " + text);
}

/** Decodes the list entry by entry, because one that can't be decoded must not hide the others. */
instance_list decodeList(const http_response &response)
{
    instance_list list;
    const auto document = nlohmann::json::parse(response.body);
    std::size_t position = 0;
    for (const auto &entry : document.at("instances").get_ref<const nlohmann::json::array_t &>()) {
        try {
            list.instances.push_back(entry.get<listed_instance>());
        } catch (const std::exception &failure) {
            list.rejected.push_back("#" + std::to_string(position) + ": " + failure.what());
        }
        ++position;
    }
    return list;
}

} // namespace

void to_json(nlohmann::json &json, const listed_instance &entry)
{
    json = {{"instance", entry.instance.str()},
            {"data_centre", entry.dataCentre.str()},
            {"address", entry.address.str()},
            {"state", entry.state == instance_state::live ? "live" : "leaving"}};
}

void from_json(const nlohmann::json &json, listed_instance &entry)
{
    entry.instance = instance_id(json.at("instance").get<std::string>());
    entry.dataCentre = data_centre_id(json.at("data_centre").get<std::string>());
    entry.address = parseEndpoint(json.at("address").get<std::string>());
    if (entry.address.port == 0)
        throw decode_error("the address of instance " + entry.instance.str() + " has no port");
    entry.state = stateFromText(json.at("state"));
}

instance_list_client::instance_list_client(http_client &client)
    : m_client(client)
{ }

void instance_list_client::get(std::function<void(const outcome &)> onOutcome)
{
    m_client.send({"GET", "/v1/instances", ""},
                  [handler = std::move(onOutcome)](const http_outcome &result) {
                      handler(internal::toPlatformOutcome<instance_list>(result, decodeList));
                  });
}

} // namespace sycamorespan
