#pragma once

#include <cstdint>
#include <functional>

namespace ragwortreach {

/// Access to the hybrid clock whose time is sent with each message between daemons.
struct message_clock {
    /// Returns the hybrid time for an outgoing message.
    std::function<std::uint64_t()> read;
    /// Called with the hybrid time of each incoming message.
    std::function<void(std::uint64_t)> observe;
};

}
