#pragma once

#include <cstdint>
#include <string_view>

namespace ragwortreach::Bench {

enum class routing_policy {
    Router,
    RouterWithoutGroups,
    AllKnowing,
    RoundRobin,
    Random,
};

struct routing_figures {
    /// Share of calls that found their prompt in the cache.
    double prefixHits = 0;
    /// Largest load over the mean load of all replicas, mean over time.
    double maxOverMeanLoad = 0;
    double meanLatencySeconds = 0;
    double p99LatencySeconds = 0;
};

std::string_view nameOf(routing_policy policy);

/// Groups of calls with one prompt each, from several daemons, for five minutes of virtual time.
routing_figures runRouting(routing_policy policy, std::uint64_t seed);

}
