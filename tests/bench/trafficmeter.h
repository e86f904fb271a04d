#pragma once

#include <support/gossipnetwork.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ragwortreach {

/// Bytes that one daemon sends and receives over an interval, including IP and UDP headers.
struct traffic {
    /// Mean over all daemons.
    double meanPerSecond = 0;
    /// Bytes per second of the daemon with the most traffic.
    double busiestPerSecond = 0;
    /// Largest number of bytes of one daemon within one second.
    std::uint64_t peakSecond = 0;
    /// Mean over all daemons.
    double messagesSentPerSecond = 0;
};

/// Measures the traffic of a simulated network by the encoded size of its messages.
class traffic_meter {
public:
    /// Replaces the message observer of \a network, which has to outlive the meter.
    explicit traffic_meter(gossip_network& network);

    /// Starts a new interval.
    void restart();
    /// Traffic since the start of the interval.
    traffic read() const;

private:
    void count(std::size_t from, std::size_t to, const gossip_message& message);
    void add(std::size_t node, std::size_t bytes);

    gossip_network& m_network;
    instant m_start;
    std::vector<std::uint64_t> m_total;
    std::vector<std::uint64_t> m_second;
    std::int64_t m_currentSecond = 0;
    std::uint64_t m_peakSecond = 0;
    std::uint64_t m_messages = 0;
};

}
