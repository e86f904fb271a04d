#include "journalkeys.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace ragwortreach {

namespace {

    /// The log takes keys of 255 bytes, and the name of the writer needs a part of them.
    constexpr std::size_t maxNameBytes = 64;
    /// Begins a name that is a digest; no id that serves as its own name has this character.
    constexpr char digestMarker = '#';

    bool isNameCharacter(char character)
    {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
    }

}

std::string journalName(std::string_view id)
{
    if (!id.empty() && id.size() <= maxNameBytes && std::all_of(id.begin(), id.end(), isNameCharacter))
        return std::string(id);
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(id.data(), id.size()));
    constexpr std::string_view digits = "0123456789abcdef";
    std::string name(1, digestMarker);
    for (const unsigned char byte : canonical.digest) {
        name += digits[byte >> 4U];
        name += digits[byte & 0xfU];
    }
    return name;
}

std::string batchPrefix(std::string_view name)
{
    return std::string(name) + '/';
}

bool isDirectoryKey(std::string_view key)
{
    return key.starts_with(directoryPrefix);
}

std::string_view nameInKey(std::string_view key)
{
    if (isDirectoryKey(key))
        key.remove_prefix(directoryPrefix.size());
    return key.substr(0, key.find('/'));
}

}
