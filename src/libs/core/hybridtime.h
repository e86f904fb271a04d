#pragma once

#include <compare>
#include <cstdint>

namespace ragwortreach {

/// Timestamp of a hybrid logical clock, packed into 64 bits.
///
/// The upper 48 bits hold wall-clock milliseconds since 1970, the lower 16 bits a logical counter. When one event
/// causes another, possibly in another process, its packed value is the smaller one.
struct hybrid_time {
    static constexpr unsigned logicalBits = 16;

    std::uint64_t packed = 0;

    /// Wall-clock part, in milliseconds since 1970.
    constexpr std::uint64_t wallMilliseconds() const { return packed >> logicalBits; }

    /// Counter that orders the events of one millisecond.
    constexpr std::uint16_t logical() const { return static_cast<std::uint16_t>(packed); }

    /// Smallest timestamp of the millisecond \a wallMilliseconds.
    static constexpr hybrid_time fromMilliseconds(std::uint64_t wallMilliseconds)
    {
        return { wallMilliseconds << logicalBits };
    }

    constexpr std::strong_ordering operator<=>(const hybrid_time& other) const { return packed <=> other.packed; }
    constexpr bool operator==(const hybrid_time& other) const = default;
};

}
