#ifndef SYCAMORESPAN_PROTOCOL_INTERNAL_BYTE_READER_H
#define SYCAMORESPAN_PROTOCOL_INTERNAL_BYTE_READER_H

#include <cstdint>
#include <string>
#include <string_view>

#include "sycamorespan/src/Core/error.h"

namespace sycamorespan::internal {

/** \brief Reads big-endian protocol fields from a payload.
 *
 * Every function throws decode_error when the payload is too short.
 */
class byte_reader
{
public:
    explicit byte_reader(std::string_view payload)
        : m_rest(payload)
    { }

    std::uint8_t readByte() { return static_cast<std::uint8_t>(take(1)[0]); }
    std::int16_t readInt16() { return static_cast<std::int16_t>(readBigEndian(2)); }
    std::int32_t readInt32() { return static_cast<std::int32_t>(readBigEndian(4)); }

    std::string readString()
    {
        const auto end = m_rest.find('\0');
        if (end == std::string_view::npos)
            throw decode_error("string without terminator");
        std::string result(m_rest.substr(0, end));
        m_rest.remove_prefix(end + 1);
        return result;
    }

    std::string_view take(std::size_t count)
    {
        if (m_rest.size() < count)
            throw decode_error("message is too short");
        const auto result = m_rest.substr(0, count);
        m_rest.remove_prefix(count);
        return result;
    }

    /** \returns a number of fields.
     * \throws decode_error when the number is negative. */
    std::size_t readCount()
    {
        const auto count = readInt16();
        if (count < 0)
            throw decode_error("negative count");
        return static_cast<std::size_t>(count);
    }

    bool atEnd() const noexcept { return m_rest.empty(); }

    void expectEnd() const
    {
        if (!atEnd())
            throw decode_error("message is too long");
    }

private:
    std::uint32_t readBigEndian(std::size_t width)
    {
        std::uint32_t value = 0;
        for (const char byte : take(width))
            value = value << 8U | static_cast<std::uint8_t>(byte);
        return value;
    }

    std::string_view m_rest;
};

} // namespace sycamorespan::internal

#endif
