#pragma once

#include <cstdint>
#include <string_view>

namespace ragwortreach::Bench {

enum class routing_policy {
    /// The router of the product, which sends the calls of a group to the same replicas.
    Router,
    /// The same router without the group of a call.
    RouterWithoutGroups,
    /// Idealised reference: knows the current load and cache of every replica.
    Oracle,
    RoundRobin,
    Random,
};

/// Result of one simulated run.
struct routing_result {
    /// Share of calls whose prompt was in the cache of their replica.
    double prefixHits = 0;
    /// Ratio of the largest to the mean load of the replicas, averaged over time.
    double maxOverMeanLoad = 0;
    double meanLatencySeconds = 0;
    double p99LatencySeconds = 0;
};

/// Name of \a policy in the printed table.
std::string_view nameOf(routing_policy policy);

/// Simulates five minutes in which several daemons send groups of calls; the calls of a group share a prompt.
routing_result runRouting(routing_policy policy, std::uint64_t seed);

}
