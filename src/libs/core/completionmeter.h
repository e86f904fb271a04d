#pragma once

#include "instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace ragwortreach {

/// Measures how many calls per second an upstream completes while it is saturated, in a sliding window of 2 s.
///
/// Time in which the upstream is not saturated is left out, since the rate then shows the demand, not the capacity.
class completion_meter {
public:
    /// Sets whether the upstream is saturated from \a now on: calls wait, or as many run as the limit allows.
    void setSaturated(bool saturated, instant now);
    void addCompletion(instant now);

    /// Completions per second of saturated time in the window; empty with less than 200 ms of saturated time.
    std::optional<double> rate(instant now);

private:
    struct bucket {
        std::uint32_t completions = 0;
        duration saturated {};
    };
    static constexpr std::size_t bucketCount = 20;

    void advance(instant now);

    std::array<bucket, bucketCount> m_buckets {};
    std::int64_t m_currentBucket = 0;
    instant m_updatedAt {};
    bool m_saturated = false;
};

}
