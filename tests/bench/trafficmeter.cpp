#include "trafficmeter.h"

#include <core/gossipmessage.h>
#include <wire/gossipcodec.h>

#include <algorithm>
#include <numeric>
#include <string>

namespace ragwortreach {

namespace {

    /// IP and UDP headers, bytes.
    constexpr std::size_t datagramHeaderSize = 28;

    double toSeconds(duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

}

traffic_meter::traffic_meter(gossip_network& network)
    : m_network(network)
{
    restart();
    network.observeMessages([this](std::size_t from, std::size_t to, const gossip_message& message) { count(from, to, message); });
}

void traffic_meter::restart()
{
    m_start = m_network.now();
    m_total.assign(m_network.size(), 0);
    m_second.assign(m_network.size(), 0);
    m_peakSecond = 0;
    m_messages = 0;
}

void traffic_meter::count(std::size_t from, std::size_t to, const gossip_message& message)
{
    const std::string bytes = encodeGossip(message);
    gossip_message decoded;
    if (decodeGossip(bytes, decoded))
        return;
    const std::int64_t second = (m_network.now() - m_start) / std::chrono::seconds(1);
    if (second != m_currentSecond) {
        std::fill(m_second.begin(), m_second.end(), 0);
        m_currentSecond = second;
    }
    ++m_messages;
    add(from, bytes.size() + datagramHeaderSize);
    add(to, bytes.size() + datagramHeaderSize);
}

void traffic_meter::add(std::size_t node, std::size_t bytes)
{
    m_total[node] += bytes;
    m_second[node] += bytes;
    m_peakSecond = std::max(m_peakSecond, m_second[node]);
}

traffic traffic_meter::read() const
{
    const double seconds = toSeconds(m_network.now() - m_start);
    const double nodes = static_cast<double>(m_total.size());
    const double sum = static_cast<double>(std::accumulate(m_total.begin(), m_total.end(), std::uint64_t(0)));
    const double busiest = static_cast<double>(*std::max_element(m_total.begin(), m_total.end()));
    return { sum / nodes / seconds, busiest / seconds, m_peakSecond, static_cast<double>(m_messages) / nodes / seconds };
}

}
