#include "textkeys.h"

namespace ragwortreach {

std::string chunkKey(std::string_view textKey, std::uint32_t number)
{
    return std::string(textKey) + "/" + std::to_string(number);
}

std::string_view textKeyOf(std::string_view key)
{
    return key.substr(0, key.rfind('/'));
}

std::string_view batchPrefixOf(std::string_view key)
{
    return key.substr(0, key.find('/') + 1);
}

/// The last character is a digit: the key with the preceding character in its place, and all that begins with that, comes
/// before \a key.
std::string keyBefore(std::string_view key)
{
    constexpr char lastCharacter = '~';
    std::string before(key);
    --before.back();
    return before + lastCharacter;
}

}
