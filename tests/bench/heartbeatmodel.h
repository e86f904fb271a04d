#pragma once

#include <core/instant.h>

#include <cstddef>
#include <cstdint>

namespace ragwortreach {

/// Traffic and detection time of all-to-all heartbeats.
struct heartbeat_result {
    /// Bytes that one daemon sends and receives per second, including IP and UDP headers.
    double bytesPerSecond = 0;
    /// Time from the failure of a daemon until all others consider it failed.
    duration detection {};
};

/// Simulates \a size daemons that each send a heartbeat to all others every second and consider a daemon failed
/// after three seconds without one. This is the baseline that the gossip membership is compared with.
heartbeat_result simulateHeartbeats(std::size_t size, std::uint64_t seed);

}
