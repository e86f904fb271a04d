#pragma once

#include <compare>
#include <cstdint>

namespace ragwortreach {

/// Timestamp of a hybrid logical clock, packed into 64 bits.
///
/// The upper 48 bits hold wall-clock milliseconds since 1970, the lower 16 bits a logical counter. Packed values
/// order events consistently with cause and effect across processes.
struct hybrid_time {
    static constexpr unsigned logicalBits = 16;

    std::uint64_t packed = 0;

    /// Wall-clock part, in milliseconds since 1970.
    constexpr std::uint64_t wallMilliseconds() const { return packed >> logicalBits; }

    /// Counter that orders events within one millisecond.
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
