#pragma once

#include <core/instant.h>

#include <deque>
#include <optional>

namespace ragwortreach {

/// Time since the start of 1970, worked out from a clock that does not jump.
///
/// The time of day of a VM may jump by seconds and back. The difference between it and the monotonic clock is sampled, and
/// the median of the last minute counts, so jumps that last less than half of that have no effect.
class wall_time {
public:
    static constexpr duration sampleInterval = std::chrono::seconds(1);

    /// Whether a sample is due.
    bool needsSample(instant now) const { return m_offsets.empty() || now - m_sampledAt >= sampleInterval; }
    /// Notes that the time of day was \a sinceEpoch at \a now.
    void addSample(instant now, duration sinceEpoch);
    /// Time from the start of 1970 until \a time; nothing before the first sample.
    std::optional<duration> at(instant time) const;

private:
    static constexpr std::size_t maxSamples = 61;

    instant m_sampledAt {};
    std::deque<duration> m_offsets;
    duration m_median {};
};

}
