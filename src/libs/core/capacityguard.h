#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>

namespace ragwortreach {

/// What a daemon measures of one upstream.
struct capacity_sample {
    /// Calls that the upstream may have at one time.
    std::uint32_t limit = 0;
    std::uint32_t customersInFlight = 0;
    std::uint32_t customersQueued = 0;
    std::uint32_t rolloutsInFlight = 0;
    /// Completions per second while calls waited; empty when nothing waited.
    std::optional<double> completionRate;
};

/// What each class may do.
struct capacity_plan {
    /// Streams of batches that may be open. Streams beyond it are suspended; their tokens are kept.
    std::uint32_t rollouts = 0;
    /// Whether calls of the class training are refused.
    bool shedTraining = false;

    bool operator==(const capacity_plan&) const = default;
};

/// Decides what gives way when the capacity of an upstream shrinks.
///
/// Rollouts are suspended first, since they can be resumed; then calls of the class training are refused. Customers are
/// refused last, and only by their due time in the admission queue. After a shortage, rollouts come back in small steps
/// and only into places that customers have left free for a while, so that the recovery does not cause the next shortage.
class capacity_guard {
public:
    /// Plan from \a now on. To be called on each tick.
    capacity_plan update(const capacity_sample& sample, instant now);

    const capacity_plan& plan() const { return m_plan; }

private:
    bool hasShortage(const capacity_sample& sample);
    void shedLoad(const capacity_sample& sample, instant now);
    void recover(const capacity_sample& sample, instant now);

    capacity_plan m_plan;
    bool m_started = false;
    /// Completions per second in usual times; 0 before the first measurement.
    double m_baselineRate = 0;
    instant m_lastShortageAt {};
    instant m_lastStepAt {};
};

}
