#include "sycamorespan/src/Failover/group_json.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

namespace sycamorespan {

namespace {

using nlohmann::json;

constexpr std::size_t maximumEntries = 1000;

/** Calls \a read with the parsed text and converts every error of the JSON library to decode_error.
 */
template<typename Read>
auto decode(std::string_view text, const Read &read)
{
    try {
        return read(json::parse(text));
    } catch (const json::exception &failure) {
        throw decode_error(std::string("group: ") + failure.what());
    }
}

const json &checkedArray(const json &value)
{
    if (!value.is_array() || value.size() > maximumEntries)
        throw decode_error("group: expected an array within the length limit");
    return value;
}

std::uint64_t checkedNumber(const json &value)
{
    if (!value.is_number_unsigned())
        throw decode_error("group: expected a number that is not negative");
    return value.get<std::uint64_t>();
}

log_position positionFrom(const json &value)
{
    return {checkedNumber(value.at("term")), checkedNumber(value.at("offset"))};
}

json positionTo(const log_position &position)
{
    return {{"term", position.term}, {"offset", position.offset}};
}

follower_position followerFrom(const json &value)
{
    return {server_id(value.at("server").get<std::string>()), positionFrom(value)};
}

group_member memberFrom(const json &value)
{
    return {server_id(value.at("server").get<std::string>()),
            value.at("address").get<std::string>(),
            data_centre_id(value.at("data_centre").get<std::string>())};
}

json memberTo(const group_member &member)
{
    return {{"server", member.server.str()},
            {"address", member.address},
            {"data_centre", member.dataCentre.str()}};
}

group_view viewFrom(const json &value)
{
    group_view view;
    view.database = database_id(value.at("database").get<std::string>());
    view.term = checkedNumber(value.at("term"));
    view.primary = server_id(value.at("primary").get<std::string>());
    std::ranges::transform(checkedArray(value.at("members")), std::back_inserter(view.members),
                           memberFrom);
    if (value.contains("base"))
        view.base = positionFrom(value.at("base"));
    view.state = value.at("served").get<bool>() ? group_state::served : group_state::unserved;
    return view;
}

} // namespace

std::vector<follower_position> parseFollowers(std::string_view text)
{
    return decode(text, [](const json &value) {
        std::vector<follower_position> followers;
        std::ranges::transform(checkedArray(value), std::back_inserter(followers), followerFrom);
        return followers;
    });
}

member_role parseMemberRole(std::string_view text)
{
    if (text == "primary")
        return member_role::primary;
    if (text == "replica")
        return member_role::replica;
    if (text == "fenced")
        return member_role::fenced;
    throw decode_error("group: unknown member role");
}

std::string groupViewToJson(const group_view &view)
{
    json members = json::array();
    std::ranges::transform(view.members, std::back_inserter(members), memberTo);
    json value{{"database", view.database.str()},
               {"term", view.term},
               {"primary", view.primary.str()},
               {"members", members},
               {"served", view.state == group_state::served}};
    if (view.base)
        value["base"] = positionTo(*view.base);
    return value.dump();
}

group_view groupViewFromJson(std::string_view text)
{
    return decode(text, viewFrom);
}

} // namespace sycamorespan
