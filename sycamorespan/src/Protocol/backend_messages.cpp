#include "sycamorespan/src/Protocol/backend_messages.h"

#include <algorithm>

namespace sycamorespan {
namespace {

constexpr std::int32_t authenticationOkCode = 0;
constexpr std::int32_t cleartextPasswordCode = 3;

} // namespace

void backend_writer::authenticationOk()
{
    const auto start = begin('R');
    putInt32(authenticationOkCode);
    end(start);
}

void backend_writer::authenticationCleartextPassword()
{
    const auto start = begin('R');
    putInt32(cleartextPasswordCode);
    end(start);
}

void backend_writer::parameterStatus(std::string_view name, std::string_view value)
{
    const auto start = begin('S');
    putString(name);
    putString(value);
    end(start);
}

void backend_writer::backendKeyData(std::int32_t processId, std::int32_t secret)
{
    const auto start = begin('K');
    putInt32(processId);
    putInt32(secret);
    end(start);
}

void backend_writer::readyForQuery(transaction_status status)
{
    const auto start = begin('Z');
    m_bytes.push_back(static_cast<char>(status));
    end(start);
}

void backend_writer::rowDescription(const std::vector<column_description> &columns)
{
    const auto start = begin('T');
    putInt16(static_cast<std::int16_t>(columns.size()));
    std::ranges::for_each(columns, [this](const column_description &column) {
        putString(column.name);
        putInt32(static_cast<std::int32_t>(column.tableId));
        putInt16(column.columnNumber);
        putInt32(static_cast<std::int32_t>(column.typeId));
        putInt16(column.typeSize);
        putInt32(column.typeModifier);
        putInt16(column.format);
    });
    end(start);
}

void backend_writer::parameterDescription(const std::vector<std::uint32_t> &types)
{
    const auto start = begin('t');
    putInt16(static_cast<std::int16_t>(types.size()));
    std::ranges::for_each(
            types, [this](std::uint32_t type) { putInt32(static_cast<std::int32_t>(type)); });
    end(start);
}

void backend_writer::dataRow(const row_values &values)
{
    const auto start = begin('D');
    putInt16(static_cast<std::int16_t>(values.size()));
    std::ranges::for_each(values, [this](const std::optional<std::string_view> &value) {
        putInt32(value ? static_cast<std::int32_t>(value->size()) : -1);
        m_bytes.append(value.value_or(std::string_view()));
    });
    end(start);
}

void backend_writer::commandComplete(std::string_view tag)
{
    const auto start = begin('C');
    putString(tag);
    end(start);
}

void backend_writer::emptyQueryResponse()
{
    empty('I');
}

void backend_writer::errorResponse(const error_report &report)
{
    putReport('E', report);
}

void backend_writer::noticeResponse(const error_report &report)
{
    putReport('N', report);
}

void backend_writer::parseComplete()
{
    empty('1');
}

void backend_writer::bindComplete()
{
    empty('2');
}

void backend_writer::closeComplete()
{
    empty('3');
}

void backend_writer::noData()
{
    empty('n');
}

void backend_writer::portalSuspended()
{
    empty('s');
}

std::size_t backend_writer::begin(char type)
{
    m_bytes.push_back(type);
    const auto lengthOffset = m_bytes.size();
    putInt32(0);
    return lengthOffset;
}

void backend_writer::end(std::size_t lengthOffset)
{
    const auto length = static_cast<std::uint32_t>(m_bytes.size() - lengthOffset);
    m_bytes[lengthOffset] = static_cast<char>(length >> 24U);
    m_bytes[lengthOffset + 1] = static_cast<char>(length >> 16U);
    m_bytes[lengthOffset + 2] = static_cast<char>(length >> 8U);
    m_bytes[lengthOffset + 3] = static_cast<char>(length);
}

void backend_writer::empty(char type)
{
    end(begin(type));
}

void backend_writer::putInt16(std::int16_t value)
{
    const auto bits = static_cast<std::uint16_t>(value);
    m_bytes.push_back(static_cast<char>(bits >> 8U));
    m_bytes.push_back(static_cast<char>(bits));
}

void backend_writer::putInt32(std::int32_t value)
{
    const auto bits = static_cast<std::uint32_t>(value);
    putInt16(static_cast<std::int16_t>(bits >> 16U));
    putInt16(static_cast<std::int16_t>(bits));
}

void backend_writer::putString(std::string_view value)
{
    m_bytes.append(value.substr(0, value.find('\0')));
    m_bytes.push_back('\0');
}

void backend_writer::putReport(char type, const error_report &report)
{
    const auto start = begin(type);
    const auto putField = [this](char field, std::string_view value) {
        if (value.empty())
            return;
        m_bytes.push_back(field);
        putString(value);
    };
    putField('S', report.severity);
    putField('V', report.severity);
    putField('C', report.sqlstate);
    putField('M', report.message);
    putField('D', report.detail);
    putField('H', report.hint);
    m_bytes.push_back('\0');
    end(start);
}

} // namespace sycamorespan
