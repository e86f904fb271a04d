#pragma once

#include "gossipnetwork.h"

#include <core/cataloguerelay.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ragwortreach {

/// Simulates the catalogue relays of all daemons on top of a gossip_network, with a log that some data centres may
/// not reach.
class relay_network {
public:
    static constexpr std::size_t relaysPerDataCentre = 2;

    explicit relay_network(gossip_network& network);

    void run(duration time);
    /// Appends an edit to the log and runs until all running daemons have applied it, for at most \a limit. Returns
    /// the time it took; empty when it did not happen.
    std::optional<duration> runUntilInForce(duration limit);
    void append() { ++m_end; }
    /// Cuts the daemons of \a dataCentres off from the log.
    void cutLog(std::set<std::string> dataCentres) { m_cut = std::move(dataCentres); }

    /// Number of daemons that read the log.
    std::size_t tailing() const;
    /// Number of requests to relays since the start.
    std::uint64_t asks() const { return m_asks; }
    /// Highest number of requests that one daemon has answered.
    std::uint64_t mostAnswers() const;
    std::uint64_t position(std::size_t node) const { return m_nodes[node].position; }

private:
    struct node {
        std::optional<catalogue_relay> relay;
        std::uint64_t processStart = 0;
        std::uint64_t position = 0;
        std::uint64_t answers = 0;
    };

    struct relay_request {
        std::size_t from = 0;
        std::size_t to = 0;
        instant answerAt;
    };

    void step();
    void stepNode(std::size_t index);
    void handle(std::size_t index, const relay_event& event);
    void answer(const relay_request& item);
    void setPosition(std::size_t index, std::uint64_t position);

    gossip_network& m_network;
    std::vector<node> m_nodes;
    std::vector<relay_request> m_requests;
    std::uint64_t m_end = 0;
    std::set<std::string> m_cut;
    std::uint64_t m_asks = 0;
};

}
