#pragma once

#include "routeconfiguration.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace ragwortreach {

/// Finds organisations by their keys.
///
/// Callers can measure how long a lookup takes. So keys are looked up by a hash with a secret of this process, and the whole
/// key is compared in a time that does not depend on where it differs.
class organisation_table {
public:
    organisation_table();

    /// Replaces the organisations. \a organisations has to outlive its use.
    void setOrganisations(std::span<const organisation> organisations);
    /// Organisation that holds \a key, or null.
    const organisation* find(std::string_view key) const;

private:
    static constexpr std::size_t secretBytes = 192;
    using key_hash = std::pair<std::uint64_t, std::uint64_t>;
    struct entry {
        std::string_view key;
        const organisation* holder = nullptr;
    };

    key_hash hashOf(std::string_view key) const;

    std::array<unsigned char, secretBytes> m_secret {};
    std::map<key_hash, entry> m_entries;
};

/// What makes \a organisations unusable, such as a key that two of them hold; empty when nothing does. No key is named.
std::string organisationFault(std::span<const organisation> organisations);

}
