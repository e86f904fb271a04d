#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>

namespace ragwortreach {

/// Measurements of one upstream at one daemon.
struct capacity_sample {
    /// Largest number of calls that may run at the upstream at one time.
    std::uint32_t limit = 0;
    std::uint32_t customersInFlight = 0;
    std::uint32_t customersQueued = 0;
    std::uint32_t rolloutsInFlight = 0;
    /// Completions per second while the upstream was saturated; empty when it is not known.
    std::optional<double> completionRate;
};

/// Limits on the traffic that competes with customer calls.
struct capacity_plan {
    /// Largest number of open streams of batches. Further streams are suspended; their tokens are kept.
    std::uint32_t rollouts = 0;
    /// Whether calls of the training class are refused.
    bool shedTraining = false;

    bool operator==(const capacity_plan&) const = default;
};

/// Sheds load when the capacity of an upstream shrinks, in the order of its priority.
///
/// Rollouts are suspended first, since they can be resumed; then training calls are refused. Customer calls are refused
/// last, and only by the admission queue because of their deadline. After a shortage the limit on rollouts rises in small
/// steps, after a delay and only within the capacity that customers leave free, so that the recovery does not cause the
/// next shortage.
class capacity_guard {
public:
    /// Returns the plan that applies from \a now on. To be called on each tick.
    capacity_plan update(const capacity_sample& sample, instant now);

    const capacity_plan& plan() const { return m_plan; }

private:
    bool hasShortage(const capacity_sample& sample);
    void shedLoad(const capacity_sample& sample, instant now);
    void recover(const capacity_sample& sample, instant now);

    capacity_plan m_plan;
    bool m_started = false;
    /// Moving average of the completions per second; 0 before the first measurement.
    double m_averageRate = 0;
    instant m_lastShortageAt {};
    instant m_lastStepAt {};
};

}
