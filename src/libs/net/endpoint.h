#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortreach {

/// IP address and port on which a process listens.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Parses "host:port" or "[host]:port". Names are not resolved: the host has to be an IP address. Nothing when \a text is
/// malformed.
std::optional<endpoint> parseEndpoint(std::string_view text);

/// "host:port", with brackets round an IPv6 address.
std::string toString(const endpoint& address);

}
