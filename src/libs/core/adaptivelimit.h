#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>

namespace ragwortreach {

struct adaptive_limit_settings {
    /// Should be within the capacity: the latencies of the first calls are taken for those without load.
    std::uint32_t initial = 8;
    std::uint32_t min = 4;
    std::uint32_t max = 1024;
};

/// Number of calls that an upstream may have at one time, from the latencies of its calls.
///
/// The limit follows the gradient between the usual latency and the latency of now: it shrinks when calls start to
/// queue at the upstream and grows slowly while it is used. A failure cuts it, at most once in the usual latency.
class adaptive_limit {
public:
    explicit adaptive_limit(const adaptive_limit_settings& settings);

    /// Notes an answered call: its latency, and the calls under way when it was sent.
    void addAnswer(duration latency, std::uint32_t inFlight);
    /// Notes that a call failed or timed out.
    void addFailure(instant now);
    /// Notes that \a gone of \a known replicas left, so that the limit shrinks before latencies show it.
    void removeReplicas(std::uint32_t removed, std::uint32_t total);

    std::uint32_t limit() const;

private:
    void setLimit(double limit);

    adaptive_limit_settings m_settings;
    double m_limit;
    /// Seconds; 0 before the first answer.
    double m_baselineLatency = 0;
    double m_latency = 0;
    std::optional<instant> m_lastCutAt;
};

}
