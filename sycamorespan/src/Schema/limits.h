#ifndef SYCAMORESPAN_SCHEMA_LIMITS_H
#define SYCAMORESPAN_SCHEMA_LIMITS_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sycamorespan::schema {

/** \brief A string of minimumLength to maximumLength bytes. */
struct text_limits
{
    std::size_t minimumLength;
    std::size_t maximumLength;
};

/** \brief A string of the form IP:port, an IPv6 address in brackets. */
struct socket_address_limits
{ };

/** \brief A string that starts with http:// or https:// and names a host. */
struct url_limits
{ };

/** \brief An integer without sign, bounds included. */
struct unsigned_limits
{
    std::uint64_t minimum;
    std::uint64_t maximum;
};

/** \brief An integer with sign, bounds included. */
struct signed_limits
{
    std::int64_t minimum;
    std::int64_t maximum;
};

/** \brief A finite number, bounds included. */
struct real_limits
{
    double minimum;
    double maximum;
};

/** \brief true or false. */
struct boolean_limits
{ };

/** \brief One of the names in enumeration<Enum>. */
struct enumeration_limits
{ };

/** \brief A nested object with a description of its own. */
struct object_limits
{ };

/** \brief An array of at most maximumItems. */
template<typename ItemLimits>
struct array_limits
{
    std::size_t maximumItems;
    ItemLimits item;
};

template<typename ItemLimits>
array_limits(std::size_t, ItemLimits) -> array_limits<ItemLimits>;

/** \brief An object whose keys are data, of at most maximumItems. */
template<typename ItemLimits>
struct map_limits
{
    std::size_t maximumItems;
    text_limits key;
    ItemLimits item;
};

template<typename ItemLimits>
map_limits(std::size_t, text_limits, ItemLimits) -> map_limits<ItemLimits>;

/** \returns whether \a text is well-formed UTF-8. */
bool isUtf8(std::string_view text) noexcept;

/** \returns whether \a text has the form IP:port with an IPv4 address or an IPv6 address in
 * brackets. */
bool isSocketAddress(std::string_view text);

/** \returns whether \a text starts with http:// or https:// and names a host, without blanks. */
bool isHttpUrl(std::string_view text);

} // namespace sycamorespan::schema

#endif
