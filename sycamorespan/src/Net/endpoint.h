#ifndef SYCAMORESPAN_NET_ENDPOINT_H
#define SYCAMORESPAN_NET_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorespan {

/** \brief An IPv4 address and a TCP or UDP port. */
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;

    /** \returns the endpoint as text, such as "127.0.0.1:6001". */
    std::string str() const { return address + ':' + std::to_string(port); }
};

/** \returns the endpoint that \a text denotes in the form "IP:PORT".
 * \throws decode_error if \a text has another form
 */
endpoint parseEndpoint(std::string_view text);

} // namespace sycamorespan

#endif
