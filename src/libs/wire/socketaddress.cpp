#include "socketaddress.h"

#include <charconv>

namespace ragwortreach {

std::optional<socket_address> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view ip = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    socket_address address;
    boost::system::error_code error;
    address.ip = boost::asio::ip::make_address(std::string(ip), error);
    const std::from_chars_result result = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error || result.ec != std::errc() || result.ptr != port.data() + port.size())
        return std::nullopt;
    return address;
}

std::string formatSocketAddress(const socket_address& address)
{
    const std::string ip = address.ip.to_string();
    const std::string port = std::to_string(address.port);
    return address.ip.is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

}
