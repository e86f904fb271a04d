#include "adaptivelimit.h"

#include <algorithm>
#include <cmath>

namespace ragwortreach {

namespace {

    constexpr double latencyWeight = 0.1;
    constexpr double baselineLatencyWeight = 0.02;
    /// Ratio of the present to the baseline latency up to which no queueing is assumed.
    constexpr double latencyTolerance = 1.5;
    constexpr double minGradient = 0.5;
    constexpr double limitWeight = 0.1;
    constexpr double failureFactor = 0.8;

}

adaptive_limit::adaptive_limit(const adaptive_limit_settings& settings)
    : m_settings(settings)
    , m_limit(settings.initial)
{
}

void adaptive_limit::addAnswer(duration latency, std::uint32_t inFlight)
{
    const double seconds = std::max(1e-6, std::chrono::duration<double>(latency).count());
    if (m_baselineLatency == 0)
        m_baselineLatency = m_latency = seconds;
    m_latency += latencyWeight * (seconds - m_latency);
    // The baseline follows the latency only while no calls queue at the upstream: with few calls in flight or at the
    // smallest limit. Under load it only goes down.
    const bool isLoaded = static_cast<double>(inFlight) * 2 >= m_limit;
    const bool isUnloaded = !isLoaded || limit() <= m_settings.min;
    if (isUnloaded)
        m_baselineLatency += baselineLatencyWeight * (seconds - m_baselineLatency);
    m_baselineLatency = std::min(m_baselineLatency, m_latency);

    const double gradient = std::clamp(latencyTolerance * m_baselineLatency / m_latency, minGradient, 1.0);
    if (gradient == 1.0 && !isLoaded)
        return;
    const double target = m_limit * gradient + std::sqrt(m_limit);
    setLimit(m_limit + limitWeight * (target - m_limit) / std::max(1.0, std::sqrt(m_limit)));
}

void adaptive_limit::addFailure(instant now)
{
    if (m_lastCutAt && std::chrono::duration<double>(now - *m_lastCutAt).count() < m_baselineLatency)
        return;
    m_lastCutAt = now;
    setLimit(m_limit * failureFactor);
}

void adaptive_limit::removeReplicas(std::uint32_t removed, std::uint32_t total)
{
    if (total == 0)
        return;
    const std::uint32_t remaining = total - std::min(removed, total);
    setLimit(m_limit * static_cast<double>(remaining) / static_cast<double>(total));
}

std::uint32_t adaptive_limit::limit() const
{
    return static_cast<std::uint32_t>(m_limit);
}

void adaptive_limit::setLimit(double limit)
{
    m_limit = std::clamp(limit, static_cast<double>(m_settings.min), static_cast<double>(m_settings.max));
}

}
