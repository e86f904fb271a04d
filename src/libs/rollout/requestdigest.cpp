#include "requestdigest.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace ragwortreach {

std::string toString(const request_digest& digest)
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, digest.high, digest.low);
    return text.data();
}

}
