#include "endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace ragwortreach {

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const std::from_chars_result parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != portText.data() + portText.size())
        return std::nullopt;
    std::string_view number = text.substr(0, colon);
    const bool isBracketed = number.size() > 2 && number.front() == '[' && number.back() == ']';
    if (isBracketed)
        number = number.substr(1, number.size() - 2);
    const std::string host(number);
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    if (error)
        return std::nullopt;
    return endpoint { host, port };
}

std::string toString(const endpoint& address)
{
    const bool isBracketed = address.host.find(':') != std::string::npos;
    const std::string host = isBracketed ? '[' + address.host + ']' : address.host;
    return host + ':' + std::to_string(address.port);
}

}
