#include "tokensource.h"

#include <xxhash.h>

namespace ragwortreach::StandIns {

namespace {

    constexpr std::uint64_t vocabularySize = 50'000;

}

std::uint32_t tokenAt(std::string_view prompt, std::uint64_t seed, std::uint64_t position)
{
    const std::uint64_t promptHash = XXH64(prompt.data(), prompt.size(), seed);
    return static_cast<std::uint32_t>(XXH64(&position, sizeof(position), promptHash) % vocabularySize);
}

std::string tokenText(std::uint32_t token)
{
    return "w" + std::to_string(token) + " ";
}

std::string prefixHash(std::string_view prompt)
{
    return std::to_string(XXH64(prompt.data(), prompt.size(), 0));
}

}
