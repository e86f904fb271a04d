#pragma once

#include "fact.h"

#include <random>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Facts to send to the daemon on \c vm.
struct fact_delivery {
    std::string vm;
    std::vector<fact> facts;
};

/// Decides which facts are sent to which daemons.
///
/// A daemon passes each fact that is news to it on once, to all other daemons of a small fleet and to a random few of a
/// large one. Besides, it sends all facts that it knows to one random daemon in each syncPeriod, which reaches daemons
/// that join or missed a message.
class fact_spread {
public:
    static constexpr duration syncPeriod = std::chrono::seconds(1);
    /// Fleet up to which the daemon that learned a fact sends it to all others by itself.
    static constexpr std::size_t smallFleet = 16;
    static constexpr std::size_t maxFactsPerDelivery = 16;

    explicit fact_spread(std::uint64_t seed);

    /// Sets the other daemons that are alive.
    void setDaemons(std::vector<std::string> vms) { m_vms = std::move(vms); }
    /// Adds a fact that is news to this daemon. \a isOwn: it comes from an answer to this daemon.
    void add(const fact& news, bool isOwn);
    /// Deliveries that are due at \a now. \a all: all facts that this daemon knows.
    std::vector<fact_delivery> take(std::span<const fact> all, instant now);

private:
    void deliverNews(std::vector<fact_delivery>& deliveries);
    void deliverAll(std::span<const fact> all, std::vector<fact_delivery>& deliveries);
    std::vector<std::string> chooseReceivers();

    std::vector<std::string> m_vms;
    std::vector<fact> m_news;
    std::minstd_rand m_random;
    instant m_nextSync {};
};

}
