#ifndef SYCAMORESPAN_NET_SOCKET_ADDRESS_H
#define SYCAMORESPAN_NET_SOCKET_ADDRESS_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorespan {

/** \brief An IP address and a TCP port. */
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    /** \brief Reads "127.0.0.1:7001" or "[::1]:7001"; names are not resolved.
     * \throws decode_error when \a text isn't of that form
     */
    static socket_address parse(std::string_view text);

    /** \returns the form that parse() reads. */
    std::string str() const;

    auto operator<=>(const socket_address &) const = default;
};

} // namespace sycamorespan

#endif
