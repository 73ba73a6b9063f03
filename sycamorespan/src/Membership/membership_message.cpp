#include "sycamorespan/src/Membership/membership_message.h"

#include "sycamorespan/src/Core/cbor.h"
#include "sycamorespan/src/Core/error.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

namespace sycamorespan {

namespace {

using nlohmann::json;

/** Levels of arrays in a message, with some to spare for later layouts. */
constexpr std::size_t maximumDepth = 8;

constexpr std::chrono::milliseconds maxContactAge = std::chrono::hours(24 * 365);

/** \brief Positions of a message's fields. */
enum message_field : std::size_t {
    senderField,
    senderBootField,
    senderVersionField,
    senderStateField,
    digestField,
    contactsField,
    updatesField,
    suspicionsField,
    isPageField,
    pageAfterField,
    messageFieldCount,
};

/** \brief Positions of a record's fields. */
enum record_field : std::size_t {
    idField,
    kindField,
    dataCentreField,
    addressField,
    bootField,
    versionField,
    stateField,
};

/** \brief Positions of a suspicion's fields. */
enum suspicion_field : std::size_t {
    subjectField,
    subjectIncarnationField,
    subjectVersionField,
    reporterField,
};

template<typename Range, typename Encode>
json encodeAll(const Range &range, Encode encodeOne)
{
    auto result = json::array();
    std::ranges::transform(range, std::back_inserter(result), encodeOne);
    return result;
}

template<typename Decode>
auto decodeAll(const json &encoded, Decode decodeOne)
{
    std::vector<std::invoke_result_t<Decode, const json &>> result;
    std::ranges::transform(encoded.get_ref<const json::array_t &>(), std::back_inserter(result),
                           decodeOne);
    return result;
}

json encodeRecord(const member &record)
{
    return json::array({record.id.str(), record.kind, record.dataCentre.str(), record.address,
                        record.incarnation, record.version, record.state});
}

/** \returns the enumerator with the encoded value.
 * \throws decode_error if the value is greater than that of \a last
 */
template<typename Enum>
Enum decodeEnum(const json &encoded, Enum last)
{
    const auto value = encoded.get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(last))
        throw decode_error("membership message: enumerator is out of range");
    return static_cast<Enum>(value);
}

member decodeRecord(const json &encoded)
{
    return {member_id(encoded.at(idField).get<std::string>()),
            decodeEnum(encoded.at(kindField), member_kind::backendServer),
            data_centre_id(encoded.at(dataCentreField).get<std::string>()),
            encoded.at(addressField).get<std::string>(),
            encoded.at(bootField).get<std::uint64_t>(),
            encoded.at(versionField).get<std::uint64_t>(),
            decodeEnum(encoded.at(stateField), member_state::removed)};
}

json encodeContact(const data_centre_contact &contact)
{
    return json::array({contact.dataCentre.str(), contact.age.count()});
}

data_centre_contact decodeContact(const json &encoded)
{
    const auto age = encoded.at(1).get<std::int64_t>();
    if (age < 0 || age > maxContactAge.count())
        throw decode_error("membership message: age of a data centre contact is out of range");
    return {data_centre_id(encoded.at(0).get<std::string>()), std::chrono::milliseconds(age)};
}

json encodeSuspicion(const suspicion &report)
{
    return json::array(
            {report.subject.str(), report.incarnation, report.version, report.reporter.str()});
}

suspicion decodeSuspicion(const json &encoded)
{
    return {member_id(encoded.at(subjectField).get<std::string>()),
            encoded.at(subjectIncarnationField).get<std::uint64_t>(),
            encoded.at(subjectVersionField).get<std::uint64_t>(),
            member_id(encoded.at(reporterField).get<std::string>())};
}

std::optional<member_id> decodePageAfter(const json &encoded)
{
    if (encoded.is_null())
        return std::nullopt;
    return member_id(encoded.get<std::string>());
}

} // namespace

std::vector<std::uint8_t> encodeMembershipMessage(const membership_message &message)
{
    return json::to_cbor(
            json::array({message.sender.str(), message.incarnation, message.version, message.state,
                         message.digest, encodeAll(message.contacts, encodeContact),
                         encodeAll(message.updates, encodeRecord),
                         encodeAll(message.suspicions, encodeSuspicion), message.isPage,
                         message.pageAfter ? json(message.pageAfter->str()) : json()}));
}

membership_message decodeMembershipMessage(const std::vector<std::uint8_t> &bytes)
{
    try {
        const auto encoded = parseCbor(bytes, maximumDepth);
        if (encoded.size() != messageFieldCount)
            throw decode_error("membership message: wrong number of fields");
        return {member_id(encoded.at(senderField).get<std::string>()),
                encoded.at(senderBootField).get<std::uint64_t>(),
                encoded.at(senderVersionField).get<std::uint64_t>(),
                decodeEnum(encoded.at(senderStateField), member_state::removed),
                encoded.at(digestField).get<std::uint64_t>(),
                decodeAll(encoded.at(contactsField), decodeContact),
                decodeAll(encoded.at(updatesField), decodeRecord),
                decodeAll(encoded.at(suspicionsField), decodeSuspicion),
                encoded.at(isPageField).get<bool>(),
                decodePageAfter(encoded.at(pageAfterField))};
    } catch (const json::exception &failure) {
        throw decode_error(std::string("membership message: ") + failure.what());
    }
}

} // namespace sycamorespan
