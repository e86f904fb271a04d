#pragma once

#include <support/gossipnetwork.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ragwortreach {

/// Bytes of a span of time, sent and received by one daemon, with IP and UDP headers.
struct traffic {
    double meanPerSecond = 0;
    /// Mean of the busiest daemon.
    double busiestPerSecond = 0;
    /// Most bytes of any daemon in any one second.
    std::uint64_t peakSecond = 0;
    double messagesSentPerSecond = 0;
};

/// Counts the encoded bytes of each message of a network.
class traffic_meter {
public:
    /// Takes the observer of \a network, which has to outlive the meter's use.
    explicit traffic_meter(gossip_network& network);

    /// Starts a new span.
    void restart();
    /// Traffic since the start of the span.
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
