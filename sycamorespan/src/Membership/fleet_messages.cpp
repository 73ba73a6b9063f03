#include "sycamorespan/src/Membership/fleet_messages.h"

#include "sycamorespan/src/Core/cbor.h"
#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/json_revision.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace sycamorespan {

namespace {

using nlohmann::json;

/** Levels of arrays in a message, with some to spare for later layouts. */
constexpr std::size_t maximumDepth = 8;

/** Version of the layout of the reports; a report of another version is rejected. */
constexpr int layoutVersion = 4;

json encodeOptionalTime(const std::optional<reference_time> &time)
{
    return time ? json(time->count()) : json(nullptr);
}

std::optional<reference_time> decodeOptionalTime(const json &value)
{
    if (value.is_null())
        return std::nullopt;
    return reference_time(toInteger<std::int64_t>(value));
}

template<typename Items, typename Encode>
json encodeList(const Items &items, Encode encodeItem)
{
    json list = json::array();
    std::ranges::for_each(items, [&](const auto &item) { list.push_back(encodeItem(item)); });
    return list;
}

template<typename Item, typename Decode>
std::vector<Item> decodeList(const json &list, Decode decodeItem)
{
    std::vector<Item> items;
    std::ranges::transform(list.get_ref<const json::array_t &>(), std::back_inserter(items),
                           decodeItem);
    return items;
}

json encodeIncarnation(const instance_incarnation &sender)
{
    return json::array({sender.instance.str(), sender.incarnation, sender.address,
                        sender.dataCentre.str(), sender.capacity});
}

instance_incarnation decodeIncarnation(const json &fields)
{
    return {instance_id(fields.at(0).get<std::string>()), toInteger<std::uint64_t>(fields.at(1)),
            fields.at(2).get<std::string>(), data_centre_id(fields.at(3).get<std::string>()),
            toInteger<std::uint32_t>(fields.at(4))};
}

json encodeView(const primary_view &view)
{
    return json::array({view.database.str(), view.revision, view.primary.str(), view.term,
                        static_cast<int>(view.phase), view.planned, view.fencingToken,
                        encodeList(view.holders, [](const log_holder &holder) {
                            return json::array({holder.server.str(), holder.startedAtMs});
                        })});
}

primary_view decodeView(const json &fields)
{
    const auto phase = toInteger<int>(fields.at(4));
    if (phase < 0 || phase > static_cast<int>(view_phase::ordered))
        throw decode_error("report: unknown primary view phase " + std::to_string(phase));
    return {database_id(fields.at(0).get<std::string>()),
            toRevision<row_revision>(fields.at(1)),
            server_id(fields.at(2).get<std::string>()),
            toInteger<term_number>(fields.at(3)),
            static_cast<view_phase>(phase),
            fields.at(5).get<bool>(),
            toInteger<fencing_token>(fields.at(6)),
            decodeList<log_holder>(fields.at(7), [](const json &holder) {
                return log_holder{server_id(holder.at(0).get<std::string>()),
                                  toInteger<std::int64_t>(holder.at(1))};
            })};
}

json encodeObservation(const primary_observation &each)
{
    return json::array(
            {each.database.str(), each.viewRevision, each.suspecting, each.demoted, each.answered});
}

primary_observation decodeObservation(const json &fields)
{
    return {database_id(fields.at(0).get<std::string>()), toRevision<row_revision>(fields.at(1)),
            toInteger<std::uint32_t>(fields.at(2)), toInteger<std::uint32_t>(fields.at(3)),
            toInteger<std::uint32_t>(fields.at(4))};
}

json encodeFloor(const floor_report &floor)
{
    return json::array({floor.database.str(), floor.position.term, floor.position.offset,
                        floor.coversCommitsUntil.count()});
}

floor_report decodeFloor(const json &fields)
{
    return {database_id(fields.at(0).get<std::string>()),
            {toInteger<term_number>(fields.at(1)), toInteger<std::uint64_t>(fields.at(2))},
            reference_time(toInteger<std::int64_t>(fields.at(3)))};
}

constexpr double limitUnits = 10; ///< in a statement
constexpr double slownessUnits = 100; ///< in a slowness of 1

/** The capacity follows the fields that every instance reads; earlier releases ignore it. */
json encodeLoad(const server_load_report &load)
{
    auto fields = json::array({load.server.str(), load.runningStatements});
    if (load.capacity) {
        const auto toUnits = [](double value, double units) {
            return std::max(std::llround(value * units), 1LL);
        };
        fields.push_back(toUnits(load.capacity->limit, limitUnits));
        fields.push_back(toUnits(load.capacity->slowness, slownessUnits));
        fields.push_back(load.capacity->samples);
    }
    return fields;
}

server_load_report decodeLoad(const json &fields)
{
    server_load_report load{server_id(fields.at(0).get<std::string>()),
                            toInteger<std::uint32_t>(fields.at(1)), std::nullopt};
    if (fields.size() > 2)
        load.capacity = member_capacity{toInteger<std::uint32_t>(fields.at(2)) / limitUnits,
                                        toInteger<std::uint32_t>(fields.at(3)) / slownessUnits,
                                        toInteger<std::uint32_t>(fields.at(4))};
    if (load.capacity && (load.capacity->limit <= 0 || load.capacity->slowness <= 0))
        throw decode_error("report: capacity of a server that is not above 0");
    return load;
}

json encodeNews(const fleet_news &news)
{
    return json::array({news.configurationVersion, news.serversRevision, news.instancesDigest,
                        news.instancesReadAt.count(), news.viewsDigest,
                        encodeOptionalTime(news.viewsConfirmed), encodeList(news.views, encodeView),
                        news.supervisor.str(), news.fencingToken,
                        encodeList(news.floors, encodeFloor), news.evacuationsRevision});
}

fleet_news decodeNews(const json &fields)
{
    fleet_news news;
    news.configurationVersion = toInteger<std::uint64_t>(fields.at(0));
    news.serversRevision = toRevision<store_revision>(fields.at(1));
    news.instancesDigest = toInteger<std::uint64_t>(fields.at(2));
    news.instancesReadAt = reference_time(toInteger<std::int64_t>(fields.at(3)));
    news.viewsDigest = toInteger<std::uint64_t>(fields.at(4));
    news.viewsConfirmed = decodeOptionalTime(fields.at(5));
    news.views = decodeList<primary_view>(fields.at(6), decodeView);
    news.supervisor = instance_id(fields.at(7).get<std::string>());
    news.fencingToken = toInteger<fencing_token>(fields.at(8));
    news.floors = decodeList<floor_report>(fields.at(9), decodeFloor);
    if (fields.size() > 10) // instances of earlier versions do not send it
        news.evacuationsRevision = toRevision<store_revision>(fields.at(10));
    return news;
}

// The flags are bits of one number, as a state has an entry for each instance.
constexpr unsigned attestsBit = 1;
constexpr unsigned storeReachableBit = 2;
constexpr unsigned shuttingDownBit = 4;
constexpr unsigned knowsSameInstancesBit = 8;

json encodeFlags(const instance_flags &flags)
{
    return (flags.attests ? attestsBit : 0U) | (flags.storeReachable ? storeReachableBit : 0U)
           | (flags.shuttingDown ? shuttingDownBit : 0U)
           | (flags.knowsSameInstances ? knowsSameInstancesBit : 0U);
}

instance_flags decodeFlags(const json &value)
{
    const auto bits = toInteger<unsigned>(value);
    return {(bits & attestsBit) != 0, (bits & storeReachableBit) != 0,
            (bits & shuttingDownBit) != 0, (bits & knowsSameInstancesBit) != 0};
}

/** \returns the entries as one list, in which the flags follow each incarnation. */
json encodeInstances(const std::vector<instance_entry> &instances)
{
    json list = json::array();
    std::ranges::for_each(instances, [&](const instance_entry &each) {
        list.push_back(each.incarnation);
        list.push_back(encodeFlags(each.flags));
    });
    return list;
}

std::vector<instance_entry> decodeInstances(const json &list)
{
    const auto &fields = list.get_ref<const json::array_t &>();
    if (fields.size() % 2 != 0)
        throw decode_error("report: an instance has no flags");
    std::vector<instance_entry> instances;
    for (std::size_t index = 0; index < fields.size(); index += 2)
        instances.push_back(
                {toInteger<std::uint64_t>(fields[index]), decodeFlags(fields[index + 1])});
    return instances;
}

json encodeState(const data_centre_state &state)
{
    return json::array(
            {state.dataCentre.str(), state.relay, state.age.count(), state.instancesDigest,
             state.viewsDigest, encodeOptionalTime(state.attestedAt), state.releasedThrough,
             encodeInstances(state.instances), encodeList(state.observations, encodeObservation),
             encodeList(state.loads, encodeLoad)});
}

data_centre_state decodeState(const json &fields)
{
    data_centre_state state;
    state.dataCentre = data_centre_id(fields.at(0).get<std::string>());
    state.relay = toInteger<std::uint64_t>(fields.at(1));
    state.age = duration(toInteger<std::int64_t>(fields.at(2)));
    state.instancesDigest = toInteger<std::uint64_t>(fields.at(3));
    state.viewsDigest = toInteger<std::uint64_t>(fields.at(4));
    state.attestedAt = decodeOptionalTime(fields.at(5));
    state.releasedThrough = toRevision<row_revision>(fields.at(6));
    state.instances = decodeInstances(fields.at(7));
    state.observations = decodeList<primary_observation>(fields.at(8), decodeObservation);
    state.loads = decodeList<server_load_report>(fields.at(9), decodeLoad);
    if (state.age < duration::zero())
        throw decode_error("report: negative age of the state of a data centre");
    return state;
}

std::string toBytes(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

/** Parses a report and checks its layout, then calls \a read with its fields. */
template<typename Report, typename Read>
Report decodeReport(std::string_view bytes, Read read)
{
    try {
        const auto fields = parseCbor(bytes, maximumDepth);
        if (toInteger<int>(fields.at(0)) != layoutVersion)
            throw decode_error("report: unsupported layout version");
        return read(fields);
    } catch (const json::exception &failure) {
        throw decode_error(std::string("report: ") + failure.what());
    }
}

} // namespace

member_capacity merge(const member_capacity &one, const member_capacity &other)
{
    const auto samples = one.samples + other.samples;
    if (samples == 0)
        return one;
    const double share = static_cast<double>(other.samples) / static_cast<double>(samples);
    return {one.limit + share * (other.limit - one.limit),
            one.slowness + share * (other.slowness - one.slowness), samples};
}

std::string encode(const instance_report &report)
{
    return toBytes(json::array({layoutVersion, encodeIncarnation(report.sender),
                                encodeOptionalTime(report.sentAt), encodeNews(report.news),
                                encodeFlags(report.flags), report.releasedThrough,
                                encodeList(report.observations, encodeObservation),
                                encodeList(report.loads, encodeLoad)}));
}

std::string encode(const relay_report &report)
{
    return toBytes(json::array({layoutVersion, encodeIncarnation(report.sender),
                                encodeOptionalTime(report.sentAt), encodeNews(report.news),
                                encodeList(report.dataCentres, encodeState)}));
}

instance_report decodeInstanceReport(std::string_view bytes)
{
    return decodeReport<instance_report>(bytes, [](const json &fields) {
        instance_report report;
        report.sender = decodeIncarnation(fields.at(1));
        report.sentAt = decodeOptionalTime(fields.at(2));
        report.news = decodeNews(fields.at(3));
        report.flags = decodeFlags(fields.at(4));
        report.releasedThrough = toRevision<row_revision>(fields.at(5));
        report.observations = decodeList<primary_observation>(fields.at(6), decodeObservation);
        report.loads = decodeList<server_load_report>(fields.at(7), decodeLoad);
        return report;
    });
}

relay_report decodeRelayReport(std::string_view bytes)
{
    return decodeReport<relay_report>(bytes, [](const json &fields) {
        relay_report report;
        report.sender = decodeIncarnation(fields.at(1));
        report.sentAt = decodeOptionalTime(fields.at(2));
        report.news = decodeNews(fields.at(3));
        report.dataCentres = decodeList<data_centre_state>(fields.at(4), decodeState);
        return report;
    });
}

std::uint64_t digestOf(const std::vector<instance_incarnation> &instances)
{
    std::uint64_t digest = 0;
    std::ranges::for_each(instances, [&](const instance_incarnation &each) {
        const auto &name = each.instance.str();
        digest += XXH3_64bits_withSeed(name.data(), name.size(), each.incarnation);
    });
    return digest;
}

} // namespace sycamorespan
