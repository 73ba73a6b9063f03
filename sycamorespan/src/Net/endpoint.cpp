#include "sycamorespan/src/Net/endpoint.h"

#include <charconv>

#include <arpa/inet.h>

#include "sycamorespan/Core"

namespace sycamorespan {

endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw decode_error("'" + std::string(text) + "' is not an endpoint of the form IP:PORT");
    const std::string address(text.substr(0, colon));
    const auto digits = text.substr(colon + 1);
    in_addr parsed{};
    std::uint16_t port = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isPort = code == std::errc() && end == digits.data() + digits.size();
    if (!isPort || ::inet_pton(AF_INET, address.c_str(), &parsed) != 1)
        throw decode_error("'" + std::string(text) + "' is not an endpoint of the form IP:PORT");
    return {address, port};
}

} // namespace sycamorespan
