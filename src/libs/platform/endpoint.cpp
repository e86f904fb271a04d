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
    const std::string host(text.substr(0, colon));
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    if (error)
        return std::nullopt;
    return endpoint { host, port };
}

std::string toString(const endpoint& address)
{
    return address.host + ':' + std::to_string(address.port);
}

}
