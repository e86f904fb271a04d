#include "heartbeatmodel.h"

#include <core/gossipmessage.h>
#include <wire/gossipcodec.h>

#include <algorithm>
#include <random>
#include <vector>

namespace ragwortreach {

namespace {

    constexpr duration heartbeatPeriod = std::chrono::seconds(1);
    constexpr duration heartbeatTimeout = std::chrono::seconds(3);
    constexpr duration tickPeriod = std::chrono::milliseconds(50);
    constexpr duration killedAt = std::chrono::seconds(10);
    /// IP and UDP headers, bytes.
    constexpr std::size_t datagramHeaderSize = 28;

    std::size_t heartbeatSize()
    {
        const gossip_message heartbeat { 1, "entry-100", { 1, 1'790'000'000'000 }, 1000, push_body {}, {}, {}, {} };
        return encodeGossip(heartbeat).size() + datagramHeaderSize;
    }

}

heartbeat_result simulateHeartbeats(std::size_t size, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<duration> phases(size);
    for (duration& phase : phases)
        phase = duration(static_cast<std::int64_t>(random() % 1'000'000));
    std::uint64_t bytes = 0;
    duration lastHeard {};
    duration detection {};
    duration now {};
    for (bool isKnown = false; !isKnown; now += tickPeriod) {
        for (std::size_t from = 0; from < size; ++from) {
            const bool isAlive = from != 0 || now < killedAt;
            const bool isDue = (now - phases[from] + heartbeatPeriod) % heartbeatPeriod < tickPeriod && now >= phases[from];
            if (!isAlive || !isDue)
                continue;
            for (std::size_t to = 0; to < size; ++to)
                bytes += to == from ? 0 : 2 * heartbeatSize();
            lastHeard = from == 0 ? now : lastHeard;
        }
        isKnown = now > killedAt && now - lastHeard >= heartbeatTimeout;
        detection = now - killedAt;
    }
    return { static_cast<double>(bytes) / static_cast<double>(size) / std::chrono::duration<double>(now).count(), detection };
}

}
