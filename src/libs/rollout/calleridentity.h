#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace ragwortreach {

/// Who sent a request, as far as the configuration asks for it.
struct caller_identity {
    /// Organisation that holds the key of the request. Empty for a request to a public route without a known key; nothing
    /// when the configuration has no organisations.
    std::optional<std::string> organisation;
    /// Priority that the organisation gives its requests.
    std::optional<std::uint32_t> priority;
};

}
