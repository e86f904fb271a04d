#pragma once

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// IP address and port.
struct socket_address {
    boost::asio::ip::address ip;
    std::uint16_t port = 0;
};

/// Parses "ip:port" or "[ip]:port"; none for anything else. Host names are not resolved.
std::optional<socket_address> parseSocketAddress(std::string_view text);

/// "ip:port", with brackets around an IPv6 address.
std::string formatSocketAddress(const socket_address& address);

}
