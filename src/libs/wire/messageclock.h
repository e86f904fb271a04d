#pragma once

#include <cstdint>
#include <functional>

namespace ragwortreach {

/// Hybrid time that goes with each message between daemons.
struct message_clock {
    /// Hybrid time to put into an outgoing message.
    std::function<std::uint64_t()> read;
    /// Takes the hybrid time of an incoming message.
    std::function<void(std::uint64_t)> observe;
};

}
