#include "sycamorespan/src/Net/socket_address.h"

#include "sycamorespan/src/Core/error.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace sycamorespan {

namespace {

bool isAddress(const std::string &ip)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(AF_INET, ip.c_str(), address.data()) == 1
           || inet_pton(AF_INET6, ip.c_str(), address.data()) == 1;
}

std::string withoutBrackets(std::string_view ip)
{
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    return std::string(bracketed ? ip.substr(1, ip.size() - 2) : ip);
}

} // namespace

socket_address socket_address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw decode_error("not of the form ip:port: " + std::string(text));
    socket_address result;
    result.ip = withoutBrackets(text.substr(0, colon));
    const auto digits = text.substr(colon + 1);
    const auto *end = digits.data() + digits.size();
    const auto [last, failure] = std::from_chars(digits.data(), end, result.port);
    if (failure != std::errc() || last != end || !isAddress(result.ip))
        throw decode_error("not of the form ip:port: " + std::string(text));
    return result;
}

std::string socket_address::str() const
{
    const bool isV6 = ip.find(':') != std::string::npos;
    return (isV6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

} // namespace sycamorespan
