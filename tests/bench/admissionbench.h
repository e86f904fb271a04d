#pragma once

#include <cstdint>
#include <string_view>

namespace ragwortreach::Bench {

enum class admission_policy {
    /// Router, admission queue, adaptive limit, retry budget and capacity guard.
    Whole,
    /// The same, but rollouts are started and kept without regard to capacity.
    WithoutGuard,
    /// One queue for all in the order of arrival, replicas in turn, up to three retries.
    FifoRoundRobin,
    FifoRandom,
};

struct admission_figures {
    std::uint64_t customers = 0;
    /// Share of customer calls that were whole within their due time: all, and those that came while capacity was short.
    double wholeInTime = 0;
    double wholeInTimeWhileShort = 0;
    /// Share of the customer calls that came while capacity was short and were refused as not run.
    double refusedWhileShort = 0;
    std::uint64_t rollouts = 0;
    /// Tokens of rollouts that were generated and thrown away.
    std::uint64_t rolloutTokensLost = 0;
};

std::string_view nameOf(admission_policy policy);

/// Three minutes of virtual time at peak; half of the replicas are gone in the second one.
admission_figures runAdmission(admission_policy policy, double customersPerSecond, std::uint64_t seed);

}
