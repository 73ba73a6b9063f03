#ifndef SYCAMORESPAN_SCHEMA_LIMITS_H
#define SYCAMORESPAN_SCHEMA_LIMITS_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sycamorespan::schema {

/** \brief Limits of a string of minimumLength to maximumLength bytes. */
struct text_limits
{
    std::size_t minimumLength;
    std::size_t maximumLength;
};

/** \brief Limits of a string of the form IP:port, with an IPv6 address in brackets. */
struct socket_address_limits
{ };

/** \brief Limits of a string that starts with http:// or https:// and names a host. */
struct url_limits
{ };

/** \brief Limits of an unsigned integer; both bounds are allowed values. */
struct unsigned_limits
{
    std::uint64_t minimum;
    std::uint64_t maximum;
};

/** \brief Limits of a signed integer; both bounds are allowed values. */
struct signed_limits
{
    std::int64_t minimum;
    std::int64_t maximum;
};

/** \brief Limits of a finite number; both bounds are allowed values. */
struct real_limits
{
    double minimum;
    double maximum;
};

/** \brief Limits of a Boolean, which are none beyond its type. */
struct boolean_limits
{ };

/** \brief Limits of an enumerator, which must be one of the names in enumeration<Enum>. */
struct enumeration_limits
{ };

/** \brief Limits of a nested object, which its own description gives. */
struct object_limits
{ };

/** \brief Limits of an array of at most maximumItems items. */
template<typename ItemLimits>
struct array_limits
{
    std::size_t maximumItems;
    ItemLimits item;
};

template<typename ItemLimits>
array_limits(std::size_t, ItemLimits) -> array_limits<ItemLimits>;

/** \brief Limits of a map, an object with arbitrary keys and at most maximumItems entries. */
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

/** \returns whether \a text starts with http:// or https:// and names a host, and has only
 * printable ASCII characters other than the space. */
bool isHttpUrl(std::string_view text);

} // namespace sycamorespan::schema

#endif
