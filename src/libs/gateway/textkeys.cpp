#include "textkeys.h"

namespace ragwortreach {

std::string idFault(std::string_view batch, std::string_view item)
{
    if (batch.find('/') != std::string_view::npos)
        return "The Request-Id of a batch contains \"/\"; leave that out.";
    if (item == contentsPart)
        return "An item has the id \"*\"; give it another one.";
    const std::size_t bytes = batch.size() + item.size();
    if (bytes <= maxIdBytes)
        return {};
    return "The Request-Id of the batch and the id of an item have " + std::to_string(bytes) + " bytes together, and " + std::to_string(maxIdBytes)
        + " are possible; use shorter ones.";
}

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
