#pragma once

#include <core/instant.h>

#include <cstddef>
#include <cstdint>

namespace ragwortreach {

/// What heartbeats of all to all cost and take.
struct heartbeat_result {
    /// Bytes sent and received by one daemon in a second, with IP and UDP headers.
    double bytesPerSecond = 0;
    /// Longest time until all know of a failure.
    duration detection {};
};

/// Plays daemons that each send a heartbeat to all others every second and hold a daemon for failed after three
/// seconds without one. It is what the membership is compared with.
heartbeat_result playHeartbeats(std::size_t size, std::uint64_t seed);

}
