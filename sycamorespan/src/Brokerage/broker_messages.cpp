#include "sycamorespan/src/Brokerage/broker_messages.h"

#include "sycamorespan/src/Core/cbor.h"
#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/json_integer.h"
#include "sycamorespan/src/Core/overloaded.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace sycamorespan {

namespace {

using nlohmann::json;

/** Levels of arrays in a message, with some to spare for later layouts. */
constexpr std::size_t maximumDepth = 8;

/** Bytes of the length in front of each message. */
constexpr std::size_t lengthBytes = 4;

/** Memory that a reader keeps for the next messages. */
constexpr std::size_t keptBufferBytes = std::size_t{64} << 10;

enum class message_type { hello, statement, answer, end, probe, probeAnswer };

json encodePosition(const log_position &position)
{
    return json::array({position.term, position.offset});
}

log_position decodePosition(const json &fields)
{
    return {toInteger<term_number>(fields.at(0)), toInteger<std::uint64_t>(fields.at(1))};
}

template<typename Enumeration>
Enumeration decodeEnumeration(const json &field, Enumeration greatest)
{
    return static_cast<Enumeration>(toInteger<int>(field, 0, static_cast<int>(greatest)));
}

std::string decodeText(const json &field)
{
    return field.get<std::string>();
}

/** \returns a text that is sent on to a caller or a member as the last field of a line. */
std::string decodeLineText(const json &field)
{
    return line_text(decodeText(field));
}

/** Greatest absolute value of a relative time. It is longer than any timeout or transaction. */
constexpr std::int64_t maximumTime = duration(24h).count();

duration decodeTime(const json &field)
{
    return duration(toInteger<std::int64_t>(field, -maximumTime, maximumTime));
}

json encodeWork(const brokered_work &work)
{
    return std::visit(overloaded{[](const brokered_execution &each) {
                                     return json::array({static_cast<int>(each.access),
                                                         each.statementShape.str(),
                                                         each.arguments.str()});
                                 },
                                 [](const caller_statement::direct &each) {
                                     return json::array({static_cast<int>(each.access)});
                                 },
                                 [](const caller_statement::commit &) { return json::array(); }},
                      work);
}

brokered_work decodeWork(const json &fields)
{
    const auto access = [&] { return decodeEnumeration(fields.at(0), statement_access::write); };
    switch (fields.size()) {
    case 0:
        return caller_statement::commit{};
    case 1:
        return caller_statement::direct{access()};
    default:
        return brokered_execution{access(), decodeText(fields.at(1)), decodeText(fields.at(2))};
    }
}

json encodeTransaction(const std::optional<brokered_transaction> &transaction)
{
    if (!transaction)
        return nullptr;
    return json::array({transaction->readOnly, transaction->isBegun, transaction->age.count()});
}

std::optional<brokered_transaction> decodeTransaction(const json &fields)
{
    if (fields.is_null())
        return std::nullopt;
    return brokered_transaction{fields.at(0).get<bool>(), fields.at(1).get<bool>(),
                                decodeTime(fields.at(2))};
}

json encodeValues(const session_values &values)
{
    json fields = json::object();
    std::ranges::for_each(values,
                          [&](const auto &each) { fields[each.first.str()] = each.second.str(); });
    return fields;
}

session_values decodeValues(const json &fields)
{
    const auto values = fields.get<std::map<std::string, std::string>>();
    return {values.begin(), values.end()};
}

json encodeFields(const brokered_statement &each)
{
    return json::array({static_cast<int>(message_type::statement), each.operation, each.number,
                        each.requestId.str(), each.text.str(), encodeWork(each.work),
                        each.databaseName, each.workspace.str(),
                        encodeTransaction(each.transaction), encodeValues(each.values),
                        encodePosition(each.lastCommitPosition), each.configurationVersion,
                        each.timeLeft.count(), each.objectiveLeft.count()});
}

brokered_statement decodeStatement(const json &fields)
{
    brokered_statement result;
    result.operation = toInteger<operation_number>(fields.at(1));
    result.number = toInteger<std::uint64_t>(fields.at(2));
    result.requestId = decodeText(fields.at(3));
    result.text = decodeText(fields.at(4));
    result.work = decodeWork(fields.at(5));
    result.databaseName = decodeText(fields.at(6));
    result.workspace = workspace_id(line_field(decodeText(fields.at(7))));
    result.transaction = decodeTransaction(fields.at(8));
    result.values = decodeValues(fields.at(9));
    result.lastCommitPosition = decodePosition(fields.at(10));
    result.configurationVersion = toInteger<std::uint64_t>(fields.at(11));
    result.timeLeft = decodeTime(fields.at(12));
    result.objectiveLeft = decodeTime(fields.at(13));
    return result;
}

json encodeResult(const std::variant<completed, rejected> &result)
{
    return std::visit(overloaded{[](const completed &each) { return json::array({each.receipt}); },
                                 [](const rejected &each) {
                                     return json::array({static_cast<int>(each.code), each.text});
                                 }},
                      result);
}

std::variant<completed, rejected> decodeResult(const json &fields)
{
    if (fields.size() == 1)
        return completed{decodeLineText(fields.at(0))};
    return rejected{decodeEnumeration(fields.at(0), statement_error::inDoubt),
                    decodeLineText(fields.at(1))};
}

json encodeFields(const brokered_answer &each)
{
    const auto &answer = each.answer;
    return json::array({static_cast<int>(message_type::answer), each.operation, each.number,
                        each.isDeclined, each.wasSent, answer.rows, encodeResult(answer.result),
                        static_cast<int>(answer.state),
                        answer.position ? encodePosition(*answer.position) : json(nullptr)});
}

brokered_answer decodeAnswer(const json &fields)
{
    brokered_answer result;
    result.operation = toInteger<operation_number>(fields.at(1));
    result.number = toInteger<std::uint64_t>(fields.at(2));
    result.isDeclined = fields.at(3).get<bool>();
    result.wasSent = fields.at(4).get<bool>();
    std::ranges::transform(fields.at(5), std::back_inserter(result.answer.rows), decodeLineText);
    result.answer.result = decodeResult(fields.at(6));
    result.answer.state = decodeEnumeration(fields.at(7), session_state::failedTransaction);
    if (!fields.at(8).is_null())
        result.answer.position = decodePosition(fields.at(8));
    return result;
}

json encodeFields(const brokered_end &each)
{
    return json::array({static_cast<int>(message_type::end), each.operation});
}

json encodeFields(const broker_hello &each)
{
    return json::array({static_cast<int>(message_type::hello), each.version, each.sender.str(),
                        each.incarnation});
}

json encodeFields(const broker_probe &)
{
    return json::array({static_cast<int>(message_type::probe)});
}

json encodeFields(const broker_probe_answer &)
{
    return json::array({static_cast<int>(message_type::probeAnswer)});
}

broker_message decodeMessage(std::string_view bytes)
{
    try {
        const auto fields = parseCbor(bytes, maximumDepth);
        switch (decodeEnumeration(fields.at(0), message_type::probeAnswer)) {
        case message_type::hello:
            return broker_hello{toInteger<std::uint64_t>(fields.at(1)),
                                instance_id(decodeText(fields.at(2))),
                                toInteger<std::uint64_t>(fields.at(3))};
        case message_type::statement:
            return decodeStatement(fields);
        case message_type::answer:
            return decodeAnswer(fields);
        case message_type::end:
            return brokered_end{toInteger<operation_number>(fields.at(1))};
        case message_type::probe:
            return broker_probe{};
        case message_type::probeAnswer:
            return broker_probe_answer{};
        }
        throw decode_error("broker message: unknown type");
    } catch (const json::exception &failure) {
        throw decode_error(std::string("broker message: ") + failure.what());
    }
}

} // namespace

std::string encodeFrame(const broker_message &message)
{
    const auto body =
            json::to_cbor(std::visit([](const auto &each) { return encodeFields(each); }, message));
    std::string frame;
    frame.reserve(lengthBytes + body.size());
    for (std::size_t index = lengthBytes; index-- > 0;)
        frame.push_back(static_cast<char>(body.size() >> (8 * index) & 0xFFU));
    frame.append(body.begin(), body.end());
    return frame;
}

/** Drops the bytes that were returned as messages, and the memory that a large one has left. */
std::nullopt_t broker_frame_reader::keepRest()
{
    m_buffer.erase(0, std::exchange(m_consumed, 0));
    if (m_buffer.capacity() > keptBufferBytes && m_buffer.size() < m_buffer.capacity() / 4)
        m_buffer.shrink_to_fit();
    return std::nullopt;
}

std::optional<broker_message> broker_frame_reader::next()
{
    const auto waiting = std::string_view(m_buffer).substr(m_consumed);
    if (waiting.size() < lengthBytes)
        return keepRest();
    std::size_t length = 0;
    std::ranges::for_each(waiting.substr(0, lengthBytes), [&](char byte) {
        length = length << 8U | static_cast<unsigned char>(byte);
    });
    if (length > m_maximumBytes)
        throw decode_error("broker message of " + std::to_string(length) + " bytes is too long");
    if (waiting.size() < lengthBytes + length)
        return keepRest();
    m_consumed += lengthBytes + length;
    return decodeMessage(waiting.substr(lengthBytes, length));
}

} // namespace sycamorespan
