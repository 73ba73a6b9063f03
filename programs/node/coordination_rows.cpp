#include "programs/node/coordination_rows.h"

#include "sycamorespan/src/Core/json_integer.h"
#include "sycamorespan/src/Net/endpoint.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace sycamorespan::node::coordination_rows {

namespace {

using nlohmann::json;

constexpr std::string_view holdersPrefix = "holders/";
constexpr std::string_view instancePrefix = "instance/";

/** Decodes the JSON object \a value by calling \a read.
 * \returns nothing when \a value is not a JSON object, lacks a field or has one of another type
 */
template<typename Result, typename Read>
std::optional<Result> decode(std::string_view value, Read read)
{
    const auto fields = json::parse(value, nullptr, false);
    if (!fields.is_object())
        return std::nullopt;
    try {
        return read(fields);
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const decode_error &) {
        return std::nullopt;
    }
}

template<typename Integer>
Integer integerAt(const json &fields, const char *name)
{
    return toInteger<Integer>(fields.at(name));
}

json holdersToJson(const std::vector<log_holder> &holders)
{
    auto list = json::array();
    std::ranges::for_each(holders, [&](const log_holder &holder) {
        list.push_back({{"server", holder.server.str()}, {"started_at", holder.startedAtMs}});
    });
    return list;
}

std::vector<log_holder> holdersFromJson(const json &list)
{
    std::vector<log_holder> holders;
    for (const auto &holder : list)
        holders.push_back({server_id(holder.at("server").get<std::string>()),
                           integerAt<std::int64_t>(holder, "started_at")});
    return holders;
}

} // namespace

std::string viewKey(const database_id &database)
{
    return viewKeysBegin + database.str();
}

std::string holdersKey(const database_id &database)
{
    return std::string(holdersPrefix) + database.str();
}

std::string instanceKey(const instance_id &instance)
{
    return std::string(instancePrefix) + instance.str();
}

bool isViewKey(std::string_view key)
{
    return key.starts_with(viewKeysBegin);
}

std::optional<database_id> databaseOfHoldersKey(std::string_view key)
{
    if (!key.starts_with(holdersPrefix))
        return std::nullopt;
    return database_id(std::string(key.substr(holdersPrefix.size())));
}

bool isInstanceKey(std::string_view key)
{
    return key.starts_with(instancePrefix);
}

std::string encode(const std::vector<log_holder> &holders)
{
    return json{{"holders", holdersToJson(holders)}}.dump();
}

std::string encode(const primary_view &view)
{
    return json{{"database", view.database.str()},
                {"primary", view.primary.str()},
                {"term", view.term},
                {"phase", static_cast<int>(view.phase)},
                {"planned", view.planned},
                {"fence", view.fencingToken},
                {"holders", holdersToJson(view.holders)}}
            .dump();
}

std::string encode(const supervisor_claim &claim)
{
    return json{{"holder", claim.holder.str()},
                {"boot", claim.incarnation},
                {"fence", claim.fencingToken},
                {"era_began", claim.eraBegan.count()}}
            .dump();
}

std::string encode(const instance_incarnation &incarnation)
{
    return json{{"instance", incarnation.instance.str()},
                {"boot", incarnation.incarnation},
                {"address", incarnation.address},
                {"data_centre", incarnation.dataCentre.str()},
                {"capacity", incarnation.capacity}}
            .dump();
}

std::optional<primary_view> decodeView(std::string_view value, row_revision revision)
{
    return decode<primary_view>(value, [&](const json &fields) -> std::optional<primary_view> {
        const auto phase = integerAt<int>(fields, "phase");
        if (phase < 0 || phase > static_cast<int>(view_phase::ordered))
            return std::nullopt;
        return primary_view{database_id(fields.at("database").get<std::string>()),
                            revision,
                            server_id(fields.at("primary").get<std::string>()),
                            integerAt<term_number>(fields, "term"),
                            static_cast<view_phase>(phase),
                            fields.at("planned").get<bool>(),
                            integerAt<fencing_token>(fields, "fence"),
                            holdersFromJson(fields.at("holders"))};
    });
}

std::optional<std::vector<log_holder>> decodeHolders(std::string_view value)
{
    return decode<std::vector<log_holder>>(value, [](const json &fields) {
        return std::optional(holdersFromJson(fields.at("holders")));
    });
}

std::optional<supervisor_claim> decodeClaim(std::string_view value, row_revision revision)
{
    return decode<supervisor_claim>(value, [&](const json &fields) {
        supervisor_claim claim{revision, instance_id(fields.at("holder").get<std::string>()),
                               integerAt<std::uint64_t>(fields, "boot"),
                               integerAt<fencing_token>(fields, "fence")};
        if (fields.contains("era_began")) // earlier releases do not write it
            claim.eraBegan = reference_time(integerAt<std::int64_t>(fields, "era_began"));
        return std::optional(std::move(claim));
    });
}

std::optional<instance_incarnation> decodeInstance(std::string_view value)
{
    return decode<instance_incarnation>(value, [&](const json &fields) {
        auto address = fields.at("address").get<std::string>();
        static_cast<void>(parseEndpoint(address)); // reports are sent to it
        return std::optional(instance_incarnation{
                instance_id(fields.at("instance").get<std::string>()),
                integerAt<std::uint64_t>(fields, "boot"), std::move(address),
                data_centre_id(fields.at("data_centre").get<std::string>()),
                fields.contains("capacity") ? integerAt<std::uint32_t>(fields, "capacity") : 0});
    });
}

} // namespace sycamorespan::node::coordination_rows
