#pragma once

#include <cstdint>
#include <string_view>

namespace ragwortreach::Bench {

enum class admission_policy {
    /// Router, admission queue, adaptive limit, retry budget and capacity guard.
    AllMechanisms,
    /// All mechanisms but the capacity guard: rollouts are started and keep running regardless of the free capacity.
    WithoutGuard,
    /// Baseline: one first-in, first-out queue for all calls, replicas in turn, up to three retries.
    FifoRoundRobin,
    /// The same with a random replica for each call.
    FifoRandom,
};

/// Result of one simulated run. Capacity is short in the minute in which half of the replicas are down.
struct admission_result {
    /// Customer calls that arrived after the warm-up.
    std::uint64_t customers = 0;
    /// Share of customer calls that were answered completely before their deadline: of all calls, and of those that
    /// arrived while capacity was short.
    double completeInTime = 0;
    double completeInTimeWhileShort = 0;
    /// Of the customer calls that arrived while capacity was short, the share that was refused without being run.
    double refusedWhileShort = 0;
    /// Rollouts that were completed.
    std::uint64_t rollouts = 0;
    /// Tokens of rollouts that were generated and discarded.
    std::uint64_t rolloutTokensLost = 0;
};

/// Name of \a policy in the printed table.
std::string_view nameOf(admission_policy policy);

/// Simulates three minutes at peak load, after a warm-up, in virtual time. Half of the replicas are down in the second
/// minute.
admission_result runAdmission(admission_policy policy, double customersPerSecond, std::uint64_t seed);

}
