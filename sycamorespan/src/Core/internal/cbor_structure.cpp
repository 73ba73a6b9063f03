#include "sycamorespan/src/Core/internal/cbor_structure.h"

#include "sycamorespan/src/Core/error.h"

#include <vector>

namespace sycamorespan::internal {

namespace {

enum class major_type : std::uint8_t {
    unsignedInteger,
    negativeInteger,
    byteString,
    textString,
    array,
    map,
    tag,
    simple
};

struct item_head
{
    major_type major;
    std::uint64_t argument;
};

constexpr unsigned majorTypeShift = 5;
constexpr std::uint8_t additionalInformationMask = 0x1f;
constexpr std::uint8_t firstLengthCode = 24; // 1, 2, 4 or 8 bytes of argument follow
constexpr std::uint8_t lastLengthCode = 27;
constexpr unsigned bitsPerByte = 8;

class cbor_scanner
{
public:
    cbor_scanner(std::span<const std::uint8_t> bytes, std::size_t maximumDepth)
        : m_rest(bytes)
        , m_maximumDepth(maximumDepth)
    { }

    void scan()
    {
        m_pendingItems.push_back(1);
        while (!m_pendingItems.empty())
            scanNext();
        if (!m_rest.empty())
            throw decode_error("the message is followed by additional bytes");
    }

private:
    void scanNext()
    {
        if (m_pendingItems.back() == 0) {
            m_pendingItems.pop_back();
            return;
        }
        --m_pendingItems.back();
        const auto head = readHead();
        switch (head.major) {
        case major_type::byteString:
        case major_type::textString:
            skip(head.argument);
            break;
        case major_type::array:
            enter(head.argument, 1);
            break;
        case major_type::map:
            enter(head.argument, 2);
            break;
        case major_type::tag:
            throw decode_error("the message contains a CBOR tag");
        case major_type::unsignedInteger:
        case major_type::negativeInteger:
        case major_type::simple:
            break;
        }
    }

    item_head readHead()
    {
        const auto initial = takeByte();
        const auto major = static_cast<major_type>(initial >> majorTypeShift);
        const std::uint8_t information = initial & additionalInformationMask;
        if (information < firstLengthCode)
            return {major, information};
        if (information > lastLengthCode)
            throw decode_error("the message contains a CBOR item of indefinite or reserved length");
        const unsigned length = 1U << (information - firstLengthCode);
        std::uint64_t argument = 0;
        for (unsigned index = 0; index < length; ++index)
            argument = (argument << bitsPerByte) | takeByte();
        return {major, argument};
    }

    void enter(std::uint64_t count, std::uint64_t itemsPerEntry)
    {
        if (m_pendingItems.size() > m_maximumDepth)
            throw decode_error("the message is nested deeper than " + std::to_string(m_maximumDepth)
                               + " levels");
        if (count > m_rest.size() / itemsPerEntry)
            throw decode_error("the message is truncated");
        m_pendingItems.push_back(count * itemsPerEntry);
    }

    std::uint8_t takeByte()
    {
        if (m_rest.empty())
            throw decode_error("the message is truncated");
        const auto value = m_rest.front();
        m_rest = m_rest.subspan(1);
        return value;
    }

    void skip(std::uint64_t count)
    {
        if (count > m_rest.size())
            throw decode_error("the message is truncated");
        m_rest = m_rest.subspan(count);
    }

    std::span<const std::uint8_t> m_rest;
    std::size_t m_maximumDepth;
    std::vector<std::uint64_t> m_pendingItems; // items left to read in each open array or map
};

} // namespace

void checkCborStructure(std::span<const std::uint8_t> bytes, std::size_t maximumDepth)
{
    cbor_scanner(bytes, maximumDepth).scan();
}

} // namespace sycamorespan::internal
