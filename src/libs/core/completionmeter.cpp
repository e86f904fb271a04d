#include "completionmeter.h"

#include <algorithm>

namespace ragwortreach {

namespace {

    constexpr duration bucketTime = std::chrono::milliseconds(100);
    constexpr duration minSaturatedTime = std::chrono::milliseconds(200);

}

void completion_meter::setSaturated(bool saturated, instant now)
{
    advance(now);
    m_saturated = saturated;
}

void completion_meter::addCompletion(instant now)
{
    advance(now);
    if (m_saturated)
        ++m_buckets[static_cast<std::size_t>(m_currentBucket) % bucketCount].completions;
}

std::optional<double> completion_meter::rate(instant now)
{
    advance(now);
    std::uint64_t completions = 0;
    duration saturated {};
    for (const bucket& each : m_buckets) {
        completions += each.completions;
        saturated += each.saturated;
    }
    if (saturated < minSaturatedTime)
        return std::nullopt;
    return static_cast<double>(completions) / std::chrono::duration<double>(saturated).count();
}

/// Closes the buckets up to \a now and books the time since the last update.
void completion_meter::advance(instant now)
{
    if (now <= m_updatedAt)
        return;
    const std::int64_t target = now.time_since_epoch() / bucketTime;
    const std::int64_t oldest = target - static_cast<std::int64_t>(bucketCount) + 1;
    if (m_currentBucket < oldest) {
        m_buckets = {};
        m_currentBucket = oldest;
        m_updatedAt = std::max(m_updatedAt, instant(bucketTime * oldest));
    }
    while (true) {
        const instant bucketEnd(bucketTime * (m_currentBucket + 1));
        const instant until = std::min(bucketEnd, now);
        if (m_saturated)
            m_buckets[static_cast<std::size_t>(m_currentBucket) % bucketCount].saturated += until - m_updatedAt;
        m_updatedAt = until;
        if (m_currentBucket == target)
            return;
        ++m_currentBucket;
        m_buckets[static_cast<std::size_t>(m_currentBucket) % bucketCount] = {};
    }
}

}
