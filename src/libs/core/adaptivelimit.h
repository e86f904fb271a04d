#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>

namespace ragwortreach {

struct adaptive_limit_settings {
    /// Has to be within the capacity of the upstream, because the first latencies are taken as the baseline without load.
    std::uint32_t initial = 8;
    std::uint32_t min = 4;
    std::uint32_t max = 1024;
};

/// Computes how many calls may run at an upstream at one time from the latencies of its calls.
///
/// The limit follows the gradient, which is the ratio of the baseline latency without load to the present latency. It
/// shrinks when calls start to queue at the upstream and grows slowly while at least half of it is in use. A failure
/// reduces it, at most once per baseline latency.
class adaptive_limit {
public:
    explicit adaptive_limit(const adaptive_limit_settings& settings);

    /// To be called for each answered call, with the number of calls in flight when it was sent.
    void addAnswer(duration latency, std::uint32_t inFlight);
    /// To be called when a call failed or timed out.
    void addFailure(instant now);
    /// Reduces the limit because \a removed of \a total replicas left, before the latencies show it.
    void removeReplicas(std::uint32_t removed, std::uint32_t total);

    /// Present limit, between the minimum and the maximum of the settings.
    std::uint32_t limit() const;

private:
    void setLimit(double limit);

    adaptive_limit_settings m_settings;
    double m_limit;
    /// Moving averages in seconds; 0 before the first answer. The baseline is the latency without load.
    double m_baselineLatency = 0;
    double m_latency = 0;
    std::optional<instant> m_lastCutAt;
};

}
