#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace ragwortreach {

/// Identity of what a caller asks for: equal for all attempts with the same caller, method, path and body, whatever their
/// ids. Nothing of the request can be read from it.
struct request_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const request_digest&) const = default;
    bool operator<(const request_digest& other) const { return std::tie(high, low) < std::tie(other.high, other.low); }
};

/// \a digest in hexadecimal, for log lines.
std::string toString(const request_digest& digest);

}
