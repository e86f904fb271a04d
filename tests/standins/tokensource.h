#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach::StandIns {

/// Token at \a position of the answer to \a prompt. The same for every engine and weight version,
/// so that a resumed answer can be compared with an unbroken one.
std::uint32_t tokenAt(std::string_view prompt, std::uint64_t seed, std::uint64_t position);

/// Text of a token.
std::string tokenText(std::uint32_t token);

/// Hash of a prompt prefix, as cache events name it.
std::string prefixHash(std::string_view prompt);

}
