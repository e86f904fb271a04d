#include "capacityguard.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    using std::chrono::milliseconds;

    /// Time from the last shortage to the first step of the recovery.
    constexpr duration recoveryDelay = milliseconds(1000);
    /// Time between two steps of the recovery.
    constexpr duration recoveryPeriod = milliseconds(250);
    /// One in this many calls of the limit stays reserved for customers.
    constexpr std::uint32_t reserveShare = 8;
    /// Each step of the recovery adds one in this many calls of the limit.
    constexpr std::uint32_t recoveryShare = 20;
    /// Ratio of the completion rate to its average below which the upstream is short of capacity.
    constexpr double shrinkFactor = 0.7;
    constexpr double averageRateWeight = 0.05;

    /// Part of the limit that is neither used by customers nor reserved for them.
    std::uint32_t availableToRollouts(const capacity_sample& sample)
    {
        const std::uint64_t taken = std::uint64_t { sample.customersInFlight } + sample.customersQueued + sample.limit / reserveShare;
        return taken >= sample.limit ? 0 : static_cast<std::uint32_t>(sample.limit - taken);
    }

}

capacity_plan capacity_guard::update(const capacity_sample& sample, instant now)
{
    if (!m_started) {
        m_started = true;
        m_plan = { availableToRollouts(sample), false };
    }
    if (hasShortage(sample))
        shedLoad(sample, now);
    else
        recover(sample, now);
    m_plan.rollouts = std::min(m_plan.rollouts, availableToRollouts(sample));
    return m_plan;
}

/// Whether customers wait, rollouts use the reserve, or the completion rate is far below its average. Updates the average.
bool capacity_guard::hasShortage(const capacity_sample& sample)
{
    bool hasShrunk = false;
    if (sample.completionRate) {
        hasShrunk = m_averageRate > 0 && *sample.completionRate < shrinkFactor * m_averageRate;
        m_averageRate += (m_averageRate > 0 ? averageRateWeight : 1.0) * (*sample.completionRate - m_averageRate);
    }
    return sample.customersQueued > 0 || sample.rolloutsInFlight > availableToRollouts(sample) || hasShrunk;
}

void capacity_guard::shedLoad(const capacity_sample& sample, instant now)
{
    const bool hadNoRollouts = m_plan.rollouts == 0 && sample.rolloutsInFlight == 0;
    m_lastShortageAt = now;
    m_plan.rollouts = m_plan.rollouts / 2;
    m_plan.shedTraining = m_plan.shedTraining || (hadNoRollouts && sample.customersQueued > 0);
}

void capacity_guard::recover(const capacity_sample& sample, instant now)
{
    if (now - m_lastShortageAt < recoveryDelay || now - m_lastStepAt < recoveryPeriod)
        return;
    m_lastStepAt = now;
    if (m_plan.shedTraining) {
        m_plan.shedTraining = false;
        return;
    }
    const std::uint32_t step = std::max<std::uint32_t>(1, sample.limit / recoveryShare);
    m_plan.rollouts += step;
}

}
