#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace ragwortreach {

/// Version of the weights that an engine serves: the base weights and the adapter on top of them.
/// Adapter 0 means the base weights alone.
struct weight_version {
    std::uint64_t base = 0;
    std::uint64_t adapter = 0;

    bool operator==(const weight_version&) const = default;
    std::strong_ordering operator<=>(const weight_version& other) const
    {
        const std::strong_ordering byBase = base <=> other.base;
        return std::is_neq(byBase) ? byBase : adapter <=> other.adapter;
    }
};

/// Result of versionsBehind() for versions that cannot be compared.
inline constexpr std::uint64_t incomparableVersions = std::numeric_limits<std::uint64_t>::max();

/// Number of versions by which \a sample is behind \a trainer; 0 when it is not older.
///
/// Versions with equal bases are compared by their adapters, versions without adapters by their bases. Other pairs
/// cannot be compared, and the result is incomparableVersions.
std::uint64_t versionsBehind(const weight_version& trainer, const weight_version& sample);

/// "base.adapter", for logs and the time line.
std::string toString(const weight_version& version);

}
