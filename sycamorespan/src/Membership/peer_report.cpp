#include "sycamorespan/src/Membership/peer_report.h"

#include "sycamorespan/src/Core/error.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

namespace sycamorespan {

namespace {

using nlohmann::json;

/** Of the layout below; a report of another layout is refused. */
constexpr int layoutVersion = 3;

json optionalTime(const std::optional<reference_time> &time)
{
    return time ? json(time->count()) : json(nullptr);
}

std::optional<reference_time> readOptionalTime(const json &value)
{
    if (value.is_null())
        return std::nullopt;
    return reference_time(value.get<std::int64_t>());
}

json positionFields(const std::optional<log_position> &position)
{
    return position ? json::array({position->term, position->offset}) : json(nullptr);
}

std::optional<log_position> readPosition(const json &value)
{
    if (value.is_null())
        return std::nullopt;
    return log_position{value.at(0).get<term_number>(), value.at(1).get<std::uint64_t>()};
}

template<typename Items, typename Encode>
json listOf(const Items &items, Encode encode)
{
    json list = json::array();
    std::ranges::for_each(items, [&](const auto &item) { list.push_back(encode(item)); });
    return list;
}

template<typename Item, typename Decode>
std::vector<Item> readList(const json &list, Decode decode)
{
    std::vector<Item> items;
    std::ranges::transform(list.get_ref<const json::array_t &>(), std::back_inserter(items),
                           decode);
    return items;
}

json viewFields(const primary_view &view)
{
    return json::array({view.database.str(), view.revision, view.primary.str(), view.term,
                        static_cast<int>(view.phase), view.planned, view.fence,
                        listOf(view.holders, [](const log_holder &holder) {
                            return json::array({holder.server.str(), holder.startedAtMs});
                        })});
}

primary_view readView(const json &fields)
{
    const auto phase = fields.at(4).get<int>();
    if (phase < 0 || phase > static_cast<int>(view_phase::ordered))
        throw decode_error("peer report: unknown phase " + std::to_string(phase));
    return {database_id(fields.at(0).get<std::string>()),
            fields.at(1).get<std::uint64_t>(),
            server_id(fields.at(2).get<std::string>()),
            fields.at(3).get<term_number>(),
            static_cast<view_phase>(phase),
            fields.at(5).get<bool>(),
            fields.at(6).get<std::uint64_t>(),
            readList<log_holder>(fields.at(7), [](const json &holder) {
                return log_holder{server_id(holder.at(0).get<std::string>()),
                                  holder.at(1).get<std::int64_t>()};
            })};
}

json databaseFields(const database_report &report)
{
    return json::array({report.database.str(), positionFields(report.floor), report.floorAt.count(),
                        report.released, report.primarySuspected, report.primaryDemoted,
                        report.primaryAnswers});
}

database_report readDatabase(const json &fields)
{
    return {database_id(fields.at(0).get<std::string>()),
            readPosition(fields.at(1)),
            reference_time(fields.at(2).get<std::int64_t>()),
            fields.at(3).get<std::uint64_t>(),
            fields.at(4).get<bool>(),
            fields.at(5).get<bool>(),
            fields.at(6).get<bool>()};
}

} // namespace

std::string encodePeerReport(const peer_report &report)
{
    const json fields = json::array(
            {layoutVersion, report.sender.instance.str(), report.sender.boot, report.sender.address,
             report.sender.dataCentre.str(), optionalTime(report.sentAt),
             report.configurationVersion, report.serversRevision, report.leaving,
             report.storeReachable, report.vouches, optionalTime(report.viewsConfirmed),
             listOf(report.views, viewFields), report.supervisor.str(), report.fence,
             optionalTime(report.supervisorSilence), listOf(report.databases, databaseFields),
             listOf(report.loads, [](const server_load_report &load) {
                 return json::array({load.server.str(), load.working});
             })});
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

peer_report decodePeerReport(std::string_view bytes)
{
    try {
        const auto fields = json::from_cbor(bytes);
        if (fields.at(0).get<int>() != layoutVersion)
            throw decode_error("peer report: unknown layout");
        peer_report report;
        report.sender = {instance_id(fields.at(1).get<std::string>()),
                         fields.at(2).get<std::uint64_t>(), fields.at(3).get<std::string>(),
                         data_centre_id(fields.at(4).get<std::string>())};
        report.sentAt = readOptionalTime(fields.at(5));
        report.configurationVersion = fields.at(6).get<std::uint64_t>();
        report.serversRevision = fields.at(7).get<std::uint64_t>();
        report.leaving = fields.at(8).get<bool>();
        report.storeReachable = fields.at(9).get<bool>();
        report.vouches = fields.at(10).get<bool>();
        report.viewsConfirmed = readOptionalTime(fields.at(11));
        report.views = readList<primary_view>(fields.at(12), readView);
        report.supervisor = instance_id(fields.at(13).get<std::string>());
        report.fence = fields.at(14).get<std::uint64_t>();
        report.supervisorSilence = readOptionalTime(fields.at(15));
        report.databases = readList<database_report>(fields.at(16), readDatabase);
        report.loads = readList<server_load_report>(fields.at(17), [](const json &load) {
            return server_load_report{server_id(load.at(0).get<std::string>()),
                                      load.at(1).get<std::uint32_t>()};
        });
        return report;
    } catch (const json::exception &failure) {
        throw decode_error(std::string("peer report: ") + failure.what());
    }
}

} // namespace sycamorespan
